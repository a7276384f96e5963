#include "requestpath.h"

#include <algorithm>

namespace Medlar::Daemon {

using Base::TimePoint;
using Messages::Outcome;

namespace {

using Clock = std::chrono::steady_clock;

// Between attempts on an unchanged target; doubled each time.
constexpr std::chrono::milliseconds FirstPause{20};
// A request that waited in vain is answered this long before the caller stops listening.
constexpr std::chrono::milliseconds AnswerMargin{5};

constexpr char RequestsName[] = "medlar_requests_total";
constexpr char RequestsHelp[] = "Requests of callers by outcome.";
constexpr char LatencyName[] = "medlar_request_latency_seconds";
constexpr char LatencyHelp[] = "From the request of a caller to its response.";

} // namespace

RequestPath::Counters::Counters(Metrics::MetricRegistry &metrics)
    : answered(metrics.counter(RequestsName, RequestsHelp, {{"outcome", "answered"}}))
    , notRun(metrics.counter(RequestsName, RequestsHelp, {{"outcome", "not-run"}}))
    , unknown(metrics.counter(RequestsName, RequestsHelp, {{"outcome", "unknown"}}))
    , retries(metrics.counter("medlar_retries_total", "Attempts after the first one."))
    , hedges(metrics.counter("medlar_hedges_total", "Attempts beside one that was under way."))
    , localLatency(metrics.latency(LatencyName, LatencyHelp, {{"path", "local"}}))
    , hopLatency(metrics.latency(LatencyName, LatencyHelp, {{"path", "hop"}}))
{}

RequestPath::RequestPath(const Parts &parts, std::uint64_t seed)
    : m_deadlines(parts.deadlines)
    , m_balancer(parts.balancer)
    , m_retry(parts.retry)
    , m_forwarder(parts.forwarder)
    , m_dispatcher(parts.dispatcher)
    , m_decisions(parts.decisions)
    , m_metrics(parts.metrics)
    , m_counters(parts.metrics)
    , m_resolver(parts.balancer)
    , m_random(seed)
{}

std::string RequestPath::generateRequestId()
{
    static constexpr char HexDigits[] = "0123456789abcdef";
    std::string id;
    for (int half = 0; half < 2; ++half) {
        std::uint64_t bits = m_random();
        for (int digit = 0; digit < 16; ++digit, bits >>= 4U)
            id += HexDigits[bits & 0xfU];
    }
    return id;
}

void RequestPath::handle(Http::HttpRequest request, Http::Reply reply)
{
    const TimePoint now = Clock::now();
    if (!m_snapshot || m_isDraining) {
        m_counters.notRun.add();
        const char *const error = m_isDraining ? ErrorCode::Draining : ErrorCode::Starting;
        reply(rejectionResponse({}, AttemptResult::notRun(error)));
        return;
    }
    auto parsed = parseCallerRequest(std::move(request), *m_snapshot, now, generateRequestId());
    if (!parsed) {
        m_counters.notRun.add();
        reply(std::move(parsed.error().response));
        return;
    }
    m_retry.onRequest(now, parsed->route->service);
    const ExchangeId id = ++m_lastId;
    Exchange &exchange = m_exchanges[id];
    exchange.request = std::move(*parsed);
    exchange.reply = std::move(reply);
    exchange.pause = FirstPause;
    attempt(id);
}

void RequestPath::attempt(ExchangeId id)
{
    Exchange &exchange = m_exchanges.at(id);
    exchange.resolution = m_resolver.resolve(Clock::now(), exchange.request, exchange.excluded);
    logDecision(exchange);
    if (exchange.resolution.node) {
        startAttempt(id, exchange);
    } else {
        // After an attempt, why that one failed says more than that no other node is left.
        const bool isFirst = exchange.request.route->keyed || exchange.attempts == 0;
        exchange.lastNode = {};
        onFailure(id, isFirst ? AttemptResult::notRun(exchange.resolution.reason)
                              : AttemptResult(exchange.lastResult));
    }
}

void RequestPath::startAttempt(ExchangeId id, Exchange &exchange)
{
    const TimePoint now = Clock::now();
    const Cluster::NodeRecord &node = *exchange.resolution.node;
    if (++exchange.attempts > 1)
        m_counters.retries.add();
    exchange.lastNode = node.instance;
    exchange.active.push_back({exchange.attempts, node.instance, exchange.resolution.isLocal,
                               node.region != m_snapshot->self.region, now, 0});
    Attempt &attempt = exchange.active.back();
    if (!exchange.request.route->keyed)
        m_balancer.onStarted(now, exchange.request.route->service, node.instance);
    if (attempt.isLocal)
        runLocally(id, exchange, attempt);
    else
        forward(id, exchange, attempt);
    scheduleHedge(id, exchange, now);
}

void RequestPath::runLocally(ExchangeId id, Exchange &exchange, Attempt &attempt)
{
    attempt.handle = m_dispatcher.run(makeLocalRequest(exchange.request),
                                      [this, id, number = attempt.number](AttemptResult result) {
                                          onResult(id, number, std::move(result));
                                      });
}

void RequestPath::forward(ExchangeId id, Exchange &exchange, Attempt &attempt)
{
    attempt.handle = m_forwarder.send(attempt.node, makeForwardRequest(exchange, attempt.started),
                                      exchange.request.deadline,
                                      [this, id, number = attempt.number](AttemptResult result) {
                                          onResult(id, number, std::move(result));
                                      });
}

void RequestPath::scheduleHedge(ExchangeId id, Exchange &exchange, TimePoint now)
{
    const CallerRequest &request = exchange.request;
    if (request.route->keyed || !request.isIdempotent || exchange.attempts > 1)
        return;
    if (const auto delay = m_retry.hedgeDelay(request.route->service))
        exchange.timer = m_deadlines.add(now + *delay, [this, id] { onHedgeTimer(id); });
}

void RequestPath::onHedgeTimer(ExchangeId id)
{
    Exchange &exchange = m_exchanges.at(id);
    if (exchange.active.size() != 1)
        return;
    const TimePoint now = Clock::now();
    std::vector<Base::InstanceId> excluded = exchange.excluded;
    excluded.push_back(exchange.active.front().node);
    const Resolution other = m_resolver.resolve(now, exchange.request, excluded);
    if (!other.node
        || !m_retry.takeHedge(now, exchange.request.route->service, exchange.request.deadline))
        return;
    m_counters.hedges.add();
    exchange.excluded = std::move(excluded);
    exchange.resolution = other;
    logDecision(exchange);
    startAttempt(id, exchange);
}

void RequestPath::onResult(ExchangeId id, unsigned attemptNumber, AttemptResult result)
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return; // answered before
    Exchange &exchange = found->second;
    const auto active
        = std::find_if(exchange.active.begin(), exchange.active.end(),
                       [&](const Attempt &attempt) { return attempt.number == attemptNumber; });
    if (active == exchange.active.end())
        return;
    const Attempt attempt = *active;
    exchange.active.erase(active);
    reportAttempt(exchange, attempt, result);
    if (result.outcome == Outcome::Answered) {
        cancelActive(exchange);
        finish(id, std::move(result));
    } else {
        onFailure(id, std::move(result));
    }
}

