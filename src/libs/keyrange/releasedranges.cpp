#include "releasedranges.h"

#include <algorithm>

namespace Medlar::KeyRange {

void ReleasedRanges::add(const Range &range, Epoch epoch)
{
    const bool isKnown = std::any_of(
        m_releases.begin(), m_releases.end(), [&range, epoch](const Release &release) {
            return release.epoch == epoch && release.range.contains(range);
        });
    if (!isKnown)
        m_releases.push_back({range, epoch});
}

void ReleasedRanges::onTable(const RangeTable &table)
{
    const auto isObsolete = [&table](const Release &release) {
        return std::none_of(
            table.rows().begin(), table.rows().end(), [&release](const RangeRow &row) {
                return row.epoch == release.epoch && row.range.overlaps(release.range);
            });
    };
    m_releases.erase(std::remove_if(m_releases.begin(), m_releases.end(), isObsolete),
                     m_releases.end());
}

bool ReleasedRanges::overlap(const RangeRow &row) const
{
    return std::any_of(m_releases.begin(), m_releases.end(), [&row](const Release &release) {
        return release.epoch == row.epoch && release.range.overlaps(row.range);
    });
}

bool ReleasedRanges::cover(const RangeRow &row) const
{
    std::vector<Range> released;
    for (const Release &release : m_releases) {
        if (release.epoch == row.epoch)
            released.push_back(release.range);
    }
    return subtracted(row.range, released).empty();
}

} // namespace Medlar::KeyRange
