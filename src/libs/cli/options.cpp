#include "options.h"

#include "configuration/units.h"
#include "historypruning.h"

#include <gflags/gflags.h>

#include <algorithm>

DEFINE_string(store, "", "IP:PORT of the object store");
DEFINE_string(daemon, "", "IP:PORT of the HTTP port of a daemon");
DEFINE_string(credential, "", "shared credential, sent to the daemon as bearer token");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(wait, false, "apply, rollback: wait until the version is in force in every zone");
DEFINE_bool(force, false,
            "zone: accept an unknown zone; apply, rollback: replace a damaged current object");
DEFINE_string(timeout, "", "longest --wait (default 11s) or watch (default: no end), such as 30s");
DEFINE_string(service, "", "owners, explain: the service, or SERVICE@REGION+REGION");
DEFINE_string(key, "", "owners: show the owners of this key");
DEFINE_uint64(base, 0, "apply, rollback: fail unless this version is current, 0: any");
DEFINE_uint64(limit, 20, "history: number of versions shown");
DEFINE_uint64(keep_versions, 30,
              "apply, rollback: number of versions that stay in the history, 2 to 1000");

namespace Medlar::Cli {

namespace {

constexpr std::uint64_t MaxHistoryLimit = 1000;

// gflags lists the flags of all libraries; those of this file are the ones of medlarctl.
bool isOwn(const gflags::CommandLineFlagInfo &flag)
{
    return flag.filename.find("cli/options.cpp") != std::string::npos;
}

// --NAME, --NAME=VALUE or --noNAME as written on the command line.
struct WrittenFlag
{
    std::string name;
    std::optional<std::string> value;
};

WrittenFlag splitFlag(const std::string &argument)
{
    const std::string text = argument.substr(argument.find_first_not_of('-'));
    const std::size_t separator = text.find('=');
    if (separator == std::string::npos)
        return {text, std::nullopt};
    return {text.substr(0, separator), text.substr(separator + 1)};
}

bool findFlag(WrittenFlag &written, gflags::CommandLineFlagInfo &flag)
{
    if (written.name == "fromenv" || written.name == "tryfromenv")
        return gflags::GetCommandLineFlagInfo(written.name.c_str(), &flag);
    if (gflags::GetCommandLineFlagInfo(written.name.c_str(), &flag) && isOwn(flag))
        return true;
    const bool isNegated = written.name.rfind("no", 0) == 0 && !written.value;
    if (!isNegated || !gflags::GetCommandLineFlagInfo(written.name.substr(2).c_str(), &flag)
        || !isOwn(flag) || flag.type != "bool")
        return false;
    written = {written.name.substr(2), "false"};
    return true;
}

tl::expected<void, std::string> setFlag(const std::string &name, const std::string &value)
{
    if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        return tl::unexpected("--" + name + ": \"" + value + "\" is not accepted");
    return {};
}

// Reads the flag at position and moves it to the last argument that belongs to the flag.
tl::expected<void, std::string> readFlag(const std::vector<std::string> &arguments,
                                         std::size_t &position)
{
    WrittenFlag written = splitFlag(arguments[position]);
    gflags::CommandLineFlagInfo flag;
    if (!findFlag(written, flag))
        return tl::unexpected("unknown flag " + arguments[position]);
    if (!written.value && flag.type == "bool")
        written.value = "true";
    if (!written.value && position + 1 < arguments.size())
        written.value = arguments[++position];
    if (!written.value)
        return tl::unexpected("--" + written.name + " needs a value");
    return setFlag(written.name, *written.value);
}

tl::expected<Options, std::string> checkedOptions()
{
    Options options;
    options.store = FLAGS_store;
    options.daemon = FLAGS_daemon;
    options.credential = FLAGS_credential;
    options.wait = FLAGS_wait;
    options.force = FLAGS_force;
    options.service = FLAGS_service;
    options.key = FLAGS_key;
    options.base = FLAGS_base;
    options.limit = FLAGS_limit;
    options.keepVersions = FLAGS_keep_versions;
    if (FLAGS_output != "table" && FLAGS_output != "json")
        return tl::unexpected("--output: \"" + FLAGS_output
                              + "\" is not accepted; accepted: table, json");
    options.output = FLAGS_output == "json" ? OutputFormat::Json : OutputFormat::Table;
    if (!FLAGS_timeout.empty()) {
        options.timeout = Configuration::parseDuration(FLAGS_timeout);
        if (!options.timeout)
            return tl::unexpected("--timeout: \"" + FLAGS_timeout
                                  + "\" is not accepted; accepted: a duration such as 500ms, 11s "
                                    "or 2min");
    }
    if (options.limit == 0 || options.limit > MaxHistoryLimit)
        return tl::unexpected("--limit: " + std::to_string(options.limit)
                              + " is not accepted; accepted: 1 to "
                              + std::to_string(MaxHistoryLimit));
    if (options.keepVersions < MinKeptVersions || options.keepVersions > MaxHistoryLimit)
        return tl::unexpected("--keep_versions: " + std::to_string(options.keepVersions)
                              + " is not accepted; accepted: " + std::to_string(MinKeptVersions)
                              + " to " + std::to_string(MaxHistoryLimit));
    return options;
}

} // namespace

tl::expected<CommandLine, std::string> readCommandLine(const std::vector<std::string> &arguments)
{
    CommandLine result;
    gflags::SetCommandLineOption("tryfromenv", "store,daemon,credential,output");
    bool onlyArguments = false;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (onlyArguments || argument.size() < 2 || argument.front() != '-') {
            result.arguments.push_back(argument);
        } else if (argument == "--") {
            onlyArguments = true;
        } else if (argument == "--help" || argument == "-h") {
            result.isHelp = true;
        } else if (argument == "--version") {
            result.isVersion = true;
        } else if (const auto flag = readFlag(arguments, i); !flag) {
            return tl::unexpected(flag.error());
        }
    }
    auto options = checkedOptions();
    if (!options)
        return tl::unexpected(options.error());
    result.options = std::move(*options);
    return result;
}

std::string describeFlags()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::string result;
    for (const auto &flag : flags) {
        if (isOwn(flag))
            result += "  --" + flag.name + "  " + flag.description + "\n";
    }
    return result;
}

} // namespace Medlar::Cli
