#include "slotplanner.h"

#include "planunits.h"
#include "successorchooser.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Medlar::Placement {

using Base::InstanceId;
using Cluster::SlotAssignment;
using Cluster::SlotId;

namespace {

/*! Share of a node's load from which a slot or key counts as heavy. */
constexpr double HeavyShare = 0.25;

class SlotPlanner
{
public:
    explicit SlotPlanner(const PlanInput &input);

    Plan run();

private:
    void computeShares();
    double relativeLoad(std::size_t node) const;
    double imbalance() const;
    void repair();
    void balance();
    bool moveOne(std::size_t from, std::size_t to);
    bool separateHeavy(std::size_t from);
    bool isHeavy(const PlanUnit &unit, std::size_t node) const;
    double heavyLoad(std::size_t node) const;
    bool isReturn(const PlanUnit &unit, std::size_t to) const;
    bool isBetterMove(const PlanUnit &unit, const PlanUnit &than, std::size_t to,
                      double wanted) const;
    void assign(PlanUnit &unit, std::size_t node);
    std::size_t leastLoaded() const;
    std::size_t mostLoaded(const std::vector<std::size_t> &nodes) const;
    bool needsNewSuccessors(const PlanUnit &unit) const;
    void writeEntries();
    std::vector<InstanceId> priorOf(const PlanUnit &unit) const;
    bool isSealed(const InstanceId &id) const { return m_input.sealed.count(id) != 0; }

    const PlanInput &m_input;
    std::vector<PlanNode> m_nodes; //!< of the input; sealed instances accept no slots
    const Cluster::SlotTable &m_table;
    std::map<InstanceId, std::size_t> m_nodeIndex;
    std::vector<std::size_t> m_accepting;
    std::vector<double> m_load;    // requests/s of each node
    std::vector<double> m_share;   // what each node should have
    std::vector<PlanUnit> m_units; // base slots first, at the index of their slot
    std::vector<std::vector<std::size_t>> m_unitsOfNode;
    Plan m_plan;
};

SlotPlanner::SlotPlanner(const PlanInput &input)
    : m_input(input)
    , m_nodes(input.nodes)
    , m_table(*input.table)
    , m_load(input.nodes.size(), 0.0)
    , m_share(input.nodes.size(), 0.0)
    , m_unitsOfNode(input.nodes.size())
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        m_nodeIndex[m_nodes[i].instance] = i;
        m_nodes[i].acceptsSlots = m_nodes[i].acceptsSlots && !isSealed(m_nodes[i].instance);
        if (m_nodes[i].acceptsSlots)
            m_accepting.push_back(i);
    }
}

Plan SlotPlanner::run()
{
    if (m_accepting.empty())
        return {};
    PlanUnits units = collectUnits(m_input, m_nodeIndex);
    m_units = std::move(units.units);
    m_plan.hotKeyChanges = units.hotKeyChanges;
    computeShares();
    m_plan.imbalanceBefore = imbalance();
    repair();
    balance();
    m_plan.imbalanceAfter = imbalance();
    writeEntries();
    return std::move(m_plan);
}

void SlotPlanner::computeShares()
{
    double known = 0.0;
    std::size_t weighed = 0;
    for (const PlanUnit &unit : m_units) {
        if (unit.weight >= 0.0) {
            known += unit.weight;
            ++weighed;
        }
    }
    // Slots without a report count with the mean, and with 1 when nothing was reported yet.
    const double mean = known > 0.0 ? known / double(weighed) : 1.0;
    double total = 0.0;
    for (std::size_t i = 0; i < m_units.size(); ++i) {
        PlanUnit &unit = m_units[i];
        if (unit.weight < 0.0 || known <= 0.0)
            unit.weight = mean;
        unit.owner = unit.originalOwner;
        total += unit.weight;
        if (unit.owner != NoNode) {
            m_load[unit.owner] += unit.weight;
            m_unitsOfNode[unit.owner].push_back(i);
        }
    }

    double capacity = 0.0;
    for (const std::size_t node : m_accepting)
        capacity += m_nodes[node].capacity;
    for (const std::size_t node : m_accepting)
        m_share[node] = total * m_nodes[node].capacity / capacity;
}

double SlotPlanner::relativeLoad(std::size_t node) const
{
    return m_share[node] > 0.0 ? m_load[node] / m_share[node] : 0.0;
}

double SlotPlanner::imbalance() const
{
    return relativeLoad(mostLoaded(m_accepting));
}

std::size_t SlotPlanner::leastLoaded() const
{
    return *std::min_element(m_accepting.begin(), m_accepting.end(),
                             [this](auto a, auto b) { return relativeLoad(a) < relativeLoad(b); });
}

