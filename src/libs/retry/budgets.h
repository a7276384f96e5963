#pragma once

#include "balancing/latencyquantiles.h"
#include "base/time.h"

#include <optional>

namespace Medlar::Retry {

/*! Allows a fixed share of requests, and a few of them in a row. */
class RatioBudget
{
public:
    RatioBudget(double share, double burst, double initial);

    /*! A first attempt was made. */
    void onRequest();

    /*! Takes one if more than \a reserve are left. */
    bool tryTake(double reserve = 0.0);

    double available() const { return m_available; }

private:
    double m_share;
    double m_burst;
    double m_available;
};

/*! Retries allowed for one service: 10% of its requests. */
class RetryBudget
{
public:
    RetryBudget();
    void onRequest() { m_budget.onRequest(); }
    bool tryTake() { return m_budget.tryTake(); }
    double available() const { return m_budget.available(); }

private:
    RatioBudget m_budget;
};

/*! Why a hedge is wanted. */
enum class HedgePurpose {
    SlowRequest, //!< the request has not been answered within the hedge delay
    Probe,       //!< as before, and it was sent to a straggler; may use the reserve
};

/*!
    Hedges allowed for one service, 5% of its requests, and the delay after which a request is
   hedged. A part of the budget is kept for probes, which are slow far more often than others.
*/
class HedgeBudget
{
public:
    HedgeBudget();
    void onRequest() { m_budget.onRequest(); }
    bool tryTake(HedgePurpose purpose);

    /*! A first attempt was answered after \a latency, or lost against its hedge at that age. */
    void addLatency(Base::Duration latency);

    /*! Derived from the observed p95; empty before there are enough latencies. */
    std::optional<Base::Duration> delay() const { return m_delay; }

private:
    RatioBudget m_budget;
    Balancing::LatencyQuantiles m_latencies;
    std::optional<Base::Duration> m_delay;
    int m_sinceUpdate = 0;
};

} // namespace Medlar::Retry
