#include "comparison.h"

#include <algorithm>
#include <cmath>

namespace Medlar::Report {

std::optional<double> FigureChange::difference() const
{
    if (!now || !earlier)
        return {};
    return now->median - earlier->median;
}

std::optional<double> FigureChange::percent() const
{
    const auto change = difference();
    if (!change || earlier->median == 0)
        return {};
    return 100 * *change / std::fabs(earlier->median);
}

std::vector<FigureChange> compare(const RunGroup &now, const RunGroup *earlier)
{
    std::map<FigureKey, FigureChange> changes;
    for (const auto &[key, spread] : spreadsOf(now))
        changes[key].now = spread;
    if (earlier != nullptr) {
        for (const auto &[key, spread] : spreadsOf(*earlier))
            changes[key].earlier = spread;
    }
    std::vector<FigureChange> result;
    result.reserve(changes.size());
    for (auto &[key, change] : changes) {
        change.key = key;
        result.push_back(change);
    }
    return result;
}

const RunGroup *findGroup(const std::vector<RunGroup> &groups, const RunGroup &group)
{
    const auto found = std::find_if(groups.begin(), groups.end(), [&](const RunGroup &each) {
        return each.experiment == group.experiment && each.settings == group.settings;
    });
    return found == groups.end() ? nullptr : &*found;
}

} // namespace Medlar::Report
