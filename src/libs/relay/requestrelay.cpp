#include "requestrelay.h"

#include "base/steadyclock.h"

#include <algorithm>

namespace Medlar::Relay {

using Base::steadyNow;
using Messages::ForwardRequest;
using Messages::ForwardResponse;
using Messages::Outcome;
using std::chrono::milliseconds;

namespace {

// The fleet may repeat a fifth of a service's requests and a few more. Each daemon keeps to half of
// that share, since runs that are repeated repeat their own calls as well.
constexpr double RetryShare = 0.1;
constexpr double RetryBurst = 2.0;
// Nodes that one request may be offered to, declined offers included.
constexpr unsigned MaxOffers = 5;
// Before the owner of a key is looked up again.
constexpr milliseconds OwnerPause{60};
// Keys that have no reachable owner come back within seconds, not at once.
constexpr milliseconds NoOwnerRetryAfter{300};
constexpr milliseconds MinRetryAfter{30};
// For the response to reach its caller in time. A caller that sees its deadline pass closes the
// connection, with the requests that it sent behind.
constexpr milliseconds ResponseWay{10};
// One way of a message, subtracted from the time left that the receiver is told.
constexpr milliseconds RegionWay{22};
// A request that was declined is offered again only with this share of its target latency left.
// With less it would still be on its way or waiting when its time is over, and its caller could not
// be told that it has not run.
constexpr double MinOfferShare = 0.2;
constexpr milliseconds ZoneWay{2};

milliseconds toMilliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

} // namespace

struct RequestRelay::Exchange
{
    CallerRequest request;
    std::function<void(RelayResult)> done;
    std::uint64_t stream = 0; //!< of the attempt, 0 if none is under way
    std::uint64_t localHandle = 0;
    std::string node; //!< of the attempt
    Base::TimePoint sentAt;
    std::set<std::string> excluded;
    unsigned offers = 0;
    unsigned runs = 0; //!< attempts that ran or may have run
    bool mayHaveRun = false;
    std::optional<ForwardResponse> failure; //!< answer of a BackendServer that another may better
    milliseconds hint{0};                   //!< Retry-After of the last decline
    Http::DeadlineQueue::Handle deadlineTimer;
    Http::DeadlineQueue::Handle pauseTimer;
    bool isDone = false;
};

RequestRelay::RequestRelay(boost::asio::io_context &context, FleetView &fleet, LocalBackend &local,
                           PlaceChooser chooser, RelayHooks hooks, Base::LogSink &log,
                           Metrics::MetricRegistry &metrics)
    : m_timers(context)
    , m_fleet(fleet)
    , m_local(local)
    , m_chooser(std::move(chooser))
    , m_hooks(std::move(hooks))
    , m_log(log)
    , m_metrics(metrics)
    , m_latency(metrics.latency("medlar_request_seconds",
                                "Time from the first byte of a request to its response"))
{}

RequestRelay::~RequestRelay() = default;

Retry::RatioBudget &RequestRelay::budget(const std::string &service)
{
    return m_budgets.try_emplace(service, RetryShare, RetryBurst, RetryBurst).first->second;
}

void RequestRelay::begin(CallerRequest request, std::function<void(RelayResult)> done)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->done = std::move(done);
    ++m_pending;
    budget(exchange->request.service).onRequest();
    // The presence belongs to the exchange, so it must not keep the exchange alive.
    if (exchange->request.caller)
        exchange->request.caller->onLeft([this, weak = std::weak_ptr<Exchange>(exchange)] {
            if (const ExchangePtr left = weak.lock())
                onCallerLeft(left);
        });
    if (exchange->isDone)
        return;
    exchange->deadlineTimer = m_timers.add(exchange->request.deadline - ResponseWay,
                                           [this, exchange] { onDeadline(exchange); });
    attempt(exchange);
}

std::optional<std::string> RequestRelay::choosePlace(const Exchange &exchange)
{
    const CallerRequest &request = exchange.request;
    const Base::TimePoint now = steadyNow();
    if (!request.key) {
        return m_chooser.choose(now, m_fleet,
                                {request.service, request.route.route.homeRegions,
                                 request.contendedRegions, exchange.excluded,
                                 request.received + request.route.targetLatency - now});
    }
    auto owner = m_hooks.owner(request.service, *request.key);
    const NodeView *const node = owner ? m_fleet.find(*owner) : nullptr;
    if (!node || !node->isLinked || !request.route.route.allowsRegion(node->place.region))
        return std::nullopt;
    return owner;
}

void RequestRelay::attempt(const ExchangePtr &exchange)
{
    const auto node = choosePlace(*exchange);
    if (!node) {
        refuse(exchange, exchange->request.key ? NoOwnerRetryAfter : exchange->hint,
               exchange->request.key ? "owner-unreachable" : "no-backend");
        return;
    }
    ++exchange->offers;
    sendTo(exchange, *node);
}

