#pragma once

#include "base/time.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace Medlar::Http {

/*!
    The requests that were sent on one connection and may be sent once more. A faulty server may
   send a second copy of a response late, and the request id tells it only from responses to other
    requests, so a request must not be sent twice on the same connection.
*/
class SentRequests
{
public:
    /*! Records a request that is not sent again after \a until. Requests without an id are not
     * recorded. */
    void add(Base::TimePoint now, const std::string &requestId, Base::TimePoint until);

    /*! May be true for a request that was not sent, since only hashes of the ids are kept. */
    bool contains(const std::string &requestId) const;
    /*! Whether no further request can be recorded, so that the connection must not be used. */
    bool isFull() const;

private:
    std::unordered_map<std::size_t, Base::TimePoint> m_untilByHash;
    std::size_t m_nextPruneSize = 0;
};

} // namespace Medlar::Http
