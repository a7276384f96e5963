#pragma once

#include "backenddialect.h"
#include "backendnotices.h"
#include "base/logline.h"
#include "callroutes.h"
#include "fleetview.h"
#include "gate/backendgate.h"
#include "gate/callpressure.h"
#include "http/backendclient.h"
#include "http/deadlinequeue.h"
#include "metrics/metricregistry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace Medlar::Relay {

/*! Whether the BackendServer holds the key of a request. Expected: this node is the owner or the
    successor of the key according to the range table, so the request waits for the key. */
enum class KeyState { Held, Expected, Elsewhere };

/*! Callbacks into the daemon. */
struct LocalBackendHooks
{
    std::function<KeyState(std::uint32_t key)> keyState;
    /*! Called for each request for a held \a key; \a typicalServiceTime is the time for
     * which a request typically occupies a slot. Includes requests that are declined for overload,
     * since the running requests of a full BackendServer do not show the demand beyond its
     * capacity. */
    std::function<void(std::uint32_t key, Base::Duration typicalServiceTime)> onKeyRequested;
    /*! Called when several connections in a row failed, or when another BackendServer responded at
     * the address; the BackendServer may have restarted. */
    std::function<void()> onPossibleRestart;
    /*! Called when notices() has changed. The gate follows by itself. */
    std::function<void()> onNotice;
    /*! Services of the nodes where requests originate; without it, no calls are recognized. */
    const FleetView *fleet = nullptr;
};

using AnswerCallback = std::function<void(Messages::ForwardResponse)>;

/*!
    Sends requests to the BackendServer on this VM. Requests of callers on this VM and requests
   from other daemons share one BackendGate. Not thread-safe; use it on the thread of
   the io_context only.
*/
class LocalBackend
{
public:
    LocalBackend(boost::asio::io_context &context, const Http::BackendClientSettings &settings,
                 const BackendDialect &dialect, LocalBackendHooks hooks, Base::LogSink &log,
                 Metrics::MetricRegistry &metrics);
    ~LocalBackend();
    LocalBackend(const LocalBackend &) = delete;
    LocalBackend &operator=(const LocalBackend &) = delete;

    // Commands

    /*! Called for each incarnation of the BackendServer. */
    void setService(const std::string &service, const std::string &backendId);
    void setCondition(const Gate::BackendCondition &condition);
    /*! Closes idle connections, which are stale after a restart of the BackendServer. */
    void closeIdleConnections();
    /*! Declines waiting and new requests from now on; running requests continue. */
    void startClosing();
    /*! The set of held keys has changed; rechecks the requests that wait for a key. */
    void onKeysChanged();

    /*! The answer is of no use after \a deadline. \a caller is set for requests of callers on this
     * VM. \a originNode is the node whose caller sent the request. Returns a handle for cancel().
     */
    std::uint64_t handle(Messages::ForwardRequest request, Base::TimePoint deadline,
                         AnswerCallback done,
                         std::shared_ptr<Http::CallerPresence> caller = nullptr,
                         const std::string &originNode = {});
    /*! Records the end of a call that the BackendServer on this VM has made. \a hasFailed: it was
     * refused, declined or has expired. */
    void onCallEnded(Gate::CallResult result);
    /*! The answer is no longer needed; the callback is not called. A request that has not been
     * written to the BackendServer does not reach it. One that has and is not idempotent still runs
     * to completion. */
    void cancel(std::uint64_t handle);

    // Queries