void RequestPath::reportAttempt(const Exchange &exchange, const Attempt &attempt,
                                const AttemptResult &result)
{
    const TimePoint now = Clock::now();
    const Base::Duration latency = now - attempt.started;
    const std::string &service = exchange.request.route->service;
    NodeResult nodeResult = NodeResult::Answered;
    AttemptEnd end = AttemptEnd::Answered;
    if (result.error == ErrorCode::LostHedge) {
        nodeResult = NodeResult::Cancelled;
        end = AttemptEnd::LostHedge;
    } else if (result.outcome == Outcome::NotRun) {
        nodeResult = NodeResult::Overloaded;
        end = maySucceedAfterChange(result.error) ? AttemptEnd::NotOwner : AttemptEnd::Overloaded;
    } else if (result.outcome == Outcome::Unknown) {
        nodeResult = NodeResult::Failed;
        end = AttemptEnd::Failed;
    }
    m_retry.onAttemptEnded(now, service, end, latency);
    if (!exchange.request.route->keyed)
        m_balancer.onFinished(now, service, attempt.node, nodeResult, latency);
    if (attempt.isCrossRegion)
        countCrossRegion(exchange, result);
    (attempt.isLocal ? m_counters.localLatency : m_counters.hopLatency).add(latency);
}

void RequestPath::cancelActive(Exchange &exchange)
{
    // Results that come within cancel() find no active attempt any more.
    const std::vector<Attempt> active = std::exchange(exchange.active, {});
    for (const Attempt &attempt : active) {
        reportAttempt(exchange, attempt, AttemptResult::unknown(ErrorCode::LostHedge));
        if (attempt.isLocal)
            m_dispatcher.cancel(attempt.handle);
        else
            m_forwarder.cancel(attempt.handle);
    }
}

void RequestPath::onFailure(ExchangeId id, AttemptResult result)
{
    Exchange &exchange = m_exchanges.at(id);
    exchange.mayHaveRun = exchange.mayHaveRun || result.outcome == Outcome::Unknown;
    exchange.lastResult = std::move(result);
    if (!exchange.active.empty())
        return; // the other attempt decides
    m_deadlines.cancel(exchange.timer);
    const TimePoint now = Clock::now();
    const bool isKeyed = exchange.request.route->keyed;
    const bool isOver = !mayTryAgain(exchange) || now >= exchange.request.deadline;
    if (!isOver && isKeyed && maySucceedAfterChange(exchange.lastResult.error)) {
        waitForChange(id, exchange, now);
    } else if (!isOver && !isKeyed && exchange.lastNode.isValid() && takeRetry(exchange, now)) {
        exchange.excluded.push_back(exchange.lastNode);
        attempt(id);
    } else {
        finish(id, exchange.lastResult);
    }
}

// The at-most-once rule: what may have run is repeated only when it is idempotent.
bool RequestPath::mayTryAgain(const Exchange &exchange) const
{
    return exchange.lastResult.outcome == Outcome::NotRun || exchange.request.isIdempotent;
}

