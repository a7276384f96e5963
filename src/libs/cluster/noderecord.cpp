#include "noderecord.h"

#include <tuple>

namespace Medlar::Cluster {

std::string_view toString(NodeState state)
{
    switch (state) {
    case NodeState::Active:
        return "active";
    case NodeState::Draining:
        return "draining";
    case NodeState::Left:
        return "left";
    }
    return "unknown";
}

namespace {

auto tied(const NodeRecord &r)
{
    return std::tie(r.instance, r.address, r.httpPort, r.controlPort, r.trafficPort, r.region,
                    r.availabilityZone, r.services, r.term, r.witnesses, r.state,
                    r.backendChecksFencing, r.backendSlots);
}

} // namespace

bool operator==(const NodeRecord &a, const NodeRecord &b)
{
    return tied(a) == tied(b);
}

} // namespace Medlar::Cluster
