#pragma once

#include "statement.h"

#include <set>

namespace Medlar::Scenario {

/*! The daemons and BackendServers of a traffic scenario, and the settings of its only route. */
struct TrafficOptions
{
    std::vector<std::string> zones; //!< of daemon-1, daemon-2, …
    std::uint64_t seed = 1;
    std::uint32_t slots = 6;
    TrueTime serviceTime = std::chrono::milliseconds(10); //!< mean; each request takes 50% to 150%
    std::uint32_t maxQueue = 64;
    double newServerRate = 1000;
    TrueTime rampTime{0};
    bool printsRequests = false; //!< a line for the start and the end of each request
    /*! Names of rules that are broken deliberately, to see that the expectations notice. */
    std::set<std::string> brokenRules;
};

struct TrafficScenario
{
    TrafficOptions options;
    /*! Sets of broken rules with each of which the scenario must fail. */
    std::vector<std::set<std::string>> failsWith;
    std::vector<Statement> statements; //!< in the order of time
};

/*! Parses the traffic scenarios of docs/scenarios.md. */
tl::expected<TrafficScenario, ScenarioError> parseTrafficScenario(const std::string &text);

} // namespace Medlar::Scenario
