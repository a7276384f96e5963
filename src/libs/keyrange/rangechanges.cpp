#include "rangechanges.h"

#include <algorithm>

namespace Medlar::KeyRange {

namespace {

// Changes are written within a second, in which a table changes fewer than a hundred times.
constexpr std::size_t MaxChangedRanges = 4096;
// A node requests the changes of all its rows at once; the limit is several times the number of
// nodes of a service.
constexpr std::size_t MaxPendingChanges = 1024;

} // namespace

void RangeChanges::onTable(std::uint64_t version, const RangeTable *former, const RangeTable &table)
{
    if (!former) {
        m_changedRanges.clear();
        m_historyStart = version;
        return;
    }
    for (const RangeRow &row : table.rows()) {
        if (!(former->row(row.range.first) == row))
            m_changedRanges.push_back({row.range, version});
    }
    if (m_changedRanges.size() <= MaxChangedRanges)
        return;
    const auto half
        = m_changedRanges.begin() + static_cast<std::ptrdiff_t>(m_changedRanges.size() / 2);
    m_historyStart = half->version;
    m_changedRanges.erase(m_changedRanges.begin(), half);
}

void RangeChanges::add(RangeChange change)
{
    // Changes above the limit are not lost: the requesting node writes a change itself if it is not
    // made in time.
    if (m_pending.size() < MaxPendingChanges)
        m_pending.push_back(std::move(change));
}

bool RangeChanges::areRowsUnchanged(const RangeChange &change,
                                    const std::vector<RangeRow> &rows) const
{
    if (change.version < m_historyStart)
        return false;
    const auto firstLater
        = std::upper_bound(m_changedRanges.begin(), m_changedRanges.end(), change.version,
                           [](std::uint64_t version, const ChangedRange &changed) {
                               return version < changed.version;
                           });
    return std::none_of(firstLater, m_changedRanges.end(), [&rows](const ChangedRange &changed) {
        return std::any_of(rows.begin(), rows.end(), [&changed](const RangeRow &row) {
            return row.range.overlaps(changed.range);
        });
    });
}

std::optional<RangeTable> RangeChanges::applied(const RangeTable &table, std::uint64_t version)
{
    const Epoch next = table.lastEpoch() + 1;
    // All changes are made to one copy, since a copy for each of them would hold up the event loop.
    std::vector<RangeRow> result = table.rows();
    bool isChanged = false;
    std::vector<RangeChange> kept;
    for (RangeChange &change : m_pending) {
        if (change.version > version) {
            kept.push_back(std::move(change));
            continue;
        }
        auto rows = RangeTable::changedRows(change.delta);
        if (!rows || rows->empty() || (m_checksRows && !areRowsUnchanged(change, *rows)))
            continue;
        for (RangeRow &row : *rows)
            row.epoch = next;
        if (!replaceParts(result, *rows))
            continue;
        isChanged = true;
        kept.push_back(std::move(change));
    }
    m_pending = std::move(kept);
    if (!isChanged)
        return std::nullopt;
    auto changed = RangeTable::create(std::move(result), next);
    return changed ? std::optional<RangeTable>(std::move(*changed)) : std::nullopt;
}

} // namespace Medlar::KeyRange
