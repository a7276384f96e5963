#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Medlar::KeyRange {

using Key = std::uint32_t;
constexpr Key LastKey = 65535;

/*! Increases with every change of an owner, across all ranges of a service. The upper bits are the
    era of the store in which it was given out: after the store came back from an earlier copy, no
    epoch is given out again, even if nobody remembers the lost ones. */
using Epoch = std::uint64_t;

/*! Ten changes a second use up the epochs of an era in 13 years. */
constexpr unsigned EpochBitsPerEra = 32;

/*! The first epoch of \a era of the store. 0 for an era that is not known. */
constexpr Epoch firstEpochOf(std::uint64_t era)
{
    return era << EpochBitsPerEra;
}

/*! Version of the range table in the store. */
using TableVersion = std::uint64_t;

/*! Passed from the BackendServer that released keys to the one that takes them over; may be empty.
 */
using HandoverToken = std::string;

/*! Keys from \a first to \a last, both inclusive. */
struct Range
{
    Key first = 0;
    Key last = 0;

    bool contains(Key key) const { return first <= key && key <= last; }
    bool contains(const Range &other) const { return first <= other.first && other.last <= last; }
    bool overlaps(const Range &other) const { return first <= other.last && other.first <= last; }
    std::uint32_t size() const { return last - first + 1; }
};

/*! Returns the keys that are in both ranges, which must overlap. */
Range intersection(const Range &a, const Range &b);

/*! Returns the parts of \a range that are not covered by any of \a others. */
std::vector<Range> subtracted(const Range &range, const std::vector<Range> &others);

inline bool operator==(const Range &a, const Range &b)
{
    return a.first == b.first && a.last == b.last;
}

/*! The owner of a range. The id of a node includes its address, since an address may be reassigned
    to another node. */
struct RangeRow
{
    Range range;
    std::string owner;
    Epoch epoch = 0;
    std::string successor;  //!< node that the owner must hand the range over to; empty if none
    HandoverToken handover; //!< token of the previous owner
};

inline bool operator==(const RangeRow &a, const RangeRow &b)
{
    return a.range == b.range && a.owner == b.owner && a.epoch == b.epoch
           && a.successor == b.successor && a.handover == b.handover;
}

/*! Why a range table or a delta was rejected. */
struct RangeTableError
{
    std::string detail;
};

/*! The owners of all keys of one service, as recorded in the store. */
class RangeTable
{
public:
    /*! Fails unless \a rows are sorted, cover every key exactly once, and each have an owner and an
     * epoch from 1 to \a lastEpoch. */
    static tl::expected<RangeTable, RangeTableError> create(std::vector<RangeRow> rows,
                                                            Epoch lastEpoch);
    static tl::expected<RangeTable, RangeTableError> parse(std::string_view json);
    std::string toJson() const;

    /*! Returns the rows that differ from \a previous, and the last epoch, as JSON; see patched().
     */
    std::string deltaFrom(const RangeTable &previous) const;
    /*! Returns this table with \a delta applied. Fails if \a delta does not fit this table. */
    tl::expected<RangeTable, RangeTableError> patched(std::string_view delta) const;

    /*! Returns the rows in a \a delta created by deltaFrom(). */
    static tl::expected<std::vector<RangeRow>, RangeTableError> changedRows(std::string_view delta);
    /*! Returns this table with \a changed rows. They must be sorted, and each must lie within one
     * existing row. */
    tl::expected<RangeTable, RangeTableError> withRows(const std::vector<RangeRow> &changed,
                                                       Epoch lastEpoch) const;

    const std::vector<RangeRow> &rows() const { return m_rows; }
    const RangeRow &row(Key key) const;
    Epoch lastEpoch() const { return m_lastEpoch; }

private:
    RangeTable(std::vector<RangeRow> rows, Epoch lastEpoch);

    std::vector<RangeRow> m_rows;
    Epoch m_lastEpoch = 0;
};

/*! Splits the row that contains \a range so that \a range has a row of its own; returns the index
   of that row. \a range must lie within one row. */
std::size_t isolate(std::vector<RangeRow> &rows, const Range &range);
/*! Replaces \a parts of \a rows, which cover all keys. Returns false and changes nothing unless the
   parts are sorted, have owners, and each lies within one row. */
bool replaceParts(std::vector<RangeRow> &rows, const std::vector<RangeRow> &parts);

} // namespace Medlar::KeyRange
