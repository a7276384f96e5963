#include "backendgate.h"

#include <algorithm>
#include <tuple>

namespace Medlar::Gate {

namespace {

// Weight of one request in the mean service time.
constexpr double ServiceShare = 0.05;
// Requests in the mean by which BackendServers are compared.
constexpr std::uint32_t UsualWindow = 250;
// Starts of a cold BackendServer are counted over this window.
constexpr std::chrono::seconds ColdWindow{1};
// After the BackendServer declined a request, that many are sent as it ran then.
constexpr std::chrono::milliseconds ShedPause{300};
// A request is begun if this share of the mean service time is left for it.
constexpr double MinServiceLeft = 0.8;
// Waiting requests for each slot. Later ones would be served late even if the time was left.
constexpr std::size_t MaxWaitingPerSlot = 12;
// A request that will be late is taken if it waits for less than this share of the mean service
// time: enough to keep all slots busy, too little to make the requests behind it late as well.
constexpr double MaxLateWait = 0.5;
// Waiting requests of one key for each slot. A key with more demand than slots would otherwise take
// the places of all other keys.
constexpr double MaxWaitingOfKeyPerSlot = 0.5;

Base::Duration scaled(Base::Duration duration, double factor)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, Base::Duration::period>(duration) * factor);
}

} // namespace

std::string_view toString(DeclineReason reason)
{
    switch (reason) {
    case DeclineReason::Absent:
        return "backend-absent";
    case DeclineReason::Draining:
        return "backend-draining";
    case DeclineReason::Evacuated:
        return "zone-evacuated";
    case DeclineReason::Overloaded:
        return "overloaded";
    case DeclineReason::Expired:
        return "no-time-left";
    }
    return "unknown";
}

bool operator<(const BackendGate::Order &a, const BackendGate::Order &b)
{
    return std::tie(a.priority, a.isLate, a.deadline, a.ticket)
           < std::tie(b.priority, b.isLate, b.deadline, b.ticket);
}

std::optional<DeclineReason> BackendGate::refusal() const
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
    forgetOldStarts(now);
    const auto reason = refusal();
    if (!reason)
        return;
    for (const auto &[order, request] : m_queue)
        m_declined.emplace_back(order.ticket, Decline{*reason, Base::Duration::zero()});
    m_queue.clear();
    m_waitingByKey.clear();
}

std::uint32_t BackendGate::limit(Base::TimePoint now) const
{
    if (now < m_shedUntil)
        return std::min(m_condition.slots, m_shedLimit);
    return m_condition.slots;
}

std::uint32_t BackendGate::coldAllowance() const
{
    return std::max<std::uint32_t>(1,
                                   static_cast<std::uint32_t>(m_condition.coldRequestsPerSecond));
}

void BackendGate::forgetOldStarts(Base::TimePoint now)
{
    while (!m_starts.empty() && m_starts.front() + ColdWindow <= now)
        m_starts.pop_front();
}

// Mean time between two turns.
Base::Duration BackendGate::turnTime(Base::TimePoint now) const
{
    const Base::Duration byService = m_serviceTime / std::max<std::uint32_t>(1, limit(now));
    if (!m_condition.isCold)
        return byService;
    return std::max<Base::Duration>(byService, Base::Duration(ColdWindow) / coldAllowance());
}

Base::Duration BackendGate::waitBehind(Base::TimePoint now, std::size_t ahead) const
{
    const std::size_t free = m_running < limit(now) ? limit(now) - m_running : 0;
    return ahead < free ? Base::Duration::zero()
                        : turnTime(now) * static_cast<Base::Duration::rep>(ahead + 1 - free);
}

// Nothing if the request may wait; otherwise for how long it would have to.
std::optional<Base::Duration> BackendGate::tooLongWait(Base::TimePoint now, const Order &order,
                                                       const GateRequest &request) const
{
    const auto ahead = std::distance(m_queue.begin(), m_queue.lower_bound(order));
    const Base::Duration wait = waitBehind(now, static_cast<std::size_t>(ahead));
    if (wait == Base::Duration::zero())
        return std::nullopt;
    const Base::TimePoint end = now + wait + m_serviceTime;
    const bool isLate = end > request.target && wait > scaled(m_serviceTime, MaxLateWait);
    if (end > request.deadline || isLate)
        return wait;
    const auto ofKey = request.key ? m_waitingByKey.find(*request.key) : m_waitingByKey.end();
    const double placesOfKey = std::max(1.0, MaxWaitingOfKeyPerSlot * m_condition.slots);
    if (ofKey != m_waitingByKey.end() && ofKey->second >= placesOfKey)
        return wait;
    return std::nullopt;
}

tl::expected<Ticket, Decline> BackendGate::offer(Base::TimePoint now, const GateRequest &request)
{
    if (const auto reason = refusal())
        return tl::unexpected(Decline{*reason, Base::Duration::zero()});
    const Order order{request.priority, request.target <= now, request.deadline, ++m_lastTicket};
    if (const auto wait = tooLongWait(now, order, request))
        return tl::unexpected(Decline{DeclineReason::Overloaded, *wait});
    if (m_queue.size() >= MaxWaitingPerSlot * m_condition.slots) {
        // A full queue of less urgent requests must not keep an urgent one out.
        const auto last = std::prev(m_queue.end());
        if (!(order < last->first))
            return tl::unexpected(
                Decline{DeclineReason::Overloaded, waitBehind(now, m_queue.size())});
        m_declined.emplace_back(last->first.ticket,
                                Decline{DeclineReason::Overloaded, turnTime(now)});
        dequeue(last);
    }
    enqueue(order, request);
    return order.ticket;
}

