#include "rangeplanner.h"

#include <algorithm>
#include <cmath>

namespace Medlar::KeyRange {

namespace {

/*! Loads by range. Pieces that overlap a range are found without looking at all of them, since a
    plan asks for the load of every row. */
class LoadIndex
{
public:
    explicit LoadIndex(const std::vector<RangeLoad> &loads)
    {
        m_pieces.reserve(loads.size());
        for (const RangeLoad &piece : loads)
            m_pieces.push_back({&piece, 0});
        std::sort(m_pieces.begin(), m_pieces.end(), [](const Entry &a, const Entry &b) {
            return a.piece->range.first < b.piece->range.first;
        });
        Key last = 0;
        for (Entry &entry : m_pieces)
            entry.maxLast = last = std::max(last, entry.piece->range.last);
    }

    /*! Load of \a range. A piece that overlaps it in part counts in proportion to the overlap. */
    double loadOf(const Range &range) const
    {
        auto entry = std::upper_bound(
            m_pieces.begin(), m_pieces.end(), range.last,
            [](Key key, const Entry &candidate) { return key < candidate.piece->range.first; });
        double sum = 0.0;
        while (entry != m_pieces.begin() && (--entry)->maxLast >= range.first) {
            const RangeLoad &piece = *entry->piece;
            if (!range.overlaps(piece.range))
                continue;
            const Key first = std::max(range.first, piece.range.first);
            const Key last = std::min(range.last, piece.range.last);
            sum += piece.busySlots * (last - first + 1) / piece.range.size();
        }
        return sum;
    }

private:
    struct Entry
    {
        const RangeLoad *piece = nullptr;
        Key maxLast = 0; //!< highest key of this piece and those before it
    };
    std::vector<Entry> m_pieces; //!< by first key
};

// A range of this many keys needs twice the reduction of utilization of a single key for the
// same score.
constexpr double KeysForHalfScore = 2048.0;
// Utilizations are relative to at least this number of slots.
constexpr double MinSlots = 0.05;

/*! Limits the load of a single key to the slots of the largest node. Requests beyond that are
    declined on every node, so they must not influence the plan. */
void capLoadsOfSingleKeys(std::vector<RangeLoad> &loads, const std::vector<RangeNode> &nodes)
{
    double maxSlots = 1.0;
    for (const RangeNode &node : nodes)
        maxSlots = std::max(maxSlots, node.slots);
    for (RangeLoad &piece : loads) {
        if (piece.range.size() == 1)
            piece.busySlots = std::min(piece.busySlots, maxSlots);
    }
}

} // namespace

/*! Load of a node as it will be after the moves that are planned so far. */
struct RangePlanner::NodeState
{
    RangeNode node;
    double load = 0.0; //!< busy slots after all planned moves
    std::size_t rangeCount = 0;
    /*! Weighted utilization per busy slot, see RangePlanner::serviceTimeExponent(). */
    double weight = 0.0;
    std::vector<const RangeLoad *> pieces; //!< of the ranges that it owns

