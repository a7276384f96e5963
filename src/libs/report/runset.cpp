#include "runset.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Medlar::Report {

using nlohmann::json;
namespace fs = std::filesystem;

namespace {

// The lines of experiments have four levels. Deeper values are dropped, because the stack limits
// how deep they can be walked.
constexpr int MaxDepth = 32;

// A discarded value for text that is not valid JSON.
json parse(const std::string &text)
{
    return json::parse(
        text, [](int depth, json::parse_event_t, const json &) { return depth <= MaxDepth; },
        false);
}

std::optional<std::string> textOf(const json &object, const char *name)
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_string())
        return {};
    return member->get<std::string>();
}

// Notes a run that repeats an earlier one. Returns whether it is an exact copy.
bool isCopy(RunSet &set, const Run &run)
{
    for (const Run &other : set.runs) {
        if (other.fields == run.fields) {
            set.notes.push_back({RunProblem::RepeatedLine, run.source,
                                 "left out: the same line as " + other.source});
            return true;
        }
        if (run.seed && other.experiment == run.experiment && other.command == run.command
            && other.seed == run.seed)
            set.notes.push_back(
                {RunProblem::RepeatedSeed, run.source,
                 "same command and seed as " + other.source + " with other values"});
    }
    return false;
}

void addRun(RunSet &set, json object, const std::string &source)
{
    const auto leaveOut = [&](RunProblem problem, const std::string &detail) {
        set.notes.push_back({problem, source, "left out: " + detail});
    };
    if (object.is_discarded())
        return leaveOut(RunProblem::NotJson, "not valid JSON");
    if (!object.is_object())
        return leaveOut(RunProblem::NotAnObject, "not a JSON object");
    const auto experiment = textOf(object, "experiment");
    if (!experiment || experiment->empty())
        return leaveOut(RunProblem::NoExperiment, "no field \"experiment\" with a name");
    Run run;
    run.experiment = *experiment;
    run.command = textOf(object, "command").value_or("");
    run.source = source;
    if (const auto seed = object.find("seed"); seed != object.end() && seed->is_number_unsigned())
        run.seed = seed->get<std::uint64_t>();
    run.fields = std::move(object);
    if (isCopy(set, run))
        return;
    if (!run.seed)
        set.notes.push_back(
            {RunProblem::NoSeed, source, "no field \"seed\"; the run cannot be repeated"});
    set.runs.push_back(std::move(run));
}

bool hasReportExtension(const fs::path &path)
{
    return path.extension() == ".json" || path.extension() == ".jsonl";
}

tl::expected<std::vector<fs::path>, ReportError> filesOf(const fs::path &path)
{
    std::error_code error;
    const fs::file_status status = fs::status(path, error);
    if (!fs::exists(status))
        return tl::unexpected(
            ReportError{ReportErrorCode::NotFound, path.string(), "does not exist"});
    if (!fs::is_directory(status))
        return std::vector<fs::path>{path};
    std::vector<fs::path> files;
    fs::directory_iterator entry(path, error);
    for (; !error && entry != fs::directory_iterator(); entry.increment(error)) {
        std::error_code ignored;
        if (hasReportExtension(entry->path()) && entry->is_regular_file(ignored))
            files.push_back(entry->path());
    }
    if (error)
        return tl::unexpected(
            ReportError{ReportErrorCode::NotReadable, path.string(), error.message()});
    if (files.empty())
        return tl::unexpected(
            ReportError{ReportErrorCode::NoFiles, path.string(), "holds no .json or .jsonl file"});
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

void addRuns(RunSet &set, const std::string &text, const std::string &fileName)
{
    json whole = parse(text);
    if (whole.is_object())
        return addRun(set, std::move(whole), fileName + ":1");
    if (text.find_first_not_of(" \t\r\n") == std::string::npos)
        set.notes.push_back({RunProblem::EmptyFile, fileName, "holds no line"});
    std::istringstream lines(text);
    std::string line;
    for (std::size_t number = 1; std::getline(lines, line); ++number) {
        if (line.find_first_not_of(" \t\r") != std::string::npos)
            addRun(set, parse(line), fileName + ':' + std::to_string(number));
    }
}

tl::expected<RunSet, ReportError> readRuns(const std::string &path)
{
    const auto files = filesOf(path);
    if (!files)
        return tl::unexpected(files.error());
    RunSet set;
    for (const fs::path &file : *files) {
        std::ifstream stream(file, std::ios::binary);
        std::ostringstream text;
        // An empty file sets the fail bit of the target, so only the source is checked.
        text << stream.rdbuf();
        if (!stream.is_open() || stream.bad())
            return tl::unexpected(
                ReportError{ReportErrorCode::NotReadable, file.string(), "cannot be read"});
        addRuns(set, text.str(), file.filename().string());
    }
    if (set.runs.empty()) {
        std::string detail = "holds no usable line";
        if (!set.notes.empty())
            detail += "; first: " + set.notes.front().source + " " + set.notes.front().detail;
        return tl::unexpected(ReportError{ReportErrorCode::NoRuns, path, detail});
    }
    return set;
}

} // namespace Medlar::Report
