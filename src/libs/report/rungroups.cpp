#include "rungroups.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace Medlar::Report {

namespace {

// Flags that do not change what is measured.
const std::set<std::string> &ignoredFlags()
{
    static const std::set<std::string> all{"seed", "log_dir", "bin_dir", "max_seconds"};
    return all;
}

FigureSpread spreadOf(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    const double median
        = values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    return {values.front(), median, values.back(), values.size()};
}

} // namespace

std::string settingsOf(const Run &run)
{
    std::istringstream stream(run.command);
    std::vector<std::string> words;
    for (std::string word; stream >> word;)
        words.push_back(word);
    // A run that states its nodes is compared by them, so the flag may differ.
    const bool statesNodes = run.fields.contains("nodes");
    std::set<std::string> settings;
    for (std::size_t i = 1; i < words.size(); ++i) {
        const std::size_t begin = words[i].find_first_not_of('-');
        if (begin == 0 || begin == std::string::npos)
            continue;
        std::string flag = words[i].substr(begin);
        const bool valueFollows = flag.find('=') == std::string::npos && i + 1 < words.size()
                                  && words[i + 1].front() != '-' && words[i + 1] != run.experiment;
        if (valueFollows)
            flag += '=' + words[++i];
        const std::string name = flag.substr(0, flag.find('='));
        if (ignoredFlags().count(name) == 0 && !(statesNodes && name == "nodes"))
            settings.insert("--" + flag);
    }
    std::string text;
    for (const std::string &setting : settings)
        text += (text.empty() ? "" : " ") + setting;
    return text;
}

std::vector<RunGroup> groupRuns(const std::vector<Run> &runs)
{
    std::map<std::pair<std::string, std::string>, RunGroup> groups;
    for (const Run &run : runs) {
        const std::string settings = settingsOf(run);
        RunGroup &group = groups[{run.experiment, settings}];
        group.experiment = run.experiment;
        group.settings = settings;
        group.runs.push_back(run);
    }
    std::vector<RunGroup> result;
    result.reserve(groups.size());
    for (auto &[key, group] : groups)
        result.push_back(std::move(group));
    return result;
}

std::map<FigureKey, FigureSpread> spreadsOf(const RunGroup &group)
{
    std::map<FigureKey, std::vector<double>> values;
    for (const Run &run : group.runs) {
        for (const auto &[key, value] : figuresOf(run.fields))
            values[key].push_back(value);
    }
    std::map<FigureKey, FigureSpread> spreads;
    for (const auto &[key, each] : values)
        spreads[key] = spreadOf(each);
    return spreads;
}

} // namespace Medlar::Report
