#include "localbackend.h"

#include "base/steadyclock.h"
#include "http/headers.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Medlar::Relay {

using Base::steadyNow;
using Messages::ForwardRequest;
using Messages::ForwardResponse;
using Messages::Outcome;

namespace {

// A BackendServer answers 504 at the deadline that it was given; this margin lets the answer
// arrive.
constexpr std::chrono::milliseconds AnswerGrace{60};
// A request whose caller has disconnected may still complete within this time. Cancelling it
// earlier would close its connection, and a new one would have to be opened.
constexpr std::chrono::milliseconds CancelGrace{200};
// Maximum wait for a key that is being moved here; it arrives with the next heartbeat.
constexpr std::chrono::milliseconds MaxKeyWait{900};
// The BackendServer may have dropped a connection that was idle for long. A request that must not
// run twice cannot be sent again if that happens, so it only uses connections idle for at most this
// time.
constexpr std::chrono::milliseconds MaxIdleNonIdempotent{1000};
// A request whose keep-alive connection turns out to be closed is sent once more, on a new one.
constexpr unsigned MaxSends = 2;
constexpr unsigned MaxConsecutiveFailures = 3;
// Weight of the latest request in the moving average of the share of repeated requests.
constexpr double RepeatedShareWeight = 0.05;
// Interval at which the nodes of each service are counted; the numbers change slowly, and a count
// visits all nodes.
constexpr std::chrono::seconds NodeCountInterval{1};

} // namespace

LocalBackend::LocalBackend(boost::asio::io_context &context,
                           const Http::BackendClientSettings &settings,
                           const BackendDialect &dialect, LocalBackendHooks hooks,
                           Base::LogSink &log, Metrics::MetricRegistry &metrics)
    : m_context(context)
    , m_timers(context)
    , m_dialect(dialect)
    , m_hooks(std::move(hooks))
    , m_log(log)
    , m_serviceTimes(metrics.latency("medlar_backend_service_seconds",
                                     "Time from the send to the answer of the backend server"))
    , m_metrics(metrics)
    , m_client(Http::BackendClient::create(context, settings))
{}

LocalBackend::~LocalBackend() = default;

void LocalBackend::setService(const std::string &service, const std::string &backendId)
{
    if (backendId != m_backendId)
        closeIdleConnections();
    m_service = service;
    m_backendId = backendId;
    ++m_incarnation;
    m_notices.reset();
    applyCondition();
}

void LocalBackend::closeIdleConnections()
{
    m_client->closeIdle();
}

void LocalBackend::setCondition(const Gate::BackendCondition &condition)
{
    if (m_isClosing)
        return;
    m_condition = condition;
    applyCondition();
    if (condition.isPresent)
        m_consecutiveFailures = 0;
    dispatchRequests();
}

void LocalBackend::applyCondition()
{
    Gate::BackendCondition condition = m_condition;
    condition.isDraining = condition.isDraining || m_notices.isLeaving();
    condition.maxRequestsPerSecond = m_notices.maxRequestsPerSecond();
    m_gate.setCondition(steadyNow(), condition);
}

// A response of an earlier BackendServer at the address says nothing about the present one.
void LocalBackend::onNotice(const PendingRequest &pending, const BackendNotice &notice)
{
    if (pending.incarnation != m_incarnation)
        return;
    if (!notice.unreadableLimit.empty() && notice.unreadableLimit != m_unreadableLimit)
        m_log.write(Base::LogLine("backend-limit-unreadable")
                        .add("backend", m_backendId)
                        .add("value", notice.unreadableLimit));
    m_unreadableLimit = notice.unreadableLimit;
    if (!m_notices.onResponse(notice))
        return;
    m_log.write(Base::LogLine("backend-notice")
                    .add("backend", m_backendId)
                    .add("leaving", m_notices.isLeaving())
                    .add("limit_per_second", m_notices.maxRequestsPerSecond().value_or(0.0)));
    applyCondition();
    if (m_hooks.onNotice)
        m_hooks.onNotice();
}

