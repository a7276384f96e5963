#include "candidateindex.h"

#include <algorithm>

namespace Medlar::Daemon {

using Cluster::NodeRecord;

void CandidateIndex::setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    m_snapshot = std::move(snapshot);
    m_tiers.clear();
}

const CandidateTiers &CandidateIndex::candidates(const Configuration::Route &route)
{
    const auto known = m_tiers.find(&route);
    if (known != m_tiers.end())
        return known->second;
    return m_tiers.emplace(&route, compute(route)).first->second;
}

CandidateTiers CandidateIndex::compute(const Configuration::Route &route) const
{
    CandidateTiers tiers;
    const NodeRecord &self = m_snapshot->self;
    const auto addNode = [&](const NodeRecord &node) {
        const bool offersService
            = std::find(node.services.begin(), node.services.end(), route.service)
              != node.services.end();
        if (!offersService || !m_snapshot->acceptsWork(node) || !route.allowsRegion(node.region))
            return;
        const bool isSameRegion = node.region == self.region;
        const bool isSameZone = isSameRegion && node.availabilityZone == self.availabilityZone;
        tiers
            .nodes[isSameZone     ? CandidateTiers::SameZone
                   : isSameRegion ? CandidateTiers::SameRegion
                                  : CandidateTiers::OtherRegions]
            .push_back(&node);
    };
    addNode(self);
    for (const auto &[instance, node] : m_snapshot->nodes) {
        if (instance != self.instance)
            addNode(node);
    }
    return tiers;
}

} // namespace Medlar::Daemon
