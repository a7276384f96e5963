#include "rangetable.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Medlar::KeyRange {

using nlohmann::json;

namespace {

tl::unexpected<RangeTableError> failure(std::string detail)
{
    return tl::unexpected(RangeTableError{std::move(detail)});
}

json toJsonRow(const RangeRow &row)
{
    json result = {row.range.first, row.range.last, row.owner, row.epoch};
    if (!row.successor.empty() || !row.handover.empty()) {
        result.push_back(row.successor);
        result.push_back(row.handover);
    }
    return result;
}

/*! The row of \a key among \a rows that cover all keys. */
std::vector<RangeRow>::const_iterator rowOf(const std::vector<RangeRow> &rows, Key key)
{
    return std::prev(
        std::upper_bound(rows.begin(), rows.end(), key, [](Key searchKey, const RangeRow &row) {
            return searchKey < row.range.first;
        }));
}

bool isKey(const json &value)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= LastKey;
}

bool parseRow(const json &value, RangeRow &row)
{
    constexpr std::size_t ShortRow = 4;
    constexpr std::size_t LongRow = 6;
    if (!value.is_array() || (value.size() != ShortRow && value.size() != LongRow)
        || !isKey(value[0]) || !isKey(value[1]) || !value[2].is_string()
        || !value[3].is_number_unsigned())
        return false;
    row.range = {value[0].get<Key>(), value[1].get<Key>()};
    row.owner = value[2].get<std::string>();
    row.epoch = value[3].get<Epoch>();
    if (value.size() == ShortRow)
        return true;
    if (!value[4].is_string() || !value[5].is_string())
        return false;
    row.successor = value[4].get<std::string>();
    row.handover = value[5].get<std::string>();
    return true;
}

} // namespace

RangeTable::RangeTable(std::vector<RangeRow> rows, Epoch lastEpoch)
    : m_rows(std::move(rows)), m_lastEpoch(lastEpoch)
{}

tl::expected<RangeTable, RangeTableError> RangeTable::create(std::vector<RangeRow> rows,
                                                             Epoch lastEpoch)
{
    Key next = 0;
    for (const RangeRow &row : rows) {
        if (row.range.first != next || row.range.last < row.range.first || row.range.last > LastKey)
            return failure("invalid range, overlap or gap at key " + std::to_string(next));
        if (row.owner.empty())
            return failure("range starting at key " + std::to_string(next) + " has no owner");
        if (row.epoch == 0 || row.epoch > lastEpoch)
            return failure("range starting at key " + std::to_string(next)
                           + " has epoch 0 or an epoch above the last one");
        next = row.range.last + 1;
    }
    if (next != LastKey + 1)
        return failure("ranges do not cover all keys: first uncovered key is "
                       + std::to_string(next));
    return RangeTable(std::move(rows), lastEpoch);
}

tl::expected<RangeTable, RangeTableError> RangeTable::parse(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("epoch") || !value.contains("rows")
        || !value["epoch"].is_number_unsigned() || !value["rows"].is_array())
        return failure("invalid range table: expected a JSON object with epoch and rows");
    std::vector<RangeRow> rows(value["rows"].size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        if (!parseRow(value["rows"][i], rows[i]))
            return failure("row " + std::to_string(i) + " of the range table is malformed");
    }
    return create(std::move(rows), value["epoch"].get<Epoch>());
}

std::string RangeTable::toJson() const
{
    json rows = json::array();
    for (const RangeRow &row : m_rows)
        rows.push_back(toJsonRow(row));
    return json{{"epoch", m_lastEpoch}, {"rows", std::move(rows)}}.dump();
}

std::string RangeTable::deltaFrom(const RangeTable &previous) const
{
    json rows = json::array();
    for (const RangeRow &row : m_rows) {
        if (!(previous.row(row.range.first) == row))
            rows.push_back(toJsonRow(row));
    }
    return json{{"epoch", m_lastEpoch}, {"rows", std::move(rows)}}.dump();
}

