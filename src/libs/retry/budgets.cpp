#include "budgets.h"

#include <algorithm>

namespace Medlar::Retry {

namespace {

/*! Rounding must not turn ten deposits of a tenth into less than one. */
constexpr double Epsilon = 1e-9;

constexpr double RetryShare = 0.10;
constexpr double HedgeShare = 0.05;

/*! At 10 the daemons together reached 1.17 attempts for each request in the first 500 ms of an
 * outage. */
constexpr double Burst = 4.0;

/*! A service with few requests can retry its first failure. */
constexpr double InitialRetries = 1.0;

constexpr double ProbeReserve = 1.5;

/*! At the p95 itself one request in 20 would be hedged in calm times, which alone uses up the
 * budget. */
constexpr double DelayFactor = 1.25;

constexpr int UpdateInterval = 16; //!< latencies between two calculations of the delay

} // namespace

RatioBudget::RatioBudget(double share, double burst, double initial)
    : m_share(share), m_burst(burst), m_available(initial)
{}

void RatioBudget::onRequest()
{
    m_available = std::min(m_burst, m_available + m_share);
}

bool RatioBudget::tryTake(double reserve)
{
    if (m_available + Epsilon < 1.0 + reserve)
        return false;
    m_available -= 1.0;
    return true;
}

RetryBudget::RetryBudget() : m_budget(RetryShare, Burst, InitialRetries) {}

HedgeBudget::HedgeBudget() : m_budget(HedgeShare, Burst, 0.0) {}

bool HedgeBudget::tryTake(HedgePurpose purpose)
{
    return m_budget.tryTake(purpose == HedgePurpose::Probe ? 0.0 : ProbeReserve);
}

void HedgeBudget::addLatency(Base::Duration latency)
{
    m_latencies.add(latency);
    if (m_delay && ++m_sinceUpdate < UpdateInterval)
        return;
    m_sinceUpdate = 0;
    if (const auto p95 = m_latencies.quantile(0.95))
        m_delay = std::chrono::duration_cast<Base::Duration>(DelayFactor * *p95);
}

} // namespace Medlar::Retry
