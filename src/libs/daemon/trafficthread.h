#pragma once

#include "admissionpolicy.h"
#include "backendbalancer.h"
#include "http/backendclient.h"
#include "http/httpserver.h"
#include "logging/decisionlog.h"
#include "metrics/metricregistry.h"
#include "peer/peerlinks.h"
#include "retrypolicy.h"
#include "trafficplane.h"

#include <boost/asio/any_io_executor.hpp>
#include <tl/expected.hpp>

namespace Medlar::Daemon {

struct TrafficSettings
{
    Http::HttpServerSettings http; //!< listener for callers and operators
    Peer::PeerLinksSettings links; //!< also holds the instance of this daemon
    Http::BackendClientSettings backend;
    std::string adminCredential; //!< empty: /admin is for the loopback interface only
    std::chrono::milliseconds probeInterval{100}; //!< of the BackendServer
    std::uint64_t seed = 0; //!< of random choices and request ids; must differ between instances
};

/*! What the traffic thread uses; all references must outlive it. */
struct TrafficParts
{
    Base::LogSink &log;
    Logging::DecisionLog &decisions;
    Metrics::MetricRegistry &metrics;
    Admission::BacklogRegistry &queues; //!< used on the traffic thread only, once it is started
    boost::asio::any_io_executor controlExecutor; //!< for the callbacks of TrafficPlane
    std::unique_ptr<AdmissionPolicy> admission;   //!< empty: BoundedAdmission
    std::unique_ptr<BackendBalancer> balancer;    //!< empty: TwoChoiceBalancer
    std::unique_ptr<RetryPolicy> retry;           //!< empty: BudgetedRetry
};

struct TrafficError
{
    std::string detail;
};

/*!
    The traffic side of a daemon with a thread of its own: listener, request path, links for
   forwarded requests and the BackendServer. It answers 503 until the first snapshot is published.
*/
class TrafficThread : public TrafficPlane
{
public:
    /*! Binds the ports; requests are handled after start(). Replies to operators that are still
     * held elsewhere must be dropped before the object is destroyed. */
    static tl::expected<std::unique_ptr<TrafficThread>, TrafficError>
    create(const TrafficSettings &settings, TrafficParts parts);

    /*! Adds an operator endpoint, see Http::OperatorRouter. Only before start(); \a handler runs on
     * the traffic thread and must not wait. /metrics and /healthz have handlers, which this can
     * replace. */
    virtual void addOperatorHandler(const std::string &path, Http::RequestHandler handler) = 0;
    virtual void start() = 0;

    virtual std::uint16_t httpPort() const = 0;
    virtual std::uint16_t trafficPort() const = 0;
};

} // namespace Medlar::Daemon
