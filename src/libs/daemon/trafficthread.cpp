#include "trafficthread.h"

#include "admission/backlogmonitor.h"
#include "backendprobe.h"
#include "boundedadmission.h"
#include "budgetedretry.h"
#include "http/operatorrouter.h"

#include "remoterequests.h"
#include "requestpath.h"
#include "twochoicebalancer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <thread>

namespace Medlar::Daemon {

namespace asio = boost::asio;
using Base::TimePoint;

namespace {

constexpr std::chrono::seconds GaugeInterval{1};

/*! Values that are copied for readers in other threads once per GaugeInterval. */
struct GaugeValues
{
    std::atomic<std::uint64_t> inFlight{0};
    std::atomic<std::uint64_t> waiting{0};
    std::atomic<std::uint64_t> queued{0};
    std::atomic<std::uint64_t> linkBytesSent{0};
    std::atomic<std::uint64_t> linkBytesReceived{0};
    std::atomic<std::uint64_t> backendReachable{0};
};

class TrafficThreadImpl : public TrafficThread
{
public:
    TrafficThreadImpl(const TrafficSettings &settings, TrafficParts parts);
    ~TrafficThreadImpl() override;
    TrafficThreadImpl(const TrafficThreadImpl &) = delete;
    TrafficThreadImpl &operator=(const TrafficThreadImpl &) = delete;

    tl::expected<void, TrafficError> listen();

    void addOperatorHandler(const std::string &path, Http::RequestHandler handler) override
    {
        m_operators.addHandler(path, std::move(handler));
    }
    void start() override;
    std::uint16_t httpPort() const override { return m_server->port(); }
    std::uint16_t trafficPort() const override { return m_links->port(); }

    void publish(std::shared_ptr<const TrafficSnapshot> snapshot) override;
    void setLeaseValidUntil(TimePoint validUntil) override { m_lease.set(validUntil); }
    void drain(const std::string &service, const std::vector<Messages::SlotEpoch> &slots,
               TimePoint deadline, std::function<void()> done) override;
    void drainAll(TimePoint deadline, std::function<void()> done) override;
    void report(std::function<void(TrafficReport)> callback) override;

private:
    void apply(std::shared_ptr<const TrafficSnapshot> snapshot);
    void handle(Http::HttpRequest request, Http::Reply reply);
    void startDrainingAll(TimePoint deadline, std::function<void()> done);
    void finishDrainAll();
    void giveUpAll();
    void onMessage(const Base::InstanceId &from, Messages::PeerMessage &&message);
    std::optional<Peer::PeerAddress> resolve(const Base::InstanceId &instance) const;
    TrafficReport makeReport();
    /*! Brings the monitor up to date and raises its alarms. */
    std::vector<Admission::BacklogEntry> checkedQueues();
    void registerGauges();
    void updateGauges();

