#include "keyrange/rangekeeper.h"

#include <gtest/gtest.h>

namespace Medlar::KeyRange {
namespace {

using namespace std::chrono_literals;

const Base::TimePoint Start = Base::TimePoint{} + 1h;
// The longest lease on a slow clock, and the allowance for late wake-ups.
constexpr Base::Duration LongestLease = 4080ms + 250ms;
constexpr Epoch FormerEpoch = 7;
constexpr FencingToken FormerToken = FormerEpoch * IncarnationsPerEpoch;
constexpr Range Moving{0, 32767};
constexpr Range Staying{32768, LastKey};

RangeTable tableWith(const std::string &successorOfMoving, Epoch epochOfMoving = FormerEpoch)
{
    auto table = RangeTable::create(
        {{Moving, "a", epochOfMoving, successorOfMoving, {}}, {Staying, "a", FormerEpoch, {}, {}}},
        epochOfMoving);
    EXPECT_TRUE(table) << table.error().detail;
    return *table;
}

HeldReport report(std::uint64_t sequence, std::vector<HeldRange> held = {},
                  std::vector<FreedRange> freed = {})
{
    return {"backend-1", 100, sequence, std::move(held), std::move(freed)};
}

const std::vector<HeldRange> HeldAll{{{0, LastKey}, FormerToken}};
const std::vector<HeldRange> HeldStaying{{Staying, FormerToken}};

bool isHandedOver(const RangeKeeper &keeper, Base::Duration sinceStart)
{
    const auto wanted = keeper.wantedTable(Start + sinceStart);
    return wanted && wanted->row(Moving.first).owner == "b";
}

/*! A daemon that has just been restarted, whose BackendServer has leases of the former process. */
class FormerLeasesTest : public ::testing::Test
{
protected:
    FormerLeasesTest() { learnTable(tableWith("b")); }

    void learnTable(const RangeTable &table)
    {
        m_keeper.onTable(Start, ++m_version, table);
        m_keeper.onConfirmed(Start, m_version);
    }
    void beat(Base::Duration sinceStart, const HeldReport &heartbeat)
    {
        m_keeper.onHeartbeat(Start + sinceStart, heartbeat);
    }
    bool isHandedOver(Base::Duration sinceStart) const
    {
        return KeyRange::isHandedOver(m_keeper, sinceStart);
    }

