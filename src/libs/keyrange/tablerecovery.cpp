#include "tablerecovery.h"

#include <algorithm>
#include <utility>

namespace Medlar::KeyRange {

namespace {

/*! \a rows are those of a valid table, and \a lastEpoch is not below theirs. */
RangeTable tableOf(std::vector<RangeRow> rows, Epoch lastEpoch)
{
    return std::move(*RangeTable::create(std::move(rows), lastEpoch));
}

bool areConfirmed(const RangeRow &row, const TableRecovery::Nodes &nodes)
{
    // The owner may have asked for the change of owner without learning that it was made. Only the
    // successor knows whether it was.
    return nodes.confirming.count(row.owner) != 0
           && (row.successor.empty() || nodes.confirming.count(row.successor) != 0);
}

/*! The node that is to take the row over; empty if the planner has to choose one. */
std::string nextOwner(const RangeRow &row, const TableRecovery::Nodes &nodes)
{
    for (const std::string &node : {row.successor, row.owner}) {
        if (nodes.taking.count(node) != 0)
            return node;
    }
    return {};
}

} // namespace

void TableRecovery::start(Base::TimePoint now, Epoch firstEpoch)
{
    // After a second restore, what was stated after the first one still holds: tables that were
    // ignored since must not be adopted now.
    if (!m_startedAt)
        m_settledAt = now + SettlingTime;
    m_startedAt = now;
    m_firstEpoch = firstEpoch;
    m_isRestoredRead = false;
    m_restoredVersion = 0;
    m_restored.reset();
    m_formerVersion = 0;
    m_former.reset();
}

void TableRecovery::onRestoredTable(TableVersion version, std::optional<RangeTable> table)
{
    m_isRestoredRead = true;
    m_restoredVersion = version;
    m_restored = std::move(table);
}

void TableRecovery::onFormerTable(TableVersion version, const RangeTable &table)
{
    if (m_former && version <= m_formerVersion)
        return;
    m_formerVersion = version;
    m_former = table;
}

bool TableRecovery::mayComplete(const RangeTable &former, const Nodes &nodes) const
{
    const auto isHeard = [&nodes](const std::string &id) {
        return nodes.linked.count(id) == 0 || nodes.confirming.count(id) != 0;
    };
    return std::all_of(former.rows().begin(), former.rows().end(), [&](const RangeRow &row) {
        return isHeard(row.owner) && (row.successor.empty() || isHeard(row.successor));
    });
}

std::optional<TableRecovery::Replacement> TableRecovery::replacement(Base::TimePoint now,
                                                                     const Nodes &nodes) const
{
    if (!isSettled(now) || !m_isRestoredRead || (!m_former && !m_restored))
        return std::nullopt;
    const RangeTable &latest = m_former ? *m_former : *m_restored;
    const bool hasWaited = now >= *m_startedAt + StatementTimeout;
    if (!hasWaited && !(m_former && mayComplete(latest, nodes)))
        return std::nullopt;
    std::vector<RangeRow> rows;
    for (const RangeRow &row : latest.rows()) {
        if (m_former && areConfirmed(row, nodes)) {
            rows.push_back(row);
            continue;
        }
        rows.push_back({row.range, UnknownOwner, m_firstEpoch, nextOwner(row, nodes), {}});
    }
    const Epoch lastEpoch = std::max(latest.lastEpoch(), m_firstEpoch);
    return Replacement{m_restoredVersion, tableOf(std::move(rows), lastEpoch)};
}

bool isOfEra(const RangeTable &table, Epoch firstEpoch)
{
    return table.lastEpoch() >= firstEpoch;
}

RangeTable markedForEra(const RangeTable &table, Epoch firstEpoch)
{
    return tableOf(table.rows(), std::max(table.lastEpoch(), firstEpoch));
}

RangeTable raisedToEra(const RangeTable &table, Epoch firstEpoch)
{
    std::vector<RangeRow> rows = table.rows();
    for (RangeRow &row : rows)
        row.epoch = std::max(row.epoch, firstEpoch);
    return tableOf(std::move(rows), std::max(table.lastEpoch(), firstEpoch));
}

} // namespace Medlar::KeyRange
