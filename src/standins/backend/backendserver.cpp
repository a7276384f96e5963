#include "backendserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace Medlar::Standins {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view CancelPath = "/cancel/";
constexpr std::size_t MaxExecutionsPerAnswer = 20000;

/*! Bounds the memory of lagging reports. */
constexpr std::size_t MaxPastReports = 1000;

std::int64_t microseconds(SteadyTime time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

Json bodyOf(const HttpSession &session)
{
    Json json = Json::parse(session.request().body(), nullptr, false);
    return json.is_object() ? json : Json::object();
}

milliseconds duration(const Json &json, const char *name)
{
    const auto it = json.find(name);
    return milliseconds(it != json.end() && it->is_number() ? it->get<std::int64_t>() : 0);
}

std::string text(const Json &json, const char *name, const char *fallback)
{
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : fallback;
}

std::uint64_t queryNumber(const HttpSession &session, std::string_view name, std::uint64_t fallback)
{
    std::uint64_t number = fallback;
    if (const auto value = session.queryValue(name))
        std::from_chars(value->data(), value->data() + value->size(), number);
    return number;
}

// The daemon shares the VM and so the monotonic clock. An end that is a point on that clock stays
// right when the daemon is paused between computing and sending it, which a duration would not.
std::optional<std::chrono::steady_clock::time_point> grantEnd(const Json &json)
{
    using std::chrono::steady_clock;
    const auto found = json.is_object() ? json.find("valid_until_us") : json.end();
    if (json.is_object() && found != json.end() && found->is_number_integer())
        return steady_clock::time_point(std::chrono::microseconds(found->get<std::int64_t>()));
    if (duration(json, "valid_ms").count() <= 0)
        return {};
    return steady_clock::now() + duration(json, "valid_ms");
}

} // namespace

tl::expected<ReportMode, std::string> parseReportMode(const std::string &text)
{
    if (text == "honest")
        return ReportMode::Honest;
    if (text == "good")
        return ReportMode::Good;
    if (text == "bad")
        return ReportMode::Bad;
    return tl::unexpected("unknown report mode '" + text + "'");
}

BackendServer::BackendServer(boost::asio::io_context &context,
                             const BackendServerSettings &settings)
    : m_name(settings.work.name)
    , m_queueLimit(settings.work.queueLimit)
    , m_work(context, settings.work)
    , m_reports(settings.reports)
    , m_thawTimer(context)
{}

tl::expected<std::unique_ptr<BackendServer>, std::string>
BackendServer::create(boost::asio::io_context &context, const BackendServerSettings &settings)
{
    auto server = std::unique_ptr<BackendServer>(new BackendServer(context, settings));
    auto http = HttpServer::create(
        context, settings.http,
        [target = server.get()](const SessionPtr &session) { target->onRequest(session); });
    if (!http)
        return tl::unexpected(http.error());
    server->m_http = std::move(*http);
    return server;
}

void BackendServer::onRequest(const SessionPtr &session)
{
    if (session->path().substr(0, 7) == "/admin/") {
        try {
            onAdminRequest(session);
        } catch (const Json::exception &) {
            session->respond(Http::status::bad_request, R"({"error":"member of a wrong type"})");
        }
    } else if (std::chrono::steady_clock::now() < m_work.frozenUntil()) {
        m_held.push_back(session);
    } else {
        handle(session);
    }
}

void BackendServer::handle(const SessionPtr &session)
{
    const std::string_view path = session->path();
    const bool isPost = session->request().method() == Http::verb::post;
    if (path == "/health")
        reportHealth(session);
    else if (path == "/load")
        reportLoad(session);
    else if (isPost && path == "/grant")
        grant(session);
    else if (isPost && path == "/drain")
        drain(session);
    else if (isPost && path.substr(0, CancelPath.size()) == CancelPath)
        cancel(session);
    else
        m_work.submit(session);
}

void BackendServer::onThaw()
{
    for (const SessionPtr &session : std::exchange(m_held, {}))
        onRequest(session);
}

void BackendServer::grant(const SessionPtr &session)
{
    const Json json = bodyOf(*session);
    const std::string instance = text(json, "instance", "");
    const auto validUntil = grantEnd(json);
    if (instance.empty() || !validUntil) {
        session->respond(Http::status::bad_request, R"({"error":"not a grant"})");
        return;
    }
    m_work.fencing().grant(instance, *validUntil);
    session->respond(Http::status::ok, "{}");
}

void BackendServer::drain(const SessionPtr &session)
{
    const Json json = bodyOf(*session);
    m_work.setDraining(!json.contains("drain") || json["drain"] != false);
    session->respond(Http::status::ok, Json{{"draining", m_work.isDraining()},
                                            {"running", m_work.running()},
                                            {"queued", m_work.queued()}}
                                           .dump());
}

