#include "daemonprocess.h"

#include "configuration/configurationbundle.h"
#include "daemon/controllerretry.h"
#include "daemon/controlreport.h"
#include "daemon/queueadmission.h"
#include "daemon/selectorbalancer.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace Medlar {

namespace {

constexpr std::size_t MaxExplainedDecisions = 50;

// The value of a parameter in the query of \a target, without decoding, empty when it is missing.
std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    if (query == std::string::npos)
        return {};
    const std::string parameters = '&' + target.substr(query + 1) + '&';
    const std::size_t start = parameters.find('&' + name + '=');
    if (start == std::string::npos)
        return {};
    const std::size_t value = start + name.size() + 2;
    return parameters.substr(value, parameters.find('&', value) - value);
}

Http::HttpResponse jsonResponse(std::string body, std::uint16_t status = 200)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

tl::expected<Configuration::RouteTable, std::string> parseConfiguration(const std::string &value)
{
    auto routes = Configuration::routeTableFromObject(value);
    if (routes)
        return std::move(*routes);
    return tl::unexpected(routes.error().empty() ? std::string("invalid configuration")
                                                 : routes.error().front().toString());
}

std::string decisionLines(const std::vector<Logging::Decision> &decisions)
{
    std::string lines;
    for (const Logging::Decision &decision : decisions)
        lines += decision.toLine().toString() + '\n';
    return lines;
}

} // namespace

DaemonProcess::DaemonProcess(const DaemonSettings &settings)
    : m_settings(settings), m_signals(m_context, SIGTERM, SIGINT)
{}

DaemonProcess::~DaemonProcess()
{
    // Replies of operators' requests are held by tasks of the control thread, see TrafficThread.
    m_context.stop();
    m_control.reset();
    m_traffic.reset();
}

tl::expected<std::unique_ptr<DaemonProcess>, std::string>
DaemonProcess::create(const DaemonSettings &settings)
{
    std::unique_ptr<DaemonProcess> process(new DaemonProcess(settings));
    const auto created = process->createParts();
    if (!created)
        return tl::unexpected(created.error());
    return process;
}

tl::expected<void, std::string> DaemonProcess::createParts()
{
    Cluster::NodeRecord &self = m_settings.control.self;
    self.instance.incarnation = Daemon::randomIncarnation();
    m_log = Logging::ConsoleLog::create({self.instance.node, self.availabilityZone, {}});
    Logging::DecisionLogSettings decisions;
    decisions.writesLines = m_settings.logDecisions;
    m_decisions = std::make_unique<Logging::DecisionLog>(decisions, *m_log);

    if (m_settings.control.seed == 0)
        m_settings.control.seed = Daemon::randomIncarnation();
    m_log->write(Base::LogLine("starting")
                     .add("instance", self.instance.toString())
                     .add("region", self.region)
                     .add("seed", m_settings.control.seed)
                     .add("version", MEDLAR_VERSION));
    if (m_settings.isLoopbackOnly)
        m_log->write(Base::LogLine("no-credential").add("binding", "loopback only"));

    Store::HttpObjectStoreSettings store;
    store.address = m_settings.store.address;
    store.port = m_settings.store.port;
    store.keyPrefix.clear();
    auto objectStore = Store::HttpObjectStore::create(m_context, store);
    if (!objectStore)
        return tl::unexpected(objectStore.error());
    m_store = std::move(*objectStore);

    Daemon::TrafficSettings traffic;
    traffic.http.address = self.address;
    traffic.http.port = self.httpPort;
    traffic.links.self = self.instance;
    traffic.links.listenAddress = self.address;
    traffic.links.listenPort = self.trafficPort;
    traffic.links.credential = m_settings.control.credential;
    traffic.links.seed = m_settings.control.seed;
    traffic.backend.address = m_settings.backend.address;
    traffic.backend.port = m_settings.backend.port;
    traffic.adminCredential = m_settings.control.credential;
    traffic.seed = m_settings.control.seed ^ self.instance.incarnation;
    m_grants = std::make_unique<HttpGrants>(m_context, traffic.backend);
    auto thread = Daemon::TrafficThread::create(
        traffic, {*m_log, *m_decisions, m_metrics, m_trafficQueues, m_context.get_executor(),
                  std::make_unique<Daemon::QueueAdmission>(*m_log, m_trafficQueues),
                  std::make_unique<Daemon::SelectorBalancer>(traffic.seed, *m_log),
                  std::make_unique<Daemon::ControllerRetry>()});
    if (!thread)
        return tl::unexpected(thread.error().detail);
    m_traffic = std::move(*thread);
    self.httpPort = m_traffic->httpPort();
    self.trafficPort = m_traffic->trafficPort();
    m_control = std::make_unique<Daemon::ControlPlane>(
        m_context, m_settings.control, *m_store, *m_traffic, *m_grants, *m_log, parseConfiguration);
    addOperatorHandlers();
    return {};
}

