#pragma once

#include "workrunner.h"

#include "../httpserver/httpserver.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <list>
#include <memory>
#include <string>

namespace Medlar::Standins {

/*! How far a report may be trusted. */
enum class ReportMode {
    Honest,
    Good, //!< healthy, or without load, whatever is the case
    Bad   //!< unhealthy, or with all slots and the queue full
};

struct ReportSettings
{
    ReportMode health = ReportMode::Honest;
    ReportMode load = ReportMode::Honest;
    std::chrono::milliseconds lag{0}; //!< reports show the state of this time ago, or older
};

struct BackendServerSettings
{
    HttpServerSettings http;
    WorkSettings work;
    ReportSettings reports;
};

/*!
    Stand-in for a BackendServer, see docs/design.md, 7. Any path but those of the endpoints is
   work. Must outlive the running of its context.
*/
class BackendServer
{
public:
    static tl::expected<std::unique_ptr<BackendServer>, std::string>
    create(boost::asio::io_context &context, const BackendServerSettings &settings);

    std::uint16_t port() const { return m_http->port(); }
    WorkRunner &work() { return m_work; }

private:
    using SessionPtr = std::shared_ptr<HttpSession>;
    struct Report
    {
        SteadyTime at;
        bool healthy = true;
        std::size_t running = 0;
        std::size_t queued = 0;
    };

    BackendServer(boost::asio::io_context &context, const BackendServerSettings &settings);

    void onRequest(const SessionPtr &session);
    void handle(const SessionPtr &session);
    void onThaw();
    void onAdminRequest(const SessionPtr &session);
    void grant(const SessionPtr &session);
    void drain(const SessionPtr &session);
    void cancel(const SessionPtr &session);
    void reportHealth(const SessionPtr &session);
    void reportLoad(const SessionPtr &session);
    Report report();
    std::string executions(const HttpSession &session) const;
    std::string statistics();

    std::string m_name;
    std::size_t m_queueLimit;
    WorkRunner m_work;
    ReportSettings m_reports;
    std::deque<Report> m_pastReports;
    std::list<SessionPtr> m_held; //!< requests received while frozen, at most one per connection
    boost::asio::steady_timer m_thawTimer;
    std::unique_ptr<HttpServer> m_http;
};

/*! The text is one of honest, good and bad. */
tl::expected<ReportMode, std::string> parseReportMode(const std::string &text);

} // namespace Medlar::Standins
