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

// Delay before the owner of a key is looked up again.
constexpr milliseconds OwnerLookupDelay{60};
// A key without a reachable owner gets one within seconds, so an immediate retry would fail.
constexpr milliseconds NoOwnerRetryAfter{300};
constexpr milliseconds MinRetryAfter{30};
// Time reserved for sending the response to the caller. A caller closes its connection when a
// deadline passes, which also aborts the requests pipelined behind the late one.
constexpr milliseconds ResponseDeliveryTime{10};
// One-way latency of a message, subtracted from the time left that is passed to the receiver.
constexpr milliseconds InterRegionLatency{22};
// A declined request is offered again only if at least this share of its target latency is left
// until the deadline. With less, it could still be in transit or queued at the deadline, and the
// caller could not be told that it has not run.
constexpr double MinTargetShareLeft = 0.2;
constexpr milliseconds IntraRegionLatency{2};
// Routes come and go with the configuration; those beyond this number count as routes of clients.
constexpr std::size_t MaxCallRoutes = 1024;
constexpr char CallerLeft[] = "caller-left";

/*! Whether a request was declined because the BackendServer is full. */
bool isDeclinedAsFull(const std::string &reason)
{
    return reason == toString(Gate::DeclineReason::Overloaded)
           || reason == toString(Gate::DeclineReason::Expired);
}

Gate::CallResult callResult(const ForwardResponse &answer)
{
    if (answer.outcome == Outcome::NotRun && isDeclinedAsFull(answer.error))
        return Gate::CallResult::Overloaded;
    const bool hasFailed
        = answer.outcome != Outcome::Answered || answer.status == 503 || answer.status == 504;
    return hasFailed ? Gate::CallResult::Failed : Gate::CallResult::Answered;
}

milliseconds toMilliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

} // namespace

struct RequestRelay::Exchange
{
    CallerRequest request;
    std::function<void(RelayResult)> done;
    std::uint64_t stream = 0; //!< stream id of the attempt, 0 if none is in progress
    std::uint64_t localHandle = 0;
    std::string node; //!< target of the last attempt
    Base::TimePoint sentAt;
    std::set<std::string> excluded;
    unsigned offers = 0;
    unsigned runs = 0; //!< attempts that ran or may have run
    bool mayHaveRun = false;
    std::optional<ForwardResponse> serverError; //!< returned unless a retry succeeds
    milliseconds retryAfterHint{0};             //!< Retry-After of the last node that declined
    Http::DeadlineQueue::Handle deadlineTimer;
    Http::DeadlineQueue::Handle retryTimer;
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

void RequestRelay::begin(CallerRequest request, std::function<void(RelayResult)> done)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->done = std::move(done);
    ++m_pendingCount;
    m_budgets[exchange->request.service].onRequest(isCallRoute(exchange->request),
                                                   m_local.repeatedShare());
    // The exchange owns the CallerPresence, so a strong reference here would be a cycle.
    if (exchange->request.caller)
        exchange->request.caller->onLeft([this, weak = std::weak_ptr<Exchange>(exchange)] {
            if (const ExchangePtr lockedExchange = weak.lock())
                onCallerDisconnected(lockedExchange);
        });
    if (exchange->isDone)
        return;
    exchange->deadlineTimer = m_timers.add(exchange->request.deadline - ResponseDeliveryTime,
                                           [this, exchange] { onDeadline(exchange); });
    attempt(exchange);
}

