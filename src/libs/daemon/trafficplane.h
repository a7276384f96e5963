#pragma once

#include "admission/backlogregistry.h"
#include "base/time.h"
#include "messages/peermessages.h"
#include "trafficsnapshot.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Medlar::Daemon {

/*! Load and BackendServer state that the traffic thread saw since the last call. */
struct TrafficReport
{
    std::vector<Messages::LoadSummary> load;
    bool backendReachable = false;
    std::uint64_t requestsInFlight = 0;          //!< of callers, wherever they are served
    std::uint64_t requestsRunning = 0;           //!< at the local BackendServer
    std::vector<Admission::BacklogEntry> queues; //!< of the traffic side, the worst first
};

/*!
    The traffic side of a daemon as the control thread sees it. All functions are called on the
   control thread and return at once; callbacks are run on the control thread's executor, exactly
   once.
*/
class TrafficPlane
{
public:
    virtual ~TrafficPlane() = default;

    /*! Replaces the control state that new requests are judged by. */
    virtual void publish(std::shared_ptr<const TrafficSnapshot> snapshot) = 0;

    /*! Until when slots may be served; checked before each request is sent to the BackendServer. */
    virtual void setLeaseValidUntil(Base::TimePoint validUntil) = 0;

    /*!
        Calls \a done once no request of \a slots that began under a lower epoch is in flight. The
       caller published a snapshot without these slots before. Requests still running at \a deadline
       are given up with the outcome "unknown" and cancelled at the BackendServer.
    */
    virtual void drain(const std::string &service, const std::vector<Messages::SlotEpoch> &slots,
                       Base::TimePoint deadline, std::function<void()> done)
        = 0;

    /*! Refuses new requests of callers and calls \a done once none is in flight, or at \a deadline.
     */
    virtual void drainAll(Base::TimePoint deadline, std::function<void()> done) = 0;

    virtual void report(std::function<void(TrafficReport)> callback) = 0;
};

} // namespace Medlar::Daemon
