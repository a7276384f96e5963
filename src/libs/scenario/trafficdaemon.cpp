#include "trafficdaemon.h"

#include "daemon/controllerretry.h"
#include "daemon/queueadmission.h"
#include "daemon/selectorbalancer.h"
#include "wrongpolicies.h"

#include <algorithm>

namespace Medlar::Scenario {

using Daemon::AttemptResult;
using Daemon::CompletionResult;
namespace ErrorCode = Daemon::ErrorCode;

namespace {

constexpr std::size_t RequestBytes = 256; // of each request while it waits

} // namespace

TrafficDaemon::TrafficDaemon(EventQueue &events, const TrafficOptions &options,
                             Cluster::NodeRecord record, const DaemonLog::Print &print)
    : m_events(events)
    , m_record(std::move(record))
    , m_brokenRules(options.brokenRules)
    , m_log(m_record.instance.node, print)
    , m_backend(events, options.slots, options.serviceTime,
                options.seed + m_record.instance.incarnation)
{
    if (isBroken("bounded-admission"))
        m_admission = std::make_unique<UnboundedAdmission>(options.slots);
    else
        m_admission = std::make_unique<Daemon::QueueAdmission>(m_log, m_registry);
    if (isBroken("observed-choice"))
        m_balancer = std::make_unique<BlindBalancer>();
    else if (isBroken("even-choice"))
        m_balancer = std::make_unique<LastNodeBalancer>();
    else
        m_balancer = std::make_unique<Daemon::SelectorBalancer>(
            options.seed + m_record.instance.incarnation, m_log);
    if (isBroken("retry-budget"))
        m_retry = std::make_unique<UnlimitedRetry>();
    else if (isBroken("retries"))
        m_retry = std::make_unique<NoRetry>();
    else
        m_retry = std::make_unique<Daemon::ControllerRetry>();
}

void TrafficDaemon::setSnapshot(const std::shared_ptr<const Daemon::TrafficSnapshot> &snapshot)
{
    m_snapshot = snapshot;
    m_admission->onSnapshot(now(), *snapshot);
    m_index.setSnapshot(snapshot);
    m_balancer->onCandidatesChanged();
    armTimer();
}

void TrafficDaemon::run(AttemptId id, Attempt attempt)
{
    const Daemon::AdmissionRequest offered{route(), attempt.requestClass, attempt.deadline,
                                           RequestBytes};
    m_entries[id].attempt = std::move(attempt);
    // The decision may come within offer(), and a rejection removes the entry.
    const Daemon::AdmissionTicket ticket = m_admission->offer(
        now(), offered, [this, id](Base::TimePoint, const Daemon::AdmissionDecision &decision) {
            decided(id, decision);
        });
    if (const auto found = m_entries.find(id); found != m_entries.end())
        found->second.ticket = ticket;
    m_longestQueue = std::max(m_longestQueue, m_admission->waiting());
    armTimer();
}

void TrafficDaemon::cancel(AttemptId id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || isBroken("cancellation"))
        return;
    if (found->second.isRunning) {
        m_backend.cancel(id);
        finish(id, AttemptResult::unknown(ErrorCode::GivenUp), CompletionResult::Failed);
        return;
    }
    m_admission->cancel(now(), found->second.ticket);
    finish(id, AttemptResult::notRun(ErrorCode::Cancelled), CompletionResult::NotSent);
}

void TrafficDaemon::check()
{
    m_admission->onBackendReachable(now(), m_backend.isReachable());
    if (isBroken("alarms"))
        return;
    for (const Base::LogLine &line : m_registry.checkAlarms(now()))
        m_log.write(line);
}

void TrafficDaemon::decided(AttemptId id, const Daemon::AdmissionDecision &decision)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    if (!decision.isAdmitted) {
        m_events.schedule(m_events.now(), [done = entry.attempt.done, reason = decision.reason] {
            done(AttemptResult::notRun(reason));
        });
        m_entries.erase(found);
        return;
    }
    entry.isRunning = true;
    entry.sentAt = now();
    const bool runs = m_backend.send(id, [this, id, done = entry.attempt.done](BackendReply reply) {
        onReply(id, reply, done);
    });
    if (runs)
        entry.attempt.started();
    m_events.schedule(entry.attempt.deadline - TrafficEpoch, [this, id] {
        if (m_entries.count(id) == 0)
            return;
        m_backend.cancel(id);
        finish(id, AttemptResult::unknown(ErrorCode::DeadlinePassed), CompletionResult::Failed);
    });
}

void TrafficDaemon::onReply(AttemptId id, BackendReply reply, const Done &done)
{
    AttemptResult answer;
    answer.outcome = Messages::Outcome::Answered;
    if (m_entries.count(id) == 0) {
        if (reply == BackendReply::Answered)
            done(answer);
        return;
    }
    switch (reply) {
    case BackendReply::Answered:
        finish(id, answer, CompletionResult::Answered);
        return;
    case BackendReply::Shed:
        finish(id, AttemptResult::notRun(ErrorCode::BackendNotRun), CompletionResult::Rejected);
        return;
    case BackendReply::Refused:
        finish(id, AttemptResult::notRun(ErrorCode::BackendRefused), CompletionResult::Failed);
        return;
    case BackendReply::CutOff:
        finish(id, AttemptResult::unknown(ErrorCode::BackendCutOff), CompletionResult::Failed);
        return;
    }
}

void TrafficDaemon::finish(AttemptId id, const AttemptResult &result, CompletionResult completion)
{
    auto node = m_entries.extract(id);
    const Entry &entry = node.mapped();
    if (entry.isRunning)
        m_admission->onCompleted(now(), entry.ticket, {now() - entry.sentAt, completion});
    armTimer();
    entry.attempt.done(result);
}

void TrafficDaemon::armTimer()
{
    const auto next = m_admission->nextDeadline();
    if (!next || *next >= m_timer)
        return;
    m_timer = *next;
    m_events.schedule(m_timer - TrafficEpoch, [this] {
        m_timer = Base::TimePoint::max();
        m_admission->onTime(now());
        armTimer();
    });
}

} // namespace Medlar::Scenario
