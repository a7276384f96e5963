#include "../http/eventloop.h"
#include "platform/backendheaders.h"
#include "platform/callerlistener.h"
#include "platform/operatorconfiguration.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Medlar::Platform {
namespace {

using namespace std::chrono_literals;

constexpr char Configuration[] = R"({"version": 7,
  "tenants": [{"name": "pulo780", "api-keys": ["secretkey1", "secretkey2"]},
              {"name": "mira12", "api-keys": ["secretkey3"], "rate-per-s": 0.01, "burst-size": 2}],
  "listeners": [{"host-name": "shop.example", "rules": [
    {"name": "r-all", "route-kind": "idempotent", "target-latency-s": 0.3,
     "match": {"path-prefix": "/"}, "action": {"service": "catalog", "timeout-s": 5}}]}],
  "clusters": [{"name": "catalog"}]})";

class RecordingLog : public Base::LogSink
{
public:
    void write(const Base::LogLine &line) override { text += line.toString() + '\n'; }

    std::string text;
};

/*! A node without peers and without a BackendServer: a request that is accepted gets 503 with
    "no-backend". */
class CallerListenerTest : public ::testing::Test
{
protected:
    CallerListenerTest()
    {
        PlatformSettings settings;
        settings.callers.ip = "127.0.0.1";
        settings.maxDescriptors = 100;
        auto created = CallerListener::create(m_context, settings, m_relay, m_rates, nullptr, m_log,
                                              m_metrics, 1);
        EXPECT_TRUE(created) << created.error();
        m_listener = std::move(*created);
        setConfiguration(nlohmann::json::parse(Configuration));
        m_client = std::make_unique<Http::RawClient>(m_context, m_listener->port());
    }

    void setConfiguration(const nlohmann::json &configuration)
    {
        auto routes = std::make_shared<const Configuration::RouteTable>(
            *readOperatorConfiguration(configuration.dump()));
        m_rates.setAccounts(routes->accounts);
        m_listener->setRoutes(routes);
    }

    static std::string request(const std::string &id, const std::string &key)
    {
        return "GET /list HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
               + "\r\nAuthorization: Token " + key + "\r\n\r\n";
    }

    /*! Sends on the same connection and returns what comes back, up to the JSON body. */
    std::string exchange(const std::string &bytes)
    {
        const std::size_t start = m_client->received().size();
        m_client->send(bytes);
        Http::runUntil(m_context,
                       [&] { return m_client->received().find('}', start) != std::string::npos; });
        return m_client->received().substr(start);
    }

    boost::asio::io_context m_context;
    RecordingLog m_log;
    Metrics::MetricRegistry m_metrics;
    BackendHeaders m_dialect;
    Relay::FleetView m_fleet{"self", {"10.0.0.1", 1, "north", "north-a"}};
    Relay::LocalBackend m_local{m_context, {}, m_dialect, {}, m_log, m_metrics};
    std::vector<Messages::ForwardRequest> m_sent; //!< to other nodes
    Relay::RequestRelay m_relay{m_context,
                                m_fleet,
                                m_local,
                                Relay::PlaceChooser("north", "north-a", 1),
                                {{},
                                 [this](const std::string &, const Messages::PeerMessage &message) {
                                     if (const auto *const request
                                         = std::get_if<Messages::ForwardRequest>(&message))
                                         m_sent.push_back(*request);
                                     return true;
                                 }},
                                m_log,
                                m_metrics};
    Relay::AccountRates m_rates{
        m_context, m_fleet,
        [](const std::string &, const Messages::PeerMessage &) { return false; }, m_log, m_metrics};
    std::unique_ptr<CallerListener> m_listener;
    std::unique_ptr<Http::RawClient> m_client;
};

} // namespace

// Guards against a withdrawn key that stays valid on an open connection, and a key in a log line, a
// response or a metric.
TEST_F(CallerListenerTest, checksTheKeyOfEachRequestAndKeepsItSecret)
{
    EXPECT_NE(exchange(request("a0", "secretkey1")).find("configuration-outdated"),
              std::string::npos);
    m_listener->confirmRoutes();
    EXPECT_NE(exchange(request("a1", "secretkey1")).find("no-backend"), std::string::npos);
    EXPECT_NE(exchange(request("a2", "secretkey9")).find("401"), std::string::npos);
    auto configuration = nlohmann::json::parse(Configuration);
    configuration["version"] = 8;
    configuration["tenants"][0]["api-keys"] = {"secretkey2"};
    setConfiguration(configuration);
    EXPECT_NE(exchange(request("a3", "secretkey1")).find("401"), std::string::npos);
    EXPECT_NE(exchange(request("a4", "secretkey2")).find("no-backend"), std::string::npos);

    EXPECT_NE(m_log.text.find("event=account-rejected request_id=a3 status=401"), std::string::npos)
        << m_log.text;
    const std::string metrics = m_metrics.prometheusText();
    EXPECT_NE(metrics.find("medlar_account_requests_total"), std::string::npos);
    for (const std::string &text : {m_log.text, metrics, m_client->received()})
        EXPECT_EQ(text.find("secretkey"), std::string::npos) << text;
}

// Guards against an answer with status 000 that reaches a client or a calling service: a daemon of
// another version passed it on from its BackendServer.
TEST_F(CallerListenerTest, aStatusThatCallersCannotUseReachesNoCaller)
{
    m_listener->confirmRoutes();
    const Base::TimePoint now = std::chrono::steady_clock::now();
    m_fleet.setRegistered("one", {"10.0.0.2", 1, "north", "north-a"});
    m_fleet.setLinked(now, "one", true);
    Messages::NodeStatus status;
    status.service = "catalog";
    status.backend = "i-1/1";
    status.state = Messages::BackendState::Ready;
    status.slots = 6;
    m_fleet.onStatus(now, "one", status);

    m_client->send(request("c1", "secretkey1"));
    ASSERT_TRUE(Http::runUntil(m_context, [&] { return m_sent.size() == 1; }));
    Messages::ForwardResponse response;
    response.streamId = m_sent[0].streamId;
    response.requestId = "c1";
    response.outcome = Messages::Outcome::Answered;
    response.headers = {{Header::Signature, "seal"}};
    response.body = "bytes of no answer";
    m_relay.onResponse("one", response);
    ASSERT_TRUE(Http::runUntil(
        m_context, [&] { return m_client->received().find('}') != std::string::npos; }));
    EXPECT_EQ(m_client->received().rfind("HTTP/1.1 502 ", 0), 0U) << m_client->received();
    for (const char *text : {"seal", "bytes of no answer"})
        EXPECT_EQ(m_client->received().find(text), std::string::npos) << text;
}

// Guards against requests beyond the limit that are forwarded, and a refusal without a usable
// delay.
TEST_F(CallerListenerTest, answers429BeyondTheLimit)
{
    m_listener->confirmRoutes();
    std::string response;
    unsigned admitted = 0;
    for (; admitted < 40 && response.find("429") == std::string::npos; ++admitted)
        response = exchange(request("b" + std::to_string(admitted), "secretkey3"));
    EXPECT_GT(admitted, 2U);
    EXPECT_LE(admitted, 22U) << "burst and tolerance of the account";
    EXPECT_NE(response.find("Retry-After: 1.6"), std::string::npos)
        << "a third of the time that the route allows: " << response;
    EXPECT_NE(exchange(request("b41", "secretkey1")).find("no-backend"), std::string::npos)
        << "other accounts are not affected";
}

} // namespace Medlar::Platform
