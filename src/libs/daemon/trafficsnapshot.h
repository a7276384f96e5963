#pragma once

#include "base/instanceid.h"
#include "cluster/noderecord.h"
#include "cluster/slottable.h"
#include "configuration/routetable.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Medlar::Daemon {

/*! Under which token this instance serves a slot. */
struct ServedSlot
{
    Cluster::FencingToken token = 0;
    Cluster::Epoch epoch = 0;
};

/*! The assignment of one keyed service as this daemon knows it. Immutable once published. */
struct ServiceView
{
    explicit ServiceView(Cluster::SlotTable slotTable) : table(std::move(slotTable)) {}

    Cluster::SlotTable table;
    /*! Slots that this instance serves while its node lease holds. */
    std::unordered_map<Cluster::SlotId, ServedSlot> served;
};

/*! Everything that traffic threads know of control state. Immutable once published. */
struct TrafficSnapshot
{
    Cluster::NodeRecord self;
    std::shared_ptr<const Configuration::RouteTable> routes;
    std::map<std::string, std::shared_ptr<const ServiceView>> services;
    /*! Announced instances, sealed ones included. */
    std::map<Base::InstanceId, Cluster::NodeRecord> nodes;
    std::unordered_set<Base::InstanceId> sealed;
    /*! Availability zones and nodes that operators took out of service. */
    std::set<std::string> zonesOut;
    std::set<std::string> nodesOut;

    /*! Whether new work may be sent to \a node. */
    bool acceptsWork(const Cluster::NodeRecord &node) const
    {
        return node.state == Cluster::NodeState::Active && sealed.count(node.instance) == 0
               && zonesOut.count(node.availabilityZone) == 0
               && nodesOut.count(node.instance.node) == 0;
    }
};

} // namespace Medlar::Daemon