void RequestRelay::sendTo(const ExchangePtr &exchange, const std::string &node)
{
    const Base::TimePoint now = steadyNow();
    const CallerRequest &request = exchange->request;
    exchange->node = node;
    exchange->sentAt = now;
    exchange->stream = ++m_lastStream;
    ForwardRequest message = request.message;
    message.streamId = exchange->stream;
    message.service = request.service;
    message.targetLeft = toMilliseconds(request.received + request.route.targetLatency - now);
    log(*exchange, "route", "chosen", "sent");
    m_exchanges[exchange->stream] = exchange;
    m_fleet.onSent(node);
    if (node == m_fleet.self()) {
        const std::uint64_t stream = exchange->stream;
        const std::uint64_t handle = m_local.handle(
            std::move(message), request.deadline, [this, stream](ForwardResponse answer) {
                answer.streamId = stream;
                onResponse(m_fleet.self(), std::move(answer));
            });
        if (exchange->stream == stream)
            exchange->localHandle = handle;
        return;
    }
    const NodeView *const view = m_fleet.find(node);
    const bool isNear = view && view->place.region == m_fleet.find(m_fleet.self())->place.region;
    const Base::Duration left
        = request.deadline - now - (isNear ? ZoneWay : RegionWay) - ResponseWay;
    message.deadlineLeft = std::max(std::chrono::duration_cast<std::chrono::microseconds>(left),
                                    std::chrono::microseconds(0));
    if (m_hooks.send(node, std::move(message)))
        return;
    ForwardResponse answer;
    answer.streamId = exchange->stream;
    answer.outcome = Outcome::NotRun;
    answer.error = "not-connected";
    onResponse(node, std::move(answer));
}

void RequestRelay::onResponse(const std::string &node, ForwardResponse response)
{
    const auto found = m_exchanges.find(response.streamId);
    if (found == m_exchanges.end()) {
        m_metrics.counter("medlar_late_answers_total", "Answers that no request waited for").add();
        return;
    }
    const ExchangePtr exchange = found->second;
    m_exchanges.erase(found);
    exchange->stream = 0;
    const Base::TimePoint now = steadyNow();
    const bool isServerError = response.outcome == Outcome::Answered && response.status >= 500;
    const bool hasFailed = response.outcome == Outcome::Unknown || isServerError
                           || response.error == "backend-declined"
                           || response.error == "not-connected";
    m_fleet.onRequestEnded(now, node, hasFailed);
    if (node != m_fleet.self())
        m_fleet.onLoad(now, node, {response.running, response.waiting, {}, {}});
    if (response.outcome == Outcome::NotRun)
        onNotRun(exchange, response);
    else
        onAnswer(exchange, std::move(response));
}

bool RequestRelay::mayRunAgain(const Exchange &exchange)
{
    const CallerRequest &request = exchange.request;
    const Base::TimePoint now = steadyNow();
    const Base::Duration usual = std::max<Base::Duration>(now - exchange.sentAt, milliseconds(30));
    return request.route.idempotent && exchange.runs < request.route.maxAttempts
           && now + std::min<Base::Duration>(usual, milliseconds(150)) < request.deadline
           && budget(request.service).tryTake();
}

void RequestRelay::onAnswer(const ExchangePtr &exchange, ForwardResponse answer)
{
    ++exchange->runs;
    exchange->mayHaveRun = true;
    const bool isGood = answer.outcome == Outcome::Answered && answer.status < 500;
    if (isGood || !mayRunAgain(*exchange)) {
        if (answer.outcome != Outcome::Answered && exchange->failure)
            answer = *exchange->failure;
        finish(exchange, {std::move(answer), milliseconds(0), false});
        return;
    }
    log(*exchange, "retry", answer.error.empty() ? "server-error" : answer.error, "again");
    if (!exchange->request.key)
        exchange->excluded.insert(exchange->node);
    if (answer.outcome == Outcome::Answered)
        exchange->failure = std::move(answer);
    if (exchange->request.key || choosePlace(*exchange)) {
        attempt(exchange);
        return;
    }
    ForwardResponse last;
    last.outcome = Outcome::Unknown;
    finish(exchange, {exchange->failure.value_or(last), milliseconds(0), false});
}

bool RequestRelay::hasTimeForOffer(const CallerRequest &request, Base::TimePoint at)
{
    const auto share = std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(request.route.targetLatency) * MinOfferShare);
    return at + share + ResponseWay < request.deadline;
}

void RequestRelay::onNotRun(const ExchangePtr &exchange, const ForwardResponse &answer)
{
    const CallerRequest &request = exchange->request;
    const Base::TimePoint now = steadyNow();
    exchange->hint = answer.retryAfter;
    log(*exchange, "declined", answer.error, "not-run");
    // A request that reached the BackendServer counts as a repeat when it is sent to another one.
    const bool isArrival = answer.error == "backend-declined" || answer.error == "key-refused";
    if (exchange->offers >= MaxOffers || !hasTimeForOffer(request, now)
        || (isArrival && !budget(request.service).tryTake())) {
        refuse(exchange, exchange->hint, answer.error);
        return;
    }
    if (!request.key) {
        exchange->excluded.insert(exchange->node);
        if (choosePlace(*exchange))
            attempt(exchange);
        else
            refuse(exchange, exchange->hint, answer.error);
        return;
    }
    const bool isMoving = answer.error == "key-not-held" || answer.error == "key-refused"
                          || answer.error == "other-service";
    const auto owner = m_hooks.owner(request.service, *request.key);
    // A BackendServer that declines a part of its requests may take the next one; no other holds
    // the key. The share of repeats bounds this.
    if (answer.error == "backend-declined" || (isMoving && owner && *owner != exchange->node))
        attempt(exchange);
    else if (isMoving && hasTimeForOffer(request, now + OwnerPause))
        pauseAndAttempt(exchange, OwnerPause);
    else
        refuse(exchange, std::max(exchange->hint, MinRetryAfter), answer.error);
}