void LocalBackend::startClosing()
{
    m_isClosing = true;
    m_condition.isPresent = false;
    applyCondition();
    onKeysChanged();
}

void LocalBackend::onKeysChanged()
{
    for (const std::uint64_t handle : std::exchange(m_awaitingKeys, {})) {
        if (m_pending.count(handle) != 0)
            admit(handle);
    }
    dispatchRequests();
}

std::uint64_t LocalBackend::handle(ForwardRequest request, Base::TimePoint deadline,
                                   AnswerCallback done,
                                   std::shared_ptr<Http::CallerPresence> caller,
                                   const std::string &originNode)
{
    const std::uint64_t handle = ++m_lastHandle;
    PendingRequest &pending = m_pending[handle];
    if (request.key) {
        if (const auto key = Http::parseNumber(*request.key))
            pending.key = static_cast<std::uint32_t>(std::min<std::uint64_t>(*key, UINT32_MAX));
    }
    pending.request = std::move(request);
    pending.done = std::move(done);
    pending.caller = std::move(caller);
    pending.arrived = steadyNow();
    onOrigin(pending.arrived, pending.request.route, originNode);
    pending.isCall = m_callRoutes.isCall(pending.request.route);
    // The time that the request spent in the socket is unknown to the sender and counts as well.
    const bool isLagCurrent = pending.arrived - m_lagMeasuredAt <= m_eventLoopLag;
    pending.deadline = isLagCurrent ? deadline - m_eventLoopLag : deadline;
    admit(handle);
    postDispatch();
    return handle;
}

void LocalBackend::onOrigin(Base::TimePoint now, const std::string &route, const std::string &node)
{
    const NodeView *const origin = m_hooks.fleet ? m_hooks.fleet->find(node) : nullptr;
    if (!origin)
        return;
    if (now - m_nodesCountedAt >= NodeCountInterval) {
        m_nodesCountedAt = now;
        std::map<std::string, std::size_t> nodesByService;
        for (const auto &[name, view] : m_hooks.fleet->nodes()) {
            if (view.isLinked && !view.status.service.empty())
                ++nodesByService[view.status.service];
        }
        m_callRoutes.setNodes(std::move(nodesByService));
    }
    if (!m_callRoutes.onRequest(now, route, node, origin->status.service))
        return;
    m_log.write(Base::LogLine("call-route")
                    .add("route", route)
                    .add("calls", m_callRoutes.isCall(route))
                    .add("origin_service", origin->status.service));
}

// On a busy VM, many messages are read at once. Requests that are cancelled by one of them are not
// started, and the most urgent ones of them go first.
void LocalBackend::postDispatch()
{
    if (std::exchange(m_isDispatchPosted, true))
        return;
    boost::asio::post(m_context, [this, postedAt = steadyNow()] {
        m_isDispatchPosted = false;
        m_lagMeasuredAt = steadyNow();
        m_eventLoopLag = m_lagMeasuredAt - postedAt;
        dispatchRequests();
    });
}

void LocalBackend::admit(std::uint64_t handle)
{
    PendingRequest &pending = m_pending.at(handle);
    const Base::TimePoint now = steadyNow();
    if (m_isClosing) {
        decline(handle, "stopping", Base::Duration::zero());
        return;
    }
    if (pending.request.service != m_service) {
        decline(handle, "other-service", Base::Duration::zero());
        return;
    }
    if (pending.key && m_hooks.keyState) {
        const KeyState state = m_hooks.keyState(*pending.key);
        const Base::TimePoint keyWaitEnd
            = pending.arrived
              + std::min<Base::Duration>(MaxKeyWait, (pending.deadline - pending.arrived) / 2);
        if (state == KeyState::Expected && now < keyWaitEnd) {
            m_awaitingKeys.push_back(handle);
            scheduleDispatch();
            return;
        }
        if (state != KeyState::Held) {
            decline(handle, "key-not-held", Base::Duration::zero());
            return;
        }
    }
    if (pending.key && m_hooks.onKeyRequested)
        m_hooks.onKeyRequested(*pending.key, m_gate.serviceTimes().usual(pending.request.route));
    const auto ticket
        = m_gate.offer(now, {pending.request.priority, now + pending.request.targetLeft,
                             pending.deadline, pending.key, pending.request.route, pending.isCall,
                             pending.request.account, pending.request.body.size()});
    if (!ticket) {
        decline(handle, std::string(toString(ticket.error().reason)), ticket.error().retryAfter);
        return;
    }
    if (!isStartedUnderPressure(now, pending)) {
        m_gate.cancel(*ticket);
        decline(handle, std::string(toString(Gate::DeclineReason::Overloaded)),
                Gate::CallPressure::retryAfter());
        return;
    }
    pending.ticket = *ticket;
    m_byTicket[*ticket] = handle;
}

