#include "relay/storewatchers.h"

#include <gtest/gtest.h>

namespace Medlar::Relay {
namespace {

constexpr std::size_t PerRegion = 3;
constexpr int NodesPerRegion = 23;

std::string nodeName(const std::string &region, int number)
{
    return "node-" + region + '-' + std::to_string(number);
}

/*! Fleet view of \a self while it is linked to all nodes of three regions. */
FleetView makeFleet(const std::string &self, const std::string &selfRegion)
{
    const Base::TimePoint now{};
    FleetView fleet(self, {"10.0.0.1", 1, selfRegion, selfRegion + "-a"});
    for (const char *region : {"north", "south", "west"}) {
        for (int i = 0; i < NodesPerRegion; ++i) {
            const std::string name = nodeName(region, i);
            if (name == self)
                continue;
            fleet.setLinked(now, name, true);
            Messages::NodeStatus status;
            status.region = region;
            status.reachesStore = true;
            fleet.onStatus(now, name, status);
        }
    }
    return fleet;
}

int countWatchers(const std::string &region)
{
    int watchers = 0;
    for (int i = 0; i < NodesPerRegion; ++i)
        watchers += isStoreWatcher(makeFleet(nodeName(region, i), region), PerRegion) ? 1 : 0;
    return watchers;
}

} // namespace

TEST(StoreWatchers, limitedNumberOfNodesPerRegionWatches)
{
    EXPECT_EQ(countWatchers("north"), 3);
    EXPECT_EQ(countWatchers("south"), 3);
}

TEST(StoreWatchers, aNodeWatchesIfNoOtherNodeCanReachTheStore)
{
    for (int i = 0; i < NodesPerRegion; ++i) {
        const std::string self = nodeName("north", i);
        FleetView fleet = makeFleet(self, "north");
        if (isStoreWatcher(fleet, PerRegion))
            continue;
        const FleetView initialFleet = fleet;
        for (const auto &[name, node] : initialFleet.nodes()) {
            if (name == self)
                continue;
            Messages::NodeStatus storeUnreachable = node.status;
            storeUnreachable.reachesStore = false;
            fleet.onStatus({}, name, storeUnreachable);
        }
        EXPECT_TRUE(isStoreWatcher(fleet, PerRegion)) << "no other node can reach the store";
        return;
    }
    FAIL() << "all nodes watch the store";
}

TEST(StoreWatchers, aNodeWithoutLinksWatches)
{
    EXPECT_TRUE(
        isStoreWatcher(FleetView("node-north-0", {"10.0.0.1", 1, "north", "north-a"}), PerRegion));
}

} // namespace Medlar::Relay
