# Completion of medlarctl for bash. Load it with: source examples/completion/medlarctl.bash

_medlarctl() {
    local current="${COMP_WORDS[COMP_CWORD]}"
    local previous="${COMP_WORDS[COMP_CWORD - 1]}"
    local commands="validate diff apply history rollback get status zone server owners watch explain
        backlog metrics"
    local flags="--base --credential --daemon --force --help --keep_versions --key --limit --output --service --store
        --timeout --version --wait"
    COMPREPLY=()

    # bash splits at '=', so the value of --output=json is a word of its own.
    if [ "$previous" = "=" ] && [ "$COMP_CWORD" -ge 2 ]; then
        previous="${COMP_WORDS[COMP_CWORD - 2]}"
    fi
    case "$previous" in
        --output)
            mapfile -t COMPREPLY < <(compgen -W "table json" -- "${current#=}")
            return
            ;;
        --base | --credential | --daemon | --keep_versions | --key | --limit | --service | --store | --timeout)
            return
            ;;
    esac
    if [[ "$current" == -* ]]; then
        mapfile -t COMPREPLY < <(compgen -W "$flags" -- "$current")
        return
    fi

    # The first word that is neither a flag nor the value of one is the command.
    local command="" position=0 i word
    for ((i = 1; i < COMP_CWORD; i++)); do
        word="${COMP_WORDS[i]}"
        case "$word" in
            --base | --credential | --daemon | --keep_versions | --key | --limit | --output | --service | --store | --timeout)
                if [ "${COMP_WORDS[i + 1]}" = "=" ]; then i=$((i + 1)); fi
                i=$((i + 1))
                ;;
            -*) ;;
            *)
                if [ -z "$command" ]; then command="$word"; else position=$((position + 1)); fi
                ;;
        esac
    done
    case "$command:$position" in
        :0) mapfile -t COMPREPLY < <(compgen -W "$commands" -- "$current") ;;
        zone:0) mapfile -t COMPREPLY < <(compgen -W "in out" -- "$current") ;;
        server:0) mapfile -t COMPREPLY < <(compgen -W "drain return confirm-dead" -- "$current") ;;
        explain:0) mapfile -t COMPREPLY < <(compgen -W "slot" -- "$current") ;;
        validate:* | diff:* | apply:*)
            # Words may contain spaces, so file names are read line by line.
            mapfile -t COMPREPLY < <(compgen -f -X '!*.y*ml' -- "$current"; compgen -d -- "$current")
            compopt -o filenames 2>/dev/null
            ;;
    esac
}

complete -F _medlarctl medlarctl
