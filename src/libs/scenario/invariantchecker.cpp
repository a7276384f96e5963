#include "invariantchecker.h"

namespace Medlar::Scenario {

using namespace Cluster;

namespace {

/*! More violations of one run say nothing new. */
constexpr std::size_t MaxViolations = 10;

std::string describe(SlotId unit)
{
    return isHotKey(unit) ? "hot key " + std::to_string(unit & ~HotKeyBit)
                          : "slot " + std::to_string(unit);
}

} // namespace

std::vector<SlotId> ownershipUnits(const FakeStore &store)
{
    std::vector<SlotId> units;
    for (const auto &[slot, entry] : store.entries())
        units.push_back(slot);
    return units;
}

InvariantChecker::InvariantChecker(const Simulation &simulation)
    : m_simulation(simulation), m_store(simulation.store())
{}

void InvariantChecker::check()
{
    if (m_storeVersion != m_store.version()
        || m_acknowledgedCount != m_simulation.acknowledgedWrites().size())
        checkAssignments();
    const bool sealsChanged = m_sealCount != m_simulation.seals().size();
    m_sealCount = m_simulation.seals().size();
    for (const auto &[name, node] : m_simulation.nodes()) {
        std::uint64_t &inputs = m_inputs[name];
        if (!sealsChanged && inputs == node->inputs())
            continue;
        inputs = node->inputs();
        if (node->isAlive())
            checkNode(*node);
    }
}

void InvariantChecker::checkNode(const SimulatedNode &node)
{
    std::uint64_t &stuckTimers = m_stuckTimers[node.name()];
    if (node.stuckTimers() != stuckTimers)
        report("a timer of " + node.name() + " is due again at once");
    stuckTimers = node.stuckTimers();
    checkTable(node);
    for (const SlotId unit : m_units) {
        const auto token = permittedToken(node, unit);
        if (!token)
            continue;
        if (m_simulation.seals().count(node.instance()) != 0)
            report("sealed " + node.instance().toString() + " serves " + describe(unit));
        checkUnit(node, unit, *token);
    }
}

void InvariantChecker::checkUnit(const SimulatedNode &node, SlotId unit, FencingToken token)
{
    FencingToken &highest = m_highestToken[unit];
    if (token < highest)
        report(node.instance().toString() + " serves " + describe(unit) + " with token "
               + std::to_string(token) + " after token " + std::to_string(highest));
    highest = std::max(highest, token);

    for (const auto &[name, other] : m_simulation.nodes()) {
        if (name == node.name() || !other->isAlive())
            continue;
        if (permittedToken(*other, unit))
            report(node.instance().toString() + " and " + other->instance().toString() + " serve "
                   + describe(unit));
        const auto end = other->requestsEnd.find(unit);
        const bool hasRequests = end != other->requestsEnd.end() && m_simulation.now() < end->second
                                 && other->localTime() < other->engine().leaseValidUntil();
        if (hasRequests)
            report(node.instance().toString() + " serves " + describe(unit) + " before "
                   + other->instance().toString() + " has drained it");
    }
}

void InvariantChecker::checkTable(const SimulatedNode &node)
{
    const SlotTable *table = node.engine().table(ServiceName);
    if (table == nullptr)
        return;
    for (const SlotId unit : m_units) {
        const SlotEntry *entry = table->entry(unit);
        if (entry == nullptr)
            continue;
        Epoch &known = m_tableEpochs[{node.instance(), unit}];
        if (entry->epoch < known)
            report("the epoch of " + describe(unit) + " decreased on " + node.name());
        if (entry->epoch == known)
            continue;
        known = entry->epoch;
        const auto stored = m_history.find({unit, entry->epoch});
        if (stored == m_history.end() || !(stored->second == *entry))
            report(node.name() + " holds an entry of " + describe(unit) + " that was not stored");
    }
}

void InvariantChecker::checkAssignments()
{
    m_storeVersion = m_store.version();
    m_units = ownershipUnits(m_store);
    for (const auto &[slot, entry] : m_store.entries()) {
        const auto [stored, isNew] = m_history.emplace(std::pair(slot, entry.epoch), entry);
        if (!isNew && !(stored->second == entry))
            report("two entries of " + describe(slot) + " have one epoch");
    }
    const auto &writes = m_simulation.acknowledgedWrites();
    for (; m_acknowledgedCount < writes.size(); ++m_acknowledgedCount) {
        for (const SlotAssignment &assignment : writes[m_acknowledgedCount].assignments)
            m_acknowledged[assignment.slot] = assignment.entry;
    }
    for (const auto &[slot, entry] : m_acknowledged) {
        const auto stored = m_store.entries().find(slot);
        const bool isKept = stored != m_store.entries().end()
                            && (stored->second.epoch > entry.epoch || stored->second == entry);
        if (!isKept)
            report("the acknowledged assignment of " + describe(slot) + " is lost");
    }
}

void InvariantChecker::report(std::string description)
{
    if (m_violations.size() < MaxViolations)
        m_violations.push_back({m_simulation.now(), std::move(description)});
}

} // namespace Medlar::Scenario
