#pragma once

#include "simulation.h"

namespace Medlar::Scenario {

constexpr std::uint32_t FuzzSlotCount = 6;

/*! The drift of a clock, within the margin of the protocol. */
double randomDrift(RandomSource &random);

/*! A cluster of two to seven nodes in one of several layouts of regions and zones. */
SimulationOptions randomCluster(RandomSource &random, const Ownership::ProtocolRules &rules);

} // namespace Medlar::Scenario
