#include "keyrange/rangekeeper.h"

#include <gtest/gtest.h>

namespace Medlar::KeyRange {
namespace {

using namespace std::chrono_literals;

const Base::TimePoint Start = Base::TimePoint{} + 1h;

RangeTable table(const std::vector<RangeRow> &rows, Epoch lastEpoch)
{
    auto result = RangeTable::create(rows, lastEpoch);
    EXPECT_TRUE(result) << result.error().detail;
    return *result;
}

/*! Two halves, the lower one owned by node a and the upper one by node b. */
RangeTable halves(const std::string &successorOfLower = {})
{
    return table({{{0, 32767}, "a", 1, successorOfLower, {}}, {{32768, LastKey}, "b", 1, {}, {}}},
                 1);
}

HeldReport report(std::uint64_t sequence, std::vector<HeldRange> held = {},
                  std::vector<FreedRange> freed = {})
{
    return {"backend-1", 100, sequence, std::move(held), std::move(freed)};
}

/*! A keeper of node a that has been running since before the table was written. */
class RangeKeeperTest : public ::testing::Test
{
protected:
    RangeKeeperTest() : m_keeper("a", Start)
    {
        // Epochs that are known at the first proof of ownership count as inherited and are never
        // granted again.
        m_keeper.onTable(Start, 1, table({{{0, LastKey}, "b", 1, {}, {}}}, 1));
        m_keeper.onConfirmed(Start, 1);
        m_keeper.onTable(Start, 2, ownedTable());
        m_keeper.onConfirmed(Start, 2);
    }

    static RangeTable ownedTable()
    {
        return table({{{0, 32767}, "a", 2, {}, "token"}, {{32768, LastKey}, "b", 1, {}, {}}}, 2);
    }
    static RangeTable movingTable()
    {
        return table({{{0, 99}, "a", 2, "b", {}},
                      {{100, 32767}, "a", 2, {}, {}},
                      {{32768, LastKey}, "b", 1, {}, {}}},
                     2);
    }

