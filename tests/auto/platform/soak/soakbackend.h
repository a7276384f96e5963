#pragma once

#include "http/backendclient.h"
#include "http/httpserver.h"
#include "keyrange/rangekeeper.h"
#include "soakaudit.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Medlar::Platform::Soak {

struct SoakBackendSettings
{
    std::string address; //!< IP address on which the server and its daemon listen
    std::uint16_t port = 0;
    std::uint16_t heartbeatPort = 0;
    std::string advertisedAddress; //!< address sent in heartbeats
    std::string zone;
    std::string service;
    bool isKeyed = false;
    std::uint64_t seed = 0;
};

/*! Backend server stand-in that sends heartbeats, holds key ranges and executes requests. */
class SoakBackend
{
public:
    SoakBackend(boost::asio::io_context &context, const SoakBackendSettings &settings,
                SoakAudit &audit);
    ~SoakBackend();

    void start();
    /*! Resets all connections and discards the held key ranges. */
    void crash();
    /*! Sends the daemon a heartbeat as another writer could: a field is missing, of another type,
     * or names what does not exist, and the others differ from those of this backend server. */
    void sendForeignHeartbeat();
    /*! Sends a copy of one of the last heartbeats again; its answer is ignored. */
    void sendOldHeartbeat();
    /*! Heartbeats that are sent from now on arrive later by \a delay. */
    void setHeartbeatDelay(std::chrono::milliseconds delay) { m_heartbeatDelay = delay; }
    bool isUp() const { return m_server != nullptr; }
    /*! Whether a request for \a key would be executed now. */
    bool holds(KeyRange::Key key) const;
    const std::string &zone() const { return m_settings.zone; }
    /*! Called before a keyed request is executed. */
    std::function<void(const SoakBackend &, KeyRange::Key)> onKeyedRun;
    const std::string &id() const { return m_id; }

private:
    struct Hold
    {
        KeyRange::Range range;
        KeyRange::FencingToken token = 0;
        Base::TimePoint until;
        std::optional<Base::TimePoint> freedAt; //!< set on withdrawal; running requests end by then
    };

    void onRequest(const Http::HttpRequest &request, const Http::Reply &reply);
    void sendHeartbeat();
    void scheduleHeartbeat(std::chrono::milliseconds delay);
    void post(const std::string &body, std::function<void(const Http::BackendResult &)> done);
    void onHeartbeatResponse(Base::TimePoint sentAt, const std::string &body);
    void expireHolds();
    std::string heartbeatBody();

    boost::asio::io_context &m_context;
    SoakBackendSettings m_settings;
    SoakAudit &m_audit;
    std::mt19937_64 m_random;
    std::unique_ptr<Http::HttpServer> m_server;
    std::unique_ptr<Http::BackendClient> m_daemon;
    boost::asio::steady_timer m_heartbeatTimer;
    std::string m_id;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    std::vector<Hold> m_holds;
    std::vector<KeyRange::FreedRange> m_freed;
    std::deque<std::string> m_sentHeartbeats; //!< the last ones, also of former incarnations
    std::chrono::milliseconds m_heartbeatDelay{0};
};

} // namespace Medlar::Platform::Soak
