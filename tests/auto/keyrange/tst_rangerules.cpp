#include "rangecluster.h"

#include <gtest/gtest.h>

namespace Medlar::KeyRange {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t Nodes = 4;
// The search ends at the first seed whose run violates an invariant.
constexpr std::uint64_t Seeds = 200;
constexpr Base::Duration RunLength = 3min;

/*! The first violation under \a rules, with the seed of its run. */
std::optional<std::string> firstViolation(const KeeperRules &rules)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        RangeCluster cluster(seed, Nodes, rules);
        if (auto found = cluster.run(RunLength))
            return "seed " + std::to_string(seed) + ": " + *found;
    }
    return std::nullopt;
}

} // namespace

TEST(RangeRules, eachDisabledRuleCausesAViolation)
{
    {
        SCOPED_TRACE("take-over before the owner's proof of ownership has expired");
        KeeperRules rules;
        rules.waitsBeforeTakeover = false;
        EXPECT_TRUE(firstViolation(rules));
    }
    {
        SCOPED_TRACE("leases that outlast the proof of ownership");
        KeeperRules rules;
        rules.limitsLeasesByOwnership = false;
        EXPECT_TRUE(firstViolation(rules));
    }
    {
        SCOPED_TRACE("ranges that are handed over while they are held");
        KeeperRules rules;
        rules.waitsForRelease = false;
        EXPECT_TRUE(firstViolation(rules));
    }
    {
        SCOPED_TRACE("reads of an unknown version count as proof of ownership");
        KeeperRules rules;
        rules.confirmsKnownVersionsOnly = false;
        EXPECT_TRUE(firstViolation(rules));
    }
    {
        SCOPED_TRACE("releases that are applied although the move was cancelled since");
        KeeperRules rules;
        rules.checksRowsOfChanges = false;
        EXPECT_TRUE(firstViolation(rules));
    }
    {
        SCOPED_TRACE("tokens of a former incarnation granted to another one");
        KeeperRules rules;
        rules.raisesEpochAfterRestart = false;
        EXPECT_TRUE(firstViolation(rules));
    }
    {
        SCOPED_TRACE("epochs that are newer than the first known table, which may be old");
        KeeperRules rules;
        rules.inheritsConfirmedEpochs = false;
        EXPECT_TRUE(firstViolation(rules));
    }
    {
        SCOPED_TRACE("a restarted daemon that ignores the leases of its former process");
        KeeperRules rules;
        rules.waitsForFormerLeases = false;
        EXPECT_TRUE(firstViolation(rules));
    }
}

} // namespace Medlar::KeyRange