    double weightedUtilization() const { return load * weight; }
};

/*! The table and the state of the nodes as they will be after the moves that are planned so far. */
struct RangePlanner::Draft
{
    std::vector<RangeRow> rows;
    const LoadIndex &loads;
    std::map<std::string, NodeState> nodes;
    std::vector<const NodeState *> targets; //!< nodes that take ranges
    std::size_t moveCount = 0;
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
    double relativeServiceTime(const std::string &id) const
    {
        const RangeNode *const found = node(id);
        return found ? found->relativeServiceTime : 1.0;
    }
    /*! Adds (\a sign 1) or subtracts (\a sign -1) \a row and its load at the node that holds it
     * after the planned moves. */
    void addToNode(const RangeRow &row, double sign)
    {
        const std::string &id = row.successor.empty() ? row.owner : row.successor;
        const auto found = nodes.find(id);
        if (found == nodes.end())
            return;
        const double load = loads.loadOf(row.range) * relativeServiceTime(id)
                            / std::max(0.1, relativeServiceTime(row.owner));
        found->second.load += sign * load;
        found->second.rangeCount += sign > 0 ? 1 : -1;
    }
    NodeState *leastUtilized(std::size_t maxRanges)
    {
        NodeState *best = nullptr;
        for (auto &[id, state] : nodes) {
            if (state.node.takesRanges && state.rangeCount < maxRanges
                && (!best || state.weightedUtilization() < best->weightedUtilization()
                    || (state.weightedUtilization() == best->weightedUtilization()
                        && state.rangeCount < best->rangeCount)))
                best = &state;
        }
        return best;
    }
    /*! Returns the row that contains all of \a range, or the end if there is none. */
    std::vector<RangeRow>::const_iterator rowOf(const Range &range) const
    {
        const auto upper = std::upper_bound(
            rows.begin(), rows.end(), range.first,
            [](Key searchKey, const RangeRow &row) { return searchKey < row.range.first; });
        const auto row = std::prev(upper);
        return row->range.contains(range) ? row : rows.end();
    }
    void setSuccessor(std::size_t index, const std::string &successor)
    {
        addToNode(rows[index], -1.0);
        rows[index].successor = successor == rows[index].owner ? std::string() : successor;
        addToNode(rows[index], 1.0);
        isChanged = true;
    }
};

std::optional<RangeTable> RangePlanner::initialTable(Base::Duration sinceStart,
                                                     const std::vector<RangeNode> &nodes) const
{
    const bool areNodesStarting = std::any_of(
        nodes.begin(), nodes.end(), [](const RangeNode &node) { return node.isStarting; });
    const Base::Duration delay
        = areNodesStarting ? m_settings.maxInitialTableDelay : m_settings.minInitialTableDelay;
    return sinceStart < delay ? std::nullopt : initialTable(nodes);
}

std::optional<RangeTable> RangePlanner::initialTable(const std::vector<RangeNode> &nodes) const
{
    std::vector<std::string> owners;
    for (const RangeNode &node : nodes) {
        if (node.takesRanges)
            owners.push_back(node.id);
    }
    if (owners.empty())
        return std::nullopt;
    std::sort(owners.begin(), owners.end());
    const std::size_t count = owners.size() * m_settings.initialRangesPerNode;
    std::vector<RangeRow> rows;
    for (std::size_t i = 0; i < count; ++i) {
        const auto first = static_cast<Key>((LastKey + 1) * i / count);
        const auto last = static_cast<Key>((LastKey + 1) * (i + 1) / count - 1);
        rows.push_back({{first, last}, owners[i % owners.size()], 1, {}, {}});
    }
    auto table = RangeTable::create(std::move(rows), 1);
    return table ? std::optional<RangeTable>(std::move(*table)) : std::nullopt;
}

std::vector<RangeLoad> RangePlanner::withLoadsOfRecentMoves(Base::TimePoint now,
                                                            const std::vector<RangeLoad> &loads)
{
    m_recentMoves.erase(
        std::remove_if(m_recentMoves.begin(), m_recentMoves.end(),
                       [now](const RecentMove &entry) { return entry.until <= now; }),
        m_recentMoves.end());
    std::vector<RangeLoad> result;
    for (const RangeLoad &load : loads) {
        const bool isRecentlyMoved = std::any_of(
            m_recentMoves.begin(), m_recentMoves.end(),
            [&load](const RecentMove &entry) { return entry.load.range.overlaps(load.range); });
        if (!isRecentlyMoved)
            result.push_back(load);
    }
    for (const RecentMove &entry : m_recentMoves)
        result.push_back(entry.load);
    return result;
}

std::optional<RangeTable> RangePlanner::plan(Base::TimePoint now, const RangeTable &table,
                                             const std::vector<RangeNode> &nodes,
                                             const std::vector<RangeLoad> &reported)
{
    std::vector<RangeLoad> loads = withLoadsOfRecentMoves(now, reported);
    capLoadsOfSingleKeys(loads, nodes);
    const LoadIndex index(loads);
    Draft draft{table.rows(), index, {}, {}, 0, false};
    for (const RangeNode &node : nodes)
        draft.nodes[node.id] = {node, 0.0, 0, 0.0, {}};
    for (const RangeRow &row : draft.rows)
        draft.addToNode(row, 1.0);
    prepareNodes(draft, loads);

    replaceLostSuccessors(draft);
    drainLeavingNodes(draft);
    for (const RangeRow &row : draft.rows)
        draft.moveCount += row.successor.empty() ? 0 : 1;
    balance(draft);
    if (!draft.isChanged)
        return std::nullopt;
    for (const RangeRow &row : draft.rows) {
        const RangeRow &previous = table.row(row.range.first);
        if (!row.successor.empty() && previous.successor != row.successor)
            m_recentMoves.push_back(
                {{row.range, index.loadOf(row.range)}, now + m_settings.settlingTime});
    }
    auto result = RangeTable::create(std::move(draft.rows), table.lastEpoch());
    return result ? std::optional<RangeTable>(std::move(*result)) : std::nullopt;
}

// Collects what stays the same while moves are planned.
void RangePlanner::prepareNodes(Draft &draft, const std::vector<RangeLoad> &loads) const
{
    const double exponent = serviceTimeExponent(draft);
    for (auto &[id, state] : draft.nodes) {
        state.weight = std::pow(state.node.relativeServiceTime, exponent)
                       / std::max(state.node.slots, MinSlots);
        if (state.node.takesRanges)
            draft.targets.push_back(&state);
    }
    for (const RangeLoad &piece : loads) {
        const auto row = draft.rowOf(piece.range);
        if (row == draft.rows.end() || isSettling(piece.range))
            continue;
        const auto owner = draft.nodes.find(row->owner);
        if (owner != draft.nodes.end())
            owner->second.pieces.push_back(&piece);
    }
}

// At low utilization of the service, fast nodes get more than their share, since requests take less
// time there. The exponent falls to zero as the utilization rises, since all slots are needed then.
double RangePlanner::serviceTimeExponent(const Draft &draft) const
{
    constexpr double FullExponentBelow = 0.2;
    constexpr double ZeroExponentAbove = 0.8;
    double load = 0.0;
    double capacity = 0.0;
    for (const auto &[id, state] : draft.nodes) {
        load += state.load;
        capacity += state.node.takesRanges ? state.node.slots : 0.0;
    }
    if (capacity <= 0.0)
        return 0.0;
    return m_settings.maxServiceTimeExponent
           * std::clamp((ZeroExponentAbove - load / capacity)
                            / (ZeroExponentAbove - FullExponentBelow),
                        0.0, 1.0);
}

void RangePlanner::replaceLostSuccessors(Draft &draft) const
{
    for (std::size_t i = 0; i < draft.rows.size(); ++i) {
        const RangeRow &row = draft.rows[i];
        if (row.successor.empty() || draft.takesRanges(row.successor))
            continue;
        // The move is cancelled if the owner may keep the range. Otherwise another node replaces
        // the successor.
        if (draft.takesRanges(row.owner))
            draft.setSuccessor(i, row.owner);
        else if (NodeState *const target = draft.leastUtilized(m_settings.maxRangesPerNode))
            draft.setSuccessor(i, target->node.id);
    }
}

void RangePlanner::drainLeavingNodes(Draft &draft) const
{
    for (std::size_t i = 0; i < draft.rows.size(); ++i) {
        const RangeRow &row = draft.rows[i];
        const RangeNode *const owner = draft.node(row.owner);
        const bool mustMove = !owner || owner->mustReleaseRanges;
        if (!mustMove || !row.successor.empty())
            continue;
        if (NodeState *const target = draft.leastUtilized(LastKey))
            draft.setSuccessor(i, target->node.id);
    }
}

void RangePlanner::balance(Draft &draft) const
{
    const std::size_t maxMoves = m_settings.maxMovesPerNode * draft.nodes.size();
    while (draft.moveCount < maxMoves && moveOne(draft))
        ++draft.moveCount;
}

/*! A possible move of a piece to another node. */
struct RangePlanner::Move
{
    const RangeLoad *piece = nullptr;
    const NodeState *target = nullptr;
    double score = 0.0;
    double targetUtilization = 0.0; //!< after the move