void BackendGate::enqueue(const Order &order, const GateRequest &request)
{
    m_queue.emplace(order, request);
    if (request.key)
        ++m_waitingByKey[*request.key];
}

void BackendGate::dequeue(std::map<Order, GateRequest>::iterator entry)
{
    if (const auto key = entry->second.key) {
        const auto ofKey = m_waitingByKey.find(*key);
        if (--ofKey->second == 0)
            m_waitingByKey.erase(ofKey);
    }
    m_queue.erase(entry);
}

// Requests whose answer will be late anyway wait behind those that can still be in time.
void BackendGate::sortOutLate(Base::TimePoint now)
{
    std::vector<std::pair<Order, GateRequest>> late;
    for (auto entry = m_queue.begin(); entry != m_queue.end();) {
        const bool isLate = !entry->first.isLate && entry->second.target < now + m_serviceTime;
        if (!isLate) {
            ++entry;
            continue;
        }
        late.emplace_back(entry->first, entry->second);
        entry = m_queue.erase(entry);
    }
    for (auto &[order, request] : late) {
        order.isLate = true;
        m_queue.emplace(order, request);
    }
}

std::optional<Ticket> BackendGate::next(Base::TimePoint now)
{
    forgetOldStarts(now);
    if (m_queue.empty() || m_running >= limit(now))
        return std::nullopt;
    if (m_condition.isCold && m_starts.size() >= coldAllowance())
        return std::nullopt;
    sortOutLate(now);
    while (!m_queue.empty()) {
        const auto first = m_queue.begin();
        const Ticket ticket = first->first.ticket;
        const bool hasTime = now + scaled(m_serviceTime, MinServiceLeft) <= first->second.deadline;
        dequeue(first);
        if (!hasTime) {
            m_declined.emplace_back(ticket, Decline{DeclineReason::Expired, m_serviceTime});
            continue;
        }
        ++m_running;
        m_starts.push_back(now);
        return ticket;
    }
    return std::nullopt;
}

// Requests that were overtaken hear of it as soon as their turn will come too late, while there is
// time for another try. Late ones would wait behind all that arrive after them.
std::vector<std::pair<Ticket, Decline>> BackendGate::takeDeclined(Base::TimePoint now)
{
    sortOutLate(now);
    std::size_t ahead = 0;
    for (auto entry = m_queue.begin(); entry != m_queue.end();) {
        const Base::Duration wait = waitBehind(now, ahead);
        const bool hasTime
            = now + wait + scaled(m_serviceTime, MinServiceLeft) <= entry->second.deadline;
        const bool isOvertaken = entry->first.isLate && wait > scaled(m_serviceTime, MaxLateWait);
        if (hasTime && !isOvertaken) {
            ++ahead;
            ++entry;
            continue;
        }
        m_declined.emplace_back(entry->first.ticket,
                                Decline{DeclineReason::Expired, wait + m_serviceTime});
        dequeue(entry++);
    }
    return std::exchange(m_declined, {});
}

bool BackendGate::cancel(Ticket ticket)
{
    const auto found = std::find_if(m_queue.begin(), m_queue.end(), [ticket](const auto &entry) {
        return entry.first.ticket == ticket;
    });
    if (found == m_queue.end())
        return false;
    dequeue(found);
    return true;
}

void BackendGate::onFinished(Base::TimePoint /*now*/, Base::Duration service, bool wasAnswered)
{
    m_running -= m_running > 0 ? 1 : 0;
    if (!wasAnswered)
        return;
    m_serviceTime += scaled(service - m_serviceTime, ServiceShare);
    m_answered = std::min(m_answered + 1, UsualWindow);
    m_usualServiceTime += scaled(service - m_usualServiceTime, 1.0 / m_answered);
}

void BackendGate::onShed(Base::TimePoint now, std::optional<std::uint32_t> occupied)
{
    // Fewer requests would not make it decline less, but leave its free slots unused.
    if (occupied && *occupied < m_condition.slots)
        return;
    m_shedUntil = now + ShedPause;
    m_shedLimit = std::max<std::uint32_t>(1, m_running);
}

std::optional<Base::TimePoint> BackendGate::nextTurn(Base::TimePoint now) const
{
    if (m_queue.empty())
        return std::nullopt;
    Base::TimePoint turn = now + std::chrono::milliseconds(50);
    // Who waits in vain has to hear of it while there is time for another try.
    for (const auto &[order, request] : m_queue)
        turn = std::min(turn, request.deadline - scaled(m_serviceTime, MinServiceLeft));
    if (m_condition.isCold && !m_starts.empty())
        turn = std::min<Base::TimePoint>(turn, m_starts.front() + ColdWindow);
    return std::max(turn, now + std::chrono::milliseconds(1));
}

} // namespace Medlar::Gate