namespace {

struct Delta
{
    std::vector<RangeRow> rows;
    Epoch lastEpoch = 0;
};

tl::expected<Delta, RangeTableError> parseDelta(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("epoch") || !value.contains("rows")
        || !value["epoch"].is_number_unsigned() || !value["rows"].is_array())
        return failure("invalid range table delta: expected a JSON object with epoch and rows");
    Delta delta{std::vector<RangeRow>(value["rows"].size()), value["epoch"].get<Epoch>()};
    for (std::size_t i = 0; i < delta.rows.size(); ++i) {
        if (!parseRow(value["rows"][i], delta.rows[i]))
            return failure("malformed row in range table delta");
    }
    return delta;
}

} // namespace

tl::expected<std::vector<RangeRow>, RangeTableError> RangeTable::changedRows(std::string_view delta)
{
    auto parsed = parseDelta(delta);
    if (!parsed)
        return tl::unexpected(parsed.error());
    return std::move(parsed->rows);
}

bool replaceParts(std::vector<RangeRow> &rows, const std::vector<RangeRow> &parts)
{
    Key next = 0;
    for (const RangeRow &part : parts) {
        const bool isSorted = part.range.first >= next && part.range.first <= part.range.last;
        if (!isSorted || part.range.last > LastKey || part.owner.empty()
            || !rowOf(rows, part.range.first)->range.contains(part.range))
            return false;
        next = part.range.last + 1;
    }
    for (const RangeRow &part : parts)
        rows[isolate(rows, part.range)] = part;
    return true;
}

tl::expected<RangeTable, RangeTableError> RangeTable::withRows(const std::vector<RangeRow> &changed,
                                                               Epoch lastEpoch) const
{
    std::vector<RangeRow> rows = m_rows;
    if (!replaceParts(rows, changed))
        return failure("changed rows are not sorted, or one does not lie within an existing row");
    return create(std::move(rows), lastEpoch);
}

tl::expected<RangeTable, RangeTableError> RangeTable::patched(std::string_view delta) const
{
    const auto parsed = parseDelta(delta);
    if (!parsed)
        return tl::unexpected(parsed.error());
    return withRows(parsed->rows, parsed->lastEpoch);
}

const RangeRow &RangeTable::row(Key key) const
{
    return *rowOf(m_rows, key);
}

Range intersection(const Range &a, const Range &b)
{
    return {std::max(a.first, b.first), std::min(a.last, b.last)};
}

std::vector<Range> subtracted(const Range &range, const std::vector<Range> &others)
{
    std::vector<Range> remaining{range};
    for (const Range &other : others) {
        std::vector<Range> next;
        for (const Range &part : remaining) {
            if (!part.overlaps(other)) {
                next.push_back(part);
                continue;
            }
            if (part.first < other.first)
                next.push_back({part.first, other.first - 1});
            if (other.last < part.last)
                next.push_back({other.last + 1, part.last});
        }
        remaining = std::move(next);
    }
    return remaining;
}

std::size_t isolate(std::vector<RangeRow> &rows, const Range &range)
{
    auto index = static_cast<std::size_t>(rowOf(rows, range.first) - rows.begin());
    const RangeRow original = rows[index];
    const auto insertCopyAfter = [&rows, &original](std::size_t position) {
        rows.insert(rows.begin() + static_cast<std::ptrdiff_t>(position) + 1, original);
    };
    if (original.range.last > range.last) {
        insertCopyAfter(index);
        rows[index].range.last = range.last;
        rows[index + 1].range.first = range.last + 1;
    }
    if (original.range.first < range.first) {
        const RangeRow part = rows[index];
        rows.insert(rows.begin() + static_cast<std::ptrdiff_t>(index), part);
        rows[index].range.last = range.first - 1;
        ++index;
        rows[index].range.first = range.first;
    }
    return index;
}

} // namespace Medlar::KeyRange
