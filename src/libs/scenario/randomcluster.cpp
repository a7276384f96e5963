#include "randomcluster.h"

#include <array>

namespace Medlar::Scenario {

using namespace std::chrono_literals;

namespace {

/*! The drift margin of the protocol covers clocks with this error. */
constexpr double HighestDrift = 0.01;

struct ZoneLayout
{
    std::vector<Location> zones;
};

const std::array<ZoneLayout, 4> &layouts()
{
    static const std::array<ZoneLayout, 4> result{
        ZoneLayout{{{"r1", "a"}}}, ZoneLayout{{{"r1", "a"}, {"r1", "b"}, {"r1", "c"}}},
        ZoneLayout{{{"r1", "a"}, {"r2", "d"}, {"r1", "b"}, {"r2", "e"}, {"r1", "c"}}},
        ZoneLayout{{{"r1", "a"}, {"r2", "c"}, {"r3", "e"}, {"r1", "b"}, {"r2", "d"}, {"r3", "f"}}}};
    return result;
}

} // namespace

double randomDrift(RandomSource &random)
{
    // The ends of the range are where a missing margin shows.
    switch (random.below(4)) {
    case 0:
        return HighestDrift;
    case 1:
        return -HighestDrift;
    default:
        return HighestDrift * (static_cast<double>(random.below(2001)) / 1000.0 - 1.0);
    }
}

SimulationOptions randomCluster(RandomSource &random, const Ownership::ProtocolRules &rules)
{
    SimulationOptions options;
    options.seed = random.next();
    options.slotCount = FuzzSlotCount;
    options.rules = rules;
    options.longestDrain = random.between(0ms, 80ms);
    options.longestPush = random.between(2ms, 300ms);
    options.repairs = random.chance(80);
    options.pushLossPercent = random.chance(50) ? 0 : static_cast<double>(random.below(50));
    const bool fenced = random.chance(50);
    const ZoneLayout &layout = layouts()[random.below(layouts().size())];
    const std::uint64_t count = 2 + random.below(6);
    for (std::uint64_t i = 0; i < count; ++i)
        options.nodes.push_back({"node-" + std::to_string(i + 1),
                                 layout.zones[i % layout.zones.size()], fenced,
                                 randomDrift(random)});
    return options;
}

} // namespace Medlar::Scenario
