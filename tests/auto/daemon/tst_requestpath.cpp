#include "trafficfixture.h"

namespace Medlar::Daemon {
namespace {

class RequestPathTest : public TrafficFixture
{};

} // namespace

TEST_F(RequestPathTest, ownerDispatchesToItsBackendServerWithSlotAndToken)
{
    Node &a = addNode(A);
    publishToAll(A, 5);
    auto client = caller(a);
    client->send("POST", "/r/shop/items/x/y?q=1",
                 KeyHeader + "Medlar-Request-Id: r-1\r\nX-Kept: 1\r\nMedlar-Deadline-Ms: 800\r\n",
                 "body");
    ASSERT_TRUE(until([&] { return a.backend.received.size() == 1; }));
    const auto &received = a.backend.received[0];
    EXPECT_EQ(received.request.target, "/x/y?q=1");
    EXPECT_EQ(received.request.body, "body");
    EXPECT_EQ(received.header("Medlar-Request-Id"), "r-1");
    EXPECT_EQ(received.header("X-Kept"), "1");
    EXPECT_EQ(received.header("Medlar-Key"), "k1");
    EXPECT_EQ(received.header("Medlar-Slot"), std::to_string(Base::keyHash("k1") % SlotCount));
    EXPECT_EQ(received.header("Medlar-Fencing-Token"), "20");
    EXPECT_LE(std::stoi(received.header("Medlar-Deadline-Ms")), 800);
    received.answer("done", 201);
    ASSERT_TRUE(until([&] { return client->has("done"); }));
    EXPECT_EQ(client->status(), "201");
    EXPECT_TRUE(client->has("Medlar-Request-Id: r-1")) << client->received();

    const auto decisions = a.decisions.findRequest("r-1");
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].chosen, "a");
    EXPECT_EQ(decisions[0].reason, "owner-local");
    EXPECT_EQ(decisions[0].epoch, 5U);
    EXPECT_EQ(decisions[0].configurationVersion, 9U);

    const TrafficReport report = reportOf(a);
    ASSERT_EQ(report.load.size(), 1U);
    EXPECT_EQ(report.load[0].requests, 1U);
    EXPECT_EQ(report.requestsInFlight, 0U);
}

TEST_F(RequestPathTest, otherDaemonForwardsOnceToTheOwner)
{
    Node &a = addNode(A);
    Node &b = addNode(B, "z2");
    publishToAll(B, 5);
    auto client = caller(a);
    for (int round = 0; round < 3; ++round) {
        const std::string body = "answer" + std::to_string(round);
        client->send("POST", "/r/shop/items", KeyHeader, "body");
        ASSERT_TRUE(until([&] { return b.backend.received.size() == std::size_t(round) + 1; }));
        b.backend.received.back().answer(body);
        ASSERT_TRUE(until([&] { return client->has(body); }));
    }
    EXPECT_TRUE(a.backend.received.empty());
    EXPECT_EQ(b.backend.received.size(), 3U);
}

TEST_F(RequestPathTest, crossedAndDoubledResponsesOfAnotherDaemonAreDropped)
{
    Node &a = addNode(A);
    NullSink sink;
    std::vector<Messages::ForwardRequest> requests;
    Peer::PeerLinksSettings settings;
    settings.self = B;
    settings.credential = "secret";
    Peer::PeerCallbacks callbacks;
    callbacks.onMessage = [&requests](const InstanceId &, Messages::PeerMessage &&message) {
        requests.push_back(std::get<Messages::ForwardRequest>(message));
    };
    auto peer = Peer::PeerLinks::create(context, settings, callbacks, sink);
    ASSERT_TRUE(peer);
    auto snapshot = snapshotFor(a, B, 5);
    Cluster::NodeRecord record = a.record;
    record.instance = B;
    record.trafficPort = (*peer)->port();
    snapshot->nodes[B] = record;
    a.traffic->publish(snapshot);

    auto first = caller(a);
    auto second = caller(a);
    first->send("GET", "/r/shop/items", KeyHeader + "Medlar-Request-Id: r-1\r\n");
    second->send("GET", "/r/shop/items", KeyHeader + "Medlar-Request-Id: r-2\r\n");
    ASSERT_TRUE(until([&] { return requests.size() == 2; }))
        << requests.size() << first->received() << second->received();
    if (requests[0].requestId != "r-1")
        std::swap(requests[0], requests[1]);

    const auto respond = [&](std::uint64_t streamId, const std::string &id, const char *body) {
        (*peer)->send(A, Messages::ForwardResponse{
                             streamId, id, Messages::Outcome::Answered, 200, {}, 0, {}, body});
    };
    respond(requests[0].streamId, "r-2", "crossed");
    respond(9999, "r-1", "unknown-stream");
    respond(requests[1].streamId, "r-2", "second-body");
    respond(requests[1].streamId, "r-2", "doubled");
    respond(requests[0].streamId, "r-1", "first-body");
    respond(requests[0].streamId, "r-1", "doubled");
    ASSERT_TRUE(until([&] { return first->has("first-body") && second->has("second-body"); }));
    for (const auto *client : {first.get(), second.get()}) {
        for (const char *wrong : {"crossed", "doubled", "unknown-stream"})
            EXPECT_FALSE(client->has(wrong)) << client->received();
    }
    const auto dropped = [&a](const char *reason) {
        return a.metrics.counter("medlar_dropped_responses_total", "", {{"reason", reason}})
            .value();
    };
    EXPECT_TRUE(until([&] { return dropped("late") == 3 && dropped("mismatched") == 1; }));
}

