#pragma once

#include "requestflow.h"

namespace Medlar::Scenario {

/*! Load that callers offer for a time. */
struct TrafficLoad
{
    double rate = 0; //!< requests/s
    Messages::RequestClass requestClass = Messages::RequestClass::Normal;
    TrueTime deadline = std::chrono::seconds(1);
    bool isIdempotent = false;
    std::optional<std::size_t> entry; //!< index of a daemon; otherwise each in turn
    TrueTime duration{0};
};

/*! One to three daemons with their BackendServers and callers on a virtual clock. */
class TrafficSimulation
{
public:
    /*! \a print receives the log lines of the daemons and summaries of outcomes. */
    TrafficSimulation(const TrafficOptions &options, DaemonLog::Print print);

    // Commands
    void runUntil(TrueTime end);
    void offer(const TrafficLoad &load);
    void cancelOldest(std::size_t count) { m_flow.cancelOldest(count); }
    void setZoneOut(const std::string &zone, bool isOut);

    // Queries
    TrueTime now() const { return m_events.now(); }
    bool hasZone(const std::string &zone) const;
    const RequestFlow::Daemons &daemons() const { return m_daemons; }
    const std::deque<TrafficRequest> &requests() const { return m_flow.requests(); }

private:
    void publish();
    void check();
    void arriveNext(const TrafficLoad &load, TrueTime end);
    void summarise();

    TrafficOptions m_options;
    DaemonLog::Print m_print;
    EventQueue m_events;
    RandomSource m_random;
    RequestFlow::Daemons m_daemons;
    RequestFlow m_flow;
    std::shared_ptr<const Configuration::RouteTable> m_routes;
    std::set<std::string> m_zonesOut;
    std::size_t m_nextEntry = 0;
    TrueTime m_summarised{-1};
};

} // namespace Medlar::Scenario
