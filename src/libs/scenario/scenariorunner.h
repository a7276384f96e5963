#pragma once

#include "invariantchecker.h"
#include "scenario.h"
#include "unavailability.h"

namespace Medlar::Scenario {

/*! Runs a scenario over a virtual cluster. */
class ScenarioRunner
{
public:
    explicit ScenarioRunner(const Scenario &scenario);

    ScenarioResult run();

private:
    bool execute(const Words &words);
    bool changeNode(const Words &words);
    bool changeNetwork(const Words &words);
    bool changeLink(const Words &words);
    bool partition(const Words &words);
    bool changeStore(const Words &words);
    bool changeAssignment(const Words &words);
    bool ask(const Words &words);

    bool expect(const Words &words);
    bool expectOwner(const Words &words);
    bool expectSealed(const std::string &node, bool wanted);
    bool expectWitness(const Words &words);
    bool expectUnavailable(const std::string &limit);

    /*! Parses "slot N" or "hot-key N" at \a position. */
    std::optional<Cluster::SlotId> unitAt(const Words &words, std::size_t position) const;
    std::string ownerOf(Cluster::SlotId unit) const;
    std::string firstRunningNode() const;
    void print(const std::string &line);
    bool answer(const std::string &text, bool met);

    Scenario m_scenario;
    Simulation m_simulation;
    InvariantChecker m_checker;
    Unavailability m_unavailability;
    TrueTime m_start{0};
    std::map<std::string, Base::InstanceId> m_firstInstances;
    ScenarioResult m_result;
};

} // namespace Medlar::Scenario