// Guards against an answer with status 000 that reaches a caller: a daemon of another version
// passed it on from its BackendServer, on a link with or without compression.
TEST_F(RequestPathTest, aStatusThatCallersCannotUseReachesNoCaller)
{
    Node &a = addNode(A);
    NullSink sink;
    for (const bool wantsCompression : {false, true}) {
        SCOPED_TRACE(wantsCompression ? "compressed link" : "plain link");
        std::vector<Messages::ForwardRequest> requests;
        Peer::PeerLinksSettings settings;
        settings.self = {B.node, B.incarnation + (wantsCompression ? 1 : 0)};
        settings.credential = "secret";
        settings.wantsCompression = wantsCompression;
        Peer::PeerCallbacks callbacks;
        callbacks.onMessage = [&requests](const InstanceId &, Messages::PeerMessage &&message) {
            requests.push_back(std::get<Messages::ForwardRequest>(message));
        };
        auto peer = Peer::PeerLinks::create(context, settings, callbacks, sink);
        ASSERT_TRUE(peer);
        auto snapshot = snapshotFor(a, settings.self, 5);
        Cluster::NodeRecord record = a.record;
        record.instance = settings.self;
        record.trafficPort = (*peer)->port();
        snapshot->nodes[settings.self] = record;
        a.traffic->publish(snapshot);

        auto client = caller(a);
        client->send("POST", "/r/shop/items", KeyHeader + "Medlar-Request-Id: r-1\r\n");
        ASSERT_TRUE(until([&] { return requests.size() == 1; })) << client->received();
        (*peer)->send(A, Messages::ForwardResponse{requests[0].streamId,
                                                   "r-1",
                                                   Messages::Outcome::Answered,
                                                   0,
                                                   {},
                                                   0,
                                                   {},
                                                   "bytes of no answer"});
        ASSERT_TRUE(until([&] { return client->has("\"error\""); })) << client->received();
        EXPECT_EQ(client->status(), "504");
        EXPECT_TRUE(client->has("Medlar-Outcome: unknown")) << client->received();
        EXPECT_FALSE(client->has("bytes of no answer")) << client->received();
    }
}

TEST_F(RequestPathTest, requestIsNotSentAfterTheLeaseEnded)
{
    Node &a = addNode(A);
    publishToAll(A, 5);
    a.traffic->setLeaseValidUntil(Clock::now() - 1ms);
    auto client = caller(a);
    client->send("POST", "/r/shop/items", KeyHeader + "Medlar-Deadline-Ms: 60\r\n");
    ASSERT_TRUE(until([&] { return client->has("\"error\""); }));
    EXPECT_EQ(client->status(), "503");
    EXPECT_TRUE(client->has("Medlar-Outcome: not-run")) << client->received();
    EXPECT_TRUE(client->has("lease-not-held")) << client->received();
    EXPECT_TRUE(a.backend.received.empty());

    a.traffic->setLeaseValidUntil(Clock::now() + 1h);
    client->send("POST", "/r/shop/items", KeyHeader);
    EXPECT_TRUE(until([&] { return a.backend.received.size() == 1; }));
}

