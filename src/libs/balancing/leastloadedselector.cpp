#include "leastloadedselector.h"

namespace Medlar::Balancing {

LeastLoadedSelector::LeastLoadedSelector(const SelectorSettings &settings)
    : m_replicas(settings.region), m_next(settings.seed)
{}

void LeastLoadedSelector::setReplicas(Base::TimePoint /*now*/, const std::vector<Replica> &replicas)
{
    m_replicas.assign(replicas);
}

std::optional<Choice> LeastLoadedSelector::choose(Base::TimePoint now,
                                                  const ReplicaRequest &request)
{
    const std::vector<std::size_t> eligible = m_replicas.eligible(request);
    if (eligible.empty())
        return std::nullopt;
    const auto utilisation = [this](std::size_t index) {
        const auto found = m_utilisation.find(m_replicas[index].instance);
        return found == m_utilisation.end() ? 0.0 : found->second;
    };
    const std::size_t offset = m_next++;
    std::size_t best = eligible[offset % eligible.size()];
    for (std::size_t i = 1; i < eligible.size(); ++i) {
        const std::size_t other = eligible[(offset + i) % eligible.size()];
        if (utilisation(other) < utilisation(best))
            best = other;
    }
    return Choice{m_replicas[best].instance, best, now, false, {}, "least-loaded"};
}

void LeastLoadedSelector::onFinished(Base::TimePoint /*now*/, const Choice & /*choice*/,
                                     AttemptResult /*result*/)
{}

void LeastLoadedSelector::onLoadReport(const Base::InstanceId &instance, const LoadReport &report)
{
    m_utilisation[instance] = report.utilisation;
}

} // namespace Medlar::Balancing
