#pragma once

#include "base/time.h"
#include "trafficsnapshot.h"

#include <functional>
#include <optional>
#include <string>

namespace Medlar::Daemon {

/*! A request that asks to be sent to the local BackendServer. */
struct AdmissionRequest
{
    const Configuration::Route &route;
    Messages::RequestClass requestClass = Messages::RequestClass::Normal;
    Base::TimePoint deadline;
    std::size_t bytes = 0;
};

struct AdmissionDecision
{
    bool isAdmitted = false;
    std::string reason; //!< when rejected
    std::chrono::milliseconds retryAfter{0};
};

/*! How an admitted request ended. */
enum class CompletionResult {
    Answered,
    Rejected, //!< by the BackendServer, for overload
    Failed,   //!< no complete response
    NotSent   //!< says nothing about the BackendServer
};

struct Completion
{
    Base::Duration latency{0};
    CompletionResult result = CompletionResult::Answered;
};

using AdmissionTicket = std::uint64_t;

/*!
    Decides when, and whether, requests are sent to the local BackendServer: queues, concurrency
   limit and ramp. Used by the traffic thread only. Implementations read no clock.
*/
class AdmissionPolicy
{
public:
    using Decide = std::function<void(Base::TimePoint now, const AdmissionDecision &)>;

    virtual ~AdmissionPolicy() = default;

    /*!
        \a decide is called exactly once, unless cancel() comes first: within this call, or in a
       later call of any function. An admitted request holds its place until onCompleted().
    */
    virtual AdmissionTicket offer(Base::TimePoint now, const AdmissionRequest &request,
                                  Decide decide)
        = 0;
    /*! Removes a waiting request. Does nothing for a request that was decided about. */
    virtual void cancel(Base::TimePoint now, AdmissionTicket ticket) = 0;
    virtual void onCompleted(Base::TimePoint now, AdmissionTicket ticket,
                             const Completion &completion)
        = 0;
    virtual void onSnapshot(Base::TimePoint now, const TrafficSnapshot &snapshot) = 0;
    /*! The result of a probe of the BackendServer. */
    virtual void onBackendReachable(Base::TimePoint now, bool isReachable)
    {
        static_cast<void>(now);
        static_cast<void>(isReachable);
    }
    /*! Is called at nextDeadline(), or later. */
    virtual void onTime(Base::TimePoint now) = 0;

    virtual std::optional<Base::TimePoint> nextDeadline() const = 0;
    virtual std::size_t waiting() const = 0;
};

} // namespace Medlar::Daemon