TEST_F(RequestPathTest, deadlineOfAnUnfencedBackendServerEndsWithTheLease)
{
    Node &a = addNode(A);
    a.record.backendChecksFencing = false;
    publishToAll(A, 5);
    a.traffic->setLeaseValidUntil(Clock::now() + 3s);
    auto client = caller(a);
    client->send("GET", "/r/shop/items", KeyHeader);
    ASSERT_TRUE(until([&] { return a.backend.received.size() == 1; }));
    EXPECT_LE(std::stoi(a.backend.received[0].header("Medlar-Deadline-Ms")), 3000);
}

TEST_F(RequestPathTest, requestThatCannotBeRoutedIsRefusedWithItsReason)
{
    Node &a = addNode(A, "z1", "r2");
    auto early = caller(a);
    early->send("GET", "/r/shop/items", KeyHeader);
    ASSERT_TRUE(until([&] { return early->has("starting"); }));
    EXPECT_EQ(early->status(), "503");

    publishToAll(A, 5);
    struct Case
    {
        const char *target;
        std::string headers;
        const char *status;
    };
    for (const Case &c : {Case{"/r/shop/none", KeyHeader, "404"}, Case{"/r/shop", {}, "404"},
                          Case{"/other", {}, "404"}, Case{"/r/shop/items", {}, "400"},
                          Case{"/r/shop/items", "Medlar-Key: \r\n", "400"},
                          Case{"/r/shop/items", KeyHeader + "Medlar-Class: urgent\r\n", "400"},
                          Case{"/r/shop/items", KeyHeader + "Medlar-Deadline-Ms: 0\r\n", "400"},
                          Case{"/r/shop/items", KeyHeader + "Medlar-Deadline-Ms: -5\r\n", "400"},
                          Case{"/r/shop/items", KeyHeader + "Medlar-Request-Id: a b\r\n", "400"},
                          Case{"/r/shop/homebound", {}, "421"}, Case{"/admin/x", {}, "404"}}) {
        auto client = caller(a);
        client->send("GET", c.target, c.headers);
        ASSERT_TRUE(until([&] { return !client->status().empty(); }));
        EXPECT_EQ(client->status(), c.status) << c.target << ' ' << c.headers;
    }
    EXPECT_TRUE(a.backend.received.empty());
}

TEST_F(RequestPathTest, refusingBackendServerMeansNotRunAndIsReported)
{
    // Bound without listening: connections are refused, and nobody else can get the port.
    boost::asio::ip::tcp::acceptor closed(context, boost::asio::ip::tcp::v4());
    closed.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::uint16_t port = closed.local_endpoint().port();
    Node &a = addNode(A, "z1", "r1", port);
    publishToAll(A, 5);
    auto client = caller(a);
    client->send("POST", "/r/shop/items", KeyHeader + "Medlar-Deadline-Ms: 60\r\n");
    ASSERT_TRUE(until([&] { return client->has("\"error\""); }));
    EXPECT_EQ(client->status(), "503");
    EXPECT_TRUE(client->has("backend-refused")) << client->received();
    EXPECT_TRUE(client->has("Retry-After: ")) << client->received();
    EXPECT_FALSE(reportOf(a).backendReachable);

    Node &b = addNode(B);
    EXPECT_TRUE(until([&] { return reportOf(b).backendReachable; }));
}

TEST_F(RequestPathTest, requestThatTheBackendServerRefusedIsNotReportedAsAnswered)
{
    Node &a = addNode(A);
    publishToAll(A, 5);
    auto client = caller(a);
    client->send("POST", "/r/shop/items/x", KeyHeader + "Medlar-Request-Id: r-9\r\n", "body");
    ASSERT_TRUE(until([&] { return a.backend.received.size() == 1; }));
    a.backend.received[0].reply(
        {412, {{"Medlar-Request-Id", "r-9"}, {"Medlar-Not-Run", "1"}}, "stale token"});
    ASSERT_TRUE(until([&] { return client->has("backend-not-run"); }));
    EXPECT_TRUE(client->has("Medlar-Outcome: not-run"));
    EXPECT_FALSE(client->has("stale token"));
}

