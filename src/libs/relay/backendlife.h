#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace Medlar::Relay {

/*! Identity that a BackendServer states in a heartbeat. */
struct BackendReport
{
    std::string backend; //!< id of the BackendServer
    std::string service;
    std::uint64_t life = 0;     //!< start time of the BackendServer
    std::uint64_t sequence = 0; //!< increases with its heartbeats
};

/*!
    Decides which heartbeats count: tells the incarnations of the BackendServer beside this daemon
   apart, rejects heartbeats of other writers, and remembers which incarnations have left. Handles
   the order in which reports arrive after a restart of the daemon: a BackendServer may say that it
   leaves before its first heartbeat, and its heartbeats do not repeat it; what was said to the
   former process is known to other daemons only.
*/
class BackendLife
{
public:
    enum class Report {
        Foreign, //!< from another writer; must change nothing
        Stale,   //!< overtaken by a later heartbeat, or from an earlier incarnation
        Known,
        NewIncarnation
    };

    // Commands

    /*! \a isServiceConfigured: whether the service of \a report exists. It decides about new
     * incarnations only: the service of the present one may be removed while it still works. */
    Report onHeartbeat(const BackendReport &report, bool isServiceConfigured);
    /*! The BackendServer has taken its leave. Without \a life (0), the present incarnation, or the
     * next one with this id if none is known, has left. */
    void onLeave(const std::string &backend, std::uint64_t life);
    /*! Another daemon knows that \a incarnation has left. */
    void onLeaveReported(const std::string &incarnation);

    // Queries

    /*! Id and life of the present incarnation; empty if none has reported. */
    const std::string &incarnation() const { return m_incarnation; }
    bool hasLeft() const { return m_left.count(m_incarnation) != 0; }

private:
    static std::string incarnationOf(const std::string &backend, std::uint64_t life);
    void remember(const std::string &incarnation);

    BackendReport m_last; //!< of the present incarnation
    std::string m_incarnation;
    std::set<std::string> m_left;  //!< incarnations
    std::string m_leftWithoutLife; //!< id that took its leave before an incarnation was known
};

} // namespace Medlar::Relay
