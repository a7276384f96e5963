#pragma once

#include "handoverstate.h"

namespace Medlar::Ownership {

/*! Asks former owners to release slots: one batch for each peer, repeated until answered. */
class ReleaseRequester
{
public:
    /*! Adds a request that is sent with the next flush. */
    void add(const Base::InstanceId &peer, const std::string &service, Cluster::SlotId slot);
    void remove(const Base::InstanceId &peer, const std::string &service, Cluster::SlotId slot);
    /*! Drops all requests to a sealed peer. */
    void removePeer(const Base::InstanceId &peer) { m_peers.erase(peer); }
    void clear() { m_peers.clear(); }

    /*! Sends new requests, and all requests of a peer when its resend time has come. */
    void flush(Base::TimePoint now, const Services &services, Commands &out);
    Base::TimePoint nextDeadline() const;

private:
    using Slots = std::map<std::string, std::set<Cluster::SlotId>>;

    struct Peer
    {
        Slots unanswered;
        Slots unsent;
        Base::TimePoint nextResend;
        Base::Duration interval{0};
    };

    static void send(const Base::InstanceId &to, const Slots &slots, const Services &services,
                     Commands &out);

    std::map<Base::InstanceId, Peer> m_peers;
};

} // namespace Medlar::Ownership
