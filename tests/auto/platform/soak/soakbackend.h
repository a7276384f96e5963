#pragma once

#include "http/backendclient.h"
#include "http/httpserver.h"
#include "keyrange/rangekeeper.h"
#include "soakaudit.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Medlar::Platform::Soak {

struct SoakBackendSettings
{
    std::string address; //!< IP number, where it listens and its daemon takes heartbeats
    std::uint16_t port = 0;
    std::uint16_t heartbeatPort = 0;
    std::string announced; //!< address in heartbeats
    std::string zone;
    std::string service;
    bool isKeyed = false;
    std::uint64_t seed = 0;
};

/*! A backend server as the platform's pages describe it: beats, holds key ranges, runs requests. */
class SoakBackend
{
public:
    SoakBackend(boost::asio::io_context &context, const SoakBackendSettings &settings,
                SoakAudit &audit);
    ~SoakBackend();

    void start();
    /*! Connections are reset and the holds are forgotten. */
    void crash();
    bool isUp() const { return m_server != nullptr; }
    /*! Whether it would begin a request for \a key now. */
    bool holds(KeyRange::Key key) const;
    /*! Tells of requests for keys that begin here, before they do. */
    std::function<void(const SoakBackend &, KeyRange::Key)> onKeyedRun;
    const std::string &id() const { return m_id; }

private:
    struct Hold
    {
        KeyRange::Range range;
        KeyRange::FencingToken token = 0;
        Base::TimePoint until;
        std::optional<Base::TimePoint> freedAt; //!< withdrawn, work goes on until then
    };

    void onRequest(const Http::HttpRequest &request, const Http::Reply &reply);
    void beat();
    void armBeat(std::chrono::milliseconds delay);
    void onBeatAnswer(Base::TimePoint sentAt, const std::string &body);
    void expireHolds();
    std::string beatBody();

    boost::asio::io_context &m_context;
    SoakBackendSettings m_settings;
    SoakAudit &m_audit;
    std::mt19937_64 m_random;
    std::unique_ptr<Http::HttpServer> m_server;
    std::unique_ptr<Http::BackendClient> m_daemon;
    boost::asio::steady_timer m_beatTimer;
    std::string m_id;
    std::uint64_t m_life = 0;
    std::uint64_t m_sequence = 0;
    std::vector<Hold> m_holds;
    std::vector<KeyRange::FreedRange> m_freed;
};

} // namespace Medlar::Platform::Soak
