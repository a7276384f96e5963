#pragma once

#include "report.h"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Medlar::Cli {

/*! The flags of one call of medlarctl. */
struct Options
{
    std::string store;  //!< IP:PORT
    std::string daemon; //!< IP:PORT
    std::string credential;
    OutputFormat output = OutputFormat::Table;
    bool wait = false;
    bool force = false;
    std::optional<std::chrono::milliseconds> timeout;
    std::string service;
    std::string key;
    std::uint64_t base = 0; //!< version that a change must be based on, 0: any
    std::uint64_t limit = 0;
    std::uint64_t keepVersions = 0; //!< versions that a change leaves in the history
};

/*! What is left of a command line: the command and its arguments. */
struct CommandLine
{
    Options options;
    std::vector<std::string> arguments;
    bool isHelp = false;
    bool isVersion = false;
};

/*!
    Reads \a arguments (without the program's name) by means of gflags. The flags store, daemon,
   credential and output are taken from the environment (FLAGS_NAME) first. Unlike the parser of
   gflags, it reports faults to the caller instead of ending the process with code 1.
*/
tl::expected<CommandLine, std::string> readCommandLine(const std::vector<std::string> &arguments);

/*! One line for each flag, for the help text. */
std::string describeFlags();

} // namespace Medlar::Cli
