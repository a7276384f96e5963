#include "platform/backendheaders.h"
#include "platform/clientrequests.h"
#include "platform/heartbeats.h"
#include "platform/operatorconfiguration.h"
#include "platform/platformsettings.h"

#include "http/headers.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace Medlar::Platform {
namespace {

using namespace std::chrono_literals;

constexpr char Settings[] = R"({
  "node-name": "sidecar-north-a-1", "ip": "10.1.0.8", "zone": "north-a", "region": "north",
  "service": "catalog", "app-addr": "10.1.0.8:8301",
  "listen-addrs": {"outbound": "10.1.0.8:8304", "ready": "10.1.0.8:8302",
                   "control-plane": "10.1.0.8:8306"},
  "inner-port-range": [7620, 7635], "beat-interval-s": 0.87,
  "bounds": ["hold-max-s=8", "grace-s=6", "other=1"],
  "limits": {"memory-mb": 260, "max-fds": 4100},
  "platform": {"address": "10.200.1.7:8309", "value-bytes": 1048576}, "unknown": [1]})";

constexpr char Configuration[] = R"({"version": 7,
  "limits": {"max-header-bytes": 16384, "max-body-bytes": 1000000, "header-timeout-s": 3,
             "idle-timeout-s": 15},
  "listeners": [{"host-name": "shop.example", "rules": [
    {"name": "r-all", "route-kind": "idempotent", "target-latency-s": 0.3, "priority": 2,
     "match": {"path-prefix": "/"}, "action": {"service": "catalog", "timeout-s": 1.2,
     "max-attempts": 2, "allowed-regions": []}},
    {"name": "r-buy", "route-kind": "non_idempotent", "target-latency-s": 0.25, "priority": 0,
     "match": {"path-prefix": "/buy/"}, "action": {"traffic-split": [
       {"service": "orders", "weight": 90}, {"service": "catalog", "weight": 10}],
     "timeout-s": 1, "max-attempts": 1, "allowed-regions": ["north"]}}]}],
  "clusters": [{"name": "catalog", "health-path": "/health", "max-connections": 120,
                "cold-start-s": 3.0, "cold-per-s": 24.0},
               {"name": "orders", "sharded": true}]})";

constexpr char HeartbeatBody[] = R"({"service": "orders", "address": "10.1.0.8:8301",
  "zone": "north-a", "version": "v1", "slots": 6, "state": "ready", "cold-left-s": 1.5,
  "seq-num": 4, "born": 1700000000000, "holds": [[0, 4095, 7]],
  "freed": [[4096, 8191, "5c0e"]]})";

Http::HttpRequest request(const std::string &method, const std::string &target,
                          Http::Headers headers)
{
    Http::HttpRequest result;
    result.method = method;
    result.target = target;
    result.host = "Shop.Example:80";
    result.headers = std::move(headers);
    result.received = std::chrono::steady_clock::now();
    return result;
}

/*! Returns \a text with one to four random edits: bytes replaced, removed or duplicated. */
std::string mutated(std::string text, std::mt19937_64 &random)
{
    const auto changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 3) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        default:
            text.insert(at, text.substr(at, 1 + random() % 8));
        }
    }
    return text;
}

} // namespace

TEST(PlatformSettings, parsesSettingsAndReportsMissingFields)
{
    const auto settings = PlatformSettings::parse(Settings);
    ASSERT_TRUE(settings) << settings.error();
    EXPECT_EQ(settings->backend.port, 8301);
    EXPECT_EQ(settings->peerPort, 7620);
    EXPECT_EQ(settings->maxHold, 8s);
    EXPECT_EQ(settings->heartbeatInterval, 870ms);
    for (const char *field : {"node-name", "ip", "zone", "service", "app-addr", "platform"}) {
        auto broken = nlohmann::json::parse(Settings);
        broken.erase(field);
        const auto result = PlatformSettings::parse(broken.dump());
        ASSERT_FALSE(result) << field;
        EXPECT_NE(result.error().find(field), std::string::npos) << result.error();
    }
    EXPECT_FALSE(PlatformSettings::parse("{"));
}

TEST(OperatorConfiguration, selectsRouteWithLongestPathPrefix)
{
    const auto table = readOperatorConfiguration(Configuration);
    ASSERT_TRUE(table) << table.error();
    EXPECT_EQ(table->version, 7U);
    EXPECT_EQ(table->findByPath("shop.example", "/buy/1")->route.name, "r-buy");
    EXPECT_EQ(table->findByPath("shop.example", "/buy")->route.name, "r-all");
    EXPECT_EQ(table->findByPath("other.example", "/buy/1"), nullptr);
    const auto &buy = *table->findByPath("shop.example", "/buy/1");
    EXPECT_FALSE(buy.idempotent);
    EXPECT_EQ(buy.route.deadline, 1s);
    EXPECT_TRUE(buy.route.allowsRegion("north"));
    EXPECT_FALSE(buy.route.allowsRegion("south"));
    EXPECT_EQ(table->services.at("catalog").coldRequestsPerSecond, 24.0);
    EXPECT_TRUE(table->services.at("orders").keyed);
}

