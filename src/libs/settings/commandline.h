#pragma once

#include <string>

namespace Medlar::Settings {

/*! What a program must do after its command line was read. */
enum class CommandLineAction { Run, ExitSuccess, ExitUsage };

/*! Exit codes that all programs share. */
constexpr int ExitCodeSuccess = 0;
constexpr int ExitCodeFailure = 1;
constexpr int ExitCodeUsage = 2;

struct ProgramInfo
{
    std::string name;
    std::string usage;
    std::string version;
    std::string flagsFile; //!< part of the path of the source file that defines the program's flags
};

/*!
    Reads flags from the environment (FLAGS_NAME) and then from the command line, which goes first.
   Handles
    --help and --version. \a argc and \a argv keep what is not a flag.
*/
CommandLineAction readCommandLine(const ProgramInfo &program, int &argc, char **&argv);

} // namespace Medlar::Settings
