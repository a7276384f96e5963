#pragma once

#include "base/time.h"
#include "messages/peermessages.h"
#include "nodeindex.h"

#include <map>
#include <set>
#include <string>

namespace Medlar::Relay {

/*! Location of a node as registered in the store. */
struct NodePlace
{
    std::string address;    //!< IP address
    std::uint16_t port = 0; //!< for links from other daemons
    std::string region;
    std::string availabilityZone;
};

inline bool operator==(const NodePlace &a, const NodePlace &b)
{
    return a.address == b.address && a.port == b.port && a.region == b.region
           && a.availabilityZone == b.availabilityZone;
}

/*! State of one node as known to this daemon. */
struct NodeView
{
    NodePlace place;
    bool isRegistered = false; //!< in the store; otherwise known only through its link
    bool isLinked = false;
    Base::TimePoint linkChanged; //!< time when the link last came up or went down
    Messages::NodeStatus status;
    Messages::NodeLoad load;
    Base::TimePoint loadAt;
    /*! Requests at the BackendServer by the latest report, and those that this daemon has sent
     * since. More than reported after a declined request. */
    double reportedLoad = 0.0;
    /*! The latest report came with an answer to this daemon. Other daemons do not know it, so they
     * do not act on it at the same moment. */
    bool isLoadFromAnswer = false;
    std::uint32_t outstanding = 0; //!< requests sent by this daemon and not yet answered
    double failureRate = 0.0;      //!< moving average of the share of failed requests
    Base::TimePoint avoidUntil;    //!< set on a failure; the node is avoided until then
    /*! What a BackendServer of this node has said about itself; not necessarily the present one.
     * That it leaves is kept while the daemon there restarts, which forgets it. */
    Messages::NodeNotice notice;
    IndexPosition index;

    /*! Number of requests that the BackendServer can work on at a time when each takes \a
     * serviceTime: its slots, or less if it has named a limit. */
    double capacity(Base::Duration serviceTime) const;
    /*! The same for a service time in milliseconds; not 0, since loads are divided by it. */
    double slotsFor(double serviceMs) const;
    /*! Service time in milliseconds, or \a assumedServiceMs if it was not measured yet. */
    double serviceMs(double assumedServiceMs) const;
    bool takesRequests() const
    {
        return isLinked
               && (status.state == Messages::BackendState::Ready
                   || status.state == Messages::BackendState::Cold);
    }
};

/*! Result of a request that was sent to a node, for the estimate of the load there. */
enum class OfferResult {
    Served,
    Declined, //!< for lack of room
    Failed
};

/*! All known nodes by name, including this node, which always counts as linked. */
class FleetView
{
public:
    FleetView(std::string self, const NodePlace &place);
    FleetView(const FleetView &other);
    FleetView(FleetView &&other) = default;
    FleetView &operator=(const FleetView &) = delete;
    FleetView &operator=(FleetView &&) = default;
    ~FleetView() = default;

    // Commands

    void setRegistered(const std::string &node, const NodePlace &place);
    void setUnregistered(const std::string &node);
    void setLinked(Base::TimePoint now, const std::string &node, bool isLinked);
    void onStatus(Base::TimePoint now, const std::string &node, const Messages::NodeStatus &status);
    void onNotice(const std::string &node, const Messages::NodeNotice &notice);
    void onLoad(Base::TimePoint now, const std::string &node, const Messages::NodeLoad &load);
    /*! Records the requests at the BackendServer of \a node that its daemon reports with an answer.
     */
    void onAnswerLoad(Base::TimePoint now, const std::string &node, std::uint32_t running,
                      std::uint32_t waiting, OfferResult result);
    void onSent(const std::string &node);
    /*! Records the end of a request. \a hasFailed: it counts as a failure of the node. */
    void onRequestEnded(Base::TimePoint now, const std::string &node, bool hasFailed);

    // Queries

    const std::string &self() const { return m_self; }
    const std::map<std::string, NodeView> &nodes() const { return m_nodes; }
    /*! Nodes that take requests of a service. */
    const NodeIndex &index() const { return m_index; }
    const NodeView *find(const std::string &node) const;
    /*! The entry of this node. */
    const FleetNode &selfNode() const { return *m_nodes.find(m_self); }
    /*! Identifier of a node in the key range tables of the store: its name and address. */
    static std::string rangeOwnerId(const std::string &node, const NodePlace &place)
    {
        return node + '/' + place.address;
    }
    /*! Returns the node with the identifier \a id in a key range table, or nullptr if the node is
     * unknown or has another address now. */
    const NodeView *findRangeOwner(const std::string &id, std::string *name = nullptr) const;

private:
    static void applyNotice(NodeView &view);
    /*! The node \a name, which is created if it is unknown. */
    FleetNode &node(const std::string &name);
    void erase(FleetNode &entry);
    /*! Forgets the requests at a BackendServer, which was replaced or is out of reach. */
    static void forgetLoad(NodeView &view);
    void updateIndex(FleetNode &node) { m_index.update(node, node.first == m_self); }

    std::string m_self;
    std::map<std::string, NodeView> m_nodes;
    NodeIndex m_index;
};

} // namespace Medlar::Relay
