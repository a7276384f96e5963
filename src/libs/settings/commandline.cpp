#include "commandline.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <vector>

namespace Medlar::Settings {

namespace {

std::vector<gflags::CommandLineFlagInfo> ownFlags(const ProgramInfo &program)
{
    std::vector<gflags::CommandLineFlagInfo> all;
    gflags::GetAllFlags(&all);
    std::vector<gflags::CommandLineFlagInfo> result;
    for (const auto &flag : all) {
        if (flag.filename.find(program.flagsFile) != std::string::npos)
            result.push_back(flag);
    }
    return result;
}

// The library's own help lists its internal flags too, which would hide the program's.
void printHelp(const ProgramInfo &program)
{
    std::cout << program.usage << "\n\nSettings (flag --NAME=VALUE or environment FLAGS_NAME):\n";
    for (const auto &flag : ownFlags(program))
        std::cout << "  --" << flag.name << "  " << flag.description << " (default: \""
                  << flag.default_value << "\")\n";
    std::cout << "  --help  print this text\n  --version  print the version\n";
}

bool readEnvironment(const ProgramInfo &program)
{
    bool isValid = true;
    for (const auto &flag : ownFlags(program)) {
        const char *value = std::getenv(("FLAGS_" + flag.name).c_str());
        if (value == nullptr)
            continue;
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
            std::cerr << "FLAGS_" << flag.name << "=" << value << " is not accepted: expected a "
                      << flag.type << "\n";
            isValid = false;
        }
    }
    return isValid;
}

} // namespace

CommandLineAction readCommandLine(const ProgramInfo &program, int &argc, char **&argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        if (argument == "--help" || argument == "-h") {
            printHelp(program);
            return CommandLineAction::ExitSuccess;
        }
        if (argument == "--version") {
            std::cout << program.name << ' ' << program.version << '\n';
            return CommandLineAction::ExitSuccess;
        }
    }
    if (!readEnvironment(program))
        return CommandLineAction::ExitUsage;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return CommandLineAction::Run;
}

} // namespace Medlar::Settings
