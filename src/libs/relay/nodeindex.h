#pragma once

#include "base/time.h"
#include "weighttree.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Medlar::Relay {

struct NodeView;
/*! A node with its name, as FleetView holds it. */
using FleetNode = std::pair<const std::string, NodeView>;

/*! A node whose BackendServer was less busy than others when it answered a request. */
struct IdleHint
{
    const FleetNode *node = nullptr;
    Base::TimePoint at;
};

/*! Nodes of one service in one region that take requests. */
struct NodeGroup
{
    std::string service;
    std::string region;
    std::vector<FleetNode *> nodes;
    /*! Slots by service time, by position in nodes; 0 for this node, which is not drawn. */
    WeightTree weights;
    double utilization = 0.0; //!< moving average of the reported requests by slot
    bool hasUtilization = false;
    std::vector<IdleHint> hints; //!< the latest at the end; each is used once
};

/*! Nodes of one service that take requests, by region. */
struct ServiceNodes
{
    std::map<std::string, NodeGroup> regions;
    std::multiset<std::chrono::microseconds> serviceTimes; //!< of the measured BackendServers
    std::size_t unmeasuredCount = 0;

    /*! Service time that is assumed of BackendServers without a measured one. */
    double assumedServiceMs() const;
};

/*! Position of a node in the index. */
struct IndexPosition
{
    ServiceNodes *service = nullptr;
    NodeGroup *group = nullptr; //!< nullptr: the node takes no requests
    std::size_t position = 0;   //!< in the group
    std::chrono::microseconds serviceTime{0};
};

/*!
    Candidates for requests by service and region, so that a choice does not have to scan the fleet.
    FleetView updates it on each change of a node. The addresses of the nodes must not change while
    they are in the index.
*/
class NodeIndex
{
public:
    // Commands

    /*! Adds, moves, removes or weights a node after a change of its state, place or load. */
    void update(FleetNode &node, bool isSelf);
    void remove(FleetNode &node);
    /*! Records a report of the requests at a BackendServer. */
    static void onReport(const NodeView &view);
    /*! Records that a BackendServer was found less busy than others. */
    static void addHint(const FleetNode &node, Base::TimePoint at);
    /*! Removes the latest hint of a node after a request was sent there. */
    static void useHint(const FleetNode &node);

    // Queries

    const ServiceNodes *find(const std::string &service) const;
    /*! Changes when a node is added or removed. */
    std::uint64_t revision() const { return m_revision; }

private:
    void add(FleetNode &node);
    static void recordServiceTime(NodeView &view);
    static void forgetServiceTime(const NodeView &view);
    /*! Weights the nodes whose service time is assumed, after the assumption changed. */
    static void updateUnmeasured(ServiceNodes &service);

    std::map<std::string, ServiceNodes> m_services;
    std::uint64_t m_revision = 0;
};

} // namespace Medlar::Relay
