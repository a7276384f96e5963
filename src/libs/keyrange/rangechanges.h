#pragma once

#include "rangetable.h"

#include <optional>
#include <string>
#include <vector>

namespace Medlar::KeyRange {

/*! A change that a node decided on when it knew the table in \a version. */
struct RangeChange
{
    std::uint64_t version = 0;
    std::string delta; //!< see RangeTable::deltaFrom()
};

/*!
    Collects the changes of all nodes of a service for the one that writes them. Answers the load
   pattern "many owners let go of ranges at the same time": of conditional writes that are made at
   once only one succeeds, so the last of forty owners had to try forty times.

   A node decides on a change from the rows that it changes and from what its own BackendServer
   holds. It stands by that for as long as nobody else changes these rows. So a change is applied to
   a later table only if its rows have been the same in every version since; a row that was taken
   back and given away again meanwhile looks the same and is not.
*/
class RangeChanges
{
public:
    /*! \a checksRows is false in tests of this rule only. */
    explicit RangeChanges(bool checksRows = true) : m_checksRows(checksRows) {}

    /*! \a version of the table is known. \a former is the version before it, without any other in
       between; nullptr if that is not certain. */
    void onTable(std::uint64_t version, const RangeTable *former, const RangeTable &table);
    void add(RangeChange change);
    /*! \a table with the changes that may still be made, or nothing without any. \a version is that
       of the table in the store. Changes that may not be made any more are dropped. */
    std::optional<RangeTable> applied(const RangeTable &table, std::uint64_t version);
    std::size_t pendingCount() const { return m_pending.size(); }

private:
    struct Changed
    {
        Range range;
        std::uint64_t version = 0;
    };

    bool isUntouched(const RangeChange &change, const std::vector<RangeRow> &rows) const;

    bool m_checksRows = true;
    std::vector<RangeChange> m_pending;
    std::vector<Changed> m_changed; //!< since m_knownSince, oldest first
    std::uint64_t m_knownSince = 0; //!< all changes after this version are known
};

} // namespace Medlar::KeyRange