void BackendServer::cancel(const SessionPtr &session)
{
    const std::string requestId(session->path().substr(CancelPath.size()));
    const std::string where = m_work.cancel(requestId);
    if (where.empty())
        session->respond(Http::status::not_found, R"({"error":"no such request"})");
    else
        session->respond(Http::status::ok, Json{{"cancelled", where}}.dump());
}

/*! The latest state that is at least as old as the lag. */
BackendServer::Report BackendServer::report()
{
    const auto now = std::chrono::steady_clock::now();
    m_pastReports.push_back({now, !m_work.isDraining(), m_work.running(), m_work.queued()});
    while (m_pastReports.size() > 1
           && (m_pastReports[1].at <= now - m_reports.lag || m_pastReports.size() > MaxPastReports))
        m_pastReports.pop_front();
    return m_pastReports.front();
}

void BackendServer::reportHealth(const SessionPtr &session)
{
    const bool healthy = m_reports.health == ReportMode::Honest
                             ? report().healthy
                             : m_reports.health == ReportMode::Good;
    session->respond(healthy ? Http::status::ok : Http::status::service_unavailable,
                     Json{{"status", healthy ? "ok" : "unhealthy"}}.dump());
}

void BackendServer::reportLoad(const SessionPtr &session)
{
    Report shown = report();
    const auto age = std::chrono::steady_clock::now() - shown.at;
    if (m_reports.load == ReportMode::Good)
        shown.running = shown.queued = 0;
    if (m_reports.load == ReportMode::Bad) {
        shown.running = m_work.slots();
        shown.queued = m_queueLimit;
    }
    session->respond(Http::status::ok,
                     Json{{"running", shown.running},
                          {"queued", shown.queued},
                          {"slots", m_work.slots()},
                          {"age_ms", std::chrono::duration_cast<milliseconds>(age).count()}}
                         .dump());
}

void BackendServer::onAdminRequest(const SessionPtr &session)
{
    const std::string_view path = session->path();
    const auto now = std::chrono::steady_clock::now();
    const Json json = bodyOf(*session);
    if (path == "/admin/executions") {
        session->respond(Http::status::ok, executions(*session));
        return;
    }
    if (path == "/admin/stats") {
        session->respond(Http::status::ok, statistics());
        return;
    }
    if (path == "/admin/cold") {
        m_work.capacity().becomeCold(now, duration(json, "duration_ms"));
    } else if (path == "/admin/slow") {
        m_work.capacity().slowDown(now, json.value("factor", 1.0), duration(json, "duration_ms"));
    } else if (path == "/admin/freeze") {
        const auto until = now + duration(json, "duration_ms");
        m_work.freeze(until);
        m_thawTimer.expires_at(until);
        m_thawTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                onThaw();
        });
    } else if (path == "/admin/reports") {
        const auto health = parseReportMode(text(json, "health", "honest"));
        const auto load = parseReportMode(text(json, "load", "honest"));
        if (!health || !load) {
            session->respond(Http::status::bad_request, R"({"error":"unknown report mode"})");
            return;
        }
        m_reports = {*health, *load, duration(json, "lag_ms")};
    } else {
        session->respond(Http::status::not_found, R"({"error":"no such endpoint"})");
        return;
    }
    session->respond(Http::status::ok, "{}");
}

std::string BackendServer::executions(const HttpSession &session) const
{
    const std::size_t limit = std::min<std::size_t>(
        queryNumber(session, "limit", MaxExecutionsPerAnswer), MaxExecutionsPerAnswer);
    Json items = Json::array();
    for (const Execution *execution : m_work.log().after(queryNumber(session, "after", 0), limit)) {
        items.push_back({{"sequence", execution->sequence},
                         {"request_id", execution->requestId},
                         {"key", execution->key},
                         {"slot", execution->slot},
                         {"token", execution->token},
                         {"start_us", microseconds(execution->start)},
                         {"end_us", microseconds(execution->end)},
                         {"status", execution->status}});
    }
    return Json{{"server", m_name},
                {"last_sequence", m_work.log().lastSequence()},
                {"dropped", m_work.log().dropped()},
                {"executions", std::move(items)}}
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string BackendServer::statistics()
{
    const WorkCounters &counters = m_work.counters();
    const auto now = std::chrono::steady_clock::now();
    return Json{{"server", m_name},
                {"received", counters.received},
                {"completed", counters.completed},
                {"shed", counters.shed},
                {"expired", counters.expired},
                {"fenced", counters.fenced},
                {"cold_failures", counters.coldFailures},
                {"cancelled_queued", counters.cancelledQueued},
                {"cancelled_running", counters.cancelledRunning},
                {"max_queued", counters.maxQueued},
                {"running", m_work.running()},
                {"queued", m_work.queued()},
                {"draining", m_work.isDraining()},
                {"capacity_rate", m_work.capacity().rate(now)},
                {"grant_instance", m_work.fencing().instance()},
                {"connections", m_http->connectionCount()},
                {"refused_connections", m_http->refusedConnections()},
                {"now_us", microseconds(now)}}
        .dump();
}

} // namespace Medlar::Standins
