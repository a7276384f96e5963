#pragma once

#include "fleetview.h"

namespace Medlar::Relay {

/*!
    Whether this node should watch the store for its region, because fewer than \a perRegion others
   come before it. Answers the load pattern "a change wakes every watch of a large fleet at once":
   watches are billed, so a few nodes of each region hear of changes and tell all others. A node
   that is linked to nobody watches for itself.
*/
bool isStoreWatcher(const FleetView &fleet, std::size_t perRegion);

} // namespace Medlar::Relay