std::optional<std::string> RequestRelay::chooseNode(const Exchange &exchange)
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
    if (exchange->request.caller && exchange->request.caller->checkLeft())
        return;
    const auto node = chooseNode(*exchange);
    if (!node) {
        refuse(exchange, exchange->request.key ? NoOwnerRetryAfter : exchange->retryAfterHint,
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
    if (node != m_fleet.self() && m_hooks.mayForward
        && !m_hooks.mayForward(request.message.body.size())) {
        refuse(exchange, MinRetryAfter, "body-not-forwarded");
        return;
    }
    exchange->node = node;
    exchange->sentAt = now;
    exchange->stream = ++m_lastStream;
    ForwardRequest message = request.message;
    message.streamId = exchange->stream;
    message.service = request.service;
    message.isRepeat = exchange->mayHaveRun;
    const Base::Duration transit = transitTime(node);
    // The response needs the transit time as well.
    message.targetLeft
        = toMilliseconds(request.received + request.route.targetLatency - now - 2 * transit);
    log(*exchange, "route", "chosen", "sent");
    m_exchanges[exchange->stream] = exchange;
    m_fleet.onSent(node);
    if (node == m_fleet.self()) {
        const std::uint64_t stream = exchange->stream;
        const std::uint64_t handle = m_local.handle(
            std::move(message), request.deadline,
            [this, stream](ForwardResponse answer) {
                answer.streamId = stream;
                onResponse(m_fleet.self(), std::move(answer));
            },
            request.caller, m_fleet.self());
        if (exchange->stream == stream)
            exchange->localHandle = handle;
        return;
    }
    const Base::Duration left = request.deadline - now - transit - ResponseDeliveryTime;
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

Base::Duration RequestRelay::transitTime(const std::string &node) const
{
    if (node == m_fleet.self())
        return Base::Duration::zero();
    const NodeView *const view = m_fleet.find(node);
    const bool isSameRegion
        = view && view->place.region == m_fleet.find(m_fleet.self())->place.region;
    return isSameRegion ? IntraRegionLatency : InterRegionLatency;
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
    // A daemon of another version may pass on a status that callers cannot use.
    if (response.outcome == Outcome::Answered && !Http::isFinalStatus(response.status)) {
        log(*exchange, "answer-unusable", "status-" + std::to_string(response.status), "unknown");
        response = {};
        response.error = "peer-answer-unusable";
    }
    const bool isServerError = response.outcome == Outcome::Answered && response.status >= 500;
    const bool hasFailed = response.outcome == Outcome::Unknown || isServerError
                           || response.error == "backend-declined"
                           || response.error == "not-connected";
    m_fleet.onRequestEnded(now, node, hasFailed);
    const bool isFull = response.outcome == Outcome::NotRun && isDeclinedAsFull(response.error);
    // An answer that this daemon made up for a lost link contains no counts.
    const bool isFromPeer
        = response.outcome != Outcome::Unknown && response.error != "not-connected";
    if (node != m_fleet.self() && isFromPeer)
        m_fleet.onAnswerLoad(now, node, response.running, response.waiting,
                             hasFailed ? OfferResult::Failed
                             : isFull  ? OfferResult::Declined
                                       : OfferResult::Served);
    if (isFull || response.outcome == Outcome::Answered) {
        m_offerLimit.onOffered(exchange->request.route.route.name, !isFull);
        learnCallRoute(exchange->request.route.route.name, response.isCall);
    }
    if (response.outcome == Outcome::NotRun)
        onNotRun(exchange, response);
    else
        onAnswer(exchange, std::move(response));
}

void RequestRelay::learnCallRoute(const std::string &route, bool isCall)
{
    if (!isCall)
        m_callRoutes.erase(route);
    else if (m_callRoutes.size() < MaxCallRoutes)
        m_callRoutes.insert(route);
}

bool RequestRelay::tryReserveRetry(const Exchange &exchange)
{
    const CallerRequest &request = exchange.request;
    const Base::TimePoint now = steadyNow();
    const Base::Duration expectedDuration
        = std::max<Base::Duration>(now - exchange.sentAt, milliseconds(30));
    return request.route.idempotent && exchange.runs < request.route.maxAttempts
           && now + std::min<Base::Duration>(expectedDuration, milliseconds(150)) < request.deadline
           && tryTakeRepeat(request);
}

void RequestRelay::onAnswer(const ExchangePtr &exchange, ForwardResponse answer)
{
    ++exchange->runs;
    exchange->mayHaveRun = true;
    const bool isSuccess = answer.outcome == Outcome::Answered && answer.status < 500;
    if (isSuccess || !tryReserveRetry(*exchange)) {
        if (answer.outcome != Outcome::Answered && exchange->serverError)
            answer = *exchange->serverError;
        finish(exchange, {std::move(answer), milliseconds(0), false});
        return;
    }
    log(*exchange, "retry", answer.error.empty() ? "server-error" : answer.error, "again");
    if (!exchange->request.key)
        exchange->excluded.insert(exchange->node);
    if (answer.outcome == Outcome::Answered)
        exchange->serverError = std::move(answer);
    if (exchange->request.key || chooseNode(*exchange)) {
        attempt(exchange);
        return;
    }
    ForwardResponse unknownAnswer;
    unknownAnswer.outcome = Outcome::Unknown;
    finish(exchange, {exchange->serverError.value_or(unknownAnswer), milliseconds(0), false});
}

bool RequestRelay::hasTimeForOffer(const CallerRequest &request, Base::TimePoint at)
{
    const auto minTimeLeft = std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(request.route.targetLatency)
        * MinTargetShareLeft);
    return at + minTimeLeft + ResponseDeliveryTime < request.deadline;
}

void RequestRelay::onNotRun(const ExchangePtr &exchange, const ForwardResponse &answer)
{
    const CallerRequest &request = exchange->request;
    const Base::TimePoint now = steadyNow();
    exchange->retryAfterHint = answer.retryAfter;
    log(*exchange, "declined", answer.error, "not-run");
    // Sending a request again after it reached a BackendServer uses the retry budget.
    const bool hasReachedBackend
        = answer.error == "backend-declined" || answer.error == "key-refused";
    const unsigned maxOffers = isDeclinedAsFull(answer.error)
                                   ? m_offerLimit.maxOffers(request.route.route.name)
                                   : OfferLimit::MaxOffers;
    if (exchange->offers >= maxOffers || !hasTimeForOffer(request, now)
        || (hasReachedBackend && !tryTakeRepeat(request))) {
        refuse(exchange, exchange->retryAfterHint, answer.error);
        return;
    }
    if (!request.key) {
        exchange->excluded.insert(exchange->node);
        if (chooseNode(*exchange))
            attempt(exchange);
        else
            refuse(exchange, exchange->retryAfterHint, answer.error);
        return;
    }
    const bool isOwnerOutdated = answer.error == "key-not-held" || answer.error == "key-refused"
                                 || answer.error == "other-service";
    const auto owner = m_hooks.owner(request.service, *request.key);
    // No other BackendServer holds the key, and one that declines only part of its requests may
    // accept the next attempt. The retry budget limits these attempts.
    if (answer.error == "backend-declined"
        || (isOwnerOutdated && owner && *owner != exchange->node))
        attempt(exchange);
    else if (isOwnerOutdated && hasTimeForOffer(request, now + OwnerLookupDelay))
        attemptAfterDelay(exchange, OwnerLookupDelay);
    else
        refuse(exchange, std::max(exchange->retryAfterHint, MinRetryAfter), answer.error);
}

void RequestRelay::attemptAfterDelay(const ExchangePtr &exchange, Base::Duration delay)
{
    exchange->retryTimer = m_timers.add(steadyNow() + delay, [this, exchange] {
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
    if (exchange->serverError)
        answer = *exchange->serverError;
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
    cancelAttempt(*exchange);
    finish(exchange, {std::move(answer), milliseconds(0), true});
}

void RequestRelay::onCallerDisconnected(const ExchangePtr &exchange)
{
    if (exchange->isDone)
        return;
    if (exchange->stream != 0)
        m_fleet.onRequestEnded(steadyNow(), exchange->node, false);
    cancelAttempt(*exchange);
    exchange->done = [](const RelayResult &) {};
    ForwardResponse answer;
    answer.error = CallerLeft;
    finish(exchange, {std::move(answer), milliseconds(0), false});
}

void RequestRelay::cancelAttempt(Exchange &exchange)
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
    std::vector<std::uint64_t> lostStreams;
    for (const auto &[stream, exchange] : m_exchanges) {
        if (exchange->node == node)
            lostStreams.push_back(stream);
    }
    for (const std::uint64_t stream : lostStreams) {
        ForwardResponse answer;
        answer.streamId = stream;
        answer.error = "link-lost";
        onResponse(node, std::move(answer));
    }
}

void RequestRelay::finish(const ExchangePtr &exchange, RelayResult result)
{
    exchange->isDone = true;
    --m_pendingCount;
    m_timers.cancel(exchange->deadlineTimer);
    m_timers.cancel(exchange->retryTimer);
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
    if (isCallRoute(exchange->request) && result.answer.error != CallerLeft)
        m_local.onCallEnded(callResult(result.answer));
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