TEST(OperatorConfiguration, rejectsInvalidConfiguration)
{
    const auto parseWithout = [](const nlohmann::json::json_pointer &pointer, const char *field) {
        auto broken = nlohmann::json::parse(Configuration);
        broken[pointer].erase(field);
        return readOperatorConfiguration(broken.dump());
    };
    EXPECT_NE(parseWithout(nlohmann::json::json_pointer("/listeners/0/rules/0"), "match")
                  .error()
                  .find("r-all"),
              std::string::npos);
    EXPECT_FALSE(parseWithout(nlohmann::json::json_pointer(""), "version"));
    EXPECT_FALSE(readOperatorConfiguration("[]"));
    auto unknownService = nlohmann::json::parse(Configuration);
    unknownService["listeners"][0]["rules"][0]["action"]["service"] = "nowhere";
    EXPECT_FALSE(readOperatorConfiguration(unknownService.dump()));
}

TEST(Heartbeats, parsesHeartbeatAndSerializesResponse)
{
    const auto heartbeat = readHeartbeat("i-1", HeartbeatBody);
    ASSERT_TRUE(heartbeat) << heartbeat.error();
    EXPECT_EQ(heartbeat->coldLeft, 1500ms);
    EXPECT_EQ(heartbeat->life, 1700000000000U);
    EXPECT_EQ(heartbeat->held.at(0).token, 7U);
    EXPECT_EQ(heartbeat->freed.at(0).handover, "5c0e");

    KeyRange::LeaseGrant grant;
    grant.hold = 2500ms;
    grant.ranges.push_back({{0, 9}, 12, "7a"});
    EXPECT_EQ(heartbeatAnswer(grant), R"({"hold-s":2.5,"holds":[[0,9,12,"7a"]]})");
    EXPECT_EQ(heartbeatAnswer(std::nullopt), "{}") << "no lease is renewed without a grant";
}

// Guards against heartbeats of other writers that are taken for those of the BackendServer: one
// without 'born' ended the incarnation, and a large cold time overflowed.
TEST(Heartbeats, rejectsHeartbeatsOfOtherWriters)
{
    for (const char *field : {"service", "address", "zone", "version", "slots", "state",
                              "cold-left-s", "seq-num", "born"}) {
        SCOPED_TRACE(field);
        auto foreign = nlohmann::json::parse(HeartbeatBody);
        foreign[field] = nlohmann::json::array();
        EXPECT_FALSE(readHeartbeat("i-1", foreign.dump())) << "another type";
        foreign.erase(field);
        EXPECT_FALSE(readHeartbeat("i-1", foreign.dump())) << "missing";
    }
    for (const auto &[field, value] :
         std::vector<std::pair<std::string, nlohmann::json>>{{"cold-left-s", 1e300},
                                                             {"cold-left-s", -1e300},
                                                             {"cold-left-s", -0.5},
                                                             {"slots", 1ULL << 40U},
                                                             {"slots", -1},
                                                             {"born", 1.5},
                                                             {"seq-num", -4}}) {
        SCOPED_TRACE(field + ' ' + value.dump());
        auto foreign = nlohmann::json::parse(HeartbeatBody);
        foreign[field] = value;
        EXPECT_FALSE(readHeartbeat("i-1", foreign.dump()));
    }
}

TEST(Heartbeats, rejectsMalformedHeartbeats)
{
    for (const auto &[field, value] :
         std::map<std::string, nlohmann::json>{{"service", 5},
                                               {"state", "sleeping"},
                                               {"slots", "six"},
                                               {"seq-num", nullptr},
                                               {"holds", {{1, 0, 3}}},
                                               {"freed", {{0, 70000, "x"}}},
                                               {"address", nullptr}}) {
        auto broken = nlohmann::json::parse(HeartbeatBody);
        broken[field] = value;
        EXPECT_FALSE(readHeartbeat("i-1", broken.dump())) << field;
    }
    EXPECT_FALSE(readHeartbeat("", HeartbeatBody));
}

TEST(Codecs, parsersDoNotCrashOnMutatedInput)
{
    constexpr int Iterations = 4000;
    std::mt19937_64 random(11);
    for (int i = 0; i < Iterations; ++i) {
        static_cast<void>(readHeartbeat("i-1", mutated(HeartbeatBody, random)));
        static_cast<void>(readOperatorConfiguration(mutated(Configuration, random)));
        static_cast<void>(PlatformSettings::parse(mutated(Settings, random)));
        static_cast<void>(KeyRange::RangeTable::parse(
            mutated(R"({"epoch":3,"rows":[[0,9,"a",1],[10,65535,"b",3,"c","h"]]})", random)));
    }
}

