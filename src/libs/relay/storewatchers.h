#pragma once

#include "fleetview.h"

namespace Medlar::Relay {

/*!
    Returns whether this node has to watch the store for its region: fewer than \a perRegion other
    nodes of the region precede it in the order of name hashes. Only nodes that this node has a link
    to and that can reach the store are counted.

    Each watch call is billed, and a change completes all pending watch calls at once. In a large
    fleet, only a few nodes of each region therefore watch the store and notify the other nodes
    of changes. A node without links always watches the store.
*/
bool isStoreWatcher(const FleetView &fleet, std::size_t perRegion);

} // namespace Medlar::Relay
