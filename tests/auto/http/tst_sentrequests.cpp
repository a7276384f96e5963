#include "http/sentrequests.h"

#include <gtest/gtest.h>

namespace Medlar::Http {

using namespace std::chrono_literals;

// Guards against requests that are forgotten while they may still be sent once more, and against a
// connection whose memory grows with each request.
TEST(SentRequests, requestsAreRememberedUntilTheyAreNotSentAgain)
{
    const Base::TimePoint start{};
    SentRequests sent;
    sent.add(start, "late", start + 1h);
    sent.add(start, "", start + 1h);
    EXPECT_FALSE(sent.contains("")) << "responses to requests without an id cannot be told apart";
    constexpr int Requests = 100000;
    for (int i = 0; i < Requests; ++i) {
        const Base::TimePoint now = start + i * 10ms;
        sent.add(now, std::to_string(i), now + 1200ms);
        ASSERT_TRUE(sent.contains(std::to_string(i)));
        ASSERT_TRUE(sent.contains(std::to_string(std::max(0, i - 100))));
        ASSERT_FALSE(sent.isFull());
    }
    EXPECT_TRUE(sent.contains("late"));
    EXPECT_FALSE(sent.contains("0"));

    SCOPED_TRACE("with late deadlines, the connection is not used for ever");
    for (int i = 0; i < Requests && !sent.isFull(); ++i)
        sent.add(start, "slow" + std::to_string(i), start + 1h);
    EXPECT_TRUE(sent.isFull());
    EXPECT_TRUE(sent.contains("slow0"));
}

} // namespace Medlar::Http
