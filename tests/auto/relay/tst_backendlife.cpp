#include "relay/backendlife.h"

#include <gtest/gtest.h>

namespace Medlar::Relay {

namespace {

using Report = BackendLife::Report;

BackendReport report(const std::string &backend, std::uint64_t life, std::uint64_t sequence,
                     const std::string &service = "catalog")
{
    return {backend, service, life, sequence};
}

} // namespace

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
        EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 7), true), Report::NewIncarnation);
        EXPECT_TRUE(life.hasLeft());
        EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 8), true), Report::Known);
        EXPECT_TRUE(life.hasLeft());

        SCOPED_TRACE("it is used when it was started again under the same id");
        EXPECT_EQ(life.onHeartbeat(report("i-1", 2000, 1), true), Report::NewIncarnation);
        EXPECT_FALSE(life.hasLeft());
    }
    BackendLife life;
    life.onLeave("i-1", 0);
    life.onHeartbeat(report("i-2", 1500, 1), true);
    EXPECT_FALSE(life.hasLeft()) << "another BackendServer uses the address";
}

// Guards against the same after a restart behind the leave, which only other daemons still know.
TEST(BackendLife, aLeaveThatAnotherDaemonReportsHoldsForThatIncarnationOnly)
{
    BackendLife life;
    life.onHeartbeat(report("i-1", 1000, 9), true);
    life.onLeaveReported("i-2/1000");
    life.onLeaveReported("i-1/500");
    EXPECT_FALSE(life.hasLeft());
    life.onLeaveReported(life.incarnation());
    EXPECT_TRUE(life.hasLeft());
}

TEST(BackendLife, heartbeatsThatWereOvertakenAreStale)
{
    BackendLife life;
    life.onHeartbeat(report("i-1", 1000, 9), true);
    EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 8), true), Report::Stale);
    EXPECT_EQ(life.onHeartbeat(report("i-0", 900, 20), true), Report::Stale)
        << "an earlier incarnation";
    EXPECT_EQ(life.onHeartbeat(report("i-2", 1100, 1), true), Report::NewIncarnation);
    EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 10), true), Report::Stale);
    life.onLeave("i-1", 1000);
    life.onLeave("i-1", 0);
    EXPECT_FALSE(life.hasLeft()) << "the leave of an earlier incarnation";
    life.onLeave("i-2", 0);
    EXPECT_TRUE(life.hasLeft());
}

// Guards against heartbeats of other writers that end the present incarnation or make its true
// heartbeats stale: they name a service that does not exist, or another one than the incarnation.
TEST(BackendLife, aHeartbeatOfAnotherWriterChangesNothing)
{
    BackendLife life;
    EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 3, "no-such-service"), false), Report::Foreign);
    EXPECT_EQ(life.incarnation(), "") << "before the first true one";
    EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 4), true), Report::NewIncarnation);
    life.onLeave("i-1", 1000);

    for (const BackendReport &foreign :
         {report("i-1", 1000, 90, "no-such-service"), report("i-1", 9000, 90, "no-such-service"),
          report("i-9", 9000, 90, "no-such-service")}) {
        EXPECT_EQ(life.onHeartbeat(foreign, false), Report::Foreign);
    }
    EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 90, "orders"), true), Report::Foreign)
        << "an incarnation does not change its service";
    EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 5), true), Report::Known);
    EXPECT_TRUE(life.hasLeft()) << "it is still the incarnation that has left";

    SCOPED_TRACE("the service of the present incarnation is removed from the configuration");
    EXPECT_EQ(life.onHeartbeat(report("i-1", 1000, 6), false), Report::Known);
    EXPECT_EQ(life.onHeartbeat(report("i-1", 2000, 1), false), Report::Foreign);
    SCOPED_TRACE("and added again");
    EXPECT_EQ(life.onHeartbeat(report("i-1", 2000, 2), true), Report::NewIncarnation);
    SCOPED_TRACE("the address is used by another service");
    EXPECT_EQ(life.onHeartbeat(report("i-2", 3000, 1, "orders"), true), Report::NewIncarnation);
}

} // namespace Medlar::Relay
