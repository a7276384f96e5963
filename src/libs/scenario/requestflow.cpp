#include "requestflow.h"

namespace Medlar::Scenario {

using namespace std::chrono_literals;
using Daemon::AttemptResult;
using Messages::Outcome;
using Retry::AttemptEvent;
namespace ErrorCode = Daemon::ErrorCode;

namespace {

constexpr TrueTime LinkDelay = 500us; // one way, between two daemons
// A forwarded request whose answer does not come is given up this long after its deadline.
constexpr TrueTime GiveUpMargin = 2ms;
constexpr std::uint64_t AttemptsPerRequest = 16; // in the numbering of attempts

std::uint64_t attemptId(const TrafficRequest &request, std::size_t number)
{
    return request.id * AttemptsPerRequest + number;
}

AttemptEvent eventOf(const AttemptResult &result)
{
    switch (result.outcome) {
    case Outcome::Answered:
        return AttemptEvent::ResponseComplete;
    case Outcome::NotRun:
        return AttemptEvent::NotRunReported;
    case Outcome::Unknown:
        return AttemptEvent::UnknownReported;
    }
    return AttemptEvent::UnknownReported;
}

} // namespace

std::string_view outcomeName(Outcome outcome)
{
    return outcome == Outcome::Answered ? "answered"
           : outcome == Outcome::NotRun ? "not-run"
                                        : "unknown";
}

void RequestFlow::arrive(TrafficRequest arriving)
{
    arriving.id = m_requests.size() + 1;
    TrafficDaemon &daemon = *m_daemons[arriving.entry];
    // The history refuses a second attempt at what may have run, unless it is idempotent.
    arriving.history
        = Retry::AttemptHistory(arriving.isIdempotent || daemon.isBroken("at-most-once"));
    m_requests.push_back(std::move(arriving));
    TrafficRequest &request = m_requests.back();
    daemon.retry().onRequest(daemon.now(), TrafficService);
    m_events.schedule(request.deadline + GiveUpMargin, [this, &request] {
        if (request.isFinished)
            return;
        cancelActive(request, ErrorCode::DeadlinePassed);
        finish(request, AttemptResult::unknown(ErrorCode::DeadlinePassed));
    });
    attempt(request, AttemptResult::notRun(ErrorCode::NoCandidate));
}

void RequestFlow::cancelOldest(std::size_t count)
{
    for (TrafficRequest &request : m_requests) {
        if (request.isFinished)
            continue;
        if (count-- == 0)
            return;
        request.isCancelled = true;
        cancelActive(request, ErrorCode::Cancelled);
        finish(request, AttemptResult::unknown(ErrorCode::Cancelled));
    }
}

const Cluster::NodeRecord *RequestFlow::choose(const TrafficRequest &request,
                                               const std::vector<Base::InstanceId> &excluded)
{
    TrafficDaemon &daemon = *m_daemons[request.entry];
    return daemon.balancer().choose(daemon.now(), TrafficService,
                                    daemon.index().candidates(daemon.route()), excluded);
}

void RequestFlow::attempt(TrafficRequest &request, const AttemptResult &lastResult)
{
    if (const Cluster::NodeRecord *node = choose(request, request.excluded))
        startAttempt(request, *node);
    else
        finish(request, lastResult);
}

void RequestFlow::startAttempt(TrafficRequest &request, const Cluster::NodeRecord &node)
{
    TrafficDaemon &daemon = *m_daemons[request.entry];
    const std::size_t target = indexOf(node.instance);
    const std::size_t number = request.history.begin();
    request.parts.push_back({target, m_events.now()});
    request.history[number].handle(AttemptEvent::SendStarted);
    daemon.balancer().onStarted(daemon.now(), TrafficService, node.instance);

    TrafficDaemon::Attempt forwarded;
    forwarded.requestClass = request.requestClass;
    forwarded.deadline = TrafficEpoch + request.deadline;
    forwarded.started = [this, &request, target] {
        request.starts.emplace_back(m_events.now(), target);
        print(request, "started on=backend-" + std::to_string(target + 1));
    };
    forwarded.done = [this, &request, number, target](const AttemptResult &result) {
        m_events.schedule(m_events.now() + delay(request, target),
                          [=, &request] { onResult(request, number, result); });
    };
    m_events.schedule(m_events.now() + delay(request, target), [=, &request] {
        if (!request.history[number].isFinal())
            m_daemons[target]->run(attemptId(request, number), forwarded);
    });
    scheduleHedge(request);
}

void RequestFlow::scheduleHedge(TrafficRequest &request)
{
    const auto wait = m_daemons[request.entry]->retry().hedgeDelay(TrafficService);
    if (request.isIdempotent && request.parts.size() == 1 && wait)
        m_events.schedule(m_events.now() + *wait, [this, &request] { onHedgeTimer(request); });
}

void RequestFlow::onHedgeTimer(TrafficRequest &request)
{
    if (request.isFinished || request.parts.size() != 1 || !request.history.hasUnfinished())
        return;
    TrafficDaemon &daemon = *m_daemons[request.entry];
    std::vector<Base::InstanceId> excluded = request.excluded;
    excluded.push_back(m_daemons[request.parts.front().target]->record().instance);
    const Cluster::NodeRecord *other = choose(request, excluded);
    if (!other
        || !daemon.retry().takeHedge(daemon.now(), TrafficService, TrafficEpoch + request.deadline))
        return;
    ++request.hedges;
    request.excluded = std::move(excluded);
    print(request, "hedged");
    startAttempt(request, *other);
}

void RequestFlow::onResult(TrafficRequest &request, std::size_t number, const AttemptResult &result)
{
    const bool isAnswer = result.outcome == Outcome::Answered;
    if (!request.history[number].handle(eventOf(result))) {
        if (!isAnswer)
            return;
        if (!m_daemons[request.entry]->isBroken("late-answers-dropped")) {
            ++request.lateAnswersDropped;
            print(request, "late answer dropped attempt=" + std::to_string(number + 1));
            return;
        }
        ++request.lateAnswersTaken;
        if (!request.isFinished)
            finish(request, result);
        return;
    }
    reportAttempt(request, number, result);
    if (isAnswer) {
        cancelActive(request, ErrorCode::LostHedge);
        finish(request, result);
    } else {
        onFailure(request, number, result);
    }
}

void RequestFlow::reportAttempt(const TrafficRequest &request, std::size_t number,
                                const AttemptResult &result)
{
    using Daemon::AttemptEnd;
    using Daemon::NodeResult;
    NodeResult nodeResult = NodeResult::Answered;
    AttemptEnd end = AttemptEnd::Answered;
    if (result.error == ErrorCode::LostHedge) {
        nodeResult = NodeResult::Cancelled;
        end = AttemptEnd::LostHedge;
    } else if (result.outcome == Outcome::NotRun) {
        nodeResult = NodeResult::Overloaded;
        end = Daemon::maySucceedAfterChange(result.error) ? AttemptEnd::NotOwner
                                                          : AttemptEnd::Overloaded;
    } else if (result.outcome == Outcome::Unknown) {
        nodeResult = NodeResult::Failed;
        end = AttemptEnd::Failed;
    }
    TrafficDaemon &daemon = *m_daemons[request.entry];
    const TrafficRequest::Part &part = request.parts[number];
    const Base::Duration latency = m_events.now() - part.begunAt;
    daemon.retry().onAttemptEnded(daemon.now(), TrafficService, end, latency);
    daemon.balancer().onFinished(daemon.now(), TrafficService,
                                 m_daemons[part.target]->record().instance, nodeResult, latency);
}

void RequestFlow::onFailure(TrafficRequest &request, std::size_t number,
                            const AttemptResult &result)
{
    if (request.isFinished || request.history.hasUnfinished())
        return; // the other attempt decides
    TrafficDaemon &daemon = *m_daemons[request.entry];
    const Base::TimePoint deadline = TrafficEpoch + request.deadline;
    const auto attempts = static_cast<unsigned>(request.parts.size());
    const bool mayRetry
        = request.history.mayBegin() && daemon.now() < deadline
          && daemon.retry().takeRetry(
              daemon.now(), {result.outcome, result.error, attempts, deadline, TrafficService});
    if (!mayRetry) {
        finish(request, result);
        return;
    }
    print(request, "retried after=" + result.error);
    request.excluded.push_back(m_daemons[request.parts[number].target]->record().instance);
    attempt(request, result);
}

void RequestFlow::cancelActive(TrafficRequest &request, std::string_view reason)
{
    for (std::size_t number = 0; number < request.parts.size(); ++number) {
        if (!request.history[number].handle(AttemptEvent::Cancelled))
            continue;
        reportAttempt(request, number, AttemptResult::unknown(reason));
        const std::size_t target = request.parts[number].target;
        m_events.schedule(
            m_events.now() + delay(request, target),
            [this, target, id = attemptId(request, number)] { m_daemons[target]->cancel(id); });
    }
}

void RequestFlow::finish(TrafficRequest &request, const AttemptResult &result)
{
    request.isFinished = true;
    request.finishedAt = m_events.now();
    request.error = result.error;
    // A retry that was rejected says nothing about an earlier attempt.
    const bool isAnswered = result.outcome == Outcome::Answered;
    const bool isLastOnly = m_daemons[request.entry]->isBroken("certain-not-run");
    request.outcome = isAnswered || isLastOnly ? result.outcome : request.history.outcome();
    if (!isAnswered && m_daemons[request.entry]->isBroken("unknown-reported"))
        request.outcome = Outcome::NotRun;
    print(request, "outcome=" + std::string(outcomeName(request.outcome))
                       + (request.error.empty() ? "" : " reason=" + request.error));
}

std::size_t RequestFlow::indexOf(const Base::InstanceId &instance) const
{
    std::size_t index = 0;
    while (m_daemons[index]->record().instance != instance)
        ++index;
    return index;
}

TrueTime RequestFlow::delay(const TrafficRequest &request, std::size_t target) const
{
    return request.entry == target ? TrueTime(0) : LinkDelay;
}

void RequestFlow::print(const TrafficRequest &request, const std::string &text)
{
    if (m_print)
        m_print("request-" + std::to_string(request.id) + " " + text);
}

} // namespace Medlar::Scenario
