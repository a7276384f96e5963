#include "eventqueue.h"

#include <algorithm>

namespace Medlar::Scenario {

void EventQueue::schedule(TrueTime at, Action action)
{
    m_events.push({std::max(at, m_now), m_order++, std::move(action)});
}

bool EventQueue::runNext(TrueTime end)
{
    if (m_events.empty() || m_events.top().at > end)
        return false;
    m_now = m_events.top().at;
    // The event is removed before it runs, as it may schedule others.
    const Action action = std::move(const_cast<Event &>(m_events.top()).action);
    m_events.pop();
    action();
    return true;
}

void EventQueue::advanceTo(TrueTime end)
{
    m_now = std::max(m_now, end);
}

} // namespace Medlar::Scenario