    const Gate::BackendGate &gate() const { return m_gate; }
    /*! What the present BackendServer has said about itself. */
    const BackendNotices &notices() const { return m_notices; }
    std::size_t pendingCount() const { return m_pending.size(); }
    /*! Share of repeated requests among those that were started and may make calls. */
    double repeatedShare() const { return m_repeatedShare; }
    const Http::BackendCounters &connectionCounters() const { return m_client->counters(); }

private:
    struct PendingRequest
    {
        Messages::ForwardRequest request;
        Base::TimePoint deadline;
        AnswerCallback done;
        std::shared_ptr<Http::CallerPresence> caller; //!< empty for requests of other daemons
        std::optional<std::uint32_t> key;
        Gate::Ticket ticket = 0;
        bool isCall = false; //!< of a BackendServer
        bool isRunning = false;
        bool isAbandoned = false; //!< cancelled; the callback is not called
        Base::TimePoint arrived;
        Base::TimePoint started;
        Http::BackendRequestId sendId = 0;
        unsigned sends = 0;            //!< number of times it was sent to the BackendServer
        std::uint64_t incarnation = 0; //!< of the BackendServer that it was sent to
    };
    using PendingRequestMap = std::unordered_map<std::uint64_t, PendingRequest>;

    void applyCondition();
    /*! Learns from the origin of a request whether its route is called by BackendServers. */
    void onOrigin(Base::TimePoint now, const std::string &route, const std::string &node);
    void onNotice(const PendingRequest &pending, const BackendNotice &notice);
    void admit(std::uint64_t handle);
    /*! Whether the calls that the request may make are likely to succeed. */
    bool isStartedUnderPressure(Base::TimePoint now, const PendingRequest &pending);
    void logPressure();
    void dispatchRequests();
    /*! Dispatches after all messages that have been read already. */
    void postDispatch();
    void scheduleDispatch();
    void start(std::uint64_t handle);
    /*! Called directly before the request is written. Returns whether it is still wanted. */
    bool prepare(std::uint64_t handle, Http::HttpRequest &request);
    void onResult(std::uint64_t handle, Http::BackendResult result);
    void onBackendResponse(std::uint64_t handle, Http::HttpResponse response);
    void onBackendError(std::uint64_t handle, const Http::BackendError &error);
    void decline(std::uint64_t handle, const std::string &reason, Base::Duration retryAfter);
    void finish(std::uint64_t handle, Messages::ForwardResponse response);
    void releaseSlot(std::uint64_t handle, bool wasAnswered);
    void logOutcome(const PendingRequest &pending, const Messages::ForwardResponse &response) const;

    boost::asio::io_context &m_context;
    Http::DeadlineQueue m_timers;
    const BackendDialect &m_dialect;
    LocalBackendHooks m_hooks;
    Base::LogSink &m_log;
    Metrics::LatencyHistogram &m_serviceTimes;
    Metrics::MetricRegistry &m_metrics;
    Gate::BackendGate m_gate;
    PendingRequestMap m_pending;
    std::unordered_map<Gate::Ticket, std::uint64_t> m_byTicket; //!< handles
    std::uint64_t m_displaced = 0;             //!< of the gate, as counted in the metrics
    std::vector<std::uint64_t> m_awaitingKeys; //!< handles of the requests that wait for a key
    std::string m_service;
    std::string m_backendId;
    std::uint64_t m_incarnation = 0; //!< counts the BackendServers that setService() named
    BackendNotices m_notices;        //!< of the incarnation
    CallRoutes m_callRoutes;
    Base::TimePoint m_nodesCountedAt;
    Gate::CallPressure m_callPressure;
    bool m_isPressureLogged = false;
    double m_repeatedShare = 0.0;       //!< moving average
    std::string m_unreadableLimit;      //!< in the last response; logged when it changes
    Gate::BackendCondition m_condition; //!< as set, without the notices
    std::uint64_t m_lastHandle = 0;
    unsigned m_consecutiveFailures = 0;
    std::optional<Base::TimePoint> m_nextDispatch; //!< empty if no timer is set
    Http::DeadlineQueue::Handle m_dispatchTimer;
    bool m_isDispatchPosted = false;
    /*! How long a message that is read may have waited for the event loop; current for as long. */
    Base::Duration m_eventLoopLag{0};
    Base::TimePoint m_lagMeasuredAt;
    bool m_isClosing = false;
    std::unique_ptr<Http::BackendClient> m_client; //!< last: its callbacks use the other members
};

} // namespace Medlar::Relay
