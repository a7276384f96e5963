#pragma once

#include <string>

namespace Medlar::Report {

/*! Why there is no report at all. Faults of single lines are a RunNote instead. */
enum class ReportErrorCode {
    NotFound,    //!< the file or folder does not exist
    NotReadable, //!< a file or the folder cannot be read
    NoFiles,     //!< the folder holds no .json or .jsonl file
    NoRuns,      //!< there are files, but no usable line in them
};

struct ReportError
{
    ReportErrorCode code = ReportErrorCode::NotFound;
    std::string path;
    std::string detail;

    std::string toString() const { return path + ": " + detail; }
};

} // namespace Medlar::Report
