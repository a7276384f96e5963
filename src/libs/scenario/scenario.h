#pragma once

#include "simulation.h"
#include "statement.h"

namespace Medlar::Scenario {

struct Scenario
{
    SimulationOptions options;
    std::vector<Statement> statements; //!< in the order of time
};

/*! Parses the language of docs/scenarios.md. */
tl::expected<Scenario, ScenarioError> parseScenario(const std::string &text);

} // namespace Medlar::Scenario
