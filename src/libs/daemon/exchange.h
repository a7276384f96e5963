#pragma once

#include "callerrequest.h"
#include "http/deadlinequeue.h"
#include "http/httptypes.h"
#include "localdispatcher.h"
#include "logging/decision.h"
#include "requestresolver.h"

namespace Medlar::Daemon {

/*! One try to have a request served. */
struct Attempt
{
    unsigned number = 0;
    Base::InstanceId node;
    bool isLocal = false;
    bool isCrossRegion = false;
    Base::TimePoint started;
    std::uint64_t handle = 0; //!< of the dispatcher or the forwarder
};

/*! The state of a caller's request until its response. */
struct Exchange
{
    CallerRequest request;
    Http::Reply reply;
    unsigned attempts = 0;
    std::vector<Attempt> active; //!< two while a hedge is under way
    Resolution resolution;       //!< of the last attempt; its node may be outdated
    Base::InstanceId lastNode;   //!< of the last attempt
    std::vector<Base::InstanceId> excluded;
    AttemptResult lastResult;
    bool mayHaveRun = false; //!< an earlier attempt ended with the outcome "unknown"
    bool isWaiting = false;
    Base::TimePoint waitingSince;      //!< of the first wait; retries in between do not restart it
    Http::DeadlineQueue::Handle timer; //!< of a hedge or a wait
    std::chrono::milliseconds pause{0};
};

/*! The message that forwards the request to the node of the last resolution. */
Messages::ForwardRequest makeForwardRequest(const Exchange &exchange, Base::TimePoint now);
LocalRequest makeLocalRequest(const CallerRequest &request);
/*! The last resolution, for the decision log. Its node must not be outdated. */
Logging::Decision makeDecision(const Exchange &exchange);
/*! The response for the caller. */
Http::HttpResponse makeResponse(const Exchange &exchange, AttemptResult result);

} // namespace Medlar::Daemon