bool LocalBackend::isStartedUnderPressure(Base::TimePoint now, const PendingRequest &pending)
{
    if (pending.isCall)
        return true;
    const bool isStarted = m_callPressure.tryStart(now, pending.request.priority);
    logPressure();
    if (!isStarted)
        m_metrics
            .counter("medlar_call_pressure_declined_total",
                     "Requests declined because the calls of the backend server fail")
            .add();
    return isStarted;
}

void LocalBackend::onCallEnded(Gate::CallResult result)
{
    m_callPressure.onCallEnded(steadyNow(), result);
    m_metrics
        .counter("medlar_calls_total", "Calls that the backend server has made, by outcome",
                 {{"outcome", std::string(toString(result))}})
        .add();
    logPressure();
}

// Logs once when less than half of the requests are started, and once when all are started again.
void LocalBackend::logPressure()
{
    const double share = m_callPressure.startedShare();
    const bool isLimiting = m_isPressureLogged ? share < 1.0 : share < 0.5;
    if (isLimiting == m_isPressureLogged)
        return;
    m_isPressureLogged = isLimiting;
    m_log.write(Base::LogLine("call-pressure")
                    .add("backend", m_backendId)
                    .add("limiting", isLimiting)
                    .add("started_share", share));
}

void LocalBackend::dispatchRequests()
{
    const Base::TimePoint now = steadyNow();
    while (const auto ticket = m_gate.next(now)) {
        const auto found = m_byTicket.find(*ticket);
        if (found == m_byTicket.end()) {
            m_gate.onFinished(*ticket, Base::Duration::zero(), false);
            continue;
        }
        const std::uint64_t handle = found->second;
        m_byTicket.erase(found);
        start(handle);
    }
    if (const std::uint64_t displaced = m_gate.displaced(); displaced != m_displaced)
        m_metrics
            .counter("medlar_gate_displaced_total",
                     "Requests that the gate declined in favour of another account")
            .add(displaced - std::exchange(m_displaced, displaced));
    for (const auto &[ticket, reason] : m_gate.takeDeclined(now)) {
        const auto found = m_byTicket.find(ticket);
        if (found == m_byTicket.end())
            continue;
        const std::uint64_t handle = found->second;
        m_byTicket.erase(found);
        decline(handle, std::string(toString(reason.reason)), reason.retryAfter);
    }
    scheduleDispatch();
}

// Requests also become due as time passes: a cold BackendServer may take the next one, keys arrive,
// and waiting requests expire.
void LocalBackend::scheduleDispatch()
{
    const Base::TimePoint now = steadyNow();
    auto turn = m_gate.nextPollTime(now);
    if (!turn && !m_awaitingKeys.empty())
        turn = now + std::chrono::milliseconds(50);
    if (!turn || (m_nextDispatch && *m_nextDispatch <= *turn))
        return;
    if (m_nextDispatch)
        m_timers.cancel(m_dispatchTimer);
    m_nextDispatch = turn;
    m_dispatchTimer = m_timers.add(*turn, [this] {
        m_nextDispatch.reset();
        onKeysChanged();
    });
}

