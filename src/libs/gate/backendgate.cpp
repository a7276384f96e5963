#include "backendgate.h"

#include "base/scaledduration.h"

#include <algorithm>

namespace Medlar::Gate {

using Base::scaled;

namespace {

// Requests started on a cold BackendServer are counted over this window.
constexpr std::chrono::seconds ColdRateWindow{1};
// After a full BackendServer declined a request, the number of concurrent requests is limited for
// this long to the number that was running then.
constexpr std::chrono::milliseconds ThrottleTime{300};
// A request is started only if this fraction of its expected service time is left until its
// deadline.
constexpr double MinTimeLeftFraction = 0.8;
// Maximum number of waiting requests per slot. In a longer queue, requests would be served late
// even if their deadlines allowed for the wait.
constexpr std::size_t MaxWaitingPerSlot = 12;
// A request that will miss its target is accepted if its wait is below this fraction of its
// expected service time. This keeps all slots busy without making the requests behind it late as
// well.
constexpr double MaxLateWaitFraction = 0.5;
// It is also accepted if its wait is below this number of mean intervals between two free slots, so
// that short requests are not declined for the residual time of the long ones in the slots.
constexpr int MaxLateWaitIntervals = 2;
// Maximum number of waiting requests per slot for a single key. Otherwise a key with more demand
// than slots would fill the queue and leave no room for other keys.
constexpr double MaxWaitingPerKeyPerSlot = 0.5;
// The same if the request is a call, half of the places. With less, calls would be declined
// although they could be answered in time; with more, calls for other keys would be declined.
constexpr double MaxCallsPerKeyPerSlot = MaxWaitingPerSlot / 2.0;
// Places per slot that only calls may use, a quarter of all.
constexpr std::size_t ReservedForCallsPerSlot = MaxWaitingPerSlot / 4;
// The places are reserved for this long after the last call. Calls come in groups, and a service
// without calls uses all places for other requests.
constexpr std::chrono::seconds CallReserveTime{10};

} // namespace

std::optional<DeclineReason> BackendGate::declineReason() const
{
    if (!m_condition.isPresent)
        return DeclineReason::Absent;
    if (m_condition.isDraining)
        return DeclineReason::Draining;
    if (m_condition.isEvacuated)
        return DeclineReason::Evacuated;
    return std::nullopt;
}

void BackendGate::setCondition(Base::TimePoint now, const BackendCondition &condition)
{
    m_condition = condition;
    m_condition.slots = std::max<std::uint32_t>(1, condition.slots);
    m_startRate.setLimit(now, condition.maxRequestsPerSecond);
    removeOldStarts(now);
    const auto reason = declineReason();
    if (!reason)
        return;
    for (const auto &[position, request] : m_queue) {
        m_declined.emplace_back(position.ticket, Decline{*reason, Base::Duration::zero()});
        m_accounts.onEnded(request.account);
    }
    m_queue.clear();
}

std::uint32_t BackendGate::concurrencyLimit(Base::TimePoint now) const
{
    if (now < m_throttledUntil)
        return std::min(m_condition.slots, m_throttledLimit);
    return m_condition.slots;
}

std::uint32_t BackendGate::coldRequestLimit() const
{
    return std::max<std::uint32_t>(1,
                                   static_cast<std::uint32_t>(m_condition.coldRequestsPerSecond));
}

void BackendGate::removeOldStarts(Base::TimePoint now)
{
    while (!m_recentStarts.empty() && m_recentStarts.front() + ColdRateWindow <= now)
        m_recentStarts.pop_front();
}

Base::Duration BackendGate::expectedTime(const GateRequest &request) const
{
    return m_serviceTimes.expected(request.route);
}

Base::Duration BackendGate::meanRunningTime() const
{
    if (m_running.empty())
        return m_serviceTimes.recentMean();
    Base::Duration sum{0};
    for (const auto &[ticket, request] : m_running)
        sum += m_serviceTimes.expected(request.route);
    return sum / static_cast<Base::Duration::rep>(m_running.size());
}

// Expected wait of a request behind \a ahead others in the queue, which take \a workAhead in all.
Base::Duration BackendGate::expectedWait(Base::TimePoint now, std::size_t ahead,
                                         Base::Duration workAhead) const
{
    const std::size_t limit = std::max<std::uint32_t>(1, concurrencyLimit(now));
    const std::size_t free = running() < limit ? limit - running() : 0;
    Base::Duration wait{0};
    if (ahead >= free)
        wait = (workAhead + meanRunningTime()) / static_cast<Base::Duration::rep>(limit);
    wait = std::max(wait, m_startRate.wait(now, ahead));
    if (!m_condition.isCold)
        return wait;
    const auto recentStarts = static_cast<std::size_t>(
        std::count_if(m_recentStarts.begin(), m_recentStarts.end(),
                      [now](Base::TimePoint start) { return start + ColdRateWindow > now; }));
    const std::size_t startsLeft
        = coldRequestLimit() - std::min<std::size_t>(coldRequestLimit(), recentStarts);
    if (ahead < startsLeft)
        return wait;
    const Base::Duration startInterval = Base::Duration(ColdRateWindow) / coldRequestLimit();
    return std::max<Base::Duration>(
        wait, startInterval * static_cast<Base::Duration::rep>(ahead + 1 - startsLeft));
}

Base::Duration BackendGate::expectedWait(Base::TimePoint now, RequestQueue::Entry position) const
{
    std::size_t ahead = 0;
    Base::Duration workAhead{0};
    for (auto entry = m_queue.begin(); entry != position; ++entry) {
        ++ahead;
        workAhead += expectedTime(entry->second);
    }
    return expectedWait(now, ahead, workAhead);
}

// Longest expected wait of a request that will miss its target.
Base::Duration BackendGate::maxLateWait(Base::TimePoint now, Base::Duration serviceTime) const
{
    const Base::Duration slotInterval
        = meanRunningTime() / std::max<std::uint32_t>(1, concurrencyLimit(now));
    return std::max(scaled(serviceTime, MaxLateWaitFraction), slotInterval * MaxLateWaitIntervals);
}

// Returns nothing if the request may be queued, otherwise its expected wait.
std::optional<Base::Duration> BackendGate::excessiveWait(Base::TimePoint now,
                                                         const QueuePosition &position,
                                                         const GateRequest &request) const
{
    const Base::Duration wait = expectedWait(now, m_queue.lowerBound(position));
    if (wait == Base::Duration::zero())
        return std::nullopt;
    const Base::Duration serviceTime = expectedTime(request);
    const Base::TimePoint end = now + wait + serviceTime;
    const bool isLate
        = !request.isCall && end > request.target && wait > maxLateWait(now, serviceTime);
    if (end > request.deadline || isLate || exceedsKeyLimit(request))
        return wait;
    return std::nullopt;
}

bool BackendGate::exceedsKeyLimit(const GateRequest &request) const
{
    if (!request.key)
        return false;
    const double perSlot = request.isCall ? MaxCallsPerKeyPerSlot : MaxWaitingPerKeyPerSlot;
    const double maxWaitingForKey = std::max(1.0, perSlot * m_condition.slots);
    return static_cast<double>(m_queue.waitingForKey(*request.key)) >= maxWaitingForKey;
}

// Maximum length of the queue at which a request is accepted.
std::size_t BackendGate::maxWaiting(Base::TimePoint now, bool isCall) const
{
    const std::size_t places = MaxWaitingPerSlot * m_condition.slots;
    if (isCall || !m_lastCall || now - *m_lastCall > CallReserveTime)
        return places;
    const std::size_t reserved = ReservedForCallsPerSlot * m_condition.slots;
    return places - (reserved - std::min(reserved, m_queue.calls()));
}

tl::expected<Ticket, Decline> BackendGate::offer(Base::TimePoint now, const GateRequest &request)
{
    if (const auto reason = declineReason())
        return tl::unexpected(Decline{*reason, Base::Duration::zero()});
    m_serviceTimes.prepare(request.route, request.target - now);
    if (request.isCall)
        m_lastCall = now;
    QueuePosition position{request.priority, request.isCall,
                           !request.isCall && request.target <= now, request.deadline,
                           ++m_lastTicket};
    m_accounts.onOffered(now, request.account);
    const auto excess = excessiveWait(now, position, request);
    const bool isFull = m_queue.size() >= maxWaiting(now, request.isCall);
    if (excess || isFull) {
        const bool hasRoom = (!excess && displaceLessUrgent(now, position))
                             || displaceForAccount(now, position, request);
        if (!hasRoom)
            return tl::unexpected(Decline{DeclineReason::Overloaded,
                                          excess.value_or(expectedWait(now, m_queue.end()))});
    }
    m_queue.insert(position, request);
    m_accounts.onQueued(request.account);
    return position.ticket;
}

RequestQueue::Entry BackendGate::remove(RequestQueue::Entry entry)
{
    m_accounts.onEnded(entry->second.account);
    return m_queue.remove(entry);
}

// A more urgent request replaces the least urgent one. Calls keep the places that are reserved for
// them.
bool BackendGate::displaceLessUrgent(Base::TimePoint now, const QueuePosition &position)
{
    const auto last = m_queue.last(m_queue.calls() <= ReservedForCallsPerSlot * m_condition.slots);
    if (last == m_queue.end() || !(position < last->first))
        return false;
    m_declined.emplace_back(last->first.ticket,
                            Decline{DeclineReason::Overloaded, expectedWait(now, last)});
    remove(last);
    return true;
}

bool BackendGate::displaceForAccount(Base::TimePoint now, QueuePosition &position,
                                     const GateRequest &request)
{
    const auto found = m_accounts.displaceable(now, m_queue, position, request.account);
    if (!found)
        return false;
    const auto [otherPosition, other] = **found;
    m_queue.remove(*found);
    // Behind requests with earlier deadlines, the request would be overtaken again.
    QueuePosition place = position;
    place.deadline = std::min(place.deadline, otherPosition.deadline);
    if (excessiveWait(now, place, request)) {
        m_queue.insert(otherPosition, other);
        return false;
    }
    position = place;
    ++m_displaced;
    m_accounts.onEnded(other.account);
    m_declined.emplace_back(otherPosition.ticket,
                            Decline{DeclineReason::Overloaded, expectedWait(now, m_queue.end())});
    return true;
}

// Moves requests that will miss their target behind those of the same priority that can still meet
// it.
void BackendGate::moveLateRequestsBack(Base::TimePoint now)
{
    std::vector<std::pair<QueuePosition, GateRequest>> late;
    for (auto entry = m_queue.begin(); entry != m_queue.end();) {
        const bool isLate = !entry->first.isCall && !entry->first.isLate
                            && entry->second.target < now + expectedTime(entry->second);
        if (!isLate) {
            ++entry;
            continue;
        }
        late.emplace_back(*entry);
        entry = m_queue.remove(entry);
    }
    for (auto &[position, request] : late) {
        position.isLate = true;
        m_queue.insert(position, std::move(request));
    }
}

std::optional<Ticket> BackendGate::next(Base::TimePoint now)
{
    removeOldStarts(now);
    if (m_queue.isEmpty() || running() >= concurrencyLimit(now))
        return std::nullopt;
    if (m_condition.isCold && m_recentStarts.size() >= coldRequestLimit())
        return std::nullopt;
    if (m_startRate.wait(now, 0) > Base::Duration::zero())
        return std::nullopt;
    moveLateRequestsBack(now);
    bool isLargeWaiting = false;
    for (auto entry = m_queue.begin(); entry != m_queue.end();) {
        const std::size_t bytes = entry->second.bytes;
        if (!m_heldBytes.hasRoom(bytes) || (isLargeWaiting && !HeldBytes::isSmall(bytes))) {
            isLargeWaiting = true;
            ++entry;
            continue;
        }
        const Ticket ticket = entry->first.ticket;
        const Base::Duration serviceTime = expectedTime(entry->second);
        const bool hasTime
            = now + scaled(serviceTime, MinTimeLeftFraction) <= entry->second.deadline;
        RunningRequest request{entry->second.route, entry->second.account, bytes};
        entry = m_queue.remove(entry);
        if (!hasTime) {
            m_declined.emplace_back(ticket, Decline{DeclineReason::Expired, serviceTime});
            m_accounts.onEnded(request.account);
            continue;
        }
        m_accounts.onStarted(now, request.account);
        m_heldBytes.add(bytes);
        m_running.emplace(ticket, std::move(request));
        countStart(now);
        return ticket;
    }
    return std::nullopt;
}

void BackendGate::countStart(Base::TimePoint now)
{
    m_recentStarts.push_back(now);
    m_startRate.onStarted(now);
}

// Declines overtaken requests as soon as they can no longer be started in time, while a retry is
// still possible. Otherwise late requests would wait behind all that arrive after them.
std::vector<std::pair<Ticket, Decline>> BackendGate::takeDeclined(Base::TimePoint now)
{
    moveLateRequestsBack(now);
    std::size_t ahead = 0;
    Base::Duration workAhead{0};
    for (auto entry = m_queue.begin(); entry != m_queue.end();) {
        const Base::Duration wait = expectedWait(now, ahead, workAhead);
        const Base::Duration serviceTime = expectedTime(entry->second);
        const bool hasTime
            = now + wait + scaled(serviceTime, MinTimeLeftFraction) <= entry->second.deadline;
        const bool isOvertaken = entry->first.isLate && wait > maxLateWait(now, serviceTime);
        if (hasTime && !isOvertaken) {
            ++ahead;
            workAhead += serviceTime;
            ++entry;
            continue;
        }
        m_declined.emplace_back(entry->first.ticket,
                                Decline{DeclineReason::Expired, wait + serviceTime});
        entry = remove(entry);
    }
    return std::exchange(m_declined, {});
}

bool BackendGate::cancel(Ticket ticket)
{
    const auto found = m_queue.find(ticket);
    if (found == m_queue.end())
        return false;
    remove(found);
    return true;
}

void BackendGate::onFinished(Ticket ticket, Base::Duration elapsed, bool wasAnswered)
{
    const auto found = m_running.find(ticket);
    if (found == m_running.end())
        return;
    if (wasAnswered)
        m_serviceTimes.add(found->second.route, elapsed);
    m_accounts.onEnded(found->second.account);
    m_heldBytes.remove(found->second.bytes);
    m_running.erase(found);
}

void BackendGate::onBackendDeclined(Base::TimePoint now, std::optional<std::uint32_t> reportedLoad)
{
    // A BackendServer with free slots would not decline less if it got fewer requests: throttling
    // it would only leave slots idle.
    if (reportedLoad && *reportedLoad < m_condition.slots)
        return;
    m_throttledUntil = now + ThrottleTime;
    m_throttledLimit = std::max<std::uint32_t>(1, running());
}

std::optional<Base::TimePoint> BackendGate::nextPollTime(Base::TimePoint now) const
{
    if (m_queue.isEmpty())
        return std::nullopt;
    Base::TimePoint pollTime = now + std::chrono::milliseconds(50);
    // Requests that cannot be served in time are declined while a retry is still possible.
    for (const auto &[position, request] : m_queue)
        pollTime = std::min(pollTime,
                            request.deadline - scaled(expectedTime(request), MinTimeLeftFraction));
    if (m_condition.isCold && !m_recentStarts.empty())
        pollTime = std::min<Base::TimePoint>(pollTime, m_recentStarts.front() + ColdRateWindow);
    // Otherwise a slot is missing, and onFinished() tells when there is one.
    if (const Base::Duration wait = m_startRate.wait(now, 0); wait > Base::Duration::zero())
        pollTime = std::min<Base::TimePoint>(pollTime, now + wait);
    return std::max(pollTime, now + std::chrono::milliseconds(1));
}

} // namespace Medlar::Gate
