#include "relay/backendlife.h"

#include <gtest/gtest.h>

namespace Medlar::Relay {

using Report = BackendLife::Report;

// Guards against a BackendServer that is used again after it has taken its leave, because the
// daemon was restarted just before and knew no heartbeat of it: the leave was acknowledged and
// forgotten, and the heartbeats that followed said that it was ready.
TEST(BackendLife, aLeaveBeforeTheFirstHeartbeatIsNotForgotten)
{
    for (const std::uint64_t lifeInLeave : {std::uint64_t(1000), std::uint64_t(0)}) {
        SCOPED_TRACE(lifeInLeave);
        BackendLife life;
        life.onLeave("i-1", lifeInLeave);
        EXPECT_FALSE(life.hasLeft()) << "nothing is known of it";
        EXPECT_EQ(life.onHeartbeat("i-1", 1000, 7), Report::NewIncarnation);
        EXPECT_TRUE(life.hasLeft());
        EXPECT_EQ(life.onHeartbeat("i-1", 1000, 8), Report::Known);
        EXPECT_TRUE(life.hasLeft());

        SCOPED_TRACE("it is used when it was started again under the same id");
        EXPECT_EQ(life.onHeartbeat("i-1", 2000, 1), Report::NewIncarnation);
        EXPECT_FALSE(life.hasLeft());
    }
    BackendLife life;
    life.onLeave("i-1", 0);
    life.onHeartbeat("i-2", 1500, 1);
    EXPECT_FALSE(life.hasLeft()) << "another BackendServer uses the address";
}

// Guards against the same after a restart behind the leave, which only other daemons still know.
TEST(BackendLife, aLeaveThatAnotherDaemonReportsHoldsForThatIncarnationOnly)
{
    BackendLife life;
    life.onHeartbeat("i-1", 1000, 9);
    life.onLeaveReported("i-2/1000");
    life.onLeaveReported("i-1/500");
    EXPECT_FALSE(life.hasLeft());
    life.onLeaveReported(life.incarnation());
    EXPECT_TRUE(life.hasLeft());
}

TEST(BackendLife, heartbeatsThatWereOvertakenAreStale)
{
    BackendLife life;
    life.onHeartbeat("i-1", 1000, 9);
    EXPECT_EQ(life.onHeartbeat("i-1", 1000, 8), Report::Stale);
    EXPECT_EQ(life.onHeartbeat("i-0", 900, 20), Report::Stale) << "an earlier incarnation";
    EXPECT_EQ(life.onHeartbeat("i-2", 1100, 1), Report::NewIncarnation);
    EXPECT_EQ(life.onHeartbeat("i-1", 1000, 10), Report::Stale);
    life.onLeave("i-1", 1000);
    life.onLeave("i-1", 0);
    EXPECT_FALSE(life.hasLeft()) << "the leave of an earlier incarnation";
    life.onLeave("i-2", 0);
    EXPECT_TRUE(life.hasLeft());
}

} // namespace Medlar::Relay
