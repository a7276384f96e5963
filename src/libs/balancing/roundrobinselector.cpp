#include "roundrobinselector.h"

namespace Medlar::Balancing {

RoundRobinSelector::RoundRobinSelector(const SelectorSettings &settings)
    : m_replicas(settings.region), m_next(settings.seed)
{}

void RoundRobinSelector::setReplicas(Base::TimePoint /*now*/, const std::vector<Replica> &replicas)
{
    m_replicas.assign(replicas);
}

std::optional<Choice> RoundRobinSelector::choose(Base::TimePoint now, const ReplicaRequest &request)
{
    const std::vector<std::size_t> eligible = m_replicas.eligible(request);
    if (eligible.empty())
        return std::nullopt;
    const std::size_t index = eligible[m_next++ % eligible.size()];
    return Choice{m_replicas[index].instance, index, now, false, {}, "round-robin"};
}

void RoundRobinSelector::onFinished(Base::TimePoint /*now*/, const Choice & /*choice*/,
                                    AttemptResult /*result*/)
{}

void RoundRobinSelector::onLoadReport(const Base::InstanceId & /*instance*/,
                                      const LoadReport & /*report*/)
{}

} // namespace Medlar::Balancing
