#pragma once

#include "exchange.h"
#include "forwarder.h"
#include "localdispatcher.h"
#include "logging/decisionlog.h"
#include "requestresolver.h"
#include "retrypolicy.h"

#include <random>

namespace Medlar::Daemon {

/*!
    The way of a caller's request: parsing, resolving, at most one forward at a time or the local
   BackendServer, and safe retries. Each request gets exactly one response.
*/
class RequestPath
{
public:
    /*! Requests that may wait for a change of owners or links at the same time. */
    static constexpr std::size_t MaxWaiting = 1024;

    struct Parts
    {
        Http::DeadlineQueue &deadlines;
        BackendBalancer &balancer;
        RetryPolicy &retry;
        Forwarder &forwarder;
        LocalDispatcher &dispatcher;
        Logging::DecisionLog &decisions;
        Metrics::MetricRegistry &metrics;
    };
    /*! \a seed makes the generated request ids unique to this process. */
    RequestPath(const Parts &parts, std::uint64_t seed);

    void setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot);
    void handle(Http::HttpRequest request, Http::Reply reply);

    /*! Refuses new requests from now on; \a done is called once none is in flight. */
    void startDraining(std::function<void()> done);
    /*! Responds to all requests in flight. */
    void giveUpAll();

    std::size_t inFlight() const { return m_exchanges.size(); }
    /*! Requests that wait for a change of owners or links. */
    std::size_t waiting() const { return m_waiting; }
    /*! How long the oldest request has waited for a change of owners; 0 when none waits. */
    Base::Duration longestWait(Base::TimePoint now) const;

private:
    using ExchangeId = std::uint64_t;

    struct Counters
    {
        explicit Counters(Metrics::MetricRegistry &metrics);
        Metrics::Counter &answered;
        Metrics::Counter &notRun;
        Metrics::Counter &unknown;
        Metrics::Counter &retries;
        Metrics::Counter &hedges;
        Metrics::LatencyHistogram &localLatency;
        Metrics::LatencyHistogram &hopLatency;
    };

    void attempt(ExchangeId id);
    void startAttempt(ExchangeId id, Exchange &exchange);
    void runLocally(ExchangeId id, Exchange &exchange, Attempt &attempt);
    void forward(ExchangeId id, Exchange &exchange, Attempt &attempt);
    void scheduleHedge(ExchangeId id, Exchange &exchange, Base::TimePoint now);
    void onHedgeTimer(ExchangeId id);
    void onResult(ExchangeId id, unsigned attemptNumber, AttemptResult result);
    void reportAttempt(const Exchange &exchange, const Attempt &attempt,
                       const AttemptResult &result);
    void cancelActive(Exchange &exchange);
    void onFailure(ExchangeId id, AttemptResult result);
    bool mayTryAgain(const Exchange &exchange) const;
    bool takeRetry(const Exchange &exchange, Base::TimePoint now);
    void waitForChange(ExchangeId id, Exchange &exchange, Base::TimePoint now);
    void onWaitTimer(ExchangeId id);
    void stopWaiting(Exchange &exchange);
    void retryAfterChange(ExchangeId id);
    void finish(ExchangeId id, AttemptResult result);
    void logDecision(const Exchange &exchange) { m_decisions.add(makeDecision(exchange)); }
    void countCrossRegion(const Exchange &exchange, const AttemptResult &result);
    std::string generateRequestId();

    Http::DeadlineQueue &m_deadlines;
    BackendBalancer &m_balancer;
    RetryPolicy &m_retry;
    Forwarder &m_forwarder;
    LocalDispatcher &m_dispatcher;
    Logging::DecisionLog &m_decisions;
    Metrics::MetricRegistry &m_metrics;
    Counters m_counters;
    RequestResolver m_resolver;
    std::shared_ptr<const TrafficSnapshot> m_snapshot;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
    std::map<std::string, Metrics::Counter *> m_crossRegionBytes; //!< by ClientAccount
    ExchangeId m_lastId = 0;
    std::size_t m_waiting = 0;
    std::mt19937_64 m_random;
    bool m_isDraining = false;
    std::function<void()> m_drained;
};

} // namespace Medlar::Daemon
