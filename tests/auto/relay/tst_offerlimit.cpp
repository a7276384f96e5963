#include "relay/offerlimit.h"

#include <gtest/gtest.h>

#include <random>

namespace Medlar::Relay {
namespace {

constexpr char Route[] = "status";

struct Replay
{
    int served = 0;
    int offers = 0;
};

/*! Offers \a requests within the limit to nodes that have room with the probability
    \a acceptedShare. */
Replay replay(OfferLimit &limit, int requests, double acceptedShare, std::mt19937_64 &random)
{
    std::bernoulli_distribution isAccepted(acceptedShare);
    Replay result;
    for (int i = 0; i < requests; ++i) {
        bool isServed = false;
        for (unsigned offer = 0; !isServed && (offer == 0 || offer < limit.maxOffers(Route));
             ++offer) {
            ++result.offers;
            isServed = isAccepted(random);
            limit.onOffered(Route, isServed);
        }
        result.served += isServed ? 1 : 0;
    }
    return result;
}

} // namespace

// Guards against offering each request of a full service to five nodes, one after the other:
// 250,285 of 274,476 declines on an overloaded day were of one route, and each cost a round trip.
TEST(OfferLimit, offersFallToOneWhileAServiceIsFull)
{
    OfferLimit limit;
    std::mt19937_64 random(3);
    EXPECT_EQ(limit.maxOffers(Route), OfferLimit::MaxOffers) << "nothing was declined yet";
    {
        SCOPED_TRACE("with room at most nodes, nearly all requests are served");
        const Replay calm = replay(limit, 1000, 0.9, random);
        EXPECT_GT(calm.served, 995);
    }
    {
        SCOPED_TRACE("one in ten nodes has room");
        const Replay full = replay(limit, 1000, 0.1, random);
        EXPECT_LT(full.offers, 1200);
        EXPECT_EQ(limit.maxOffers(Route), 1U);
    }
    {
        SCOPED_TRACE("another route has other BackendServers, or other home regions");
        EXPECT_EQ(limit.maxOffers("order"), OfferLimit::MaxOffers);
    }
    {
        SCOPED_TRACE("room is noticed within a few requests");
        replay(limit, 15, 1.0, random);
        EXPECT_EQ(limit.maxOffers(Route), OfferLimit::MaxOffers);
    }
}

} // namespace Medlar::Relay
