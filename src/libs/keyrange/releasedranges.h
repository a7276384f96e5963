#pragma once

#include "rangetable.h"

#include <vector>

namespace Medlar::KeyRange {

/*! Ranges that a BackendServer has released, each with the epoch under which it had held them. */
class ReleasedRanges
{
public:
    // Commands

    void add(const Range &range, Epoch epoch);
    /*! Forgets the ranges whose rows have another epoch in \a table. */
    void onTable(const RangeTable &table);

    // Queries

    /*! Whether a key of \a row was released under the epoch of the row. */
    bool overlap(const RangeRow &row) const;
    /*! Whether all keys of \a row were released under the epoch of the row. */
    bool cover(const RangeRow &row) const;

private:
    struct Release
    {
        Range range;
        Epoch epoch = 0;
    };

    std::vector<Release> m_releases;
};

} // namespace Medlar::KeyRange
