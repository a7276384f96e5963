#pragma once

#include "daemon/controlplane.h"
#include "daemon/trafficthread.h"
#include "daemonsettings.h"
#include "httpgrants.h"
#include "logging/consolelog.h"
#include "logging/decisionlog.h"
#include "metrics/metricregistry.h"
#include "store/httpobjectstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Medlar {

/*! Wires the parts of one daemon together and runs its control thread. */
class DaemonProcess
{
public:
    static tl::expected<std::unique_ptr<DaemonProcess>, std::string>
    create(const DaemonSettings &settings);
    ~DaemonProcess();

    /*! Runs until a graceful stop has ended. SIGTERM or SIGINT start it; a second one ends at once.
     */
    tl::expected<void, std::string> run();

private:
    explicit DaemonProcess(const DaemonSettings &settings);

    tl::expected<void, std::string> createParts();
    void addOperatorHandlers();
    /*! Answers requests to \a path with what \a answer returns on the control thread. */
    void addControlHandler(const std::string &path,
                           std::function<Http::HttpResponse(const Http::HttpRequest &)> answer);
    Http::HttpResponse explain(const Http::HttpRequest &request) const;
    void waitForSignal();

    DaemonSettings m_settings;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    std::unique_ptr<Logging::ConsoleLog> m_log;
    std::unique_ptr<Logging::DecisionLog> m_decisions;
    Metrics::MetricRegistry m_metrics;
    std::unique_ptr<Store::HttpObjectStore> m_store;
    std::unique_ptr<HttpGrants> m_grants;
    Admission::BacklogRegistry m_trafficQueues;
    std::unique_ptr<Daemon::TrafficThread> m_traffic;
    std::unique_ptr<Daemon::ControlPlane> m_control;
    bool m_isStopping = false;
};

} // namespace Medlar