    TableVersion m_version = 0;
    RangeKeeper m_keeper{"a", Start};
};

} // namespace

// Guards against keys that two BackendServers hold: the first heartbeat that a restarted daemon
// received was older than the leases of its former process, and counted as their release.
TEST_F(FormerLeasesTest, anOldFirstHeartbeatIsNoReleaseOfLaterLeases)
{
    beat(300ms, report(1));
    EXPECT_FALSE(isHandedOver(300ms));
    {
        SCOPED_TRACE("nor are further ones, in order or doubled");
        beat(400ms, report(1));
        beat(500ms, report(2));
        beat(600ms, report(3));
        EXPECT_FALSE(isHandedOver(600ms));
    }
    {
        SCOPED_TRACE("nor is one of an incarnation that has crashed since");
        HeldReport crashed = report(50);
        crashed.incarnation = 90;
        RangeKeeper keeper("a", Start);
        keeper.onTable(Start, 1, tableWith("b"));
        keeper.onConfirmed(Start, 1);
        keeper.onHeartbeat(Start + 300ms, crashed);
        keeper.onHeartbeat(Start + 400ms, report(9));
        EXPECT_FALSE(KeyRange::isHandedOver(keeper, 400ms));
    }
    {
        SCOPED_TRACE("the range moves when the longest lease has expired, and not later");
        EXPECT_FALSE(isHandedOver(LongestLease - 1ms));
        EXPECT_TRUE(isHandedOver(LongestLease));
    }
}

// Guards against keys that stay unserved for longer than their leases: a report of a held range
// counted as a lease of full length that began when the report arrived.
TEST_F(FormerLeasesTest, aLateReportDoesNotProlongLeasesOfTheFormerProcess)
{
    beat(3s, report(8, HeldAll));
    EXPECT_FALSE(isHandedOver(LongestLease - 1ms));
    EXPECT_TRUE(isHandedOver(LongestLease));

    SCOPED_TRACE("one that is late by more than a lease does not begin another");
    beat(LongestLease + 1s, report(9, HeldAll));
    EXPECT_TRUE(isHandedOver(LongestLease + 1s));
}

// Guards against a delay of each move after a restart: where the reports show that the range was
// released, the daemon need not wait for the longest lease.
TEST_F(FormerLeasesTest, aReportedReleaseEndsTheLeaseOfTheFormerProcess)
{
    beat(300ms, report(8, HeldAll));
    EXPECT_FALSE(isHandedOver(300ms)) << "the response withdraws the range";
    beat(400ms, report(9, HeldStaying, {{Moving, "handover"}}));
    ASSERT_TRUE(isHandedOver(400ms));
    EXPECT_EQ(m_keeper.wantedTable(Start + 400ms)->row(0).handover, "handover");
}

// Guards against a release that is older than the lease: it may have been made under an earlier
// epoch, or the report repeats it because no heartbeat has been acknowledged since.
TEST_F(FormerLeasesTest, anEarlierReleaseIsNoReleaseOfTheLease)
{
    const FreedRange freed{Moving, "handover"};
    {
        SCOPED_TRACE("no report names the range as held");
        beat(300ms, report(2, {}, {freed}));
        EXPECT_FALSE(isHandedOver(300ms));
    }
    {
        SCOPED_TRACE("the range was held again when its earlier release was reported");
        beat(400ms, report(3, HeldAll, {freed}));
        beat(500ms, report(4, HeldStaying, {freed}));
        EXPECT_FALSE(isHandedOver(500ms));
    }
    {
        SCOPED_TRACE("it was held under an earlier epoch of its row");
        learnTable(tableWith("b", FormerEpoch + 1));
        beat(600ms, report(5, HeldAll));
        beat(700ms, report(6, HeldStaying, {freed}));
        EXPECT_FALSE(isHandedOver(700ms));
    }
}

// Guards against a report of a release that proves nothing: a range was granted again under the
// same epoch after a move had been cancelled, so a late copy of the report looked like a new one.
TEST_F(FormerLeasesTest, aReleasedRangeIsGrantedAgainUnderANewEpochOnly)
{
    constexpr Epoch NewEpoch = FormerEpoch + 1;
    const FreedRange freed{Moving, "handover"};
    std::vector<HeldRange> held = HeldStaying;
    {
        SCOPED_TRACE("this process has granted the range, and another node is to take it");
        learnTable(tableWith({}, NewEpoch));
        const auto grant = m_keeper.onHeartbeat(Start + 300ms, report(8, HeldStaying));
        ASSERT_EQ(grant->ranges.size(), 2U);
        held.push_back({Moving, grant->ranges[0].token});
        learnTable(tableWith("b", NewEpoch));
        beat(400ms, report(9, held));
    }
    {
        SCOPED_TRACE("the move is cancelled before the release is known");
        learnTable(tableWith({}, NewEpoch));
        const auto grant = m_keeper.onHeartbeat(Start + 500ms, report(10, HeldStaying, {freed}));
        ASSERT_EQ(grant->ranges.size(), 1U);
        EXPECT_EQ(grant->ranges[0].range, Staying);
    }
    const auto wanted = m_keeper.wantedTable(Start + 500ms);
    ASSERT_TRUE(wanted);
    EXPECT_EQ(wanted->row(Moving.first).owner, "a");
    EXPECT_GT(wanted->row(Moving.first).epoch, NewEpoch);
    EXPECT_EQ(wanted->row(Staying.first).epoch, FormerEpoch);
    {
        SCOPED_TRACE("without the rule it would be granted under the same epoch");
        KeeperRules rules;
        rules.raisesEpochAfterRelease = false;
        RangeKeeper keeper("a", Start, {}, rules);
        keeper.onTable(Start, 1, tableWith({}));
        keeper.onConfirmed(Start, 1);
        keeper.onTable(Start, 2, tableWith({}, NewEpoch));
        keeper.onHeartbeat(Start + 300ms, report(8, HeldStaying));
        const auto grant = keeper.onHeartbeat(Start + 500ms, report(10, HeldStaying, {freed}));
        EXPECT_EQ(grant->ranges.size(), 2U);
    }
    {
        SCOPED_TRACE("it is granted under the new epoch, although its release is reported again");
        learnTable(*wanted);
        const auto grant = m_keeper.onHeartbeat(Start + 600ms, report(11, HeldStaying, {freed}));
        EXPECT_EQ(grant->ranges.size(), 2U);
        EXPECT_FALSE(m_keeper.wantedTable(Start + 600ms));
    }
}

// Guards against a lease that is continued although it was released: the answer to an old copy of a
// heartbeat, which nobody received, counted as a grant of the range.
TEST_F(FormerLeasesTest, anAnswerToAnOldHeartbeatIsNoGrantUnderAFormerEpoch)
{
    learnTable(tableWith({}));
    beat(300ms, report(5, HeldAll));
    const auto grant = m_keeper.onHeartbeat(Start + 400ms, report(9, HeldStaying));
    ASSERT_TRUE(grant);
    ASSERT_EQ(grant->ranges.size(), 1U);
    EXPECT_EQ(grant->ranges[0].range, Staying);
}

// Guards against keys that nobody serves after a restart: a range that stays on its VM is granted
// at once, whether its BackendServer still holds it or not.
TEST_F(FormerLeasesTest, rangesThatStayAreGrantedAtOnce)
{
    learnTable(tableWith({}));
    {
        SCOPED_TRACE("held ranges keep their tokens");
        const auto grant = m_keeper.onHeartbeat(Start + 300ms, report(8, HeldAll));
        ASSERT_TRUE(grant);
        ASSERT_EQ(grant->ranges.size(), 2U);
        EXPECT_EQ(grant->ranges[0].token, FormerToken);
        EXPECT_FALSE(m_keeper.wantedTable(Start + 300ms));
    }
    {
        SCOPED_TRACE("others get a new epoch");
        RangeKeeper keeper("a", Start);
        keeper.onTable(Start, 1, tableWith({}));
        keeper.onConfirmed(Start, 1);
        keeper.onHeartbeat(Start + 300ms, report(1));
        const auto wanted = keeper.wantedTable(Start + 300ms);
        ASSERT_TRUE(wanted);
        keeper.onTable(Start + 350ms, 2, *wanted);
        EXPECT_EQ(keeper.onHeartbeat(Start + 400ms, report(2))->ranges.size(), 2U);

        SCOPED_TRACE("whose grant nobody received, so a move waits for both leases");
        auto rows = wanted->rows();
        rows.front().successor = "b";
        keeper.onTable(Start + 500ms, 3, *RangeTable::create(rows, wanted->lastEpoch()));
        keeper.onHeartbeat(Start + 600ms, report(3));
        keeper.onHeartbeat(Start + 700ms, report(4));
        EXPECT_FALSE(KeyRange::isHandedOver(keeper, 700ms));
        EXPECT_FALSE(KeyRange::isHandedOver(keeper, LongestLease - 1ms));
        EXPECT_TRUE(KeyRange::isHandedOver(keeper, 700ms + LongestLease));
    }
}

// Guards against keys that nobody serves for seconds: a daemon was down until the leases had
// expired and successors were planned, and its ranges waited for leases that had ended.
TEST_F(FormerLeasesTest, rangesThatAreToMoveAreServedUntilTheReportsProveThatTheyMay)
{
    beat(300ms, report(30));
    const auto raised = m_keeper.wantedTable(Start + 300ms);
    ASSERT_TRUE(raised);
    EXPECT_EQ(raised->row(Moving.first).owner, "a");
    EXPECT_EQ(raised->row(Moving.first).successor, "b");
    EXPECT_GT(raised->row(Moving.first).epoch, FormerEpoch);
    learnTable(*raised);

    const auto grant = m_keeper.onHeartbeat(Start + 1200ms, report(31));
    ASSERT_EQ(grant->ranges.size(), 2U);
    EXPECT_FALSE(isHandedOver(1200ms));
    EXPECT_TRUE(m_keeper.isHeld(Start + 1200ms, Moving.first));
    const HeldRange moving{Moving, grant->ranges[0].token};
    const HeldRange staying{Staying, grant->ranges[1].token};
    {
        SCOPED_TRACE("a report that is older than this grant proves nothing");
        RangeKeeper other = m_keeper;
        other.onHeartbeat(Start + 1300ms, report(32));
        EXPECT_FALSE(KeyRange::isHandedOver(other, 1300ms));
    }
    {
        SCOPED_TRACE("one that names it withdraws the range");
        const auto next = m_keeper.onHeartbeat(Start + 2100ms, report(32, {moving, staying}));
        ASSERT_EQ(next->ranges.size(), 1U);
        EXPECT_EQ(next->ranges[0].range, Staying);
        EXPECT_FALSE(isHandedOver(2100ms));
    }
    beat(2200ms, report(33, {staying}, {{Moving, "handover"}}));
    ASSERT_TRUE(isHandedOver(2200ms));
    EXPECT_EQ(m_keeper.wantedTable(Start + 2200ms)->row(0).handover, "handover");
}

// Guards against a wait that ends early because it began before the table was known.
TEST(FormerLeases, countWhenTheTableIsKnownAfterTheFirstHeartbeat)
{
    RangeKeeper keeper("a", Start);
    keeper.onHeartbeat(Start + 300ms, report(1));
    keeper.onTable(Start + 2s, 1, tableWith("b"));
    keeper.onConfirmed(Start + 2s, 1);
    EXPECT_FALSE(isHandedOver(keeper, 2s));
    keeper.onHeartbeat(Start + 2100ms, report(2));
    EXPECT_FALSE(isHandedOver(keeper, 2100ms));
    EXPECT_TRUE(isHandedOver(keeper, LongestLease));
}

} // namespace Medlar::KeyRange