void LocalBackend::start(std::uint64_t handle)
{
    PendingRequest &pending = m_pending.at(handle);
    pending.isRunning = true;
    pending.started = steadyNow();
    pending.incarnation = m_incarnation;
    if (++pending.sends > 1)
        m_gate.onSentAgain(pending.started);
    else if (!pending.isCall)
        m_repeatedShare
            += ((pending.request.isRepeat ? 1.0 : 0.0) - m_repeatedShare) * RepeatedShareWeight;
    Http::BackendRequest send;
    send.request = m_dialect.toBackend(pending.request, m_backendId);
    send.requestId = pending.request.requestId;
    send.deadline = pending.deadline + AnswerGrace;
    if (pending.sends > 1)
        send.maxIdle = std::chrono::milliseconds(-1);
    else if (!pending.request.idempotent)
        send.maxIdle = MaxIdleNonIdempotent;
    send.prepare = [this, handle](Http::HttpRequest &request) { return prepare(handle, request); };
    send.done = [this, handle](Http::BackendResult result) { onResult(handle, std::move(result)); };
    pending.sendId = m_client->send(std::move(send));
}

// The request may have been cancelled while its connection was being made, and the close of a local
// caller may have arrived without having been read.
bool LocalBackend::prepare(std::uint64_t handle, Http::HttpRequest &request)
{
    const auto found = m_pending.find(handle);
    if (found == m_pending.end())
        return false;
    const PendingRequest &pending = found->second;
    if (pending.caller)
        pending.caller->checkLeft();
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(pending.deadline - steadyNow());
    if (pending.isAbandoned || left.count() <= 0)
        return false;
    m_dialect.setTimeLeft(request, left);
    return true;
}

void LocalBackend::onResult(std::uint64_t handle, Http::BackendResult result)
{
    if (m_pending.count(handle) == 0)
        return;
    if (result)
        onBackendResponse(handle, std::move(*result));
    else
        onBackendError(handle, result.error());
    dispatchRequests();
}

void LocalBackend::onBackendResponse(std::uint64_t handle, Http::HttpResponse response)
{
    const AnswerClassification classification = m_dialect.classify(response, m_backendId);
    const bool wasAnswered = classification.kind == AnswerKind::Answered;
    m_consecutiveFailures = 0;
    if (!classification.isOtherBackend)
        onNotice(m_pending.at(handle), classification.notice);
    ForwardResponse answer;
    if (classification.kind == AnswerKind::NotRun) {
        if (classification.isOtherBackend && m_hooks.onPossibleRestart)
            m_hooks.onPossibleRestart();
        answer.outcome = Outcome::NotRun;
        answer.error = classification.isKeyRefused ? "key-refused" : "backend-declined";
        answer.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_gate.serviceTimes().recentMean());
    } else if (wasAnswered) {
        answer.outcome = Outcome::Answered;
        answer.status = response.status;
        answer.headers = std::move(response.headers);
        answer.body = std::move(response.body);
    } else {
        answer.outcome = Outcome::Unknown;
        answer.error = "backend-answer-unusable";
    }
    releaseSlot(handle, wasAnswered);
    const bool isDeclinedAsFull = classification.kind == AnswerKind::NotRun
                                  && !classification.isOtherBackend && !classification.isKeyRefused;
    if (isDeclinedAsFull)
        m_gate.onBackendDeclined(steadyNow(),
                                 classification.load ? std::optional<std::uint32_t>(
                                     classification.load->running + classification.load->waiting)
                                                     : std::nullopt);
    finish(handle, std::move(answer));
}