    /*! As long as the source stays busier than the target, the score is the same for all targets.
     * The target that is least busy after the move is preferred then. Otherwise the first nodes in
     * order of their ids would be filled before other nodes get any pieces. */
    bool isBetterThan(const Move &other) const
    {
        constexpr double ScoreTolerance = 1e-9;
        return score > other.score + ScoreTolerance
               || (score > other.score - ScoreTolerance
                   && targetUtilization < other.targetUtilization);
    }
};

bool RangePlanner::isSettling(const Range &range) const
{
    return std::any_of(
        m_recentMoves.begin(), m_recentMoves.end(),
        [&range](const RecentMove &entry) { return entry.load.range.overlaps(range); });
}

// Moves one piece away from the busiest node for which a useful move exists. A node stays the
// busiest whatever is moved if one of its keys has more demand than any node has slots. The other
// nodes must be balanced nevertheless, so the next busiest node is tried.
bool RangePlanner::moveOne(Draft &draft) const
{
    std::vector<const NodeState *> sources = draft.targets;
    double capacity = 0.0;
    double load = 0.0;
    for (const auto &[id, state] : draft.nodes) {
        load += state.load;
        capacity += state.node.takesRanges ? state.node.slots : 0.0;
    }
    std::sort(sources.begin(), sources.end(), [](const NodeState *a, const NodeState *b) {
        const double utilizationOfA = a->weightedUtilization();
        const double utilizationOfB = b->weightedUtilization();
        return utilizationOfA != utilizationOfB ? utilizationOfA > utilizationOfB
                                                : a->node.id > b->node.id;
    });
    const double mean = capacity > 0.0 ? load / capacity : 0.0;
    for (const NodeState *const source : sources) {
        const double utilization = source->weightedUtilization();
        if (utilization - mean < m_settings.minExcess
            || utilization < mean * (1.0 + m_settings.imbalance))
            return false;
        const auto move = bestMove(draft, *source);
        if (!move)
            continue;
        const Range piece = move->piece->range;
        const auto row = draft.rowOf(piece);
        draft.addToNode(*row, -1.0);
        const Range originalRange = row->range;
        const std::size_t index = isolate(draft.rows, piece);
        for (const RangeRow &part : draft.rows) {
            if (originalRange.contains(part.range))
                draft.addToNode(part, 1.0);
        }
        draft.setSuccessor(index, move->target->node.id);
        return true;
    }
    return false;
}

// Returns the move that most reduces the higher weighted utilization of source and target, in
// relation to the number of keys that are moved. Loads are measured on the source.
std::optional<RangePlanner::Move> RangePlanner::bestMove(const Draft &draft,
                                                         const NodeState &source) const
{
    const double sourceUtilization = source.weightedUtilization();
    const double sourceServiceTime = std::max(0.1, source.node.relativeServiceTime);
    std::optional<Move> best;
    for (const RangeLoad *const piece : source.pieces) {
        const double sourceAfter = (source.load - piece->busySlots) * source.weight;
        // No target can reduce the utilization by more than the source loses.
        if (sourceUtilization - sourceAfter < m_settings.minReduction)
            continue;
        const auto row = draft.rowOf(piece->range);
        if (row == draft.rows.end() || !row->successor.empty())
            continue;
        const bool isSingleKey = piece->range.size() == 1;
        for (const NodeState *const target : draft.targets) {
            if (target == &source || target->rangeCount >= m_settings.maxRangesPerNode)
                continue;
            // The key would overload the target as well, and it is unserved during the move. A move
            // is only useful to a node that completes more of its requests.
            const bool isOverloadingKey = isSingleKey
                                          && piece->busySlots >= std::max(target->node.slots, 1.0)
                                          && target->node.slots <= source.node.slots;
            if (isOverloadingKey
                && source.node.relativeServiceTime
                       < target->node.relativeServiceTime * m_settings.minSpeedup)
                continue;
            const double targetAfter
                = (target->load
                   + piece->busySlots * target->node.relativeServiceTime / sourceServiceTime)
                  * target->weight;
            const double reduction = sourceUtilization - std::max(sourceAfter, targetAfter);
            // Each moved key is briefly unserved and may have to be warmed up on the target, so
            // pieces with a high load per key are preferred.
            const double score = reduction / (1.0 + piece->range.size() / KeysForHalfScore);
            const Move move{piece, target, score, targetAfter};
            if (reduction >= m_settings.minReduction && (!best || move.isBetterThan(*best)))
                best = move;
        }
    }
    return best;
}

} // namespace Medlar::KeyRange
