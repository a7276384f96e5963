#pragma once

#include "eventqueue.h"
#include "messages/peermessages.h"
#include "randomsource.h"

#include <map>
#include <set>
#include <string>

namespace Medlar::Scenario {

/*! Where a node is, for the delay of its messages. */
struct Location
{
    std::string region;
    std::string zone;
};

/*! Faults of one direction of a link. */
struct LinkFaults
{
    double dropPercent = 0;
    double duplicatePercent = 0;
    double reorderPercent = 0; //!< messages that may overtake earlier ones or be overtaken
    TrueTime extraDelay{0};
};

/*! Messages and bytes sent, for the control traffic of a node. */
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t payloadBytes = 0;
};

/*!
    Delivers messages between nodes after a delay that depends on their location. Without faults
   each direction of a link keeps its order, as a TCP connection does.
*/
class FakeNetwork
{
public:
    using Deliver = std::function<void(const std::string &fromNode, const std::string &toNode,
                                       const Base::InstanceId &from, const Base::InstanceId &to,
                                       const Messages::PeerMessage &message)>;

    FakeNetwork(EventQueue &queue, RandomSource &random, Deliver deliver);

    void setLocation(const std::string &node, Location location);
    /*! An invalid \a to addresses whichever instance runs on \a toNode at delivery. */
    void send(const std::string &fromNode, const std::string &toNode, const Base::InstanceId &from,
              const Base::InstanceId &to, const Messages::PeerMessage &message);

    /*! Loses all messages from \a from to \a to that are sent from now on. */
    void block(const std::string &from, const std::string &to);
    void heal();
    void setFaults(const std::string &from, const std::string &to, const LinkFaults &faults);
    void setFaultsEverywhere(const LinkFaults &faults);
    bool isBlocked(const std::string &from, const std::string &to) const;

    /*! Counts the encoded size of messages from now on. */
    void startCounting();
    const Traffic &sent() const { return m_sent; }

private:
    using Link = std::pair<std::string, std::string>;

    TrueTime delayOf(const Link &link);
    void scheduleDelivery(const Link &link, const Base::InstanceId &from,
                          const Base::InstanceId &to, const Messages::PeerMessage &message,
                          const LinkFaults &faults);
    const LinkFaults &faultsOf(const Link &link) const;

    EventQueue &m_queue;
    RandomSource &m_random;
    Deliver m_deliver;
    std::map<std::string, Location> m_locations;
    std::set<Link> m_blocked;
    std::map<Link, LinkFaults> m_faults;
    LinkFaults m_faultsEverywhere;
    std::map<Link, TrueTime> m_lastDelivery;
    bool m_counting = false;
    Traffic m_sent;
};

} // namespace Medlar::Scenario
