#pragma once

#include "rangetable.h"

#include <optional>
#include <string>
#include <vector>

namespace Medlar::KeyRange {

/*! A table change that a node derived from \a version of the table. */
struct RangeChange
{
    std::uint64_t version = 0;
    std::string delta; //!< see RangeTable::deltaFrom()
};

/*!
    Collects the table changes of all nodes of a service, so that one node writes them together.
   Only one of several concurrent conditional writes succeeds: when forty owners released ranges at
   the same time and each wrote the table itself, the last one needed forty attempts.

   A node decides on a change based on the affected rows and on the ranges that its own
   BackendServer holds. The decision remains valid until another node changes these rows, so a
   change is applied to a later table only if its rows were the same in every version since.
   Comparing the first and the last version is not enough: the move of a range may have been
   cancelled and planned again in between, and its owner may have granted the range meanwhile.
*/
class RangeChanges
{
public:
    /*! \a checksRows is false only in tests that show the need for the check. */
    explicit RangeChanges(bool checksRows = true) : m_checksRows(checksRows) {}

    /*! Records which rows \a version of the table changed. \a former is the version immediately
       before it, or nullptr if versions in between may have been missed. */
    void onTable(std::uint64_t version, const RangeTable *former, const RangeTable &table);
    void add(RangeChange change);
    /*! Returns \a table with all changes that are still valid, or nothing if there are none.
       \a version is the version of \a table in the store. Drops changes that are no longer valid.
     */
    std::optional<RangeTable> applied(const RangeTable &table, std::uint64_t version);
    std::size_t pendingCount() const { return m_pending.size(); }

private:
    struct ChangedRange
    {
        Range range;
        std::uint64_t version = 0;
    };

    bool areRowsUnchanged(const RangeChange &change, const std::vector<RangeRow> &rows) const;

    bool m_checksRows = true;
    std::vector<RangeChange> m_pending;
    std::vector<ChangedRange> m_changedRanges; //!< since m_historyStart, oldest first
    std::uint64_t m_historyStart = 0;          //!< changes after this version are recorded
};

} // namespace Medlar::KeyRange