std::size_t SlotPlanner::mostLoaded(const std::vector<std::size_t> &nodes) const
{
    return *std::max_element(nodes.begin(), nodes.end(),
                             [this](auto a, auto b) { return relativeLoad(a) < relativeLoad(b); });
}

void SlotPlanner::assign(PlanUnit &unit, std::size_t node)
{
    if (unit.owner != NoNode) {
        m_load[unit.owner] -= unit.weight;
        std::vector<std::size_t> &units = m_unitsOfNode[unit.owner];
        units.erase(std::find(units.begin(), units.end(), std::size_t(&unit - m_units.data())));
    }
    unit.owner = node;
    m_load[node] += unit.weight;
    m_unitsOfNode[node].push_back(std::size_t(&unit - m_units.data()));
}

void SlotPlanner::repair()
{
    std::vector<std::size_t> homeless;
    for (std::size_t i = 0; i < m_units.size(); ++i) {
        const PlanUnit &unit = m_units[i];
        const bool hasOwner = unit.owner != NoNode && m_share[unit.owner] > 0.0;
        if (hasOwner)
            continue;
        if (unit.owner != NoNode && !unit.isSettled) {
            ++m_plan.deferred;
            continue;
        }
        homeless.push_back(i);
    }
    std::sort(homeless.begin(), homeless.end(), [this](std::size_t a, std::size_t b) {
        return m_units[a].weight != m_units[b].weight ? m_units[a].weight > m_units[b].weight
                                                      : a < b;
    });

    // Heaviest first onto the least loaded node; the heap is keyed by load and updated after each
    // step.
    std::set<std::pair<double, std::size_t>> byLoad;
    for (const std::size_t node : m_accepting)
        byLoad.emplace(relativeLoad(node), node);
    for (const std::size_t index : homeless) {
        const std::size_t node = byLoad.begin()->second;
        byLoad.erase(byLoad.begin());
        assign(m_units[index], node);
        byLoad.emplace(relativeLoad(node), node);
        ++m_plan.repaired;
    }
}

void SlotPlanner::balance()
{
    if (relativeLoad(mostLoaded(m_accepting)) <= 1.0 + m_input.limits.trigger
        && relativeLoad(leastLoaded()) >= 1.0 - m_input.limits.trigger)
        return;
    const double high = 1.0 + m_input.limits.tolerance;
    const double low = 1.0 - m_input.limits.tolerance;
    // A node whose load is one heavy key can't be relieved; it must not keep others from being
    // balanced.
    std::vector<std::size_t> sources = m_accepting;
    while (m_plan.balancingMoves < m_input.limits.maxBalancingMoves && !sources.empty()) {
        const std::size_t from = mostLoaded(sources);
        const std::size_t to = leastLoaded();
        if (relativeLoad(from) <= high && relativeLoad(to) >= low)
            return;
        if (moveOne(from, to) || separateHeavy(from))
            ++m_plan.balancingMoves;
        else
            sources.erase(std::find(sources.begin(), sources.end(), from));
    }
}

bool SlotPlanner::isReturn(const PlanUnit &unit, std::size_t to) const
{
    const auto former = m_input.formerNodes.find(unit.slot);
    return former != m_input.formerNodes.end() && former->second == m_nodes[to].instance.node;
}

// Slots that return to their former node, and then those that a successor took over are preferred,
// because a move of any other adds churn of ownership.
bool SlotPlanner::isBetterMove(const PlanUnit &unit, const PlanUnit &than, std::size_t to,
                               double wanted) const
{
    if (isReturn(unit, to) != isReturn(than, to))
        return isReturn(unit, to);
    if (unit.mustRewrite != than.mustRewrite)
        return unit.mustRewrite;
    const bool fits = unit.weight <= wanted;
    const bool otherFits = than.weight <= wanted;
    if (fits != otherFits)
        return fits;
    return fits ? unit.weight > than.weight : unit.weight < than.weight;
}

bool SlotPlanner::moveOne(std::size_t from, std::size_t to)
{
    const double excess = m_load[from] - m_share[from];
    const double missing = m_share[to] - m_load[to];
    const double wanted = std::max(excess, missing);
    std::size_t best = NoNode;
    for (const std::size_t index : m_unitsOfNode[from]) {
        const PlanUnit &unit = m_units[index];
        const bool mayMove = unit.isSettled || unit.isNewHotKey || !unit.entry;
        // A move must lower the higher of both loads, or it would be undone in the next round.
        const bool improves = (m_load[to] + unit.weight) / m_share[to] < relativeLoad(from);
        if (mayMove && improves && unit.weight > 0.0
            && (best == NoNode || isBetterMove(unit, m_units[best], to, wanted)))
            best = index;
    }
    if (best == NoNode)
        return false;
    assign(m_units[best], to);
    return true;
}

