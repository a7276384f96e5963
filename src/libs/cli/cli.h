#pragma once

#include "environment.h"

#include <string>
#include <vector>

namespace Medlar::Cli {

/*!
    Runs one call of medlarctl. \a arguments do not contain the program's name. Results go to
   environment.out, progress and messages to environment.err. Returns the exit code, see ExitCode.
*/
int run(const std::vector<std::string> &arguments, Environment &environment);

/*! The names of all commands, for shell completion. */
std::vector<std::string> commandNames();

} // namespace Medlar::Cli
