#include "retrycontroller.h"

namespace Medlar::Retry {

namespace {

/*! Attempts at one request, hedges included. Further ones rarely help and hold the caller up. */
constexpr std::size_t MaxAttempts = 3;

/*! A further attempt needs this share of the hedge delay to have a fair chance of being answered;
 * about the median for exponentially distributed latencies. */
constexpr double LeastTimeShare = 0.2;

} // namespace

std::string_view toString(RetryVerdict verdict)
{
    switch (verdict) {
    case RetryVerdict::Retry:
        return "retry";
    case RetryVerdict::AtMostOnce:
        return "at-most-once";
    case RetryVerdict::AttemptsUsedUp:
        return "attempts-used-up";
    case RetryVerdict::NoTimeLeft:
        return "no-time-left";
    case RetryVerdict::Overloaded:
        return "overloaded";
    case RetryVerdict::BudgetUsedUp:
        return "budget-used-up";
    }
    return "unknown";
}

RetryController::RetryController(const OverloadSettings &settings) : m_overload(settings) {}

void RetryController::onRequest()
{
    m_retries.onRequest();
    m_hedges.onRequest();
}

void RetryController::onAttemptAnswered(Base::TimePoint now, Base::Duration latency)
{
    m_overload.onAttemptEnded(now, false);
    m_hedges.addLatency(latency);
}

void RetryController::onAttemptLostHedge(Base::TimePoint now, Base::Duration age)
{
    m_overload.onAttemptEnded(now, false);
    // Without these the p95 would fall with every hedge that wins.
    m_hedges.addLatency(age);
}

void RetryController::onAttemptFailed(Base::TimePoint now, AttemptFailure failure)
{
    if (failure != AttemptFailure::NotOwner)
        m_overload.onAttemptEnded(now, failure == AttemptFailure::Overload);
}

RetryVerdict RetryController::decideRetry(Base::TimePoint now, const AttemptHistory &history,
                                          AttemptFailure failure, Base::Duration timeLeft)
{
    if (!history.mayBegin())
        return RetryVerdict::AtMostOnce;
    if (history.size() >= MaxAttempts)
        return RetryVerdict::AttemptsUsedUp;
    if (timeLeft <= LeastTimeShare * hedgeDelay().value_or(Base::Duration{0}))
        return RetryVerdict::NoTimeLeft;
    if (failure == AttemptFailure::NotOwner)
        return RetryVerdict::Retry;
    if (isOverloaded(now))
        return RetryVerdict::Overloaded;
    return m_retries.tryTake() ? RetryVerdict::Retry : RetryVerdict::BudgetUsedUp;
}

RetryVerdict RetryController::decideHedge(Base::TimePoint now, const AttemptHistory &history,
                                          HedgePurpose purpose, Base::Duration timeLeft)
{
    if (!history.isIdempotent() || !history.mayBegin())
        return RetryVerdict::AtMostOnce;
    if (history.size() >= MaxAttempts)
        return RetryVerdict::AttemptsUsedUp;
    if (timeLeft <= LeastTimeShare * hedgeDelay().value_or(Base::Duration{0}))
        return RetryVerdict::NoTimeLeft;
    if (isOverloaded(now))
        return RetryVerdict::Overloaded;
    return m_hedges.tryTake(purpose) ? RetryVerdict::Retry : RetryVerdict::BudgetUsedUp;
}

} // namespace Medlar::Retry