void LocalBackend::onBackendError(std::uint64_t handle, const Http::BackendError &error)
{
    using Code = Http::BackendErrorCode;
    // A BackendServer that is up may refuse or close a single connection, for example when it is
    // full. Several failures without an answer in between mean that it is down.
    const bool isConnectionFailure = error.code == Code::Refused || error.code == Code::CutOff;
    if (isConnectionFailure && ++m_consecutiveFailures >= MaxConsecutiveFailures) {
        m_consecutiveFailures = 0;
        if (m_hooks.onPossibleRestart)
            m_hooks.onPossibleRestart();
    }
    const PendingRequest &pending = m_pending.at(handle);
    const bool mayRetry = !error.sent || pending.request.idempotent;
    const bool hasFailedImmediately = steadyNow() - pending.started < std::chrono::milliseconds(5);
    // A keep-alive connection that the BackendServer had closed does not indicate a failure.
    if (error.code == Code::CutOff && mayRetry && hasFailedImmediately && pending.sends < MaxSends
        && !pending.isAbandoned) {
        start(handle);
        return;
    }
    ForwardResponse answer;
    answer.outcome = error.sent ? Outcome::Unknown : Outcome::NotRun;
    answer.error = std::string(toString(error.code));
    answer.retryAfter
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_gate.serviceTimes().recentMean());
    releaseSlot(handle, false);
    finish(handle, std::move(answer));
}

void LocalBackend::releaseSlot(std::uint64_t handle, bool wasAnswered)
{
    PendingRequest &pending = m_pending.at(handle);
    const Base::TimePoint now = steadyNow();
    const Base::Duration service = now - pending.started;
    pending.isRunning = false;
    m_gate.onFinished(pending.ticket, service, wasAnswered);
    if (wasAnswered)
        m_serviceTimes.add(service);
}

void LocalBackend::decline(std::uint64_t handle, const std::string &reason,
                           Base::Duration retryAfter)
{
    ForwardResponse answer;
    answer.outcome = Outcome::NotRun;
    answer.error = reason;
    answer.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter);
    m_metrics
        .counter("medlar_gate_declined_total", "Requests that the gate declined",
                 {{"reason", reason}})
        .add();
    finish(handle, std::move(answer));
}

void LocalBackend::finish(std::uint64_t handle, ForwardResponse response)
{
    const auto found = m_pending.find(handle);
    if (found == m_pending.end())
        return;
    const PendingRequest pending = std::move(found->second);
    m_pending.erase(found);
    response.requestId = pending.request.requestId;
    response.running = m_gate.running();
    response.waiting = m_gate.waiting();
    response.isCall = pending.isCall;
    logOutcome(pending, response);
    if (!pending.isAbandoned)
        pending.done(std::move(response));
}

void LocalBackend::logOutcome(const PendingRequest &pending, const ForwardResponse &response) const
{
    using Milliseconds = std::chrono::milliseconds;
    const Base::TimePoint now = steadyNow();
    const auto serviceStart = pending.sends > 0 ? pending.started : now;
    Base::LogLine line("gate");
    line.add("request_id", pending.request.requestId)
        .add("backend", m_backendId)
        .add("outcome", response.outcome == Outcome::Answered ? "answered"
                        : response.outcome == Outcome::NotRun ? "not-run"
                                                              : "unknown")
        .add("reason", response.error)
        .add("status", response.status)
        .add("wait_ms", std::chrono::duration_cast<Milliseconds>(serviceStart - pending.arrived))
        .add("service_ms", std::chrono::duration_cast<Milliseconds>(now - serviceStart))
        .add("left_ms", std::chrono::duration_cast<Milliseconds>(pending.deadline - now))
        .add("running", m_gate.running())
        .add("waiting", m_gate.waiting())
        .add("abandoned", pending.isAbandoned)
        .add("call", pending.isCall);
    if (pending.key)
        line.add("key", *pending.key);
    m_log.write(line);
}

void LocalBackend::cancel(std::uint64_t handle)
{
    const auto found = m_pending.find(handle);
    if (found == m_pending.end())
        return;
    PendingRequest &pending = found->second;
    pending.isAbandoned = true;
    if (!pending.isRunning) {
        m_gate.cancel(pending.ticket);
        m_byTicket.erase(pending.ticket);
        finish(handle, {});
        return;
    }
    // A request that is not idempotent runs to completion, so that its effects are not left
    // partial.
    if (!pending.request.idempotent)
        return;
    m_timers.add(steadyNow() + CancelGrace, [this, handle] {
        const auto running = m_pending.find(handle);
        if (running != m_pending.end())
            m_client->cancel(running->second.sendId);
    });
}

} // namespace Medlar::Relay
