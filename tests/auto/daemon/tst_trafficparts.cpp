#include "base/keyhash.h"
#include "daemon/boundedadmission.h"
#include "daemon/budgetedretry.h"
#include "daemon/drainlist.h"
#include "daemon/forwarder.h"
#include "daemon/loadcounter.h"
#include "daemon/twochoicebalancer.h"

#include <gtest/gtest.h>

namespace Medlar::Daemon {
namespace {

using namespace std::chrono_literals;
using Base::InstanceId;
using Base::TimePoint;

const InstanceId B{"b", 2};
const InstanceId C{"c", 3};

class FakeLinks : public Peer::PeerLinks
{
public:
    Peer::SendResult send(const InstanceId &, const Messages::PeerMessage &message) override
    {
        sent.push_back(message);
        return result;
    }
    void introduce(const Peer::PeerAddress &) override {}
    void close(const InstanceId &) override {}
    void setSelf(const InstanceId &) override {}
    std::uint16_t port() const override { return 0; }
    bool isConnected(const InstanceId &) const override { return true; }
    Peer::LinkCounters total() const override { return {}; }
    std::vector<Peer::LinkState> links() const override { return {}; }
    std::size_t sendBufferBytes() const override { return 0; }
    std::uint64_t refusedHandshakes() const override { return 0; }

    Peer::SendResult result = Peer::SendResult::Accepted;
    std::vector<Messages::PeerMessage> sent;
};

class ForwarderTest : public testing::Test
{
protected:
    void SetUp() override { forwarder.setLinks(links); }

    void send(Peer::SendResult linkState, const InstanceId &to = B)
    {
        links.result = linkState;
        const std::size_t index = results.size();
        results.emplace_back();
        Messages::ForwardRequest request;
        request.requestId = "r-" + std::to_string(index);
        forwarder.send(to, request, std::chrono::steady_clock::now() + 1h,
                       [this, index](AttemptResult result) {
                           ASSERT_FALSE(results[index]) << "two results";
                           results[index] = std::move(result);
                       });
    }

    std::string outcome(std::size_t index) const
    {
        if (!results[index])
            return "pending";
        return results[index]->outcome == Messages::Outcome::Unknown  ? "unknown"
               : results[index]->outcome == Messages::Outcome::NotRun ? "not-run"
                                                                      : "answered";
    }

