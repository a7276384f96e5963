#include "cli.h"

#include "command.h"

#include <algorithm>
#include <array>
#include <limits>

namespace Medlar::Cli {

namespace {

constexpr std::size_t AnyNumber = std::numeric_limits<std::size_t>::max();

const std::array<Command, 14> Commands{{
    {"validate", "FILE...", "check configuration files", 1, AnyNumber, CommandNeeds::Nothing,
     runValidate},
    {"diff", "FILE...", "show what apply would change", 1, AnyNumber, CommandNeeds::Store, runDiff},
    {"apply", "FILE... [--wait] [--timeout 11s] [--base VERSION] [--force] [--keep_versions 30]",
     "make the files the next version", 1, AnyNumber, CommandNeeds::Store, runApply},
    {"history", "[--limit 20]", "list versions of the configuration", 0, 0, CommandNeeds::Store,
     runHistory},
    {"rollback", "VERSION [--wait] [--timeout 11s] [--base VERSION] [--force] [--keep_versions 30]",
     "make an old version the next one", 1, 1, CommandNeeds::Store, runRollback},
    {"get", "[KEY]", "print the configuration in force, or an object", 0, 1, CommandNeeds::Store,
     runGet},
    {"status", "", "show nodes, zones and versions in force; without --store, what a daemon knows",
     0, 0, CommandNeeds::StoreOrDaemon, runStatus},
    {"zone", "out|in ZONE [--force]", "take a zone out of service or back", 2, 2,
     CommandNeeds::Store, runZone},
    {"server", "drain|return|confirm-dead NODE[#INCARNATION]",
     "take a node out of service or back, or declare it lost", 2, 2, CommandNeeds::Store,
     runServer},
    {"owners", "[--service S] [--key K]", "show who owns slots or a key", 0, 0, CommandNeeds::Store,
     runOwners},
    {"watch", "[--timeout 1min]", "print changes as they happen", 0, 0, CommandNeeds::Store,
     runWatch},
    {"explain", "REQUEST-ID | slot NUMBER --service S", "ask a daemon how it decided", 1, 2,
     CommandNeeds::Daemon, runExplain},
    {"backlog", "", "ask a daemon for its queues", 0, 0, CommandNeeds::Daemon, runBacklog},
    {"metrics", "", "ask a daemon for its metrics", 0, 0, CommandNeeds::Daemon, runMetrics},
}};

std::string usageOf(const Command &command)
{
    const std::string arguments = command.usage;
    return std::string("medlarctl ") + command.name + (arguments.empty() ? "" : " ") + arguments;
}

void printHelp(std::ostream &out)
{
    out << "medlarctl - operates a deployment of medlarstack.\n\nCommands:\n";
    for (const Command &command : Commands)
        out << "  " << usageOf(command) << "\n      " << command.help << "\n";
    out << "\nFlags (--NAME=VALUE; store, daemon, credential and output also from FLAGS_NAME):\n"
        << describeFlags()
        << "\nExit codes: 0 success, 1 rejected or failed, 2 usage error, 3 conflict, 4 not in "
           "force"
           " before the\ntime-out, 5 store or daemon unreachable.\n";
}

CommandResult runCommand(const Command &command, const CommandLine &line, Environment &environment)
{
    CommandContext context{line.options,
                           {line.arguments.begin() + 1, line.arguments.end()},
                           environment,
                           nullptr,
                           nullptr};
    if (command.needs == CommandNeeds::Nothing)
        return command.run(context);
    const bool asksDaemon = command.needs == CommandNeeds::StoreOrDaemon
                            && line.options.store.empty() && !line.options.daemon.empty();
    if (command.needs == CommandNeeds::Daemon || asksDaemon) {
        const auto daemon = environment.openDaemon(line.options.daemon, line.options.credential);
        if (!daemon)
            return fail(ExitCode::UsageError, "--daemon: " + daemon.error());
        context.daemon = daemon->get();
        return command.run(context);
    }
    auto session = environment.openStore(line.options.store);
    if (!session)
        return fail(ExitCode::UsageError, "--store: " + session.error());
    BlockingStore store(std::move(*session));
    context.store = &store;
    return command.run(context);
}

int usageError(std::ostream &err, const std::string &message)
{
    err << "medlarctl: " << message << "; see medlarctl --help\n";
    return static_cast<int>(ExitCode::UsageError);
}

} // namespace

std::vector<std::string> commandNames()
{
    std::vector<std::string> names;
    names.reserve(Commands.size());
    for (const Command &command : Commands)
        names.emplace_back(command.name);
    return names;
}

int run(const std::vector<std::string> &arguments, Environment &environment)
{
    const auto line = readCommandLine(arguments);
    if (!line)
        return usageError(environment.err, line.error());
    if (line->isHelp) {
        printHelp(environment.out);
        return static_cast<int>(ExitCode::Success);
    }
    if (line->isVersion) {
        environment.out << "medlarctl " MEDLAR_VERSION "\n";
        return static_cast<int>(ExitCode::Success);
    }
    if (line->arguments.empty())
        return usageError(environment.err, "no command is given");

    const std::string &name = line->arguments.front();
    const auto command
        = std::find_if(Commands.begin(), Commands.end(),
                       [&name](const Command &candidate) { return candidate.name == name; });
    if (command == Commands.end())
        return usageError(environment.err, "unknown command " + name);
    const std::size_t count = line->arguments.size() - 1;
    if (count < command->minArguments || count > command->maxArguments)
        return usageError(environment.err, "usage: " + usageOf(*command));

    const CommandResult result = runCommand(*command, *line, environment);
    const OutputFormat format = line->options.output;
    if (result) {
        if (!result->isEmpty())
            result->print(environment.out, format);
        return static_cast<int>(ExitCode::Success);
    }
    CommandError error = result.error();
    const int code = static_cast<int>(error.code);
    if (format == OutputFormat::Json)
        error.detail.add("error", error.message).add("exit_code", code);
    if (!error.detail.isEmpty())
        error.detail.print(environment.out, format);
    environment.err << "medlarctl: " << error.message << '\n';
    return code;
}

} // namespace Medlar::Cli
