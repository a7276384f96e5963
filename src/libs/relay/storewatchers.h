#pragma once

#include "fleetview.h"

namespace Medlar::Relay {

/*!
    Returns whether this node has to watch the store for its region: fewer than \a perRegion linked
    nodes of the region that can reach the store precede it in the order of name hashes.

    Watches are billed, and a change completes all pending watches at once. In a large fleet,
    only a few nodes of each region therefore watch the store and notify the other nodes of
    changes. A node without links always watches the store.
*/
bool isStoreWatcher(const FleetView &fleet, std::size_t perRegion);

} // namespace Medlar::Relay
