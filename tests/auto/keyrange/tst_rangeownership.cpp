#include "rangecluster.h"

#include <gtest/gtest.h>

namespace Medlar::KeyRange {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Nodes = 4;
// A run of one seed takes several seconds in sanitizer builds.
#ifdef MEDLAR_SANITIZED
constexpr std::uint64_t Seeds = 40;
#else
constexpr std::uint64_t Seeds = 60;
#endif
constexpr Base::Duration RunLength = 3min;
// Suspensions and outages last up to 20 s, followed by a take-over and one lease.
constexpr Base::Duration SettleTime = 60s;

} // namespace

TEST(RangeOwnership, noKeyIsHeldTwiceUnderRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        RangeCluster cluster(seed, Nodes, {});
        const auto violation = cluster.run(RunLength);
        ASSERT_FALSE(violation) << *violation;
        EXPECT_TRUE(cluster.recovers(SettleTime))
            << "keys remain unheld after the faults have ended";
    }
}

} // namespace Medlar::KeyRange
