#pragma once

#include "retry/retrycontroller.h"
#include "retrypolicy.h"

#include <map>

namespace Medlar::Daemon {

/*! Retry and hedge budgets of each service by RetryController; both are off while the service is
 * overloaded. */
class ControllerRetry : public RetryPolicy
{
public:
    void onRequest(Base::TimePoint now, const std::string &service) override;
    bool takeRetry(Base::TimePoint now, const FailedAttempt &attempt) override;
    void onAttemptEnded(Base::TimePoint now, const std::string &service, AttemptEnd end,
                        Base::Duration latency) override;
    std::optional<Base::Duration> hedgeDelay(const std::string &service) const override;
    bool takeHedge(Base::TimePoint now, const std::string &service,
                   Base::TimePoint deadline) override;

private:
    std::map<std::string, Retry::RetryController, std::less<>> m_controllers;
};

} // namespace Medlar::Daemon