void DaemonProcess::addOperatorHandlers()
{
    addControlHandler("/healthz", [this](const Http::HttpRequest &) {
        const bool isReady = m_control->isReady();
        return jsonResponse(isReady ? R"({"ready":true})" : R"({"ready":false})",
                            isReady ? 200 : 503);
    });
    addControlHandler("/admin/status", [this](const Http::HttpRequest &) {
        return jsonResponse(
            Daemon::statusJson(m_control->report(), std::chrono::steady_clock::now()));
    });
    // Gauges read state of the traffic thread, where this handler runs; the control side's text is
    // added after it.
    m_traffic->addOperatorHandler(
        "/metrics", [this](const Http::HttpRequest &, const Http::Reply &reply) {
            boost::asio::post(m_context, [this, text = m_metrics.prometheusText(), reply] {
                reply({200,
                       {{"Content-Type", "text/plain; version=0.0.4"}},
                       text + Daemon::controlMetricsText(m_control->report())});
            });
        });
    addControlHandler("/admin/backlog", [this](const Http::HttpRequest &) {
        return jsonResponse(Daemon::backlogJson(m_control->report()));
    });
    addControlHandler("/admin/explain",
                      [this](const Http::HttpRequest &request) { return explain(request); });
}

void DaemonProcess::addControlHandler(
    const std::string &path, std::function<Http::HttpResponse(const Http::HttpRequest &)> answer)
{
    m_traffic->addOperatorHandler(
        path, [this, answer = std::move(answer)](Http::HttpRequest request, Http::Reply reply) {
            boost::asio::post(m_context, [answer, request = std::move(request),
                                          reply = std::move(reply)] { reply(answer(request)); });
        });
}

Http::HttpResponse DaemonProcess::explain(const Http::HttpRequest &request) const
{
    const std::string requestId = queryValue(request.target, "request");
    if (!requestId.empty())
        return {200,
                {{"Content-Type", "text/plain"}},
                decisionLines(m_decisions->findRequest(requestId))};

    const std::string service = queryValue(request.target, "service");
    const std::string slotText = queryValue(request.target, "slot");
    Cluster::SlotId slot = 0;
    const char *const last = slotText.data() + slotText.size();
    const auto [end, error] = std::from_chars(slotText.data(), last, slot);
    if (service.empty() || slotText.empty() || error != std::errc() || end != last)
        return jsonResponse(R"({"error":"expected request=ID, or service=NAME and slot=NUMBER"})",
                            400);
    nlohmann::json result = nlohmann::json::parse(Daemon::explainSlotJson(
        m_control->report(), std::chrono::steady_clock::now(), service, slot));
    result["decisions"]
        = decisionLines(m_decisions->findSlot(service, slot, MaxExplainedDecisions));
    return jsonResponse(result.dump());
}

tl::expected<void, std::string> DaemonProcess::run()
{
    const auto started = m_control->start();
    if (!started)
        return tl::unexpected(started.error());
    m_traffic->start();
    const Cluster::NodeRecord &self = m_settings.control.self;
    m_log->write(Base::LogLine("listening")
                     .add("address", self.address)
                     .add("http_port", m_traffic->httpPort())
                     .add("traffic_port", m_traffic->trafficPort()));
    waitForSignal();
    m_context.run();
    return {};
}

void DaemonProcess::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int) {
        if (error)
            return;
        if (m_isStopping) {
            m_log->write(Base::LogLine("stopped-at-once"));
            std::_Exit(EXIT_FAILURE);
        }
        m_isStopping = true;
        waitForSignal();
        m_control->stopGracefully([this] { m_context.stop(); });
    });
}

} // namespace Medlar
