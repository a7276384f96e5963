#pragma once

#include "blockingstore.h"
#include "commanderror.h"
#include "environment.h"
#include "options.h"

#include <string>
#include <vector>

namespace Medlar::Cli {

/*! What a command works with. The store and the daemon are set when the command needs them. */
struct CommandContext
{
    const Options &options;
    std::vector<std::string> arguments; //!< after the name of the command
    Environment &environment;
    BlockingStore *store = nullptr;
    DaemonClient *daemon = nullptr;
};

enum class CommandNeeds { Nothing, Store, Daemon, StoreOrDaemon };

struct Command
{
    const char *name;
    const char *usage; //!< arguments and the flags that the command reads
    const char *help;
    std::size_t minArguments;
    std::size_t maxArguments;
    CommandNeeds needs;
    CommandResult (*run)(CommandContext &context);
};

// Configuration

CommandResult runValidate(CommandContext &context);
CommandResult runDiff(CommandContext &context);
CommandResult runApply(CommandContext &context);
CommandResult runHistory(CommandContext &context);
CommandResult runRollback(CommandContext &context);
CommandResult runGet(CommandContext &context);

// Fleet

CommandResult runStatus(CommandContext &context);
CommandResult runOwners(CommandContext &context);
CommandResult runWatch(CommandContext &context);
CommandResult runZone(CommandContext &context);
CommandResult runServer(CommandContext &context);

// One daemon

/*! Sends GET \a target to the daemon and reports the answer. */
CommandResult askDaemon(CommandContext &context, const std::string &target);

CommandResult runExplain(CommandContext &context);
CommandResult runBacklog(CommandContext &context);
CommandResult runMetrics(CommandContext &context);

} // namespace Medlar::Cli
