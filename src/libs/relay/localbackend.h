#pragma once

#include "backenddialect.h"
#include "base/logline.h"
#include "gate/backendgate.h"
#include "http/backendclient.h"
#include "http/deadlinequeue.h"
#include "metrics/metricregistry.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Medlar::Relay {

/*! Whether the BackendServer holds the key of a request. */
enum class KeyState { Held, Expected, Elsewhere };

/*! What the daemon knows and wants to know about its BackendServer. */
struct LocalBackendHooks
{
    std::function<KeyState(std::uint32_t key)> keyState;
    /*! A request for \a key arrived, which usually occupies a slot for \a usual. Called for those
     * that are declined for overload as well, since a full BackendServer shows no further load. */
    std::function<void(std::uint32_t key, Base::Duration usual)> onKeyWanted;
    /*! Connections were refused or cut; the BackendServer may have restarted. */
    std::function<void()> onSuspect;
};

using AnswerCallback = std::function<void(Messages::ForwardResponse)>;

/*!
    The BackendServer beside this daemon. Every request to it passes the gate here, whether it came
   from a caller on this VM or from another daemon. Use it on the thread of the io_context.
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

    void setService(const std::string &service, const std::string &backend);
    void setCondition(const Gate::BackendCondition &condition);
    /*! The BackendServer restarted: kept connections are of no use. */
    void forgetConnections();
    /*! Declines everything from now on; what runs goes on. */
    void startClosing();
    /*! Keys arrived or left; requests that wait for them are looked at again. */
    void onKeysChanged();

    /*! \a deadline is when the answer is of no use any more. Returns a handle for cancel(). */
    std::uint64_t handle(Messages::ForwardRequest request, Base::TimePoint deadline,
                         AnswerCallback done);
    /*! Nobody waits for the answer any more; the callback is not called. */
    void cancel(std::uint64_t handle);

    // Queries

    const Gate::BackendGate &gate() const { return m_gate; }
    std::size_t pendingCount() const { return m_pending.size(); }
    const Http::BackendCounters &connectionCounters() const { return m_client->counters(); }

private:
    struct Pending
    {
        Messages::ForwardRequest request;
        Base::TimePoint deadline;
        AnswerCallback done;
        std::optional<std::uint32_t> key;
        Gate::Ticket ticket = 0;
        bool isRunning = false;
        bool isAbandoned = false;
        Base::TimePoint arrived;
        Base::TimePoint started;
        Http::BackendRequestId sendId = 0;
        unsigned sends = 0;
    };
    using PendingMap = std::unordered_map<std::uint64_t, Pending>;

    void admit(std::uint64_t handle);
    void pump();
    void armPump();
    void start(std::uint64_t handle);
    void onResult(std::uint64_t handle, Http::BackendResult result);
    void onAnswer(std::uint64_t handle, Http::HttpResponse response);
    void onNoAnswer(std::uint64_t handle, const Http::BackendError &error);
    void decline(std::uint64_t handle, const std::string &reason, Base::Duration retryAfter);
    void finish(std::uint64_t handle, Messages::ForwardResponse response);
    void release(std::uint64_t handle, bool wasAnswered);
    void logEnd(const Pending &pending, const Messages::ForwardResponse &response) const;

    Http::DeadlineQueue m_timers;
    const BackendDialect &m_dialect;
    LocalBackendHooks m_hooks;
    Base::LogSink &m_log;
    Metrics::LatencyHistogram &m_serviceTimes;
    Metrics::MetricRegistry &m_metrics;
    Gate::BackendGate m_gate;
    PendingMap m_pending;
    std::unordered_map<Gate::Ticket, std::uint64_t> m_byTicket;
    std::vector<std::uint64_t> m_awaitingKeys;
    std::string m_service;
    std::string m_backend;
    std::uint64_t m_lastHandle = 0;
    unsigned m_failuresInRow = 0;
    bool m_isPumpArmed = false;
    bool m_isClosing = false;
    std::unique_ptr<Http::BackendClient> m_client; //!< last, since its callbacks use the rest
};

} // namespace Medlar::Relay