bool SlotPlanner::isHeavy(const PlanUnit &unit, std::size_t node) const
{
    return unit.weight > HeavyShare * m_share[node];
}

double SlotPlanner::heavyLoad(std::size_t node) const
{
    double load = 0.0;
    for (const std::size_t index : m_unitsOfNode[node]) {
        if (isHeavy(m_units[index], node))
            load += m_units[index].weight;
    }
    return load;
}

// Two hot keys on one node stay together when every other node has its share of other slots: no
// single move helps. One of them goes to the node with the least heavy load, whose light slots then
// make room. The heavy load of both nodes ends below that of the first, so it can't be undone.
bool SlotPlanner::separateHeavy(std::size_t from)
{
    const double high = 1.0 + m_input.limits.tolerance;
    const double heavy = heavyLoad(from);
    std::size_t best = NoNode;
    for (const std::size_t index : m_unitsOfNode[from]) {
        const PlanUnit &unit = m_units[index];
        const bool mayMove = unit.isSettled || unit.isNewHotKey || !unit.entry;
        if (mayMove && isHeavy(unit, from) && unit.weight < heavy
            && (best == NoNode || unit.weight < m_units[best].weight))
            best = index;
    }
    if (best == NoNode)
        return false;
    const auto to
        = std::min_element(m_accepting.begin(), m_accepting.end(),
                           [this](auto a, auto b) { return heavyLoad(a) < heavyLoad(b); });
    const double added = heavyLoad(*to) + m_units[best].weight;
    if (*to == from || added >= heavy || added > high * m_share[*to])
        return false;
    assign(m_units[best], *to);
    return true;
}

bool SlotPlanner::needsNewSuccessors(const PlanUnit &unit) const
{
    const std::size_t wanted = std::min(Cluster::MaxOwnersPerEntry, m_accepting.size());
    if (unit.entry->owners.size() < wanted)
        return true;
    return std::any_of(
        unit.entry->owners.begin(), unit.entry->owners.end(), [this](const InstanceId &id) {
            const auto node = m_nodeIndex.find(id);
            return isSealed(id) || node == m_nodeIndex.end() || m_share[node->second] <= 0.0;
        });
}

void SlotPlanner::writeEntries()
{
    SuccessorChooser chooser(m_nodes);
    for (const PlanUnit &unit : m_units) {
        if (unit.entry && !unit.isNewHotKey)
            chooser.addExisting(*unit.entry);
    }

    std::map<std::uint32_t, Cluster::Epoch> epochs;
    for (const PlanUnit &unit : m_units) {
        if (unit.owner == NoNode || m_share[unit.owner] <= 0.0)
            continue;
        const bool moved = unit.owner != unit.originalOwner;
        if (unit.entry && !moved && !unit.mustRewrite && !needsNewSuccessors(unit))
            continue;

        const std::uint32_t chunk = m_table.chunkOf(unit.slot);
        const auto [epoch, isFirst] = epochs.try_emplace(chunk, 0);
        if (isFirst)
            epoch->second = m_table.highestEpoch(chunk) + 1;

        SlotAssignment assignment{unit.slot, {epoch->second, {}, priorOf(unit), unit.hotKeys}};
        if (unit.isNewHotKey)
            assignment.entry.hotKeys.clear();
        const InstanceId &owner = m_nodes[unit.owner].instance;
        std::vector<InstanceId> keep;
        if (unit.entry) {
            std::copy_if(unit.entry->owners.begin(), unit.entry->owners.end(),
                         std::back_inserter(keep),
                         [&owner](const InstanceId &id) { return id != owner; });
        }
        const std::vector<InstanceId> successors = chooser.choose(unit.slot, unit.owner, keep);
        assignment.entry.owners.push_back(owner);
        assignment.entry.owners.insert(assignment.entry.owners.end(), successors.begin(),
                                       successors.end());
        m_plan.changed.push_back(std::move(assignment));
    }
}

std::vector<InstanceId> SlotPlanner::priorOf(const PlanUnit &unit) const
{
    if (!unit.entry)
        return {};
    std::set<InstanceId> instances(unit.entry->owners.begin(), unit.entry->owners.end());
    // A settled owner serves, so everyone in the prior list has released the slot or is sealed.
    if (!unit.isSettled)
        instances.insert(unit.entry->prior.begin(), unit.entry->prior.end());
    instances.insert(unit.merged.begin(), unit.merged.end());

    std::vector<InstanceId> result;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(result),
                 [this](const InstanceId &id) { return !isSealed(id); });
    return result;
}

} // namespace

Plan planSlots(const PlanInput &input)
{
    return SlotPlanner(input).run();
}

} // namespace Medlar::Placement
