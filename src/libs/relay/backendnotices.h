#pragma once

#include "backenddialect.h"

#include <optional>

namespace Medlar::Relay {

/*!
    What the present incarnation of a BackendServer has said about itself in its responses.
    Handles the load pattern "a BackendServer in need names the requests per second that it takes":
    the limit holds from the first response that names it to the first that does not.
    A BackendServer that leaves stays leaving until the next incarnation.
*/
class BackendNotices
{
public:
    // Commands

    /*! Returns whether anything changed. A limit that cannot be read changes nothing: the last one
     * that could be read is the best known. */
    bool onResponse(const BackendNotice &notice);
    /*! Another BackendServer uses the address, or the same one was started again. */
    void reset() { *this = BackendNotices(); }

    // Queries

    bool isLeaving() const { return m_isLeaving; }
    std::optional<double> maxRequestsPerSecond() const { return m_maxRequestsPerSecond; }

private:
    bool m_isLeaving = false;
    std::optional<double> m_maxRequestsPerSecond;
};

/*! \a perSecond in the unit of Messages::NodeNotice; 0 if there is no limit, or one above what any
   VM handles. A limit of 0 is one. */
std::uint64_t toThousandths(std::optional<double> perSecond);

/*! Whether other daemons must learn \a current at once after \a sent: the BackendServer leaves, or
   its limit has appeared, ended or changed much. Every response may name another limit, so smaller
    changes are sent together. */
bool mustSendAtOnce(const Messages::NodeNotice &sent, const Messages::NodeNotice &current);

} // namespace Medlar::Relay
