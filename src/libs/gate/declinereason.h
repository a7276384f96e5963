#pragma once

#include "base/time.h"

#include <string_view>

namespace Medlar::Gate {

/*! Why a request is not sent to the BackendServer. A declined request has certainly not run. */
enum class DeclineReason {
    Absent,     //!< no BackendServer is available
    Draining,   //!< the BackendServer finishes its requests and accepts no new ones
    Evacuated,  //!< the AvailabilityZone of the BackendServer is out of service
    Overloaded, //!< the expected wait is too long, or the queue is full
    Expired,    //!< the request was queued, but can no longer be served in time
};

std::string_view toString(DeclineReason reason);

struct Decline
{
    DeclineReason reason = DeclineReason::Absent;
    Base::Duration retryAfter{0}; //!< estimated time until there is capacity; 0 if unknown
};

} // namespace Medlar::Gate
