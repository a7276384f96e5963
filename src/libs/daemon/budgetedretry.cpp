#include "budgetedretry.h"

#include "errorcodes.h"

#include <algorithm>

namespace Medlar::Daemon {

namespace {

constexpr double TokensPerRequest = 0.1;
constexpr unsigned MaxAttempts = 2;
// Attempts that no BackendServer saw cost only messages; they are limited in number alone.
constexpr unsigned MaxAttemptsNotRun = 6;

} // namespace

void BudgetedRetry::onRequest(Base::TimePoint, const std::string &)
{
    m_tokens = std::min(m_tokens + TokensPerRequest, MaxTokens);
}

bool BudgetedRetry::takeRetry(Base::TimePoint now, const FailedAttempt &attempt)
{
    if (now >= attempt.deadline)
        return false;
    if (attempt.outcome == Messages::Outcome::NotRun && maySucceedAfterChange(attempt.error))
        return attempt.attempts < MaxAttemptsNotRun;
    if (attempt.attempts >= MaxAttempts || m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

} // namespace Medlar::Daemon
