#include "requestqueue.h"

#include <algorithm>
#include <tuple>

namespace Medlar::Gate {

bool operator<(const QueuePosition &a, const QueuePosition &b)
{
    return std::make_tuple(a.priority, !a.isCall, a.isLate, a.deadline, a.ticket)
           < std::make_tuple(b.priority, !b.isCall, b.isLate, b.deadline, b.ticket);
}

void RequestQueue::insert(const QueuePosition &position, GateRequest request)
{
    if (request.key)
        ++m_waitingByKey[*request.key];
    m_calls += position.isCall ? 1 : 0;
    m_entries.emplace(position, std::move(request));
}

RequestQueue::Entry RequestQueue::remove(Entry entry)
{
    if (const auto key = entry->second.key) {
        const auto waitingForKey = m_waitingByKey.find(*key);
        if (--waitingForKey->second == 0)
            m_waitingByKey.erase(waitingForKey);
    }
    m_calls -= entry->first.isCall ? 1 : 0;
    return m_entries.erase(entry);
}

void RequestQueue::clear()
{
    m_entries.clear();
    m_waitingByKey.clear();
    m_calls = 0;
}

RequestQueue::Entry RequestQueue::find(Ticket ticket) const
{
    return std::find_if(m_entries.begin(), m_entries.end(),
                        [ticket](const auto &entry) { return entry.first.ticket == ticket; });
}

RequestQueue::Entry RequestQueue::last(bool withoutCalls) const
{
    const auto last = std::find_if(m_entries.rbegin(), m_entries.rend(), [&](const auto &entry) {
        return !withoutCalls || !entry.first.isCall;
    });
    return last == m_entries.rend() ? m_entries.end() : std::prev(last.base());
}

std::size_t RequestQueue::waitingForKey(std::uint32_t key) const
{
    const auto found = m_waitingByKey.find(key);
    return found == m_waitingByKey.end() ? 0 : found->second;
}

} // namespace Medlar::Gate
