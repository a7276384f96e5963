#include "requestqueue.h"

#include <algorithm>
#include <iterator>

namespace Medlar::Admission {

using Messages::RequestClass;

std::string_view toString(RejectReason reason)
{
    switch (reason) {
    case RejectReason::QueueFull:
        return "queue-full";
    case RejectReason::BytesFull:
        return "bytes-full";
    case RejectReason::DeadlineUnmeetable:
        return "deadline-unmeetable";
    case RejectReason::Expired:
        return "expired";
    case RejectReason::Displaced:
        return "displaced";
    case RejectReason::Closed:
        return "closed";
    }
    return "unknown";
}

tl::expected<std::unique_ptr<RequestQueue>, QueueError>
RequestQueue::create(BacklogRegistry &registry, const RequestQueueSettings &settings)
{
    if (settings.name.empty())
        return tl::unexpected(QueueError{"queue has no name"});
    if (settings.bounds.maxEntries == 0 || settings.bounds.maxBytes == 0)
        return tl::unexpected(QueueError{"queue " + settings.name + " has a bound of 0"});
    if (settings.bulkTurn < 2)
        return tl::unexpected(QueueError{"queue " + settings.name + " has a bulk turn below 2"});
    return std::unique_ptr<RequestQueue>(new RequestQueue(registry, settings));
}

RequestQueue::RequestQueue(BacklogRegistry &registry, const RequestQueueSettings &settings)
    : BacklogSource(registry, settings.name, settings.alarmLimits), m_settings(settings)
{}

RequestQueue::Order &RequestQueue::order(RequestClass requestClass)
{
    return m_orders[static_cast<std::size_t>(requestClass)];
}

const RequestQueue::Order &RequestQueue::order(RequestClass requestClass) const
{
    return m_orders[static_cast<std::size_t>(requestClass)];
}

std::size_t RequestQueue::size(RequestClass requestClass) const
{
    return order(requestClass).size();
}

tl::expected<Ticket, Rejection> RequestQueue::offer(Base::TimePoint now,
                                                    const QueuedRequest &request)
{
    if (m_closed)
        return tl::unexpected(rejection(now, RejectReason::Closed));
    if (request.deadline <= now)
        return tl::unexpected(rejection(now, RejectReason::Expired));
    if (request.bytes > m_settings.bounds.maxBytes)
        return tl::unexpected(rejection(now, RejectReason::BytesFull));
    expire(now);
    if (!canMeetDeadline(now, request))
        return tl::unexpected(rejection(now, RejectReason::DeadlineUnmeetable));

    const std::optional<std::vector<Ticket>> victims = victimsFor(request);
    if (!victims) {
        const bool entriesFull = m_entries.size() >= m_settings.bounds.maxEntries;
        return tl::unexpected(
            rejection(now, entriesFull ? RejectReason::QueueFull : RejectReason::BytesFull));
    }
    for (const Ticket victim : *victims)
        rejectLate(now, victim, RejectReason::Displaced);

    if (m_entries.empty())
        m_estimator.onBacklogStarted(now);
    const Ticket ticket = m_nextTicket++;
    m_entries.emplace_hint(m_entries.end(), ticket, Entry{request, now});
    order(request.requestClass).emplace(request.deadline, ticket);
    m_bytes += request.bytes;
    m_bytesOf[static_cast<std::size_t>(request.requestClass)] += request.bytes;
    return ticket;
}

std::optional<Dispatch> RequestQueue::take(Base::TimePoint now)
{
    expire(now);
    while (!m_entries.empty()) {
        const RequestClass requestClass = nextClass();
        const Ticket ticket = order(requestClass).begin()->second;
        const Entry &waiting = m_entries.at(ticket);
        const bool waited = waiting.enqueued < now;

        // Running a request that will most likely be late wastes capacity that another could use.
        // One that did not wait is always sent, so that a wrong estimate cannot block an idle
        // BackendServer.
        if (waited && waiting.request.deadline - now < m_estimator.typicalDuration()) {
            rejectLate(now, ticket, RejectReason::Expired);
            continue;
        }

        if (requestClass == RequestClass::Bulk || size(RequestClass::Bulk) == 0)
            m_normalSinceBulk = 0;
        else if (requestClass == RequestClass::Normal)
            ++m_normalSinceBulk;
        const Entry entry = remove(ticket);
        m_estimator.onDispatched(now, waited, !m_entries.empty());
        return Dispatch{ticket, entry.request, now - entry.enqueued};
    }
    return std::nullopt;
}

bool RequestQueue::cancel(Base::TimePoint now, Ticket ticket)
{
    if (m_entries.count(ticket) == 0)
        return false;
    remove(ticket);
    if (m_entries.empty())
        m_estimator.onBacklogEnded(now);
    return true;
}

void RequestQueue::expire(Base::TimePoint now)
{
    for (const Order &waiting : m_orders) {
        while (!waiting.empty() && waiting.begin()->first <= now)
            rejectLate(now, waiting.begin()->second, RejectReason::Expired);
    }
}

void RequestQueue::close(Base::TimePoint now)
{
    m_closed = true;
    while (!m_entries.empty())
        rejectLate(now, m_entries.begin()->first, RejectReason::Closed);
}

Backlog RequestQueue::backlog(Base::TimePoint now) const
{
    const Base::Duration age
        = m_entries.empty() ? Base::Duration{0} : now - m_entries.begin()->second.enqueued;
    return {m_entries.size(), m_bytes, age, m_settings.bounds};
}

std::optional<Base::TimePoint> RequestQueue::nextDeadline() const
{
    std::optional<Base::TimePoint> earliest;
    for (const Order &waiting : m_orders) {
        if (!waiting.empty() && (!earliest || waiting.begin()->first < *earliest))
            earliest = waiting.begin()->first;
    }
    return earliest;
}

/*!
    The entries that must give their places to \a request so that it fits, least urgent first. Empty
   optional: it does not fit even if all that may be displaced are.
*/
std::optional<std::vector<Ticket>> RequestQueue::victimsFor(const QueuedRequest &request) const
{
    std::vector<Ticket> victims;
    std::size_t entries = m_entries.size();
    std::size_t bytes = m_bytes + request.bytes;
    const auto fits = [&] {
        return entries < m_settings.bounds.maxEntries && bytes <= m_settings.bounds.maxBytes;
    };
    const std::size_t reservedEntries
        = std::max<std::size_t>(1, m_settings.bounds.maxEntries / m_settings.bulkTurn);
    const std::size_t reservedBytes = m_settings.bounds.maxBytes / m_settings.bulkTurn;
    const Order &bulk = order(RequestClass::Bulk);
    std::size_t bulkEntries = bulk.size();
    std::size_t bulkBytes = m_bytesOf[static_cast<std::size_t>(RequestClass::Bulk)];
    auto nextBulk = bulk.rbegin();
    const auto displace = [&](Ticket ticket) {
        victims.push_back(ticket);
        --entries;
        bytes -= m_entries.at(ticket).request.bytes;
    };
    const auto displaceBulk = [&](bool reserveToo) {
        for (; !fits() && nextBulk != bulk.rend(); ++nextBulk) {
            if (!reserveToo && bulkEntries <= reservedEntries && bulkBytes <= reservedBytes)
                return;
            --bulkEntries;
            bulkBytes -= m_entries.at(nextBulk->second).request.bytes;
            displace(nextBulk->second);
        }
    };
    const auto displaceNormal = [&] {
        const Order &normal = order(RequestClass::Normal);
        for (auto it = normal.rbegin(); !fits() && it != normal.rend(); ++it)
            displace(it->second);
    };

    switch (request.requestClass) {
    case RequestClass::FirstAnswer:
        displaceBulk(false);
        displaceNormal();
        displaceBulk(true);
        break;
    case RequestClass::Normal:
        displaceBulk(false);
        break;
    case RequestClass::Bulk:
        if (bulkEntries < reservedEntries && bulkBytes + request.bytes <= reservedBytes)
            displaceNormal();
        break;
    }
    return fits() ? std::optional(std::move(victims)) : std::nullopt;
}

/*! Entries that would be dispatched before \a request if nothing else arrived. */
double RequestQueue::entriesAhead(const QueuedRequest &request) const
{
    // Deadlines mostly grow with arrival, so counting from the end ends after a few steps.
    const Order &same = order(request.requestClass);
    std::size_t later = 0;
    for (auto it = same.rbegin(); it != same.rend() && it->first > request.deadline; ++it)
        ++later;
    const auto ahead = static_cast<double>(same.size() - later);
    const auto firstAnswer = static_cast<double>(size(RequestClass::FirstAnswer));
    const auto normal = static_cast<double>(size(RequestClass::Normal));
    const auto bulk = static_cast<double>(size(RequestClass::Bulk));
    const double turn = m_settings.bulkTurn;
    switch (request.requestClass) {
    case RequestClass::FirstAnswer:
        return ahead;
    case RequestClass::Normal:
        return firstAnswer + ahead + std::min(bulk, ahead / (turn - 1.0));
    case RequestClass::Bulk:
        return firstAnswer + ahead + std::min(normal, (ahead + 1.0) * (turn - 1.0));
    }
    return ahead;
}

bool RequestQueue::canMeetDeadline(Base::TimePoint now, const QueuedRequest &request) const
{
    const double ahead = entriesAhead(request);
    // With nothing ahead the estimate is not asked: it may be old, and only a request that runs can
    // correct it.
    if (ahead <= 0.0)
        return true;
    const std::optional<Base::Duration> wait = m_estimator.waitEstimate(now, ahead);
    return !wait || *wait + m_estimator.safeDuration() <= request.deadline - now;
}

Rejection RequestQueue::rejection(Base::TimePoint now, RejectReason reason) const
{
    const auto depth = static_cast<double>(m_entries.size());
    return {reason, m_estimator.waitEstimate(now, depth).value_or(Base::Duration{0})};
}

RequestClass RequestQueue::nextClass() const
{
    if (size(RequestClass::FirstAnswer) > 0)
        return RequestClass::FirstAnswer;
    if (size(RequestClass::Normal) == 0)
        return RequestClass::Bulk;
    const bool bulkTurn
        = size(RequestClass::Bulk) > 0 && m_normalSinceBulk + 1 >= m_settings.bulkTurn;
    return bulkTurn ? RequestClass::Bulk : RequestClass::Normal;
}

RequestQueue::Entry RequestQueue::remove(Ticket ticket)
{
    const auto found = m_entries.find(ticket);
    Entry entry = found->second;
    order(entry.request.requestClass).erase({entry.request.deadline, ticket});
    m_bytes -= entry.request.bytes;
    m_bytesOf[static_cast<std::size_t>(entry.request.requestClass)] -= entry.request.bytes;
    m_entries.erase(found);
    return entry;
}

void RequestQueue::rejectLate(Base::TimePoint now, Ticket ticket, RejectReason reason)
{
    m_lateRejections.push_back({ticket, rejection(now, reason)});
    remove(ticket);
    if (m_entries.empty())
        m_estimator.onBacklogEnded(now);
}

} // namespace Medlar::Admission
