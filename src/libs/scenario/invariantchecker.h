#pragma once

#include "simulation.h"

namespace Medlar::Scenario {

/*! A broken invariant and when it was seen. */
struct Violation
{
    TrueTime at{0};
    std::string description;
};

/*! The slots and hot keys of the store's entries. */
std::vector<Cluster::SlotId> ownershipUnits(const FakeStore &store);

/*! Checks the ownership invariants in true time after every step of a simulation. */
class InvariantChecker
{
public:
    explicit InvariantChecker(const Simulation &simulation);

    void check();
    const std::vector<Violation> &violations() const { return m_violations; }

private:
    void checkNode(const SimulatedNode &node);
    void checkUnit(const SimulatedNode &node, Cluster::SlotId unit, Cluster::FencingToken token);
    void checkTable(const SimulatedNode &node);
    void checkAssignments();
    void report(std::string description);

    const Simulation &m_simulation;
    const FakeStore &m_store;
    std::vector<Cluster::SlotId> m_units;
    std::uint64_t m_storeVersion = 0;
    std::size_t m_sealCount = 0;
    std::size_t m_acknowledgedCount = 0;
    std::map<std::string, std::uint64_t> m_inputs;
    std::map<std::string, std::uint64_t> m_stuckTimers;
    std::map<Cluster::SlotId, Cluster::FencingToken> m_highestToken;
    std::map<Cluster::SlotId, Cluster::SlotEntry> m_acknowledged;
    /*! All entries that were ever stored, by slot and epoch. */
    std::map<std::pair<Cluster::SlotId, Cluster::Epoch>, Cluster::SlotEntry> m_history;
    std::map<std::pair<Base::InstanceId, Cluster::SlotId>, Cluster::Epoch> m_tableEpochs;
    std::vector<Violation> m_violations;
};

} // namespace Medlar::Scenario