TEST_F(RequestPathTest, requestWaitsForTheNewOwnerAndIsServedOnce)
{
    Node &a = addNode(A);
    Node &b = addNode(B);
    // Both know B as the owner, which does not serve yet.
    a.traffic->publish(snapshotFor(a, B, 5));
    b.traffic->publish(snapshotFor(b, B, 5, false));
    auto client = caller(a);
    client->send("POST", "/r/shop/items", KeyHeader + "Medlar-Request-Id: r-1\r\n");
    ASSERT_TRUE(until([&] { return !a.decisions.findRequest("r-1").empty(); }));
    EXPECT_EQ(reportOf(a).requestsInFlight, 1U);

    a.traffic->publish(snapshotFor(a, A, 6));
    ASSERT_TRUE(until([&] { return a.backend.received.size() == 1; }));
    a.backend.received[0].answer("served");
    ASSERT_TRUE(until([&] { return client->has("served"); }));
    EXPECT_TRUE(b.backend.received.empty());
    EXPECT_EQ(a.decisions.findRequest("r-1").back().epoch, 6U);
}

TEST_F(RequestPathTest, fullQueueRejectsAsNotRun)
{
    Node &a = addNode(A);
    publishToAll(A, 5);
    std::vector<std::unique_ptr<TestCaller>> clients;
    // Two run, two wait, the fifth has no place.
    for (int i = 0; i < 5; ++i) {
        clients.push_back(caller(a));
        clients.back()->send("POST", "/r/shop/items", KeyHeader);
        ASSERT_TRUE(until(
            [&] { return reportOf(a).requestsInFlight == std::uint64_t(std::min(i + 1, 4)); }));
    }
    ASSERT_TRUE(until([&] { return clients[4]->has("queue-full"); }));
    EXPECT_EQ(clients[4]->status(), "503");
    EXPECT_TRUE(clients[4]->has("Medlar-Outcome: not-run"));
    ASSERT_TRUE(until([&] { return a.backend.received.size() == 2; }));
    a.backend.received[0].answer("ok");
    EXPECT_TRUE(until([&] { return a.backend.received.size() == 3; }));
}

// The caller of a service with one node read no-candidate instead of why its request was rejected.
TEST_F(RequestPathTest, reasonOfARejectionIsLostWhenNoOtherNodeIsLeft)
{
    Node &a = addNode(A);
    publishToAll(A, 5);
    auto client = caller(a);
    client->send("GET", "/r/shop/find");
    ASSERT_TRUE(until([&] { return a.backend.received.size() == 1; }));
    const std::string requestId = a.backend.received[0].header("Medlar-Request-Id");
    a.backend.received[0].reply(
        {503, {{"Medlar-Request-Id", requestId}, {"Medlar-Not-Run", "1"}}, "shed"});
    ASSERT_TRUE(until([&] { return client->status() == "503"; }));
    EXPECT_TRUE(client->has("backend-not-run"));
    EXPECT_TRUE(client->has("Medlar-Outcome: not-run"));
}

TEST_F(RequestPathTest, unkeyedRequestsStayNearAndAvoidZonesOutOfService)
{
    Node &a = addNode(A, "z1");
    Node &b = addNode(B, "z2");
    Node &c = addNode(C, "z1", "r2");
    a.record.services = {};
    const auto servedBy = [&](const std::set<std::string> &zonesOut, const char *route) {
        auto snapshot = snapshotFor(a, A, 1);
        snapshot->zonesOut = zonesOut;
        a.traffic->publish(snapshot);
        b.traffic->publish(snapshotFor(b, A, 1));
        c.traffic->publish(snapshotFor(c, A, 1));
        auto client = caller(a);
        client->send("GET", route);
        std::string node;
        EXPECT_TRUE(until([&] {
            if (!b.backend.received.empty())
                node = "b";
            else if (!c.backend.received.empty())
                node = "c";
            else if (client->has("no-candidate"))
                node = "none";
            return !node.empty();
        }));
        for (Node *n : {&b, &c}) {
            for (const auto &received : n->backend.received)
                received.answer("ok");
            n->backend.received.clear();
        }
        EXPECT_TRUE(until([&] { return !client->status().empty(); }));
        return node;
    };
    EXPECT_EQ(servedBy({}, "/r/shop/find"), "b") << "the same region comes first";
    EXPECT_EQ(servedBy({"z2"}, "/r/shop/find"), "c");
    EXPECT_EQ(servedBy({"z2"}, "/r/shop/homebound"), "none") << "r2 is not a home region";
    EXPECT_GT(a.metrics.counter("medlar_requests_total", "", {{"outcome", "not-run"}}).value(), 0U);
}

} // namespace Medlar::Daemon
