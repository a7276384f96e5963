#pragma once

#include "reporterror.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Medlar::Report {

/*! One JSON line of one experiment. */
struct Run
{
    std::string experiment;
    std::string command;
    std::optional<std::uint64_t> seed;
    nlohmann::json fields; //!< all of the line
    std::string source;    //!< file name and line number
};

/*! What is wrong with a line. The page shows it; the other lines are still reported. */
enum class RunProblem {
    NotJson,      //!< left out
    NotAnObject,  //!< left out
    NoExperiment, //!< left out
    RepeatedLine, //!< left out, equal to an earlier line
    EmptyFile,    //!< the file holds no line, as after a failed experiment
    NoSeed,       //!< kept
    RepeatedSeed, //!< kept; same command and seed as an earlier line, other values
    MissingField, //!< kept; a field that docs/design.md lists is missing
    NotANumber,   //!< kept; a field that docs/design.md lists holds something else
};

struct RunNote
{
    RunProblem problem = RunProblem::NotJson;
    std::string source;
    std::string detail;
};

/*! All usable runs in the order in which they were read, and what was wrong with the others. */
struct RunSet
{
    std::vector<Run> runs;
    std::vector<RunNote> notes;
};

/*! Adds the lines of \a text. A text that is one JSON object over several lines is one run. */
void addRuns(RunSet &set, const std::string &text, const std::string &fileName);

/*! Reads one file, or all *.json and *.jsonl files directly in a folder in the order of their
 * names. */
tl::expected<RunSet, ReportError> readRuns(const std::string &path);

} // namespace Medlar::Report
