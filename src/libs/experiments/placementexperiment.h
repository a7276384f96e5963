#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>

namespace Medlar::Experiments {

struct PlacementOptions
{
    std::size_t nodes = 410;
    std::size_t zones = 5;
    std::uint32_t slots = 16384;
    std::uint64_t keys = 300000000;
    double zipfExponent = 0.7;
    double requestsPerSecond = 2800000.0;
    std::size_t hottestKeys = 32; //!< that change in the last event
    std::uint64_t seed = 1;
};

/*!
    Plans a fleet through first assignment, join, loss, zone out and back, and a change of the
   hottest keys, and compares with hashing by modulo and a hash ring over the same events.
*/
nlohmann::json runPlacementExperiment(const PlacementOptions &options);

} // namespace Medlar::Experiments