TEST(ClientRequests, overridesClientSuppliedInternalHeaders)
{
    std::mt19937_64 random(1);
    const auto table = readOperatorConfiguration(Configuration);
    const auto decoded = readClientRequest(request("GET", "/list?x=1",
                                                   {{"Attempt-Id", "a1"},
                                                    {"Deadline-Ms", "400"},
                                                    {"Caller-Service", "forged"},
                                                    {"Expect-Instance", "forged"},
                                                    {"X-Other", "kept"}}),
                                           *table, {"catalog"}, random);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->message.requestId, "a1");
    EXPECT_EQ(decoded->deadline - decoded->received, 400ms);
    EXPECT_EQ(decoded->message.target, "/list?x=1");
    const BackendHeaders backendHeaders;
    auto sent = backendHeaders.toBackend(decoded->message, "i-1");
    backendHeaders.setTimeLeft(sent, 350ms);
    EXPECT_EQ(*Http::findHeader(sent.headers, "Caller-Service"), "catalog");
    EXPECT_EQ(*Http::findHeader(sent.headers, "Expect-Instance"), "i-1");
    EXPECT_EQ(*Http::findHeader(sent.headers, "Deadline-Ms"), "350");
    EXPECT_EQ(*Http::findHeader(sent.headers, "Attempt-Id"), "a1");
    EXPECT_EQ(*Http::findHeader(sent.headers, "X-Other"), "kept");
    EXPECT_EQ(sent.host, "Shop.Example:80") << "the Host header is forwarded unchanged";
}

TEST(ClientRequests, rejectsUnroutableAndMalformedRequests)
{
    std::mt19937_64 random(1);
    auto table = *readOperatorConfiguration(Configuration);
    const auto status = [&](Http::HttpRequest bad) {
        const auto decoded = readClientRequest(std::move(bad), table, {"catalog"}, random);
        return decoded ? 0 : decoded.error().status;
    };
    EXPECT_EQ(status(request("GET", "/list", {})), 0);
    auto otherHost = request("GET", "/list", {});
    otherHost.host = "other.example";
    EXPECT_EQ(status(otherHost), 404);
    EXPECT_EQ(status(request("GET", "http://shop.example/list", {})), 400);
    EXPECT_EQ(status(request("GET", "/list", {{"Deadline-Ms", "soon"}})), 400);
}

TEST(ClientRequests, mapsRelayOutcomeToHttpStatus)
{
    Relay::RelayResult result;
    result.answer.outcome = Messages::Outcome::NotRun;
    result.retryAfter = 500ms;
    const auto refused = clientResponse("a1", result, 600ms);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(*Http::findHeader(refused.headers, "Retry-After"), "0.200")
        << "Retry-After is limited to a third of the remaining time";
    result.answer.outcome = Messages::Outcome::Unknown;
    EXPECT_EQ(clientResponse("a1", result, 600ms).status, 502);
    result.isPastDeadline = true;
    EXPECT_EQ(clientResponse("a1", result, 0ms).status, 504);
}

TEST(BackendHeaders, acceptsOnlySignedUnencodedSuccessResponses)
{
    const BackendHeaders backendHeaders;
    using Relay::AnswerKind;
    const Http::Headers seal{{"Server-Seal", "3e1b"}};
    EXPECT_EQ(backendHeaders.classify({200, seal, "x"}, "i-1").kind, AnswerKind::Answered);
    EXPECT_EQ(backendHeaders.classify({200, {}, "x"}, "i-1").kind, AnswerKind::Unusable);
    EXPECT_EQ(backendHeaders
                  .classify({200, {{"Server-Seal", "3"}, {"Content-Encoding", "gzip"}}, "x"}, "i-1")
                  .kind,
              AnswerKind::Unusable);
    EXPECT_EQ(backendHeaders.classify({500, {}, ""}, "i-1").kind, AnswerKind::Answered);
    EXPECT_EQ(backendHeaders.classify({503, {{"Not-Executed", "1"}}, ""}, "i-1").kind,
              AnswerKind::NotRun);
    EXPECT_EQ(backendHeaders.classify({503, {}, ""}, "i-1").kind, AnswerKind::Unusable)
        << "an unsigned 503 would falsely assure the client that the request was not executed";
    EXPECT_FALSE(
        backendHeaders.classify({421, {{"Instance-Id", "i-1"}, {"Not-Executed", "1"}}, ""}, "i-1")
            .isOtherBackend)
        << "the expected instance responded but does not own the key";
    EXPECT_TRUE(backendHeaders.classify({421, {{"Instance-Id", "i-2"}}, ""}, "i-1").isOtherBackend);
    const auto load = backendHeaders.classify(
        {200, {{"Server-Seal", "3"}, {"Server-Load", "3,1,8,250"}}, ""}, "i-1");
    EXPECT_EQ(load.load->workPercent, 250U);
    EXPECT_FALSE(
        backendHeaders.classify({200, {{"Server-Seal", "3"}, {"Server-Load", "x"}}, ""}, "i-1")
            .load);
}

} // namespace Medlar::Platform
