#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace Medlar::Relay {

/*!
    Tells the incarnations of the BackendServer beside this daemon apart, and remembers which of
   them have left. Handles the order in which reports arrive after a restart of the daemon: a
    BackendServer may say that it leaves before its first heartbeat, and its heartbeats do not
    repeat it; what was said to the former process is known to other daemons only.
*/
class BackendLife
{
public:
    enum class Report {
        Stale, //!< overtaken by a later heartbeat, or from an earlier incarnation
        Known,
        NewIncarnation
    };

    // Commands

    /*! \a life is the start time of the BackendServer, \a sequence increases with its heartbeats.
     */
    Report onHeartbeat(const std::string &backend, std::uint64_t life, std::uint64_t sequence);
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

    std::string m_backend;
    std::uint64_t m_life = 0;
    std::uint64_t m_sequence = 0;
    std::string m_incarnation;
    std::set<std::string> m_left;  //!< incarnations
    std::string m_leftWithoutLife; //!< id that took its leave before an incarnation was known
};

} // namespace Medlar::Relay