    // The io_context comes first, because everything else uses it until it is destroyed.
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    TrafficSettings m_settings;
    Base::LogSink &m_log;
    Logging::DecisionLog &m_decisions;
    Metrics::MetricRegistry &m_metrics;
    asio::any_io_executor m_controlExecutor;
    std::unique_ptr<AdmissionPolicy> m_admission;
    std::unique_ptr<BackendBalancer> m_balancer;
    std::unique_ptr<RetryPolicy> m_retry;
    Admission::BacklogMonitor m_queues;
    LeaseEnd m_lease;
    std::shared_ptr<GaugeValues> m_gauges = std::make_shared<GaugeValues>();
    std::shared_ptr<const TrafficSnapshot> m_snapshot;
    Http::DeadlineQueue m_deadlines{m_context};
    LoadCounter m_load;
    std::unique_ptr<Http::BackendClient> m_backend;
    BackendProbe m_probe;
    LocalDispatcher m_dispatcher;
    Forwarder m_forwarder;
    RemoteRequests m_remote;
    RequestPath m_path;
    Http::OperatorRouter m_operators;
    std::unique_ptr<Peer::PeerLinks> m_links;
    std::unique_ptr<Http::HttpServer> m_server;
    std::function<void()> m_drainedAll;
    bool m_isDraining = false;
    std::thread m_thread;
};

TrafficThreadImpl::TrafficThreadImpl(const TrafficSettings &settings, TrafficParts parts)
    : m_settings(settings)
    , m_log(parts.log)
    , m_decisions(parts.decisions)
    , m_metrics(parts.metrics)
    , m_controlExecutor(std::move(parts.controlExecutor))
    , m_admission(parts.admission ? std::move(parts.admission)
                                  : std::make_unique<BoundedAdmission>())
    , m_balancer(parts.balancer ? std::move(parts.balancer)
                                : std::make_unique<TwoChoiceBalancer>(settings.seed))
    , m_retry(parts.retry ? std::move(parts.retry) : std::make_unique<BudgetedRetry>())
    , m_queues(parts.queues, parts.log)
    , m_load(std::chrono::steady_clock::now())
    , m_backend(Http::BackendClient::create(m_context, settings.backend))
    , m_probe(m_deadlines, *m_backend, settings.probeInterval)
    , m_dispatcher({m_context, m_deadlines, *m_admission, *m_backend, m_load, m_lease, m_metrics})
    , m_forwarder(m_context, m_deadlines, m_metrics)
    , m_remote(m_dispatcher, m_metrics)
    , m_path(
          {m_deadlines, *m_balancer, *m_retry, m_forwarder, m_dispatcher, m_decisions, m_metrics},
          settings.seed)
    , m_operators(settings.adminCredential)
{
    m_operators.addHandler("/metrics", [this](const Http::HttpRequest &, const Http::Reply &reply) {
        reply({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.prometheusText()});
    });
    m_operators.addHandler("/healthz", [this](const Http::HttpRequest &, const Http::Reply &reply) {
        const bool isReady = m_snapshot && !m_isDraining;
        reply({static_cast<std::uint16_t>(isReady ? 200 : 503),
               {},
               isReady ? "ok\n" : "not ready\n"});
    });
    registerGauges();
}

TrafficThreadImpl::~TrafficThreadImpl()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

tl::expected<void, TrafficError> TrafficThreadImpl::listen()
{
    Peer::PeerCallbacks callbacks;
    callbacks.resolve = [this](const Base::InstanceId &instance) { return resolve(instance); };
    callbacks.onMessage = [this](const Base::InstanceId &from, Messages::PeerMessage &&message) {
        onMessage(from, std::move(message));
    };
    callbacks.onLinkUp = [this](const Base::InstanceId &peer) { m_forwarder.onLinkUp(peer); };
    callbacks.onLinkDown = [this](const Base::InstanceId &peer, bool wasOpen) {
        m_forwarder.onLinkDown(peer, wasOpen);
    };
    auto links = Peer::PeerLinks::create(m_context, m_settings.links, std::move(callbacks), m_log);
    if (!links)
        return tl::unexpected(TrafficError{"traffic port: " + links.error().detail});
    m_links = std::move(*links);
    m_forwarder.setLinks(*m_links);
    m_remote.setLinks(*m_links);

    auto server = Http::HttpServer::create(m_context, m_settings.http,
                                           [this](Http::HttpRequest request, Http::Reply reply) {
                                               handle(std::move(request), std::move(reply));
                                           });
    if (!server)
        return tl::unexpected(TrafficError{"HTTP port: " + server.error().detail});
    m_server = std::move(*server);
    return {};
}

void TrafficThreadImpl::start()
{
    m_probe.start();
    updateGauges();
    m_thread = std::thread([this] { m_context.run(); });
}

void TrafficThreadImpl::handle(Http::HttpRequest request, Http::Reply reply)
{
    if (Http::OperatorRouter::isOperatorTarget(request.target))
        m_operators.handle(std::move(request), reply);
    else
        m_path.handle(std::move(request), std::move(reply));
}

void TrafficThreadImpl::onMessage(const Base::InstanceId &from, Messages::PeerMessage &&message)
{
    if (auto *const request = std::get_if<Messages::ForwardRequest>(&message)) {
        m_remote.onForward(from, std::move(*request));
    } else if (auto *const response = std::get_if<Messages::ForwardResponse>(&message)) {
        m_forwarder.onResponse(from, std::move(*response));
    } else if (const auto *const cancel = std::get_if<Messages::CancelRequest>(&message)) {
        m_remote.onCancel(from, *cancel);
    } else {
        m_log.write(Base::LogLine("traffic-message-unexpected")
                        .add("peer", from.toString())
                        .add("type", message.index()));
    }
}

std::optional<Peer::PeerAddress> TrafficThreadImpl::resolve(const Base::InstanceId &instance) const
{
    if (!m_snapshot)
        return std::nullopt;
    const auto node = m_snapshot->nodes.find(instance);
    if (node == m_snapshot->nodes.end())
        return std::nullopt;
    return Peer::PeerAddress{node->second.address, node->second.trafficPort};
}

void TrafficThreadImpl::publish(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    asio::post(m_context,
               [this, snapshot = std::move(snapshot)]() mutable { apply(std::move(snapshot)); });
}

void TrafficThreadImpl::apply(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    if (snapshot->self.instance != m_settings.links.self) {
        m_settings.links.self = snapshot->self.instance;
        m_links->setSelf(snapshot->self.instance);
    }
    m_snapshot = snapshot;
    m_dispatcher.setSnapshot(snapshot);
    m_remote.setSnapshot(snapshot);
    m_path.setSnapshot(std::move(snapshot)); // tries waiting requests again, so it comes last
}

void TrafficThreadImpl::drain(const std::string &service,
                              const std::vector<Messages::SlotEpoch> &slots, TimePoint deadline,
                              std::function<void()> done)
{
    asio::post(m_context, [this, scope = DrainScope(service, slots), deadline,
                           done = std::move(done)]() mutable {
        m_dispatcher.drain(std::move(scope), deadline,
                           [this, done = std::move(done)] { asio::post(m_controlExecutor, done); });
    });
}

void TrafficThreadImpl::drainAll(TimePoint deadline, std::function<void()> done)
{
    asio::post(m_context, [this, deadline, done = std::move(done)]() mutable {
        startDrainingAll(deadline, std::move(done));
    });
}

void TrafficThreadImpl::startDrainingAll(TimePoint deadline, std::function<void()> done)
{
    m_isDraining = true;
    m_drainedAll = std::move(done);
    m_deadlines.add(deadline, [this] { giveUpAll(); });
    m_path.startDraining([this] { finishDrainAll(); });
}

// Callers are answered; requests of other daemons may still run here.
void TrafficThreadImpl::finishDrainAll()
{
    m_dispatcher.whenIdle([this] {
        if (m_drainedAll)
            asio::post(m_controlExecutor, std::exchange(m_drainedAll, nullptr));
    });
}

void TrafficThreadImpl::giveUpAll()
{
    m_dispatcher.giveUpAll();
    m_forwarder.giveUpAll();
    m_path.giveUpAll();
    if (m_drainedAll)
        asio::post(m_controlExecutor, std::exchange(m_drainedAll, nullptr));
}

void TrafficThreadImpl::report(std::function<void(TrafficReport)> callback)
{
    asio::post(m_context, [this, callback = std::move(callback)]() mutable {
        asio::post(m_controlExecutor,
                   [callback = std::move(callback), report = makeReport()] { callback(report); });
    });
}

TrafficReport TrafficThreadImpl::makeReport()
{
    TrafficReport report;
    if (m_snapshot)
        report.load = m_load.take(std::chrono::steady_clock::now(), m_snapshot->self.instance);
    report.backendReachable = m_probe.isReachable();
    m_admission->onBackendReachable(std::chrono::steady_clock::now(), report.backendReachable);
    report.requestsInFlight = m_path.inFlight();
    report.requestsRunning = m_dispatcher.running();
    report.queues = checkedQueues();
    return report;
}

std::vector<Admission::BacklogEntry> TrafficThreadImpl::checkedQueues()
{
    const TimePoint now = std::chrono::steady_clock::now();
    m_queues.update(now, "waiting-for-owner",
                    {m_path.waiting(), 0, m_path.longestWait(now), {RequestPath::MaxWaiting, 0}});
    m_queues.update(now, "caller-connections",
                    {m_server->connectionCount(), 0, {}, {m_settings.http.maxConnections, 0}});
    m_queues.update(now, "decision-log",
                    {m_decisions.backlog(), 0, {}, {m_decisions.capacity(), 0}});
    for (const Peer::LinkState &link : m_links->links()) {
        if (link.bufferedBytes != 0)
            m_queues.update(now, "traffic-link/" + link.peer.node,
                            {0, link.bufferedBytes, {}, {0, m_links->sendBufferBytes()}});
    }
    m_queues.check(now);
    return m_queues.list(now);
}

void TrafficThreadImpl::registerGauges()
{
    const auto add = [this](const char *name, const char *help,
                            std::atomic<std::uint64_t> GaugeValues::*member) {
        m_metrics.setGauge(name, help, {}, [values = m_gauges, member] {
            return static_cast<double>(((*values).*member).load(std::memory_order_relaxed));
        });
    };
    add("medlar_requests_in_flight", "Requests of callers in flight.", &GaugeValues::inFlight);
    add("medlar_requests_waiting_for_owner", "Requests that wait for a change of owners.",
        &GaugeValues::waiting);
    add("medlar_admission_queue", "Requests that wait for the BackendServer.",
        &GaugeValues::queued);
    add("medlar_traffic_link_sent_bytes", "Bytes sent to other daemons on traffic links.",
        &GaugeValues::linkBytesSent);
    add("medlar_traffic_link_received_bytes", "Bytes received from other daemons on traffic links.",
        &GaugeValues::linkBytesReceived);
    add("medlar_backend_reachable", "Whether the BackendServer accepts connections.",
        &GaugeValues::backendReachable);
}

void TrafficThreadImpl::updateGauges()
{
    const Peer::LinkCounters links = m_links->total();
    m_gauges->inFlight.store(m_path.inFlight(), std::memory_order_relaxed);
    m_gauges->waiting.store(m_path.waiting(), std::memory_order_relaxed);
    m_gauges->queued.store(m_admission->waiting(), std::memory_order_relaxed);
    m_gauges->linkBytesSent.store(links.bytesSent, std::memory_order_relaxed);
    m_gauges->linkBytesReceived.store(links.bytesReceived, std::memory_order_relaxed);
    m_gauges->backendReachable.store(m_probe.isReachable() ? 1 : 0, std::memory_order_relaxed);
    m_deadlines.add(std::chrono::steady_clock::now() + GaugeInterval, [this] { updateGauges(); });
}

} // namespace

tl::expected<std::unique_ptr<TrafficThread>, TrafficError>
TrafficThread::create(const TrafficSettings &settings, TrafficParts parts)
{
    auto thread = std::make_unique<TrafficThreadImpl>(settings, std::move(parts));
    if (auto listening = thread->listen(); !listening)
        return tl::unexpected(listening.error());
    return thread;
}

} // namespace Medlar::Daemon
