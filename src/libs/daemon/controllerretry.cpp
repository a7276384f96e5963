#include "controllerretry.h"

#include "errorcodes.h"

namespace Medlar::Daemon {

namespace {

// Attempts that no BackendServer saw cost only messages; they are limited in number alone.
constexpr unsigned MaxAttemptsNotRun = 6;

// RetryPolicy is asked only where another attempt is safe, so the history is that of an idempotent
// request.
Retry::AttemptHistory historyOf(unsigned attempts)
{
    Retry::AttemptHistory history(true);
    for (unsigned i = 0; i < attempts; ++i)
        history.begin();
    return history;
}

} // namespace

void ControllerRetry::onRequest(Base::TimePoint, const std::string &service)
{
    m_controllers[service].onRequest();
}

bool ControllerRetry::takeRetry(Base::TimePoint now, const FailedAttempt &attempt)
{
    if (now >= attempt.deadline)
        return false;
    const bool isNotRun = attempt.outcome == Messages::Outcome::NotRun;
    if (isNotRun && maySucceedAfterChange(attempt.error))
        return attempt.attempts < MaxAttemptsNotRun;
    const auto controller = m_controllers.find(attempt.service);
    if (controller == m_controllers.end())
        return false;
    const Retry::AttemptFailure failure
        = isNotRun ? Retry::AttemptFailure::Overload : Retry::AttemptFailure::Other;
    return controller->second.decideRetry(now, historyOf(attempt.attempts), failure,
                                          attempt.deadline - now)
           == Retry::RetryVerdict::Retry;
}

void ControllerRetry::onAttemptEnded(Base::TimePoint now, const std::string &service,
                                     AttemptEnd end, Base::Duration latency)
{
    Retry::RetryController &controller = m_controllers[service];
    switch (end) {
    case AttemptEnd::Answered:
        controller.onAttemptAnswered(now, latency);
        return;
    case AttemptEnd::LostHedge:
        controller.onAttemptLostHedge(now, latency);
        return;
    case AttemptEnd::Overloaded:
        controller.onAttemptFailed(now, Retry::AttemptFailure::Overload);
        return;
    case AttemptEnd::NotOwner:
        controller.onAttemptFailed(now, Retry::AttemptFailure::NotOwner);
        return;
    case AttemptEnd::Failed:
        controller.onAttemptFailed(now, Retry::AttemptFailure::Other);
        return;
    }
}

std::optional<Base::Duration> ControllerRetry::hedgeDelay(const std::string &service) const
{
    const auto controller = m_controllers.find(service);
    return controller == m_controllers.end() ? std::nullopt : controller->second.hedgeDelay();
}

bool ControllerRetry::takeHedge(Base::TimePoint now, const std::string &service,
                                Base::TimePoint deadline)
{
    const auto controller = m_controllers.find(service);
    return controller != m_controllers.end()
           && controller->second.decideHedge(now, historyOf(1), Retry::HedgePurpose::SlowRequest,
                                             deadline - now)
                  == Retry::RetryVerdict::Retry;
}

} // namespace Medlar::Daemon
