#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Medlar::Scenario {

/*! True time since the start of a simulation, which no node can see. */
using TrueTime = std::chrono::nanoseconds;

/*! Runs events in the order of true time; events of the same time run in the order of scheduling.
 */
class EventQueue
{
public:
    using Action = std::function<void()>;

    TrueTime now() const { return m_now; }
    /*! Schedules \a action; a time in the past means now. */
    void schedule(TrueTime at, Action action);
    /*! Runs the next event unless it is later than \a end. Returns whether one ran. */
    bool runNext(TrueTime end);
    /*! Moves the time forward to \a end when no earlier event is left. */
    void advanceTo(TrueTime end);

private:
    struct Event
    {
        TrueTime at;
        std::uint64_t order = 0;
        Action action;
    };
    struct Later
    {
        bool operator()(const Event &a, const Event &b) const
        {
            return a.at != b.at ? a.at > b.at : a.order > b.order;
        }
    };

    TrueTime m_now{0};
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
};

} // namespace Medlar::Scenario
