#pragma once

#include "controlview.h"
#include "ownership/ownershipengine.h"
#include "trafficsnapshot.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Medlar::Daemon {

/*! Builds snapshots for the traffic side; views of services that did not change are shared between
 * snapshots. */
class SnapshotBuilder
{
public:
    /*! The entries or the served slots of \a table changed. */
    void invalidate(const std::string &table);
    void invalidateAll();
    /*! Something besides the slot tables changed. */
    void invalidatePolicy() { m_isChanged = true; }
    /*! Forgets all views; used when a new instance starts. */
    void reset();

    bool isChanged() const { return m_isChanged; }
    std::shared_ptr<const TrafficSnapshot> build(const Cluster::NodeRecord &self,
                                                 const ControlView &view,
                                                 const Ownership::OwnershipEngine &engine);

    const std::map<std::string, std::shared_ptr<const ServiceView>> &services() const
    {
        return m_services;
    }
    /*! The slots of each table that this instance serves in the last snapshot. Collecting them
     * takes a walk over all local slots and a sort, so it is done once for each change. */
    const std::map<std::string, std::vector<Ownership::ServedSlot>> &served() const
    {
        return m_served;
    }

private:
    std::map<std::string, std::shared_ptr<const ServiceView>> m_services;
    std::map<std::string, std::vector<Ownership::ServedSlot>> m_served;
    std::set<std::string> m_changedTables;
    bool m_isChanged = true;
};

} // namespace Medlar::Daemon
