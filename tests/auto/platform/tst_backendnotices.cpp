#include "../logging/recordinglog.h"
#include "http/httpserver.h"
#include "platform/backendheaders.h"
#include "relay/localbackend.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace Medlar::Platform {
namespace {

using namespace std::chrono_literals;
using Messages::ForwardRequest;
using Messages::ForwardResponse;

/*! A BackendServer that answers at once, with headers that say something about itself. */
class BackendNoticesTest : public ::testing::Test
{
protected:
    void SetUp() override
    {
        auto created = Http::HttpServer::create(
            m_context, {}, [this](const Http::HttpRequest &, const Http::Reply &reply) {
                ++m_received;
                Http::Headers headers{{"Server-Seal", "3e1b"}};
                headers.insert(headers.end(), m_notices.begin(), m_notices.end());
                reply({200, headers, "body"});
            });
        ASSERT_TRUE(created);
        m_server = std::move(*created);
        Http::BackendClientSettings settings;
        settings.port = m_server->port();
        m_local = std::make_unique<Relay::LocalBackend>(
            m_context, settings, m_dialect, Relay::LocalBackendHooks{}, m_log, m_metrics);
        m_local->setService("catalog", "i-1");
        Gate::BackendCondition condition;
        condition.isPresent = true;
        condition.slots = 50;
        m_local->setCondition(condition);
    }

    void handle()
    {
        ForwardRequest request;
        request.method = "GET";
        request.target = "/";
        request.requestId = "r" + std::to_string(++m_offered);
        request.service = "catalog";
        request.route = "items";
        request.targetLeft = 300ms;
        m_local->handle(std::move(request), std::chrono::steady_clock::now() + 1200ms,
                        [this](const ForwardResponse &answer) {
                            if (answer.outcome == Messages::Outcome::NotRun)
                                m_declined.push_back(answer);
                            else
                                ++m_answered;
                        });
    }

    struct Result
    {
        std::size_t received = 0; //!< requests that reached the BackendServer
        double seconds = 0.0;
    };

    /*! Offers \a count requests, one each 10 ms or more. */
    Result offer(std::size_t count)
    {
        const std::size_t before = m_received;
        const auto start = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < count; ++i) {
            handle();
            m_context.restart();
            m_context.run_for(10ms);
        }
        const auto elapsed = std::chrono::steady_clock::now() - start;
        return {m_received - before, std::chrono::duration<double>(elapsed).count()};
    }

    /*! Sends one request and waits until its answer has been read. */
    void learnNotices()
    {
        const std::size_t before = m_answered;
        while (m_answered == before) {
            handle();
            m_context.restart();
            m_context.run_for(10ms);
        }
    }

    boost::asio::io_context m_context;
    Logging::RecordingLog m_log;
    Metrics::MetricRegistry m_metrics;
    BackendHeaders m_dialect;
    std::size_t m_received = 0;
    std::size_t m_offered = 0;
    std::size_t m_answered = 0;
    Http::Headers m_notices;
    std::vector<ForwardResponse> m_declined;
    std::unique_ptr<Http::HttpServer> m_server;
    std::unique_ptr<Relay::LocalBackend> m_local;
};

} // namespace

// Guards against a BackendServer in need that gets many times the requests that it has said it
// takes.
TEST_F(BackendNoticesTest, aBackendServerGetsNoMoreRequestsThanTheLimitThatItNames)
{
    constexpr double Limit = 20.0;
    m_notices = {{"Server-Limit", "20.0"}};
    learnNotices();
    offer(20);
    const Result limited = offer(200);
    const auto received = static_cast<double>(limited.received);
    EXPECT_LE(received, 1.5 * Limit * limited.seconds + 5.0);
    EXPECT_GE(received, 0.8 * Limit * 2.0) << "it gets as many as it has said";
    ASSERT_FALSE(m_declined.empty()) << "what cannot be served in time is declined at once";
    EXPECT_GT(m_declined.back().retryAfter, 0ms);

    SCOPED_TRACE("the limit ends with the first answer that does not name it");
    m_notices.clear();
    learnNotices();
    EXPECT_GE(offer(50).received, 40U);
}

// Guards against requests to a BackendServer that has said in its answers that it leaves, while
// its heartbeats do not say so.
TEST_F(BackendNoticesTest, aBackendServerThatSaysInAnAnswerThatItLeavesGetsNoMoreRequests)
{
    m_notices = {{"Server-Leaving", "1"}};
    learnNotices();
    EXPECT_EQ(offer(20).received, 0U);
    ASSERT_FALSE(m_declined.empty());
    EXPECT_EQ(m_declined.back().error, "backend-draining");

    SCOPED_TRACE("another incarnation does not leave");
    m_notices.clear();
    m_local->setService("catalog", "i-1");
    EXPECT_GE(offer(20).received, 10U);
}

// Guards against limits that are no number of requests: they change nothing and are logged once.
TEST_F(BackendNoticesTest, aLimitThatIsNoNumberOfRequestsIsLoggedAndChangesNothing)
{
    for (const std::string value : {"-3", "nan", "inf", "", "many", "5 per second", "1e400"}) {
        SCOPED_TRACE(value);
        m_notices = {{"Server-Limit", value}};
        const std::size_t logged = m_log.count("event=backend-limit-unreadable");
        learnNotices();
        EXPECT_GE(offer(10).received, 8U);
        EXPECT_EQ(m_log.count("event=backend-limit-unreadable"), logged + 1);
    }

    SCOPED_TRACE("the last limit that could be read still holds");
    m_notices = {{"Server-Limit", "5"}};
    learnNotices();
    m_notices = {{"Server-Limit", "nan"}};
    learnNotices();
    const Result limited = offer(50);
    EXPECT_LE(static_cast<double>(limited.received), 5.0 * limited.seconds + 2.0);

    SCOPED_TRACE("a limit above what any VM handles is none");
    m_notices = {{"Server-Limit", "100000000000000000000"}};
    learnNotices();
    EXPECT_GE(offer(20).received, 15U);

    SCOPED_TRACE("a limit of 0 leaves a request now and then, by which its end is noticed");
    m_notices = {{"Server-Limit", "0"}};
    learnNotices();
    const Result closed = offer(50);
    EXPECT_LE(static_cast<double>(closed.received), 0.5 * closed.seconds + 2.0);
    m_notices.clear();
    learnNotices();
    EXPECT_GE(offer(20).received, 15U);
}

} // namespace Medlar::Platform