bool RequestPath::takeRetry(const Exchange &exchange, TimePoint now)
{
    return m_retry.takeRetry(now, {exchange.lastResult.outcome, exchange.lastResult.error,
                                   exchange.attempts, exchange.request.deadline,
                                   exchange.request.route->service});
}

void RequestPath::waitForChange(ExchangeId id, Exchange &exchange, TimePoint now)
{
    if (m_waiting >= MaxWaiting) {
        finish(id, exchange.lastResult);
        return;
    }
    exchange.isWaiting = true;
    if (exchange.waitingSince == TimePoint())
        exchange.waitingSince = now;
    ++m_waiting;
    const TimePoint last = exchange.request.deadline - AnswerMargin;
    // What may have run there is repeated elsewhere only, so another try on the same target has no
    // use. An earlier attempt on another target does not matter: without further tries, a request
    // whose first link to the new owner failed waited until its deadline.
    const bool mayRepeat = exchange.lastResult.outcome == Outcome::NotRun;
    const TimePoint next = mayRepeat ? std::min(now + exchange.pause, last) : last;
    exchange.pause *= 2;
    exchange.timer = m_deadlines.add(next, [this, id] { onWaitTimer(id); });
    retryAfterChange(id);
}

void RequestPath::stopWaiting(Exchange &exchange)
{
    if (!exchange.isWaiting)
        return;
    exchange.isWaiting = false;
    --m_waiting;
    m_deadlines.cancel(exchange.timer);
}

Base::Duration RequestPath::longestWait(TimePoint now) const
{
    Base::Duration longest{0};
    if (m_waiting == 0)
        return longest;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange.isWaiting)
            longest = std::max(longest, now - exchange.waitingSince);
    }
    return longest;
}

void RequestPath::onWaitTimer(ExchangeId id)
{
    Exchange &exchange = m_exchanges.at(id);
    const TimePoint now = Clock::now();
    stopWaiting(exchange);
    const bool isOver = now >= exchange.request.deadline - AnswerMargin;
    if (isOver || !takeRetry(exchange, now))
        finish(id, exchange.lastResult);
    else
        attempt(id);
}

// Tries again when the request would go elsewhere, or to the same owner under another epoch.
void RequestPath::retryAfterChange(ExchangeId id)
{
    Exchange &exchange = m_exchanges.at(id);
    const TimePoint now = Clock::now();
    const Resolution next = m_resolver.resolve(now, exchange.request, exchange.excluded);
    const bool isChanged
        = next.node
          && (next.node->instance != exchange.lastNode || next.epoch != exchange.resolution.epoch
              || next.isLocal != exchange.resolution.isLocal);
    if (!isChanged || !takeRetry(exchange, now))
        return;
    stopWaiting(exchange);
    attempt(id);
}

void RequestPath::setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    m_resolver.setSnapshot(snapshot);
    m_snapshot = std::move(snapshot);
    if (m_waiting == 0)
        return;
    std::vector<ExchangeId> waiting;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange.isWaiting)
            waiting.push_back(id);
    }
    for (const ExchangeId id : waiting) {
        const auto found = m_exchanges.find(id);
        if (found != m_exchanges.end() && found->second.isWaiting)
            retryAfterChange(id);
    }
}

void RequestPath::finish(ExchangeId id, AttemptResult result)
{
    auto node = m_exchanges.extract(id);
    Exchange &exchange = node.mapped();
    stopWaiting(exchange);
    m_deadlines.cancel(exchange.timer);
    // A retry that was rejected says nothing about an earlier attempt.
    if (result.outcome == Outcome::NotRun && exchange.mayHaveRun)
        result.outcome = Outcome::Unknown;
    (result.outcome == Outcome::Answered ? m_counters.answered
     : result.outcome == Outcome::NotRun ? m_counters.notRun
                                         : m_counters.unknown)
        .add();
    exchange.reply(makeResponse(exchange, std::move(result)));
    if (m_exchanges.empty() && m_drained)
        std::exchange(m_drained, nullptr)();
}

void RequestPath::countCrossRegion(const Exchange &exchange, const AttemptResult &result)
{
    const std::string &account = exchange.request.route->account;
    Metrics::Counter *&counter = m_crossRegionBytes[account];
    if (!counter) {
        counter = &m_metrics.counter("medlar_cross_region_bytes_total",
                                     "Bytes of requests and responses sent to other regions.",
                                     {{"account", account}});
    }
    counter->add(exchange.request.bytes() + result.response.body.size());
}

void RequestPath::startDraining(std::function<void()> done)
{
    m_isDraining = true;
    if (m_exchanges.empty())
        done();
    else
        m_drained = std::move(done);
}

void RequestPath::giveUpAll()
{
    std::vector<ExchangeId> ids;
    for (const auto &[id, exchange] : m_exchanges)
        ids.push_back(id);
    for (const ExchangeId id : ids) {
        Exchange &exchange = m_exchanges.at(id);
        cancelActive(exchange);
        finish(id, exchange.isWaiting ? exchange.lastResult
                                      : AttemptResult::unknown(ErrorCode::GivenUp));
    }
}

} // namespace Medlar::Daemon
