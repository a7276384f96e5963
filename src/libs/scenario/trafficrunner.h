#pragma once

#include "trafficexpectations.h"

namespace Medlar::Scenario {

/*! Runs a traffic scenario. */
class TrafficRunner
{
public:
    explicit TrafficRunner(const TrafficScenario &scenario);

    ScenarioResult run();

private:
    bool execute(const Words &words);
    bool offer(const Words &words);
    bool changeZone(const Words &words);
    bool changeBackend(const Words &words);
    bool restart(FakeBackend &backend, const Words &words);
    bool expect(const Words &words);
    void print(const std::string &line);

    TrafficScenario m_scenario;
    ScenarioResult m_result;
    SessionLog m_log; //!< exists before the simulation prints its first line
    TrafficSimulation m_simulation;
    TrafficExpectations m_expectations;
};

} // namespace Medlar::Scenario
