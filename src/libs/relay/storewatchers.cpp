#include "storewatchers.h"

#include "base/keyhash.h"

#include <algorithm>
#include <utility>

namespace Medlar::Relay {

bool isStoreWatcher(const FleetView &fleet, std::size_t perRegion)
{
    // Ordered by hash, because the nodes that come first by name already plan the moves of key
    // ranges.
    const auto sortKey = [](const std::string &name) {
        return std::make_pair(Base::keyHash(name), std::string_view(name));
    };
    const auto ownSortKey = sortKey(fleet.self());
    const std::string &region = fleet.find(fleet.self())->place.region;
    const auto precedingNodes
        = std::count_if(fleet.nodes().begin(), fleet.nodes().end(), [&](const auto &entry) {
              const NodeView &node = entry.second;
              return entry.first != fleet.self() && node.isLinked && node.status.reachesStore
                     && node.status.region == region && sortKey(entry.first) < ownSortKey;
          });
    return static_cast<std::size_t>(precedingNodes) < perRegion;
}

} // namespace Medlar::Relay