    boost::asio::io_context context;
    Http::DeadlineQueue deadlines{context};
    Metrics::MetricRegistry metrics;
    FakeLinks links;
    Forwarder forwarder{context, deadlines, metrics};
    std::vector<std::optional<AttemptResult>> results;
};

} // namespace

TEST_F(ForwarderTest, onlyRequestsThatNeverLeftAreNotRunAfterALinkLoss)
{
    send(Peer::SendResult::Accepted);
    send(Peer::SendResult::Queued);
    send(Peer::SendResult::Accepted, C);
    forwarder.onLinkDown(B, false);
    EXPECT_EQ(outcome(0), "pending") << "sent on another link";
    EXPECT_EQ(outcome(1), "not-run");
    send(Peer::SendResult::Queued);
    forwarder.onLinkDown(B, true);
    EXPECT_EQ(outcome(0), "unknown");
    EXPECT_EQ(outcome(3), "pending") << "waits for the next link";
    forwarder.onLinkUp(B);
    forwarder.onLinkDown(B, true);
    EXPECT_EQ(outcome(3), "unknown") << "left when the link came up";
    EXPECT_EQ(outcome(2), "pending");
    EXPECT_EQ(forwarder.inFlight(), 1U);
}

TEST_F(ForwarderTest, refusedSendIsNotRun)
{
    send(Peer::SendResult::NotConnected);
    send(Peer::SendResult::BufferFull);
    EXPECT_EQ(outcome(0), "pending") << "never within the call";
    context.poll();
    EXPECT_EQ(outcome(0), "not-run");
    EXPECT_EQ(outcome(1), "not-run");
    EXPECT_EQ(forwarder.inFlight(), 0U);
}

TEST_F(ForwarderTest, responseOfAnotherPeerOrRequestIsNotAccepted)
{
    send(Peer::SendResult::Accepted);
    const auto streamId = std::get<Messages::ForwardRequest>(links.sent[0]).streamId;
    Messages::ForwardResponse response;
    response.streamId = streamId;
    response.requestId = "r-0";
    response.outcome = Messages::Outcome::Answered;
    response.status = 200;
    forwarder.onResponse(C, response);
    EXPECT_EQ(outcome(0), "pending");
    response.requestId = "r-9";
    forwarder.onResponse(B, response);
    EXPECT_EQ(outcome(0), "pending");
    response.requestId = "r-0";
    forwarder.onResponse(B, response);
    EXPECT_EQ(outcome(0), "answered");
    forwarder.onResponse(B, response);
    const auto dropped = [this](const char *reason) {
        return metrics.counter("medlar_dropped_responses_total", "", {{"reason", reason}}).value();
    };
    EXPECT_EQ(dropped("mismatched"), 2U);
    EXPECT_EQ(dropped("late"), 1U);
}

// Guards against an answer with status 000 that reaches a caller: a daemon of another version
// passed it on from its BackendServer.
TEST_F(ForwarderTest, aStatusThatCallersCannotUseIsNoAnswer)
{
    std::size_t index = 0;
    for (const std::uint16_t status : {0, 99, 100, 199, 600, 999}) {
        send(Peer::SendResult::Accepted);
        Messages::ForwardResponse response;
        response.streamId = std::get<Messages::ForwardRequest>(links.sent[index]).streamId;
        response.requestId = "r-" + std::to_string(index);
        response.outcome = Messages::Outcome::Answered;
        response.status = status;
        forwarder.onResponse(B, response);
        EXPECT_EQ(outcome(index), "unknown") << status;
        ++index;
    }
    EXPECT_EQ(
        metrics.counter("medlar_dropped_responses_total", "", {{"reason", "unusable"}}).value(),
        index);
}

TEST(DrainScope, baseSlotAndHotKeyCoverEachOthersEarlierRequests)
{
    const std::uint64_t hash = Base::keyHash("hot");
    const Cluster::SlotId hotKey = hash | Cluster::HotKeyBit;
    const RunningKey underEpoch4{"catalog", hash, 3, 4};
    EXPECT_TRUE(DrainScope("catalog", {{3, 5}}).covers(underEpoch4));
    EXPECT_TRUE(DrainScope("catalog", {{hotKey, 5}}).covers(underEpoch4));
    EXPECT_FALSE(DrainScope("catalog", {{3, 4}}).covers(underEpoch4));
    EXPECT_FALSE(DrainScope("catalog", {{2, 5}}).covers(underEpoch4));
    EXPECT_FALSE(DrainScope("catalog", {{hotKey ^ 1U, 5}}).covers(underEpoch4));
    EXPECT_FALSE(DrainScope("search", {{3, 5}}).covers(underEpoch4));
}

TEST(BoundedAdmission, waitingRequestsKeepTheirOrderBoundAndDeadline)
{
    BoundedAdmission admission;
    TrafficSnapshot snapshot;
    snapshot.self.backendSlots = 1;
    const TimePoint start{1h};
    admission.onSnapshot(start, snapshot);
    Configuration::Route route;
    route.maxQueue = 2;
    std::vector<std::string> log;
    const auto offer = [&](const std::string &name, std::chrono::milliseconds timeout) {
        return admission.offer(start, {route, Messages::RequestClass::Normal, start + timeout, 1},
                               [&log, name](TimePoint, const AdmissionDecision &decision) {
                                   log.push_back(name + (decision.isAdmitted ? "+" : "-")
                                                 + decision.reason);
                               });
    };
    const AdmissionTicket first = offer("a", 1s);
    const AdmissionTicket second = offer("b", 1s);
    offer("c", 10ms);
    offer("d", 1s);
    EXPECT_EQ(log, (std::vector<std::string>{"a+", "d-queue-full"}));
    EXPECT_EQ(admission.nextDeadline(), start + 10ms);
    admission.onTime(start + 10ms);
    EXPECT_EQ(log.back(), "c-deadline-passed");
    admission.cancel(start, second);
    EXPECT_EQ(admission.waiting(), 0U);
    admission.onCompleted(start, first, {});
    offer("e", 1s);
    EXPECT_EQ(log.back(), "e+");
}

TEST(BudgetedRetry, retriesStayWithinTheirShareOfRequests)
{
    BudgetedRetry retry;
    const TimePoint now{1h};
    const FailedAttempt failed{Messages::Outcome::Unknown, "backend-timed-out", 1, now + 1s,
                               "search"};
    int taken = 0;
    constexpr int Requests = 10000;
    for (int i = 0; i < Requests; ++i) {
        retry.onRequest(now, "search");
        taken += retry.takeRetry(now, failed) ? 1 : 0;
    }
    EXPECT_LE(taken, Requests / 10 + 100);
    EXPECT_GE(taken, Requests / 10 - 1);
    EXPECT_FALSE(BudgetedRetry().takeRetry(now + 1s, failed)) << "after the deadline";
    EXPECT_FALSE(
        BudgetedRetry().takeRetry(now, {failed.outcome, failed.error, 2, now + 1s, "search"}));
}

TEST(TwoChoiceBalancer, nearestTierWinsAndLoadedNodesAreAvoided)
{
    TwoChoiceBalancer balancer(11);
    Cluster::NodeRecord near1;
    near1.instance = B;
    Cluster::NodeRecord near2;
    near2.instance = C;
    Cluster::NodeRecord far;
    far.instance = {"far", 4};
    CandidateTiers tiers;
    tiers.nodes[CandidateTiers::SameZone] = {&near1, &near2};
    tiers.nodes[CandidateTiers::OtherRegions] = {&far};
    const TimePoint now{1h};
    for (int i = 0; i < 50; ++i)
        balancer.onStarted(now, "s", B);
    int loaded = 0;
    for (int i = 0; i < 100; ++i)
        loaded += balancer.choose(now, "s", tiers, {}) == &near1 ? 1 : 0;
    EXPECT_LT(loaded, 50) << "chosen only when both random choices are the same";
    EXPECT_EQ(balancer.choose(now, "s", tiers, {B, C}), &far);
    EXPECT_EQ(balancer.choose(now, "s", tiers, {B, C, far.instance}), nullptr);
}

TEST(LoadCounter, hottestKeysAndSlotsAreReportedWithinBounds)
{
    const TimePoint start{1h};
    LoadCounter counter(start);
    for (std::uint64_t i = 0; i < 5000; ++i) {
        counter.add("catalog", i % 1000, i);
        if (i % 5 == 0)
            counter.add("catalog", 7, 4242);
    }
    const auto load = counter.take(start + 2s, B);
    ASSERT_EQ(load.size(), 1U);
    EXPECT_EQ(load[0].window, 2000ms);
    EXPECT_EQ(load[0].requests, 6000U);
    EXPECT_EQ(load[0].slots.size(), 128U);
    EXPECT_EQ(load[0].slots[0].slot, 7U);
    EXPECT_EQ(load[0].slots[0].requests, 1005U);
    EXPECT_EQ(load[0].hotKeys.size(), 16U);
    EXPECT_EQ(load[0].hotKeys[0].slot, 4242U | Cluster::HotKeyBit);
    EXPECT_GE(load[0].hotKeys[0].requests, 1000U);
    EXPECT_TRUE(counter.take(start + 3s, B).empty());
}

} // namespace Medlar::Daemon
