#include "objectinquiry.h"

#include <algorithm>

namespace Medlar::Relay {

namespace {

// If a peer does not send an object within this time, the object is requested from another peer.
// Sending a compressed configuration of 1,500 routes (65 KB) takes 50 ms on a link of 10 Mbit/s,
// and a configuration must take effect within 2.5 s.
constexpr std::chrono::milliseconds ResponseTimeout{800};

} // namespace

std::optional<std::string> ObjectInquiry::selectPeer(Base::TimePoint now, const std::string &key,
                                                     std::vector<std::string> candidates)
{
    const auto pending = m_pendingRequests.find(key);
    if (pending != m_pendingRequests.end()) {
        if (now - pending->second.sentAt < ResponseTimeout)
            return std::nullopt;
        const auto unresponsive
            = std::find(candidates.begin(), candidates.end(), pending->second.peer);
        if (candidates.size() > 1 && unresponsive != candidates.end())
            candidates.erase(unresponsive);
    }
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    const std::string peer = candidates[index(m_random)];
    m_pendingRequests[key] = {peer, now};
    return peer;
}

void ObjectInquiry::onPeerLost(const std::string &peer)
{
    for (auto entry = m_pendingRequests.begin(); entry != m_pendingRequests.end();)
        entry = entry->second.peer == peer ? m_pendingRequests.erase(entry) : std::next(entry);
}

} // namespace Medlar::Relay
