#include "rangeplanner.h"

#include <algorithm>

namespace Medlar::KeyRange {

namespace {

struct NodeState
{
    RangeNode node;
    double load = 0.0; //!< busy slots once all moves have ended
    std::size_t ranges = 0;

    double utilization() const { return load / std::max(node.slots, 1.0); }
};

/*! Load of a range, from the pieces that lie in it. */
double loadOf(const Range &range, const std::vector<RangeLoad> &loads)
{
    double sum = 0.0;
    for (const RangeLoad &piece : loads) {
        if (!range.overlaps(piece.range))
            continue;
        const Key first = std::max(range.first, piece.range.first);
        const Key last = std::min(range.last, piece.range.last);
        sum += piece.busySlots * (last - first + 1) / piece.range.size();
    }
    return sum;
}

} // namespace

struct RangePlanner::Draft
{
    std::vector<RangeRow> rows;
    const std::vector<RangeLoad> &loads;
    std::map<std::string, NodeState> nodes;
    std::size_t moves = 0;
    bool isChanged = false;

    const RangeNode *node(const std::string &id) const
    {
        const auto found = nodes.find(id);
        return found == nodes.end() ? nullptr : &found->second.node;
    }
    bool takesRanges(const std::string &id) const
    {
        const RangeNode *const found = node(id);
        return found && found->takesRanges;
    }
    double slowness(const std::string &id) const
    {
        const RangeNode *const found = node(id);
        return found ? found->slowness : 1.0;
    }
    void account(const RangeRow &row, double sign)
    {
        const std::string &id = row.successor.empty() ? row.owner : row.successor;
        const auto found = nodes.find(id);
        if (found == nodes.end())
            return;
        const double load
            = loadOf(row.range, loads) * slowness(id) / std::max(0.1, slowness(row.owner));
        found->second.load += sign * load;
        found->second.ranges += sign > 0 ? 1 : -1;
    }
    NodeState *least(std::size_t maxRanges)
    {
        NodeState *best = nullptr;
        for (auto &[id, state] : nodes) {
            if (state.node.takesRanges && state.ranges < maxRanges
                && (!best || state.utilization() < best->utilization()
                    || (state.utilization() == best->utilization() && state.ranges < best->ranges)))
                best = &state;
        }
        return best;
    }
    void setSuccessor(std::size_t index, const std::string &successor)
    {
        account(rows[index], -1.0);
        rows[index].successor = successor == rows[index].owner ? std::string() : successor;
        account(rows[index], 1.0);
        isChanged = true;
    }
};

std::optional<RangeTable> RangePlanner::firstTable(const std::vector<RangeNode> &nodes) const
{
    std::vector<std::string> owners;
    for (const RangeNode &node : nodes) {
        if (node.takesRanges)
            owners.push_back(node.id);
    }
    if (owners.empty())
        return std::nullopt;
    std::sort(owners.begin(), owners.end());
    const std::size_t count = owners.size() * m_settings.firstRangesPerNode;
    std::vector<RangeRow> rows;
    for (std::size_t i = 0; i < count; ++i) {
        const auto first = static_cast<Key>((LastKey + 1) * i / count);
        const auto last = static_cast<Key>((LastKey + 1) * (i + 1) / count - 1);
        rows.push_back({{first, last}, owners[i % owners.size()], 1, {}, {}});
    }
    auto table = RangeTable::create(std::move(rows), 1);
    return table ? std::optional<RangeTable>(std::move(*table)) : std::nullopt;
}

std::optional<RangeTable> RangePlanner::plan(const RangeTable &table,
                                             const std::vector<RangeNode> &nodes,
                                             const std::vector<RangeLoad> &loads) const
{
    Draft draft{table.rows(), loads, {}, 0, false};
    for (const RangeNode &node : nodes)
        draft.nodes[node.id] = {node, 0.0, 0};
    for (const RangeRow &row : draft.rows)
        draft.account(row, 1.0);

    replaceLostSuccessors(draft);
    emptyLeavingNodes(draft);
    for (const RangeRow &row : draft.rows)
        draft.moves += row.successor.empty() ? 0 : 1;
    balance(draft);
    if (!draft.isChanged)
        return std::nullopt;
    auto result = RangeTable::create(std::move(draft.rows), table.lastEpoch());
    return result ? std::optional<RangeTable>(std::move(*result)) : std::nullopt;
}

void RangePlanner::replaceLostSuccessors(Draft &draft) const
{
    for (std::size_t i = 0; i < draft.rows.size(); ++i) {
        const RangeRow &row = draft.rows[i];
        if (row.successor.empty() || draft.takesRanges(row.successor))
            continue;
        // The owner keeps what it may keep; otherwise emptyLeavingNodes() finds another successor.
        if (draft.takesRanges(row.owner))
            draft.setSuccessor(i, row.owner);
        else if (NodeState *const target = draft.least(m_settings.maxRangesPerNode))
            draft.setSuccessor(i, target->node.id);
    }
}

void RangePlanner::emptyLeavingNodes(Draft &draft) const
{
    for (std::size_t i = 0; i < draft.rows.size(); ++i) {
        const RangeRow &row = draft.rows[i];
        const RangeNode *const owner = draft.node(row.owner);
        const bool mustMove = !owner || owner->mustGiveRanges;
        if (!mustMove || !row.successor.empty())
            continue;
        if (NodeState *const target = draft.least(LastKey))
            draft.setSuccessor(i, target->node.id);
    }
}

void RangePlanner::balance(Draft &draft) const
{
    while (draft.moves < m_settings.maxMoves && moveOne(draft))
        ++draft.moves;
}

// Moves the piece of the busiest node that comes nearest to evening out both nodes; among similar
// ones that with the fewest keys.
bool RangePlanner::moveOne(Draft &draft) const
{
    NodeState *const target = draft.least(m_settings.maxRangesPerNode);
    NodeState *source = nullptr;
    double capacity = 0.0;
    double load = 0.0;
    for (auto &[id, state] : draft.nodes) {
        load += state.load;
        if (!state.node.takesRanges)
            continue;
        capacity += state.node.slots;
        if (!source || state.utilization() > source->utilization())
            source = &state;
    }
    if (!source || !target || source == target || capacity <= 0.0)
        return false;
    const double mean = load / capacity;
    const double excess = source->utilization() - mean;
    if (excess < m_settings.minExcess
        || source->utilization() < mean * (1.0 + m_settings.imbalance))
        return false;

    const double gap = source->utilization() - target->utilization();
    const double wanted = std::min(excess * source->node.slots, gap * source->node.slots / 2);
    const Range *best = nullptr;
    double bestScore = 0.0;
    for (const RangeLoad &piece : draft.loads) {
        const auto row = std::find_if(draft.rows.begin(), draft.rows.end(), [&](const RangeRow &r) {
            return r.range.contains(piece.range);
        });
        if (row == draft.rows.end() || row->owner != source->node.id || !row->successor.empty())
            continue;
        const double relief = std::min(piece.busySlots, 2 * wanted - piece.busySlots);
        // Keys that move are priced and may have to warm up, so load for each key counts.
        const double score = relief / (1.0 + piece.range.size() / 2048.0);
        if (relief > wanted * 0.1 && score > bestScore) {
            best = &piece.range;
            bestScore = score;
        }
    }
    if (!best)
        return false;
    const auto row = std::find_if(draft.rows.begin(), draft.rows.end(),
                                  [&](const RangeRow &r) { return r.range.contains(*best); });
    draft.account(*row, -1.0);
    const Range whole = row->range;
    const std::size_t index = isolate(draft.rows, *best);
    for (const RangeRow &part : draft.rows) {
        if (whole.contains(part.range))
            draft.account(part, 1.0);
    }
    draft.setSuccessor(index, target->node.id);
    return true;
}

} // namespace Medlar::KeyRange
