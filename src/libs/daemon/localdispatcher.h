#pragma once

#include "admissionpolicy.h"
#include "drainlist.h"
#include "errorcodes.h"
#include "http/backendclient.h"
#include "loadcounter.h"
#include "metrics/metricregistry.h"

#include <atomic>

namespace Medlar::Daemon {

/*! A request for the local BackendServer. */
struct LocalRequest
{
    std::shared_ptr<const Configuration::RouteTable> routes; //!< keeps \a route alive
    const Configuration::Route *route = nullptr;
    std::string requestId;
    std::uint64_t keyHash = 0; //!< of a keyed service
    std::optional<std::string> key;
    Base::TimePoint deadline;
    Messages::RequestClass requestClass = Messages::RequestClass::Normal;
    std::string method;
    std::string target;
    Http::Headers headers;
    std::string body;
};

/*! Until when the node lease holds. Written by the control thread, read before each send. */
class LeaseEnd
{
public:
    void set(Base::TimePoint time) { m_ticks.store(time.time_since_epoch().count()); }
    Base::TimePoint get() const { return Base::TimePoint(Base::Duration(m_ticks.load())); }

private:
    std::atomic<Base::Duration::rep> m_ticks{0};
};

/*!
    Sends requests to the local BackendServer: admission, the check of ownership and lease directly
   before the send, and the accounting of running requests for drains.
*/
class LocalDispatcher
{
public:
    using RequestId = std::uint64_t;
    using Done = std::function<void(AttemptResult)>;

    struct Parts
    {
        boost::asio::io_context &context;
        Http::DeadlineQueue &deadlines;
        AdmissionPolicy &admission;
        Http::BackendClient &backend;
        LoadCounter &load;
        const LeaseEnd &lease;
        Metrics::MetricRegistry &metrics;
    };
    explicit LocalDispatcher(const Parts &parts);

    void setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot);

    /*! \a done is called exactly once, and never within this call. */
    RequestId run(LocalRequest request, Done done);
    /*! Ends a request whose response nobody waits for. */
    void cancel(RequestId id);
    /*! See TrafficPlane::drain(). */
    void drain(DrainScope scope, Base::TimePoint deadline, std::function<void()> done);
    /*! Calls \a done once no request is in flight, possibly within this call. */
    void whenIdle(std::function<void()> done);
    /*! Ends all requests: running ones with the outcome "unknown", the others as not run. */
    void giveUpAll();

    std::size_t inFlight() const { return m_requests.size(); }
    std::size_t running() const;

private:
    enum class Stage { Waiting, Sending, Running };

    struct Entry
    {
        LocalRequest request;
        Done done;
        Stage stage = Stage::Waiting;
        AdmissionTicket ticket = 0;
        Http::BackendRequestId backendId = 0;
        Base::TimePoint sendTime;
        RunningKey key;
        AttemptResult refusal; //!< why prepare() did not permit the send
    };

    void decided(RequestId id, const AdmissionDecision &decision);
    void dispatch(RequestId id);
    bool prepare(RequestId id, Http::HttpRequest &request);
    bool prepareKeyed(Entry &entry, Base::TimePoint now, Http::HttpRequest &request);
    void onBackendResult(RequestId id, Http::BackendResult result);
    void finish(RequestId id, AttemptResult result, CompletionResult completion);
    void giveUp(RequestId id);
    void cancelAtBackend(const std::string &requestId);
    void armAdmissionTimer();

    boost::asio::io_context &m_context;
    Http::DeadlineQueue &m_deadlines;
    AdmissionPolicy &m_admission;
    Http::BackendClient &m_backend;
    LoadCounter &m_load;
    const LeaseEnd &m_lease;
    Metrics::LatencyHistogram &m_backendLatency;
    std::shared_ptr<const TrafficSnapshot> m_snapshot;
    std::unordered_map<RequestId, Entry> m_requests;
    DrainList m_drains;
    std::function<void()> m_whenIdle;
    RequestId m_lastId = 0;
    Base::TimePoint m_admissionTimer = Base::TimePoint::max();
};

} // namespace Medlar::Daemon
