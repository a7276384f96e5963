#pragma once

#include "retrypolicy.h"

namespace Medlar::Daemon {

/*! Retries up to a share of the requests, with a small reserve for quiet times; no hedges. */
class BudgetedRetry : public RetryPolicy
{
public:
    void onRequest(Base::TimePoint now, const std::string &service) override;
    bool takeRetry(Base::TimePoint now, const FailedAttempt &attempt) override;

private:
    double m_tokens = MaxTokens;

    static constexpr double MaxTokens = 100.0;
};

} // namespace Medlar::Daemon
