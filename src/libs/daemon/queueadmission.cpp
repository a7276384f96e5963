#include "queueadmission.h"

#include "errorcodes.h"

#include <algorithm>

namespace Medlar::Daemon {

using Balancing::LoadSignal;

namespace {

// Of the 120 connections to a BackendServer, 8 are left for probes, grants and cancellations.
constexpr std::uint32_t ConnectionsForRequests = 112;

LoadSignal signalOf(CompletionResult result)
{
    switch (result) {
    case CompletionResult::Answered:
        return LoadSignal::Answered;
    case CompletionResult::Rejected:
        return LoadSignal::Rejected;
    case CompletionResult::Failed:
        return LoadSignal::TimedOut;
    case CompletionResult::NotSent:
        return LoadSignal::Unrelated;
    }
    return LoadSignal::Unrelated;
}

AdmissionDecision rejected(const Admission::Rejection &rejection)
{
    return {false, std::string(Admission::toString(rejection.reason)),
            std::chrono::duration_cast<std::chrono::milliseconds>(rejection.retryAfter)};
}

Balancing::RampSettings rampOf(const Configuration::Route &route)
{
    return {route.newServerRate, route.rampTime};
}

} // namespace

void QueueAdmission::onSnapshot(Base::TimePoint now, const TrafficSnapshot &snapshot)
{
    if (!m_limit || m_slots != snapshot.self.backendSlots) {
        m_slots = snapshot.self.backendSlots;
        auto limit = Balancing::ConcurrencyLimit::create({m_slots, ConnectionsForRequests, 0});
        if (limit) {
            m_limit = *limit;
            for (std::size_t i = 0; i < m_running.size(); ++i)
                m_limit->onStarted();
        }
    }
    // A BackendServer that was out of service has lost what kept it warm.
    const bool isInService = snapshot.acceptsWork(snapshot.self);
    if (isInService && !m_wasInService)
        startRamps(now, "returned-to-service");
    m_wasInService = isInService;
    if (!snapshot.routes)
        return;
    m_rampSettings.clear();
    Base::Duration longestRamp{0};
    for (const auto &[name, route] : snapshot.routes->routes) {
        const Balancing::RampSettings wanted = rampOf(route);
        const auto [known, isFirst] = m_rampSettings.try_emplace(route.service, wanted);
        if (!isFirst) {
            known->second.newServerRate
                = std::min(known->second.newServerRate, wanted.newServerRate);
            known->second.rampTime = std::max(known->second.rampTime, wanted.rampTime);
        }
        longestRamp = std::max<Base::Duration>(longestRamp, route.rampTime);
    }
    for (auto &[name, state] : m_services) {
        const auto settings = m_rampSettings.find(name);
        if (settings != m_rampSettings.end())
            state.ramp->setSettings(settings->second);
    }
    if (!m_cold)
        m_cold.emplace(longestRamp);
    pump(now);
}

QueueAdmission::Service &QueueAdmission::service(Base::TimePoint now,
                                                 const Configuration::Route &route)
{
    Service &state = m_services[route.service];
    if (state.queue)
        return state;
    Admission::RequestQueueSettings settings;
    settings.name = "admission/" + route.service;
    settings.bounds.maxEntries = std::max<std::size_t>(route.maxQueue, 1);
    state.queue = std::move(*Admission::RequestQueue::create(m_registry, settings));
    const auto ramp = m_rampSettings.find(route.service);
    state.ramp = std::make_unique<Balancing::Ramp>(ramp == m_rampSettings.end() ? rampOf(route)
                                                                                : ramp->second);
    // The daemon starts with its Vm, and whether the BackendServer is warm is unknown.
    state.ramp->start(now);
    return state;
}

AdmissionTicket QueueAdmission::offer(Base::TimePoint now, const AdmissionRequest &request,
                                      Decide decide)
{
    const AdmissionTicket ticket = ++m_lastTicket;
    Service &state = service(now, request.route);
    const bool mayStart = m_limit && m_limit->mayStart() && state.queue->isEmpty();
    if (mayStart && state.ramp->tryTake(now, m_limit->busyShare())) {
        start(now, request.route.service, ticket, decide);
        return ticket;
    }
    const auto queued
        = state.queue->offer(now, {request.requestClass, request.deadline, request.bytes});
    if (!queued)
        decide(now, rejected(queued.error()));
    else
        state.waiting[*queued] = {ticket, std::move(decide)};
    rejectLate(now, state);
    pump(now);
    return ticket;
}

void QueueAdmission::start(Base::TimePoint now, const std::string &service, AdmissionTicket ticket,
                           const Decide &decide)
{
    m_limit->onStarted();
    m_running[ticket] = {service, now};
    decide(now, {true, {}, {}});
}

void QueueAdmission::pump(Base::TimePoint now)
{
    m_nextToken = Base::TimePoint::max();
    bool progressed = true;
    while (progressed) {
        progressed = false;
        for (auto &[name, state] : m_services)
            progressed = dispatchOne(now, name, state) || progressed;
    }
}

bool QueueAdmission::dispatchOne(Base::TimePoint now, const std::string &name, Service &state)
{
    if (state.queue->isEmpty() || !m_limit || !m_limit->mayStart())
        return false;
    const Base::TimePoint token = state.ramp->nextToken(now);
    if (token > now) {
        m_nextToken = std::min(m_nextToken, token);
        return false;
    }
    const auto dispatch = state.queue->take(now);
    rejectLate(now, state);
    if (!dispatch || !state.ramp->tryTake(now, m_limit->busyShare()))
        return false;
    auto waiting = state.waiting.extract(dispatch->ticket);
    if (waiting.empty())
        return true;
    start(now, name, waiting.mapped().ticket, waiting.mapped().decide);
    return true;
}

void QueueAdmission::rejectLate(Base::TimePoint now, Service &state)
{
    for (const Admission::LateRejection &late : state.queue->takeLateRejections()) {
        auto waiting = state.waiting.extract(late.ticket);
        if (!waiting.empty())
            waiting.mapped().decide(now, rejected(late.rejection));
    }
}

void QueueAdmission::cancel(Base::TimePoint now, AdmissionTicket ticket)
{
    for (auto &[name, state] : m_services) {
        const auto found
            = std::find_if(state.waiting.begin(), state.waiting.end(),
                           [ticket](const auto &item) { return item.second.ticket == ticket; });
        if (found == state.waiting.end())
            continue;
        state.queue->cancel(now, found->first);
        state.waiting.erase(found);
        return;
    }
}

void QueueAdmission::onCompleted(Base::TimePoint now, AdmissionTicket ticket,
                                 const Completion &completion)
{
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    const Running running = found->second;
    m_running.erase(found);
    m_limit->onFinished(running.startedAt, now, signalOf(completion.result));
    if (completion.result != CompletionResult::NotSent)
        m_services[running.service].queue->onCompleted(completion.latency);

    std::optional<Balancing::ColdReason> cold;
    if (m_cold && completion.result == CompletionResult::Answered)
        cold = m_cold->onAnswered(now, completion.latency);
    else if (m_cold && completion.result != CompletionResult::NotSent)
        cold = m_cold->onFailed(now);
    if (cold)
        startRamps(now, Balancing::toString(*cold));
    pump(now);
}

void QueueAdmission::onBackendReachable(Base::TimePoint now, bool isReachable)
{
    if (isReachable && !m_wasReachable)
        startRamps(now, "returned");
    m_wasReachable = isReachable;
}

void QueueAdmission::startRamps(Base::TimePoint now, std::string_view reason)
{
    for (auto &[name, state] : m_services)
        state.ramp->start(now);
    if (m_cold)
        m_cold->onRampStarted(now);
    m_log.write(Base::LogLine("ramp-started").add("reason", reason));
}

void QueueAdmission::onTime(Base::TimePoint now)
{
    for (auto &[name, state] : m_services) {
        state.queue->expire(now);
        rejectLate(now, state);
    }
    pump(now);
}

std::optional<Base::TimePoint> QueueAdmission::nextDeadline() const
{
    Base::TimePoint next = m_nextToken;
    for (const auto &[name, state] : m_services) {
        if (const auto deadline = state.queue->nextDeadline())
            next = std::min(next, *deadline);
    }
    if (next == Base::TimePoint::max())
        return std::nullopt;
    return next;
}

std::size_t QueueAdmission::waiting() const
{
    std::size_t count = 0;
    for (const auto &[name, state] : m_services)
        count += state.queue->size();
    return count;
}

} // namespace Medlar::Daemon
