#pragma once

#include "base/time.h"
#include "controlview.h"
#include "ownership/ownershipengine.h"
#include "peer/peerlinks.h"
#include "snapshotbuilder.h"
#include "trafficplane.h"

#include <cstdint>
#include <string>

namespace Medlar::Daemon {

/*! A view of the control state for operators, taken and used on the control thread. */
struct ControlReport
{
    const Cluster::NodeRecord *self = nullptr;
    const ControlView *view = nullptr;
    const Ownership::OwnershipEngine *engine = nullptr;
    const SnapshotBuilder *snapshots = nullptr;
    Peer::LinkCounters links;
    std::size_t linkCount = 0;
    bool isReady = false;
    bool isWatcher = false;
    bool isPlanner = false;
    bool isStoreReachable = false;
    bool isBackendUp = false;
    std::uint64_t instanceRestarts = 0;
    std::vector<Admission::BacklogEntry> queues; //!< of both threads
};

/*! JSON object for GET /admin/status. */
std::string statusJson(const ControlReport &report, Base::TimePoint now);

/*! JSON object for GET /admin/explain: what this daemon knows of a slot. */
std::string explainSlotJson(const ControlReport &report, Base::TimePoint now,
                            const std::string &table, Cluster::SlotId slot);

/*! JSON array for GET /admin/backlog: every queue of the daemon, the one closest to a
 * limit first. */
std::string backlogJson(const ControlReport &report);

/*! Prometheus text of the control side's counters. */
std::string controlMetricsText(const ControlReport &report);

} // namespace Medlar::Daemon