void RequestRelay::pauseAndAttempt(const ExchangePtr &exchange, Base::Duration pause)
{
    exchange->pauseTimer = m_timers.add(steadyNow() + pause, [this, exchange] {
        if (!exchange->isDone)
            attempt(exchange);
    });
}

void RequestRelay::refuse(const ExchangePtr &exchange, milliseconds retryAfter,
                          const std::string &reason)
{
    ForwardResponse answer;
    answer.outcome = exchange->mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    answer.error = reason;
    if (exchange->failure)
        answer = *exchange->failure;
    const Base::TimePoint now = steadyNow();
    finish(exchange, {std::move(answer), std::max(retryAfter, MinRetryAfter),
                      now >= exchange->request.deadline});
}

void RequestRelay::onDeadline(const ExchangePtr &exchange)
{
    if (exchange->isDone)
        return;
    ForwardResponse answer;
    answer.outcome
        = exchange->mayHaveRun || exchange->stream != 0 ? Outcome::Unknown : Outcome::NotRun;
    answer.error = "deadline";
    if (exchange->stream != 0)
        m_fleet.onRequestEnded(steadyNow(), exchange->node, true);
    stopAttempt(*exchange);
    finish(exchange, {std::move(answer), milliseconds(0), true});
}

void RequestRelay::onCallerLeft(const ExchangePtr &exchange)
{
    if (exchange->isDone)
        return;
    if (exchange->stream != 0)
        m_fleet.onRequestEnded(steadyNow(), exchange->node, false);
    stopAttempt(*exchange);
    exchange->done = [](const RelayResult &) {};
    ForwardResponse answer;
    answer.error = "caller-left";
    finish(exchange, {std::move(answer), milliseconds(0), false});
}

void RequestRelay::stopAttempt(Exchange &exchange)
{
    if (exchange.stream == 0)
        return;
    m_exchanges.erase(exchange.stream);
    if (exchange.node == m_fleet.self())
        m_local.cancel(exchange.localHandle);
    else
        m_hooks.send(exchange.node,
                     Messages::CancelRequest{exchange.stream, exchange.request.message.requestId});
    exchange.stream = 0;
}

void RequestRelay::onLinkDown(const std::string &node)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[stream, exchange] : m_exchanges) {
        if (exchange->node == node)
            lost.push_back(stream);
    }
    for (const std::uint64_t stream : lost) {
        ForwardResponse answer;
        answer.streamId = stream;
        answer.error = "link-lost";
        onResponse(node, std::move(answer));
    }
}

void RequestRelay::finish(const ExchangePtr &exchange, RelayResult result)
{
    exchange->isDone = true;
    --m_pending;
    m_timers.cancel(exchange->deadlineTimer);
    m_timers.cancel(exchange->pauseTimer);
    const Base::Duration latency = steadyNow() - exchange->request.received;
    m_latency.add(latency);
    const char *const outcome = result.answer.outcome == Outcome::Answered ? "answered"
                                : result.answer.outcome == Outcome::NotRun ? "not-run"
                                                                           : "unknown";
    m_metrics
        .counter("medlar_requests_total", "Requests of callers by outcome",
                 {{"outcome", outcome}, {"service", exchange->request.service}})
        .add();
    log(*exchange, "response", result.answer.error, outcome);
    if (exchange->request.caller)
        exchange->request.caller->release();
    const auto done = std::exchange(exchange->done, nullptr);
    done(std::move(result));
}

void RequestRelay::log(const Exchange &exchange, const char *event, const std::string &reason,
                       const std::string &outcome) const
{
    const CallerRequest &request = exchange.request;
    const Base::TimePoint now = steadyNow();
    Base::LogLine line(event);
    line.add("request_id", request.message.requestId)
        .add("route", request.route.route.name)
        .add("target_service", request.service)
        .add("chosen", exchange.node)
        .add("reason", reason)
        .add("outcome", outcome)
        .add("configuration", request.configurationVersion)
        .add("age_ms", toMilliseconds(now - request.received))
        .add("left_ms", toMilliseconds(request.deadline - now));
    if (request.key)
        line.add("key", *request.key);
    if (const NodeView *const view = m_fleet.find(exchange.node))
        line.add("running", view->load.running)
            .add("waiting", view->load.waiting)
            .add("load_age_ms", toMilliseconds(now - view->loadAt));
    m_log.write(line);
}

} // namespace Medlar::Relay
