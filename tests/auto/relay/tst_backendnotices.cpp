#include "relay/backendnotices.h"

#include <gtest/gtest.h>

namespace Medlar::Relay {

// Guards against limits that other daemons learn too late, and against a message to all of them for
// every response of a BackendServer whose limit varies.
TEST(BackendNotices, changesThatOthersMustActOnAreSentAtOnce)
{
    const auto limited = [](std::uint64_t thousandths) {
        return Messages::NodeNotice{"i-1/1", false, thousandths};
    };
    EXPECT_TRUE(mustSendAtOnce(limited(0), limited(26300))) << "a limit appears";
    EXPECT_TRUE(mustSendAtOnce(limited(26300), limited(0))) << "it ends";
    EXPECT_TRUE(mustSendAtOnce(limited(26300), limited(13000)));
    EXPECT_FALSE(mustSendAtOnce(limited(26300), limited(25000)));
    EXPECT_FALSE(mustSendAtOnce(limited(0), limited(0)));
    EXPECT_TRUE(mustSendAtOnce({"i-1/1", false, 0}, {"i-1/1", true, 0}));
}

TEST(BackendNotices, aLimitOfZeroIsNotTakenForNone)
{
    EXPECT_EQ(toThousandths(std::nullopt), 0U);
    EXPECT_EQ(toThousandths(0.0), 1U);
    EXPECT_EQ(toThousandths(26.3), 26300U);
    EXPECT_EQ(toThousandths(1e20), 0U) << "no VM handles as many requests";
}

} // namespace Medlar::Relay
