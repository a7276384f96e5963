#include "relay/placechooser.h"

#include <gtest/gtest.h>

#include <map>

namespace Medlar::Relay {
namespace {

using namespace std::chrono_literals;
using Messages::BackendState;

const Base::TimePoint Start = Base::TimePoint{} + 1h;

Messages::NodeStatus status(const std::string &service, BackendState state = BackendState::Ready)
{
    Messages::NodeStatus result;
    result.service = service;
    result.backend = "backend";
    result.state = state;
    result.slots = 6;
    return result;
}

class PlaceChooserTest : public ::testing::Test
{
protected:
    PlaceChooserTest()
        : m_fleet("self", {"10.0.0.1", 1, "north", "north-a"}), m_chooser("north", "north-a", 1)
    {
        m_fleet.onStatus(Start, "self", status("other"));
        add("near", "north", "north-a");
        add("next", "north", "north-b");
        add("far", "south", "south-a");
    }

    void add(const std::string &name, const std::string &region, const std::string &zone)
    {
        m_fleet.setRegistered(name, {"10.0.0.2", 1, region, zone});
        m_fleet.setLinked(Start, name, true);
        m_fleet.onStatus(Start, name, status("catalog"));
        m_fleet.onLoad(Start, name, {0, 0, 50ms, 50ms});
    }

    /*! Choices of a hundred requests. */
    std::map<std::string, int> choices(const PlaceWish &wish, Base::TimePoint now = Start)
    {
        std::map<std::string, int> result;
        for (int i = 0; i < 100; ++i)
            ++result[m_chooser.choose(now, m_fleet, wish).value_or("")];
        return result;
    }

    FleetView m_fleet;
    PlaceChooser m_chooser;
    PlaceWish m_wish{"catalog", {}, {}, {}, {}};
};

} // namespace

TEST_F(PlaceChooserTest, theCallersRegionServesUntilItIsFull)
{
    EXPECT_EQ(choices(m_wish).count("far"), 0U);
    for (const char *name : {"near", "next"})
        m_fleet.onLoad(Start, name, {6, 30, 50ms, 50ms});
    EXPECT_EQ(choices(m_wish)["far"], 100) << "the way costs less than the wait";
}

// Load pattern: waits in the caller's region while another one is idle. Bytes between regions are
// billed, so requests leave their region only for an answer that would be late otherwise.
TEST_F(PlaceChooserTest, requestsStayInTheirRegionWhileTheyAreInTimeThere)
{
    for (const char *name : {"near", "next"})
        m_fleet.onLoad(Start, name, {6, 16, 50ms, 50ms});
    m_wish.targetLeft = 900ms;
    EXPECT_EQ(choices(m_wish).count("far"), 0U)
        << "it would be faster there, but it is in time here";
    m_wish.targetLeft = 150ms;
    EXPECT_EQ(choices(m_wish)["far"], 100);
}

// Load pattern: requests with homes in the north keep its BackendServers at ten of twelve slots,
// with queues, while those in the south run three. Calls without homes filled the north as well.
TEST_F(PlaceChooserTest, requestsThatMayGoElsewhereMakeRoomForThoseThatMayNot)
{
    for (const char *name : {"near", "next"})
        m_fleet.onLoad(Start, name, {5, 0, 50ms, 50ms});
    m_wish.targetLeft = 250ms;
    EXPECT_EQ(choices(m_wish).count("far"), 0U) << "nothing else needs the north";
    m_wish.contendedRegions = {"north"};
    EXPECT_GT(choices(m_wish)["far"], 50);
    {
        SCOPED_TRACE("while there is room for both, they stay");
        for (const char *name : {"near", "next"})
            m_fleet.onLoad(Start, name, {2, 0, 50ms, 50ms});
        EXPECT_EQ(choices(m_wish).count("far"), 0U);
    }
    {
        SCOPED_TRACE("requests that are bound to the north go nowhere else");
        m_wish.allowedRegions = {"north"};
        m_wish.contendedRegions.clear();
        EXPECT_EQ(choices(m_wish).count("far"), 0U);
    }
}

TEST_F(PlaceChooserTest, homeRegionsBindAlsoWhenTheyAreFull)
{
    m_fleet.onLoad(Start, "far", {6, 60, 50ms, 50ms});
    m_wish.allowedRegions = {"south"};
    EXPECT_EQ(choices(m_wish)["far"], 100);
    m_wish.allowedRegions = {"west"};
    EXPECT_EQ(choices(m_wish)[""], 100);
}

TEST_F(PlaceChooserTest, aSlowOrFailingBackendServerIsSpared)
{
    {
        SCOPED_TRACE("slow");
        m_fleet.onLoad(Start, "near", {0, 0, 500ms, 500ms});
        EXPECT_EQ(choices(m_wish)["near"], 0);
        m_fleet.onLoad(Start, "near", {0, 0, 50ms, 50ms});
    }
    {
        SCOPED_TRACE("failing, and tried again after a while");
        m_fleet.onSent("near");
        m_fleet.onRequestEnded(Start, "near", true);
        EXPECT_EQ(choices(m_wish)["near"], 0);
        for (int i = 0; i < 60; ++i)
            m_fleet.onRequestEnded(Start, "near", false);
        EXPECT_GT(choices(m_wish, Start + 5s)["near"], 0);
    }
}

TEST_F(PlaceChooserTest, nothingIsSentWhereItWouldBeDeclined)
{
    m_fleet.onStatus(Start, "near", status("catalog", BackendState::Draining));
    m_fleet.onStatus(Start, "next", status("catalog", BackendState::Evacuated));
    EXPECT_EQ(choices(m_wish)["far"], 100);
    m_fleet.setLinked(Start, "far", false);
    EXPECT_EQ(choices(m_wish)[""], 100);
    m_fleet.setLinked(Start, "far", true);
    m_fleet.onStatus(Start, "far", status("other"));
    EXPECT_EQ(choices(m_wish)[""], 100) << "another service has the address now";
}

TEST_F(PlaceChooserTest, equalPlacesShareTheRequests)
{
    m_fleet.onLoad(Start, "next", {0, 0, 50ms, 50ms});
    const auto shares = choices(m_wish);
    EXPECT_GT(shares.at("near"), 20);
    EXPECT_GT(shares.at("next"), 20);
}

TEST_F(PlaceChooserTest, aBackendServerThatJoinedGetsRequestsBeforeItsSpeedIsKnown)
{
    m_fleet.onLoad(Start, "near", {0, 0, 20ms, 20ms});
    m_fleet.onLoad(Start, "next", {0, 0, 20ms, 20ms});
    m_fleet.setRegistered("joined", {"10.0.0.9", 1, "north", "north-b"});
    m_fleet.setLinked(Start, "joined", true);
    m_fleet.onStatus(Start, "joined", status("catalog"));
    EXPECT_GT(choices(m_wish)["joined"], 20);
}

} // namespace Medlar::Relay
