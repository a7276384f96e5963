#pragma once

#include "base/time.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Medlar::Relay {

/*!
    Decides which peer is asked for an object that others know in a newer version. Answers the load
   pattern "a large configuration changes and all nodes ask at once": they ask different peers, so
   that none has to send all copies over a slow link, and none is asked for more than one copy at a
   time.
*/
class ObjectInquiry
{
public:
    explicit ObjectInquiry(std::uint64_t seed) : m_random(seed) {}

    /*! The one of \a candidates to ask for \a key; nothing while an answer is under way. */
    std::optional<std::string> ask(Base::TimePoint now, const std::string &key,
                                   std::vector<std::string> candidates);
    void onAnswered(const std::string &key) { m_open.erase(key); }
    void onPeerLost(const std::string &peer);

private:
    struct Open
    {
        std::string peer;
        Base::TimePoint since;
    };

    std::map<std::string, Open> m_open; //!< by key
    std::mt19937_64 m_random;
};

} // namespace Medlar::Relay
