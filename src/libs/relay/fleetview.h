#pragma once

#include "base/time.h"
#include "messages/peermessages.h"

#include <map>
#include <set>
#include <string>

namespace Medlar::Relay {

/*! Where a node is, as it is recorded in the store. */
struct NodePlace
{
    std::string address;    //!< IP number
    std::uint16_t port = 0; //!< for links of other daemons
    std::string region;
    std::string availabilityZone;
};

inline bool operator==(const NodePlace &a, const NodePlace &b)
{
    return a.address == b.address && a.port == b.port && a.region == b.region
           && a.availabilityZone == b.availabilityZone;
}

/*! What this daemon knows of one node. */
struct NodeView
{
    NodePlace place;
    bool isRecorded = false; //!< in the store; otherwise known from its link only
    bool isLinked = false;
    Base::TimePoint linkChanged; //!< when the link came up or went down
    Messages::NodeStatus status;
    Messages::NodeLoad load;
    Base::TimePoint loadAt;
    std::uint32_t outstanding = 0; //!< requests of this daemon that it has not answered
    double failures = 0.0;         //!< recent share of requests that failed there
    Base::TimePoint avoidUntil;    //!< after a failure

    bool takesRequests() const
    {
        return isLinked
               && (status.state == Messages::BackendState::Ready
                   || status.state == Messages::BackendState::Cold);
    }
};

/*! All nodes by name. This node is among them and always linked. */
class FleetView
{
public:
    FleetView(std::string self, const NodePlace &place);

    // Commands

    void setRecorded(const std::string &node, const NodePlace &place);
    void setRemoved(const std::string &node);
    void setLinked(Base::TimePoint now, const std::string &node, bool isLinked);
    void onStatus(Base::TimePoint now, const std::string &node, const Messages::NodeStatus &status);
    void onLoad(Base::TimePoint now, const std::string &node, const Messages::NodeLoad &load);
    void onSent(const std::string &node);
    /*! A request ended; \a hasFailed if the node is to blame. */
    void onEnded(Base::TimePoint now, const std::string &node, bool hasFailed);

    // Queries

    const std::string &self() const { return m_self; }
    const std::map<std::string, NodeView> &nodes() const { return m_nodes; }
    const NodeView *find(const std::string &node) const;
    /*! Name and address, by which tables in the store mean a node. */
    static std::string rangeOwnerId(const std::string &node, const NodePlace &place)
    {
        return node + '/' + place.address;
    }
    /*! The node that a table means, or nothing when it is gone or at another address. */
    const NodeView *findRangeOwner(const std::string &id, std::string *name = nullptr) const;

private:
    std::string m_self;
    std::map<std::string, NodeView> m_nodes;
};

} // namespace Medlar::Relay
