#include "boundedadmission.h"

#include "errorcodes.h"

#include <algorithm>

namespace Medlar::Daemon {

namespace {

// Of the 120 connections to a BackendServer, 8 are left for probes, grants and cancellations. With
// none left, requests were rejected for lack of a connection whenever a probe was under way.
constexpr std::size_t MaxLimit = 112;

} // namespace

AdmissionTicket BoundedAdmission::offer(Base::TimePoint now, const AdmissionRequest &request,
                                        Decide decide)
{
    const AdmissionTicket ticket = ++m_lastTicket;
    if (m_running < m_limit && m_waiting.empty()) {
        ++m_running;
        decide(now, {true, {}, {}});
    } else if (m_waiting.size() >= request.route.maxQueue) {
        decide(now, {false, ErrorCode::QueueFull, {}});
    } else {
        m_waiting.push_back({ticket, request.deadline, std::move(decide)});
    }
    return ticket;
}

void BoundedAdmission::cancel(Base::TimePoint, AdmissionTicket ticket)
{
    m_waiting.remove_if([ticket](const Waiting &waiting) { return waiting.ticket == ticket; });
}

void BoundedAdmission::onCompleted(Base::TimePoint now, AdmissionTicket, const Completion &)
{
    --m_running;
    admitWaiting(now);
}

void BoundedAdmission::admitWaiting(Base::TimePoint now)
{
    while (m_running < m_limit && !m_waiting.empty()) {
        const Waiting next = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (next.deadline <= now) {
            next.decide(now, {false, ErrorCode::DeadlinePassed, {}});
            continue;
        }
        ++m_running;
        next.decide(now, {true, {}, {}});
    }
}

void BoundedAdmission::onSnapshot(Base::TimePoint now, const TrafficSnapshot &snapshot)
{
    const std::size_t slots = snapshot.self.backendSlots;
    m_limit = slots == 0 ? MaxLimit : std::min(slots, MaxLimit);
    admitWaiting(now);
}

void BoundedAdmission::onTime(Base::TimePoint now)
{
    std::list<Waiting> expired;
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const auto next = std::next(it);
        if (it->deadline <= now)
            expired.splice(expired.end(), m_waiting, it);
        it = next;
    }
    for (const Waiting &waiting : expired)
        waiting.decide(now, {false, ErrorCode::DeadlinePassed, {}});
}

std::optional<Base::TimePoint> BoundedAdmission::nextDeadline() const
{
    if (m_waiting.empty())
        return std::nullopt;
    return std::min_element(
               m_waiting.begin(), m_waiting.end(),
               [](const Waiting &a, const Waiting &b) { return a.deadline < b.deadline; })
        ->deadline;
}

} // namespace Medlar::Daemon