    RangeKeeper m_keeper;
};

} // namespace

TEST_F(RangeKeeperTest, aLeaseIsNotGrantedBeyondTheProofOfOwnership)
{
    {
        SCOPED_TRACE(
            "a recent proof allows a full lease, with the handover token of the former owner");
        const auto grant = m_keeper.onHeartbeat(Start + 1s, report(1));
        ASSERT_TRUE(grant);
        EXPECT_EQ(grant->hold, 4s);
        ASSERT_EQ(grant->ranges.size(), 1U);
        EXPECT_EQ(grant->ranges[0].handover, "token");
        EXPECT_TRUE(m_keeper.isHeld(Start + 1s, 5));
        EXPECT_FALSE(m_keeper.isHeld(Start + 1s, 40000));
    }
    {
        SCOPED_TRACE("an older proof allows a shorter lease");
        const auto grant = m_keeper.onHeartbeat(Start + 8s, report(2));
        ASSERT_TRUE(grant);
        EXPECT_LT(grant->hold, 1750ms);
        EXPECT_GT(grant->hold, 1500ms);
    }
    {
        SCOPED_TRACE(
            "a proof that is too old allows no lease, and keys are not held after the last lease");
        EXPECT_FALSE(m_keeper.onHeartbeat(Start + 10s, report(3)));
        EXPECT_FALSE(m_keeper.isHeld(Start + 10s, 5));
    }
}

// While many ranges move, the table changes fifteen times a second, and each read returns a version
// older than the one that is known when its response arrives. When such reads did not count as
// proof of ownership, all keys of the service were unserved after ten seconds.
TEST_F(RangeKeeperTest, readsProveOwnershipWhileTheTableChangesAllTheTime)
{
    const RangeTable table = *m_keeper.table();
    const TableVersion first = m_keeper.version();
    for (int second = 1; second <= 30; ++second) {
        const Base::TimePoint now = Start + std::chrono::seconds(second);
        const TableVersion before = m_keeper.version();
        m_keeper.onTable(now, before + 1, table);
        m_keeper.onConfirmed(now - 100ms, before);
        const auto grant = m_keeper.onHeartbeat(now, report(static_cast<std::uint64_t>(second)));
        ASSERT_TRUE(grant) << "second " << second;
        EXPECT_EQ(grant->hold, 4s);
    }
    {
        SCOPED_TRACE("a version that is not known does not prove ownership of the known rows");
        const Base::TimePoint end = m_keeper.authorityEnd();
        m_keeper.onConfirmed(Start + 60s, first + 100);
        EXPECT_EQ(m_keeper.authorityEnd(), end);
    }
}

TEST_F(RangeKeeperTest, aMovingRangeIsHandedOverOnlyWhenItsHolderNoLongerReportsIt)
{
    const auto first = m_keeper.onHeartbeat(Start + 1s, report(1));
    const FencingToken token = first->ranges.at(0).token;
    m_keeper.onTable(Start + 2s, 3, movingTable());

    const auto second = m_keeper.onHeartbeat(Start + 2s, report(2, {{{0, 32767}, token}}));
    ASSERT_EQ(second->ranges.size(), 1U);
    EXPECT_EQ(second->ranges[0].range, (Range{100, 32767}));
    EXPECT_FALSE(m_keeper.wantedTable(Start + 2s)) << "still held";

    m_keeper.onHeartbeat(Start + 2100ms, report(3, {{{0, 32767}, token}}));
    EXPECT_FALSE(m_keeper.wantedTable(Start + 2100ms))
        << "requests for the range are still running";

    m_keeper.onHeartbeat(Start + 2200ms,
                         report(4, {{{100, 32767}, token}}, {{{0, 99}, "handover"}}));
    const auto wanted = m_keeper.wantedTable(Start + 2200ms);
    ASSERT_TRUE(wanted);
    EXPECT_EQ(wanted->row(0).owner, "b");
    EXPECT_EQ(wanted->row(0).handover, "handover");
    EXPECT_EQ(wanted->row(0).epoch, 3U) << "tokens of the new owner exceed all former ones";
    EXPECT_EQ(wanted->row(100).owner, "a");
}

TEST_F(RangeKeeperTest, anUnresponsiveBackendServerKeepsItsRangesUntilItsLeaseHasExpired)
{
    m_keeper.onHeartbeat(Start + 1s, report(1));
    m_keeper.onTable(Start + 2s, 3, movingTable());
    EXPECT_FALSE(m_keeper.wantedTable(Start + 5s));
    EXPECT_TRUE(m_keeper.wantedTable(Start + 6s));
}

TEST_F(RangeKeeperTest, anotherIncarnationGetsHigherTokens)
{
    const auto first = m_keeper.onHeartbeat(Start + 1s, report(9));
    HeldReport restarted = report(1);
    restarted.incarnation = 200;
    const auto second = m_keeper.onHeartbeat(Start + 2s, restarted);
    ASSERT_TRUE(second);
    ASSERT_EQ(second->ranges.size(), 1U);
    EXPECT_GT(second->ranges[0].token, first->ranges[0].token);
}

TEST_F(RangeKeeperTest, anotherBackendServerWaitsForTheLeasesOfTheFormerOne)
{
    m_keeper.onHeartbeat(Start + 1s, report(1));
    HeldReport other = report(1);
    other.backend = "backend-2";
    EXPECT_TRUE(m_keeper.onHeartbeat(Start + 2s, other)->ranges.empty());
    other.sequence = 2;
    EXPECT_EQ(m_keeper.onHeartbeat(Start + 6s, other)->ranges.size(), 1U);
}

TEST(RangeKeeper, aRestartedDaemonContinuesTheLeasesOfItsBackendServer)
{
    constexpr FencingToken Token = 1024 + 3;
    RangeKeeper keeper("a", Start);
    keeper.onTable(Start, 5, halves());
    keeper.onConfirmed(Start, 5);
    {
        SCOPED_TRACE("the same incarnation keeps its ranges and tokens");
        const auto grant = keeper.onHeartbeat(Start + 100ms, report(7, {{{0, 32767}, Token}}));
        ASSERT_TRUE(grant);
        ASSERT_EQ(grant->ranges.size(), 1U);
        EXPECT_EQ(grant->ranges[0].token, Token);
        EXPECT_FALSE(keeper.wantedTable(Start + 100ms));
    }
    {
        SCOPED_TRACE("a BackendServer that holds nothing gets its ranges under a new epoch");
        RangeKeeper other("a", Start);
        other.onTable(Start, 5, halves());
        other.onConfirmed(Start, 5);
        EXPECT_TRUE(other.onHeartbeat(Start + 100ms, report(7))->ranges.empty());
        const auto wanted = other.wantedTable(Start + 100ms);
        ASSERT_TRUE(wanted);
        EXPECT_EQ(wanted->row(0).epoch, 2U);
        other.onTable(Start + 200ms, 6, *wanted);
        EXPECT_EQ(other.onHeartbeat(Start + 300ms, report(8))->ranges.size(), 1U);
    }
}

// Guards against fencing tokens that a former process has issued: a peer sent a restarted daemon a
// table from before the last change of its former process, and only the epochs in that table
// counted as used.
TEST(RangeKeeper, epochsThatAreNewerThanTheFirstKnownTableAreNotGrantedAgain)
{
    RangeKeeper keeper("a", Start);
    keeper.onTable(Start, 5, halves());
    keeper.onHeartbeat(Start + 100ms, report(1));
    const RangeTable current
        = table({{{0, 32767}, "a", 2, {}, {}}, {{32768, LastKey}, "b", 1, {}, {}}}, 2);
    keeper.onTable(Start + 200ms, 6, current);
    keeper.onConfirmed(Start + 200ms, 6);
    const auto grant = keeper.onHeartbeat(Start + 300ms, report(2));
    ASSERT_TRUE(grant);
    EXPECT_TRUE(grant->ranges.empty());
    const auto wanted = keeper.wantedTable(Start + 300ms);
    ASSERT_TRUE(wanted);
    EXPECT_EQ(wanted->row(0).epoch, 3U);

    SCOPED_TRACE("the epoch of its own change is granted, although a later read shows it");
    keeper.onTable(Start + 400ms, 7, *wanted);
    keeper.onConfirmed(Start + 400ms, 7);
    EXPECT_EQ(keeper.onHeartbeat(Start + 500ms, report(3))->ranges.size(), 1U);
}

TEST(RangeKeeper, aSuccessorTakesOverOnlyAfterTheOwnershipHasExpired)
{
    RangeKeeper successor("b", Start - 1min);
    successor.onTable(Start, 5, halves("b"));
    successor.onConfirmed(Start, 5);
    EXPECT_TRUE(successor.expectsRanges());
    EXPECT_FALSE(successor.wantedTable(Start + 10s));
    const auto wanted = successor.wantedTable(Start + 10500ms);
    ASSERT_TRUE(wanted);
    EXPECT_EQ(wanted->row(0).owner, "b");
    EXPECT_EQ(wanted->row(0).epoch, 2U);

    SCOPED_TRACE("the delay starts again if the successor was removed in between");
    successor.onTable(Start + 5s, 6, halves());
    successor.onTable(Start + 6s, 7, halves("b"));
    EXPECT_FALSE(successor.wantedTable(Start + 11s));
}

TEST(RangeKeeper, aRestartedDaemonWithoutAReportWaitsForTheLeasesOfTheFormerProcess)
{
    RangeKeeper keeper("a", Start);
    keeper.onTable(Start, 5, halves("b"));
    keeper.onConfirmed(Start, 5);
    EXPECT_FALSE(keeper.wantedTable(Start + 4s));
    EXPECT_TRUE(keeper.wantedTable(Start + 5s));
}

TEST(RangeTable, tablesThatDoNotCoverAllKeysOnceAreRefused)
{
    EXPECT_FALSE(RangeTable::create({}, 0));
    EXPECT_FALSE(RangeTable::create({{{0, 10}, "a", 1, {}, {}}}, 1));
    EXPECT_FALSE(
        RangeTable::create({{{0, 10}, "a", 1, {}, {}}, {{12, LastKey}, "a", 1, {}, {}}}, 1));
    EXPECT_FALSE(RangeTable::create({{{0, LastKey}, "", 1, {}, {}}}, 1));
    EXPECT_FALSE(RangeTable::create({{{0, LastKey}, "a", 2, {}, {}}}, 1));
    for (const char *text :
         {"", "[]", "{}", R"({"epoch":1,"rows":[[0,1]]})",
          R"({"epoch":1,"rows":[[0,65536,"a",1]]})", R"({"epoch":-1,"rows":[[0,65535,"a",1]]})",
          R"({"epoch":1,"rows":[[0,65535,"a",1,5,"h"]]})"})
        EXPECT_FALSE(RangeTable::parse(text)) << text;
}

TEST(RangeTable, aPeerThatAppliesADeltaGetsTheSameTable)
{
    const RangeTable former = halves();
    std::vector<RangeRow> rows = former.rows();
    rows[isolate(rows, {100, 200})].successor = "b";
    rows[isolate(rows, {300, 300})] = {{300, 300}, "b", 2, {}, "h"};
    const RangeTable next = table(rows, 2);
    const auto patched = former.patched(next.deltaFrom(former));
    ASSERT_TRUE(patched) << patched.error().detail;
    EXPECT_EQ(patched->toJson(), next.toJson());
    EXPECT_LT(next.deltaFrom(former).size(), next.toJson().size());

    SCOPED_TRACE("a delta for another table is rejected");
    EXPECT_FALSE(former.patched(R"({"epoch":2,"rows":[[0,40000,"a",2]]})"));
    EXPECT_FALSE(former.patched("?"));
}

} // namespace Medlar::KeyRange
