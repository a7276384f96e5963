#pragma once

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Medlar::KeyRange {

using Key = std::uint32_t;
constexpr Key LastKey = 65535;

/*! Grows with every change of an owner, over all ranges of a service. */
using Epoch = std::uint64_t;

/*! Passed on by a BackendServer that released keys to the one that takes them; may be empty. */
using HandoverToken = std::string;

/*! Keys from \a first to \a last, both included. */
struct Range
{
    Key first = 0;
    Key last = 0;

    bool contains(Key key) const { return first <= key && key <= last; }
    bool contains(const Range &other) const { return first <= other.first && other.last <= last; }
    bool overlaps(const Range &other) const { return first <= other.last && other.first <= last; }
    std::uint32_t size() const { return last - first + 1; }
};

/*! The parts of \a range that none of \a others contains. */
std::vector<Range> subtracted(const Range &range, const std::vector<Range> &others);

inline bool operator==(const Range &a, const Range &b)
{
    return a.first == b.first && a.last == b.last;
}

/*! Who owns a range. Nodes are named with their address, since an address may change hands. */
struct RangeRow
{
    Range range;
    std::string owner;
    Epoch epoch = 0;
    std::string successor;  //!< to which the owner must hand the range over; empty: none
    HandoverToken handover; //!< of the former owner
};

inline bool operator==(const RangeRow &a, const RangeRow &b)
{
    return a.range == b.range && a.owner == b.owner && a.epoch == b.epoch
           && a.successor == b.successor && a.handover == b.handover;
}

/*! A table that cannot be used. */
struct RangeTableError
{
    std::string detail;
};

/*! The owners of all keys of one service, as they are recorded in the store. */
class RangeTable
{
public:
    /*! Fails unless \a rows cover all keys exactly once, in order, with epochs up to \a lastEpoch.
     */
    static tl::expected<RangeTable, RangeTableError> create(std::vector<RangeRow> rows,
                                                            Epoch lastEpoch);
    static tl::expected<RangeTable, RangeTableError> parse(std::string_view json);
    std::string toJson() const;

    /*! What has to be known beside \a former to get this table, as JSON. */
    std::string deltaFrom(const RangeTable &former) const;
    /*! The table that \a delta makes of this one. Fails if they do not belong together. */
    tl::expected<RangeTable, RangeTableError> patched(std::string_view delta) const;

    /*! The rows of a \a delta that deltaFrom() made. */
    static tl::expected<std::vector<RangeRow>, RangeTableError> changedRows(std::string_view delta);
    /*! This table with \a changed rows, each of them a part of a row or a whole one. */
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

/*! Divides the row that contains \a range so that \a range has a row of its own; returns its index.
    \a range must lie within one row. */
std::size_t isolate(std::vector<RangeRow> &rows, const Range &range);

} // namespace Medlar::KeyRange
