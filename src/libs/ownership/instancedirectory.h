#pragma once

#include "ownershipengine.h"

#include <map>
#include <unordered_map>

namespace Medlar::Ownership {

/*! The announced nodes and the sealed instances, as far as this daemon knows. */
class InstanceDirectory
{
public:
    /*! Takes the newest record of a node; returns whether something changed. */
    bool setRecord(const Cluster::NodeRecord &record);
    /*! Forgets the record of \a node; returns whether there was one. */
    bool removeNode(const std::string &node);
    /*! Records a seal learnt at \a now; returns whether it was new. */
    bool seal(Base::TimePoint now, const Messages::Sealed &seal);

    bool isSealed(const Base::InstanceId &instance) const { return m_sealed.count(instance) != 0; }
    /*! The seal of \a instance, if it is sealed. */
    std::optional<Messages::Sealed> sealOf(const Base::InstanceId &instance) const;
    const std::unordered_set<Base::InstanceId> &sealed() const { return m_sealed; }
    const std::map<std::string, Cluster::NodeRecord> &records() const { return m_records; }

    /*! Whether \a instance is announced as active, is the newest of its node and is not sealed. */
    bool isActive(const Base::InstanceId &instance) const;

    /*!
        Until when a successor of the sealed \a instance must wait: unless the instance declared its
       stop or its BackendServer checks fencing tokens, \a guard after its seal was learnt. An
       instance whose record was never seen counts as unfenced.
    */
    Base::TimePoint guardedUntil(const Base::InstanceId &instance, Base::Duration guard) const;

private:
    struct SealFact
    {
        Base::TimePoint learntAt;
        Messages::SealReason reason;
    };

    std::map<std::string, Cluster::NodeRecord> m_records;
    std::unordered_set<Base::InstanceId> m_sealed;
    std::unordered_map<Base::InstanceId, SealFact> m_facts;
    /*! Instances whose BackendServer checks fencing tokens, former instances included. */
    std::unordered_set<Base::InstanceId> m_fenced;
};

} // namespace Medlar::Ownership
