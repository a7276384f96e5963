#include "replicaselector.h"

#include "latencyselector.h"
#include "leastloadedselector.h"
#include "roundrobinselector.h"

namespace Medlar::Balancing {

std::unique_ptr<ReplicaSelector> ReplicaSelector::create(SelectorKind kind,
                                                         const SelectorSettings &settings)
{
    switch (kind) {
    case SelectorKind::RoundRobin:
        return std::make_unique<RoundRobinSelector>(settings);
    case SelectorKind::LeastLoaded:
        return std::make_unique<LeastLoadedSelector>(settings);
    case SelectorKind::LatencyAware:
        break;
    }
    return std::make_unique<LatencySelector>(settings);
}

} // namespace Medlar::Balancing
