#include "twochoicebalancer.h"

#include <algorithm>

namespace Medlar::Daemon {

const Cluster::NodeRecord *TwoChoiceBalancer::choose(Base::TimePoint, const std::string &,
                                                     const CandidateTiers &tiers,
                                                     const std::vector<Base::InstanceId> &excluded)
{
    for (const auto &tier : tiers.nodes) {
        std::vector<const Cluster::NodeRecord *> nodes;
        std::copy_if(tier.begin(), tier.end(), std::back_inserter(nodes),
                     [&excluded](const Cluster::NodeRecord *node) {
                         return std::find(excluded.begin(), excluded.end(), node->instance)
                                == excluded.end();
                     });
        if (nodes.empty())
            continue;
        const Cluster::NodeRecord *const first = nodes[m_random() % nodes.size()];
        const Cluster::NodeRecord *const second = nodes[m_random() % nodes.size()];
        return inFlight(second->instance) < inFlight(first->instance) ? second : first;
    }
    return nullptr;
}

std::uint32_t TwoChoiceBalancer::inFlight(const Base::InstanceId &node) const
{
    const auto found = m_inFlight.find(node);
    return found == m_inFlight.end() ? 0 : found->second;
}

void TwoChoiceBalancer::onStarted(Base::TimePoint, const std::string &,
                                  const Base::InstanceId &node)
{
    ++m_inFlight[node];
}

void TwoChoiceBalancer::onFinished(Base::TimePoint, const std::string &,
                                   const Base::InstanceId &node, NodeResult, Base::Duration)
{
    const auto found = m_inFlight.find(node);
    if (found != m_inFlight.end() && --found->second == 0)
        m_inFlight.erase(found);
}

} // namespace Medlar::Daemon
