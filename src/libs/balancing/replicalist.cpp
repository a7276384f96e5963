#include "replicalist.h"

#include <algorithm>

namespace Medlar::Balancing {

bool allowsRegion(const ReplicaRequest &request, const std::string &region)
{
    return !request.homeRegions || request.homeRegions->empty()
           || request.homeRegions->count(region) != 0;
}

bool wasTried(const ReplicaRequest &request, const Base::InstanceId &instance)
{
    return request.tried
           && std::find(request.tried->begin(), request.tried->end(), instance)
                  != request.tried->end();
}

std::vector<std::size_t> ReplicaList::eligible(const ReplicaRequest &request) const
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        const Replica &replica = m_replicas[i];
        if (!replica.acceptsWork || !allowsRegion(request, replica.region)
            || wasTried(request, replica.instance)) {
            continue;
        }
        (replica.region == m_region ? local : remote).push_back(i);
    }
    return local.empty() ? remote : local;
}

} // namespace Medlar::Balancing
