#pragma once

#include <string>

namespace Medlar {

/*!
    Writes the report page of the JSON lines in \a path to the file of --out, or to the standard
   output without it. Errors go to the standard error. Returns the exit code.
*/
int runReportCommand(const std::string &path);

} // namespace Medlar
