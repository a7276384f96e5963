#pragma once

#include "base/instanceid.h"
#include "base/logline.h"
#include "base/time.h"
#include "stragglerdetector.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Medlar::Balancing {

/*! One instance of a service that any instance may serve. */
struct Replica
{
    Base::InstanceId instance;
    std::string region;
    std::string availabilityZone;
    bool acceptsWork = true; //!< false: out of service, draining, sealed; never chosen
};

/*! What a BackendServer said about its load. Only a hint: it may be late or wrong. */
struct LoadReport
{
    Base::TimePoint measuredAt;
    double utilisation = 0.0; //!< requests running and waiting, divided by slots
};

/*! The request for which a replica is sought. */
struct ReplicaRequest
{
    const std::set<std::string> *homeRegions = nullptr; //!< null or empty: any region
    bool canBeHedged = false;                           //!< preferred as a probe of a straggler
    /*! Replicas that were already tried for this request. */
    const std::vector<Base::InstanceId> *tried = nullptr;
};

/*! A chosen replica. To be kept until the attempt ends and then passed to onFinished(). */
struct Choice
{
    Base::InstanceId instance;
    std::uint64_t replica = 0; //!< internal number of the replica
    Base::TimePoint chosenAt;
    bool isProbe = false; //!< of a straggler
    /*! Latency that stems from the distance to another region. To be added to the hedge delay and
     * subtracted from latencies reported to the hedge budget. */
    Base::Duration distance{0};
    std::string_view reason; //!< for the decision log
};

/*! How an attempt ended, as seen by the daemon that chose the replica. */
enum class AttemptResult {
    Answered,
    Rejected,  //!< not run: overload or ramp
    Failed,    //!< refused, link lost, timed out, invalid response
    LostHedge, //!< a later attempt elsewhere was answered first; this one was cancelled
    Cancelled, //!< for a reason that says nothing about the replica
};

struct SelectorSettings
{
    std::string region; //!< of this daemon
    std::string availabilityZone;
    std::uint64_t seed = 0;
    StragglerSettings straggler;
    /*! Age at which a load report has lost all influence. */
    Base::Duration reportLifetime{std::chrono::milliseconds(500)};
};

enum class SelectorKind {
    LatencyAware, //!< the one to use
    RoundRobin,   //!< for comparison
    LeastLoaded,  //!< by load report; for comparison
};

/*!
    Chooses the instance for each request of one service that any instance may serve. All kinds
   choose only instances that accept work and lie in the home regions.
*/
class ReplicaSelector
{
public:
    virtual ~ReplicaSelector() = default;

    static std::unique_ptr<ReplicaSelector> create(SelectorKind kind,
                                                   const SelectorSettings &settings);

    /*! Replaces the replicas; what was learnt of those that remain is kept. */
    virtual void setReplicas(Base::TimePoint now, const std::vector<Replica> &replicas) = 0;

    /*! Empty when no replica may serve the request. */
    virtual std::optional<Choice> choose(Base::TimePoint now, const ReplicaRequest &request) = 0;

    /*! Must be called exactly once for each choice. */
    virtual void onFinished(Base::TimePoint now, const Choice &choice, AttemptResult result) = 0;

    virtual void onLoadReport(const Base::InstanceId &instance, const LoadReport &report) = 0;

    /*! Lines about replicas left and returned to since the last call. */
    virtual std::vector<Base::LogLine> takeLogLines() { return {}; }
};

} // namespace Medlar::Balancing
