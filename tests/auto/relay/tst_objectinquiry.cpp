#include "relay/objectinquiry.h"

#include <gtest/gtest.h>

#include <map>

namespace Medlar::Relay {
namespace {

using namespace std::chrono_literals;

constexpr char Key[] = "config/main";
const Base::TimePoint Start{1000s};

std::vector<std::string> makePeers(int count)
{
    std::vector<std::string> result(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        result[static_cast<std::size_t>(i)] = "node-" + std::to_string(i);
    return result;
}

} // namespace

// Guards against all nodes of a region requesting a configuration from the same peer. Sending
// a configuration of 430 KB took 3 s over the peer's 10 Mbit/s link, which is longer than
// a configuration may take to be in force.
TEST(ObjectInquiry, simultaneousRequestsAreSpreadOverThePeers)
{
    constexpr int Nodes = 60;
    constexpr int Peers = 3;
    std::map<std::string, int> requestsByPeer;
    for (int node = 0; node < Nodes; ++node) {
        ObjectInquiry inquiry(static_cast<std::uint64_t>(node));
        ++requestsByPeer[inquiry.selectPeer(Start, Key, makePeers(Peers)).value_or("none")];
    }
    EXPECT_EQ(requestsByPeer.size(), std::size_t(Peers));
    for (const auto &[peer, count] : requestsByPeer)
        EXPECT_LT(count, Nodes / 2) << peer;
}

// Guards against duplicate transfers: each repeated status message of a peer caused another request
// for the object while the first copy was still being sent.
TEST(ObjectInquiry, onlyOneRequestForAnObjectIsPending)
{
    ObjectInquiry inquiry(1);
    ASSERT_TRUE(inquiry.selectPeer(Start, Key, makePeers(3)));
    EXPECT_FALSE(inquiry.selectPeer(Start + 100ms, Key, makePeers(3)));
    {
        SCOPED_TRACE("other objects can be requested at the same time");
        EXPECT_TRUE(inquiry.selectPeer(Start + 100ms, "ranges/berths", makePeers(3)));
    }
    {
        SCOPED_TRACE("the response may contain an older version than the latest one known");
        inquiry.onAnswered(Key);
        EXPECT_TRUE(inquiry.selectPeer(Start + 200ms, Key, makePeers(3)));
    }
}

TEST(ObjectInquiry, anotherPeerIsSelectedAfterATimeout)
{
    ObjectInquiry inquiry(1);
    const auto first = inquiry.selectPeer(Start, Key, makePeers(2));
    ASSERT_TRUE(first);
    {
        SCOPED_TRACE("after 1 s without a response");
        const auto second = inquiry.selectPeer(Start + 1s, Key, makePeers(2));
        ASSERT_TRUE(second);
        EXPECT_NE(*second, *first);
        SCOPED_TRACE("immediately after the link to the peer is lost");
        inquiry.onPeerLost(*second);
        EXPECT_TRUE(inquiry.selectPeer(Start + 1s, Key, makePeers(2)));
    }
    {
        SCOPED_TRACE("the only candidate is selected again");
        const auto only = inquiry.selectPeer(Start + 3s, Key, makePeers(1));
        EXPECT_EQ(only, "node-0");
        EXPECT_EQ(inquiry.selectPeer(Start + 5s, Key, makePeers(1)), "node-0");
    }
    EXPECT_FALSE(inquiry.selectPeer(Start + 9s, Key, {}));
}

} // namespace Medlar::Relay
