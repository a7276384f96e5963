#pragma once

#include "base/time.h"
#include "cluster/noderecord.h"

#include <array>
#include <string>
#include <vector>

namespace Medlar::Daemon {

/*! Nodes that may serve a request that any instance can serve, the nearest first. */
struct CandidateTiers
{
    enum Tier : std::size_t { SameZone, SameRegion, OtherRegions, TierCount };

    std::array<std::vector<const Cluster::NodeRecord *>, TierCount> nodes;
};

/*! What one attempt told about the node that it was sent to. */
enum class NodeResult {
    Answered,
    Overloaded, //!< rejected before it ran
    Failed,
    Cancelled //!< another attempt was answered first; the latency is the age until then
};

/*! Chooses among candidates. Used by the traffic thread only. Implementations read no clock. */
class BackendBalancer
{
public:
    virtual ~BackendBalancer() = default;

    /*! Tiers and nodes that were passed to choose() before are no longer valid. */
    virtual void onCandidatesChanged() {}
    /*! The chosen node, or nullptr when all candidates are in \a excluded. */
    virtual const Cluster::NodeRecord *choose(Base::TimePoint now, const std::string &service,
                                              const CandidateTiers &tiers,
                                              const std::vector<Base::InstanceId> &excluded)
        = 0;
    virtual void onStarted(Base::TimePoint now, const std::string &service,
                           const Base::InstanceId &node)
        = 0;
    virtual void onFinished(Base::TimePoint now, const std::string &service,
                            const Base::InstanceId &node, NodeResult result, Base::Duration latency)
        = 0;
};

} // namespace Medlar::Daemon
