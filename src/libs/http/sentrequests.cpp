#include "sentrequests.h"

#include <algorithm>
#include <functional>

namespace Medlar::Http {

namespace {

constexpr std::size_t MinPruneSize = 64;
// Bounds the memory of a connection whose requests have late deadlines.
constexpr std::size_t MaxRequests = 4096;

} // namespace

void SentRequests::add(Base::TimePoint now, const std::string &requestId, Base::TimePoint until)
{
    if (requestId.empty())
        return;
    if (m_untilByHash.size() >= std::max(m_nextPruneSize, MinPruneSize)) {
        for (auto entry = m_untilByHash.begin(); entry != m_untilByHash.end();)
            entry = entry->second < now ? m_untilByHash.erase(entry) : std::next(entry);
        m_nextPruneSize = std::min(2 * m_untilByHash.size(), MaxRequests);
    }
    Base::TimePoint &latest = m_untilByHash[std::hash<std::string>()(requestId)];
    latest = std::max(latest, until);
}

bool SentRequests::contains(const std::string &requestId) const
{
    return !requestId.empty() && m_untilByHash.count(std::hash<std::string>()(requestId)) != 0;
}

bool SentRequests::isFull() const
{
    return m_untilByHash.size() >= MaxRequests;
}

} // namespace Medlar::Http
