#pragma once

#include "http/httptypes.h"
#include "messages/peermessages.h"

#include <chrono>
#include <string>
#include <string_view>

namespace Medlar::Daemon {

/*! Reason codes of requests without a response, in ForwardResponse and towards callers. */
namespace ErrorCode {
constexpr char BadRequest[] = "bad-request";
constexpr char UnknownRoute[] = "unknown-route";
constexpr char WrongRegion[] = "wrong-region";
constexpr char Starting[] = "starting";
constexpr char Draining[] = "draining";
constexpr char OutOfService[] = "out-of-service";
constexpr char NotOwner[] = "not-owner";
constexpr char AwaitingRelease[] = "awaiting-release";
constexpr char LeaseNotHeld[] = "lease-not-held";
constexpr char Unassigned[] = "unassigned";
constexpr char NoLiveOwner[] = "no-live-owner";
constexpr char OwnerUnknown[] = "owner-unknown";
constexpr char NoCandidate[] = "no-candidate";
constexpr char NoLink[] = "no-link";
constexpr char LinkBusy[] = "link-busy";
constexpr char LinkLost[] = "link-lost";
constexpr char DeadlinePassed[] = "deadline-passed";
constexpr char QueueFull[] = "queue-full";
constexpr char TooManyWaiting[] = "too-many-waiting";
constexpr char GivenUp[] = "given-up";
constexpr char Cancelled[] = "cancelled";
constexpr char LostHedge[] = "lost-hedge";
constexpr char PeerAnswerUnusable[] = "peer-answer-unusable";
constexpr char BackendNotRun[] = "backend-not-run";
constexpr char BackendRefused[] = "backend-refused"; // as Http::toString() has them
constexpr char BackendCutOff[] = "backend-cut-off";
} // namespace ErrorCode

/*! How one attempt to have a request served ended. */
struct AttemptResult
{
    Messages::Outcome outcome = Messages::Outcome::Unknown;
    std::string error; //!< a reason code unless the outcome is Answered
    Cluster::Epoch newerEpoch = 0;
    std::chrono::milliseconds retryAfter{0};
    Http::HttpResponse response; //!< when Answered

    static AttemptResult notRun(std::string_view error)
    {
        return {Messages::Outcome::NotRun, std::string(error), 0, {}, {}};
    }
    static AttemptResult unknown(std::string_view error)
    {
        return {Messages::Outcome::Unknown, std::string(error), 0, {}, {}};
    }
};

/*! Whether news about owners or links may soon allow what failed with \a error. */
bool maySucceedAfterChange(std::string_view error);

/*! The response to the caller of a request that has none. */
Http::HttpResponse rejectionResponse(const std::string &requestId, const AttemptResult &result,
                                     const std::string &detail = {});

} // namespace Medlar::Daemon
