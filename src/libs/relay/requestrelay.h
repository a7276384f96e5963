#pragma once

#include "base/logline.h"
#include "configuration/routetable.h"
#include "fleetview.h"
#include "http/deadlinequeue.h"
#include "http/httptypes.h"
#include "localbackend.h"
#include "metrics/metricregistry.h"
#include "offerlimit.h"
#include "placechooser.h"
#include "repeatbudget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Medlar::Relay {

/*! A decoded request of a caller with the route that it matches. */
struct CallerRequest
{
    Messages::ForwardRequest message; //!< without the fields that depend on the attempt
    Configuration::PathRoute route;
    std::string service; //!< one of the services of the route
    /*! Home regions of other routes of the service; empty if this route has home regions itself. */
    std::set<std::string> contendedRegions;
    std::uint64_t configurationVersion = 0;
    std::optional<std::uint32_t> key;
    Base::TimePoint received;
    Base::TimePoint deadline; //!< the earlier of the caller's deadline and the route's
    std::shared_ptr<Http::CallerPresence> caller;
};

/*! Result of a caller's request. */
struct RelayResult
{
    Messages::ForwardResponse answer; //!< of the BackendServer if the outcome is Answered
    /*! For requests that have not run: delay before the caller should retry; 0: none. */
    std::chrono::milliseconds retryAfter{0};
    bool isPastDeadline = false;
};

/*! Callbacks that look up key owners and send messages to other nodes. */
struct RelayHooks
{
    /*! The node that owns \a key of \a service, or nullopt if none is known. */
    std::function<std::optional<std::string>(const std::string &service, std::uint32_t key)> owner;
    /*! Returns false if the node is unreachable and nothing was sent. */
    std::function<bool(const std::string &node, const Messages::PeerMessage &)> send;
    /*! Whether a body of this size may be sent to another node now. Empty: any may. */
    std::function<bool(std::size_t bodyBytes)> mayForward = {};
};

/*!
    Forwards requests of the callers on this VM to the BackendServer of this or another node:
   chooses the node, retries and enforces deadlines. Not thread-safe; use it on the thread of the
   io_context only.
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

    /*! \a done is called exactly once, unless the caller disconnects first. */
    void begin(CallerRequest request, std::function<void(RelayResult)> done);
    void onResponse(const std::string &node, Messages::ForwardResponse response);
    /*! Ends the attempts that were sent to \a node with the outcome Unknown, since they may have
     * run and their answers can no longer arrive.
     */
    void onLinkDown(const std::string &node);

    // Queries

    /*! Number of requests without a response, including those that wait for another attempt. */
    std::size_t pendingCount() const { return m_pendingCount; }

private:
    struct Exchange;
    using ExchangePtr = std::shared_ptr<Exchange>;

    void attempt(const ExchangePtr &exchange);
    std::optional<std::string> chooseNode(const Exchange &exchange);
    void sendTo(const ExchangePtr &exchange, const std::string &node);
    /*! Expected time of a message from this node to \a node. */
    Base::Duration transitTime(const std::string &node) const;
    void onAnswer(const ExchangePtr &exchange, Messages::ForwardResponse answer);
    void onNotRun(const ExchangePtr &exchange, const Messages::ForwardResponse &answer);
    /*! Whether a declined request may be sent to a node again at the time \a at. */
    static bool hasTimeForOffer(const CallerRequest &request, Base::TimePoint at);
    bool tryReserveRetry(const Exchange &exchange);
    void attemptAfterDelay(const ExchangePtr &exchange, Base::Duration delay);
    void refuse(const ExchangePtr &exchange, std::chrono::milliseconds retryAfter,
                const std::string &reason);
    void onDeadline(const ExchangePtr &exchange);
    void onCallerDisconnected(const ExchangePtr &exchange);
    void cancelAttempt(Exchange &exchange);
    void finish(const ExchangePtr &exchange, RelayResult result);
    void log(const Exchange &exchange, const char *event, const std::string &reason,
             const std::string &outcome) const;
    /*! Records whether a gate takes a route for a call route. */
    void learnCallRoute(const std::string &route, bool isCall);
    bool isCallRoute(const CallerRequest &request) const
    {
        return m_callRoutes.count(request.route.route.name) != 0;
    }
    bool tryTakeRepeat(const CallerRequest &request)
    {
        return m_budgets[request.service].tryTake(isCallRoute(request));
    }

    Http::DeadlineQueue m_timers;
    FleetView &m_fleet;
    LocalBackend &m_local;
    PlaceChooser m_chooser;
    OfferLimit m_offerLimit;
    RelayHooks m_hooks;
    Base::LogSink &m_log;
    Metrics::MetricRegistry &m_metrics;
    Metrics::LatencyHistogram &m_latency;
    std::unordered_map<std::uint64_t, ExchangePtr> m_exchanges; //!< by the stream id of the attempt
    std::map<std::string, RepeatBudget> m_budgets;              //!< by service
    /*! Names of the routes that gates answered as calls; the BackendServer on this VM makes them.
     */
    std::unordered_set<std::string> m_callRoutes;
    std::uint64_t m_lastStream = 0;
    std::size_t m_pendingCount = 0;
};

} // namespace Medlar::Relay
