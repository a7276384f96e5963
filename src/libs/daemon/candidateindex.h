#pragma once

#include "backendbalancer.h"
#include "trafficsnapshot.h"

namespace Medlar::Daemon {

/*! Which nodes offer which service, by distance; computed once for each snapshot and service. */
class CandidateIndex
{
public:
    void setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot);

    /*! Nodes that accept work for \a route. A region that the route does not allow has none. The
     * result is valid until the next call of any function. */
    const CandidateTiers &candidates(const Configuration::Route &route);

private:
    CandidateTiers compute(const Configuration::Route &route) const;

    std::shared_ptr<const TrafficSnapshot> m_snapshot;
    std::map<const Configuration::Route *, CandidateTiers> m_tiers;
};

} // namespace Medlar::Daemon
