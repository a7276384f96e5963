#pragma once

#include "base/logline.h"
#include "configuration/routetable.h"
#include "fleetview.h"
#include "http/deadlinequeue.h"
#include "http/httptypes.h"
#include "localbackend.h"
#include "metrics/metricregistry.h"
#include "placechooser.h"
#include "retry/budgets.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Medlar::Relay {

/*! A caller's request that was decoded and matched to a route. */
struct CallerRequest
{
    Messages::ForwardRequest message; //!< without the fields that depend on the attempt
    Configuration::PathRoute route;
    std::string service; //!< the part of the route that serves it
    /*! Regions to which other routes of the service are bound, if this one is not. */
    std::set<std::string> contendedRegions;
    std::uint64_t configurationVersion = 0;
    std::optional<std::uint32_t> key;
    Base::TimePoint received;
    Base::TimePoint deadline; //!< the earlier of the caller's and the route's
    std::shared_ptr<Http::CallerPresence> caller;
};

/*! How a caller's request ended. */
struct RelayResult
{
    Messages::ForwardResponse answer; //!< of the BackendServer, if it is Answered
    /*! For requests that have not run: when the caller should come again; 0: it need not wait. */
    std::chrono::milliseconds retryAfter{0};
    bool isPastDeadline = false;
};

/*! Where keys are, and how to reach other nodes. */
struct RelayHooks
{
    /*! The node that owns \a key of \a service, or nothing. */
    std::function<std::optional<std::string>(const std::string &service, std::uint32_t key)> owner;
    /*! False if the node cannot be reached, so that nothing was sent. */
    std::function<bool(const std::string &node, const Messages::PeerMessage &)> send;
};

/*!
    Requests of this VM's callers on their way to a BackendServer: choice of the place, further
   attempts, time limits. Use it on the thread of the io_context.
*/
class RequestRelay
{
public:
    RequestRelay(boost::asio::io_context &context, FleetView &fleet, LocalBackend &local,
                 PlaceChooser chooser, RelayHooks hooks, Base::LogSink &log,
                 Metrics::MetricRegistry &metrics);
    ~RequestRelay();
    RequestRelay(const RequestRelay &) = delete;
    RequestRelay &operator=(const RequestRelay &) = delete;

    // Commands

    /*! \a done is called exactly once, unless the caller leaves before. */
    void begin(CallerRequest request, std::function<void(RelayResult)> done);
    void onResponse(const std::string &node, Messages::ForwardResponse response);
    /*! Requests that were sent on the link are lost, or may run without anybody to take the answer.
     */
    void onLinkDown(const std::string &node);

    // Queries

    /*! Requests without a response, also those that wait for another attempt. */
    std::size_t pendingCount() const { return m_pending; }

private:
    struct Exchange;
    using ExchangePtr = std::shared_ptr<Exchange>;

    void attempt(const ExchangePtr &exchange);
    std::optional<std::string> choosePlace(const Exchange &exchange);
    void sendTo(const ExchangePtr &exchange, const std::string &node);
    void onAnswer(const ExchangePtr &exchange, Messages::ForwardResponse answer);
    void onNotRun(const ExchangePtr &exchange, const Messages::ForwardResponse &answer);
    static bool hasTimeForOffer(const CallerRequest &request, Base::TimePoint at);
    bool mayRunAgain(const Exchange &exchange);
    void pauseAndAttempt(const ExchangePtr &exchange, Base::Duration pause);
    void refuse(const ExchangePtr &exchange, std::chrono::milliseconds retryAfter,
                const std::string &reason);
    void onDeadline(const ExchangePtr &exchange);
    void onCallerLeft(const ExchangePtr &exchange);
    void stopAttempt(Exchange &exchange);
    void finish(const ExchangePtr &exchange, RelayResult result);
    void log(const Exchange &exchange, const char *event, const std::string &reason,
             const std::string &outcome) const;
    Retry::RatioBudget &budget(const std::string &service);

    Http::DeadlineQueue m_timers;
    FleetView &m_fleet;
    LocalBackend &m_local;
    PlaceChooser m_chooser;
    RelayHooks m_hooks;
    Base::LogSink &m_log;
    Metrics::MetricRegistry &m_metrics;
    Metrics::LatencyHistogram &m_latency;
    std::unordered_map<std::uint64_t, ExchangePtr> m_exchanges; //!< by the stream of the attempt
    std::map<std::string, Retry::RatioBudget> m_budgets;        //!< by service
    std::uint64_t m_lastStream = 0;
    std::size_t m_pending = 0;
};

} // namespace Medlar::Relay
