#pragma once

#include "base/time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Medlar::Relay {

/*!
    Selects the peer from which to request an object that peers have in a newer version.

    When a large configuration changes, all nodes request it at the same time. Each node selects
    a peer at random, so that no peer has to send all copies over a slow link, and requests only
    one copy of an object at a time.
*/
class ObjectInquiry
{
public:
    explicit ObjectInquiry(std::uint64_t seed) : m_random(seed) {}

    /*! Returns the peer from \a candidates to request \a key from, or nothing while a request for
     * it is pending. */
    std::optional<std::string> selectPeer(Base::TimePoint now, const std::string &key,
                                          std::vector<std::string> candidates);
    void onAnswered(const std::string &key) { m_pendingRequests.erase(key); }
    void onPeerLost(const std::string &peer);

private:
    struct PendingRequest
    {
        std::string peer;
        Base::TimePoint sentAt;
    };

    std::map<std::string, PendingRequest> m_pendingRequests; //!< by key
    std::mt19937_64 m_random;
};

} // namespace Medlar::Relay
