#include "instancedirectory.h"

namespace Medlar::Ownership {

bool InstanceDirectory::setRecord(const Cluster::NodeRecord &record)
{
    if (record.backendChecksFencing)
        m_fenced.insert(record.instance);
    Cluster::NodeRecord &known = m_records[record.instance.node];
    // A late record of an instance that has ended must not displace its replacement.
    if (known.instance.isValid() && known.instance != record.instance && isSealed(record.instance))
        return false;
    if (known == record)
        return false;
    known = record;
    return true;
}

bool InstanceDirectory::removeNode(const std::string &node)
{
    return m_records.erase(node) != 0;
}

bool InstanceDirectory::seal(Base::TimePoint now, const Messages::Sealed &seal)
{
    if (!m_sealed.insert(seal.instance).second)
        return false;
    m_facts.emplace(seal.instance, SealFact{now, seal.reason});
    return true;
}

std::optional<Messages::Sealed> InstanceDirectory::sealOf(const Base::InstanceId &instance) const
{
    const auto fact = m_facts.find(instance);
    if (fact == m_facts.end())
        return {};
    return Messages::Sealed{instance, fact->second.reason};
}

bool InstanceDirectory::isActive(const Base::InstanceId &instance) const
{
    const auto found = m_records.find(instance.node);
    return found != m_records.end() && found->second.instance == instance
           && found->second.state == Cluster::NodeState::Active && !isSealed(instance);
}

Base::TimePoint InstanceDirectory::guardedUntil(const Base::InstanceId &instance,
                                                Base::Duration guard) const
{
    const auto fact = m_facts.find(instance);
    if (fact == m_facts.end() || fact->second.reason == Messages::SealReason::Stopped
        || m_fenced.count(instance) != 0)
        return Base::TimePoint::min();
    return fact->second.learntAt + guard;
}

} // namespace Medlar::Ownership
