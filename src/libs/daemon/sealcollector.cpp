#include "sealcollector.h"

#include "cluster/clustercodec.h"
#include "objectkeys.h"

namespace Medlar::Daemon {

namespace {

bool addChunk(std::set<Base::InstanceId> &named, const std::string &value)
{
    const auto chunk = Cluster::decodeChunk(value);
    if (!chunk)
        return false;
    for (const Cluster::SlotAssignment &assignment : chunk->assignments) {
        named.insert(assignment.entry.owners.begin(), assignment.entry.owners.end());
        named.insert(assignment.entry.prior.begin(), assignment.entry.prior.end());
    }
    return true;
}

bool addNode(std::set<Base::InstanceId> &named, const std::string &value)
{
    const auto record = Cluster::nodeRecordFromJson(nlohmann::json::parse(value, nullptr, false));
    if (!record)
        return false;
    named.insert(record->instance);
    named.insert(record->witnesses.begin(), record->witnesses.end());
    return true;
}

} // namespace

std::optional<std::set<Base::InstanceId>> namedInstances(const Spreading::ObjectReplica &replica)
{
    std::set<Base::InstanceId> named;
    for (const auto &[key, held] : replica.objects()) {
        if (!held.value)
            continue;
        if (Keys::startsWith(key, Keys::Assignment) && !addChunk(named, *held.value))
            return std::nullopt;
        if (Keys::startsWith(key, Keys::Nodes) && !addNode(named, *held.value))
            return std::nullopt;
    }
    return named;
}

SealChanges SealCollector::decide(Base::TimePoint now, const Spreading::ObjectReplica &replica,
                                  const std::unordered_set<Base::InstanceId> &sealed)
{
    if (now < m_nextCheck && sealed.size() == m_sealedCount)
        return {};
    m_nextCheck = now + CheckInterval;
    m_sealedCount = sealed.size();

    const auto named = namedInstances(replica);
    const auto isNamed = [&named](const Base::InstanceId &instance) {
        return !named || named->count(instance) != 0;
    };
    SealChanges result;
    for (const Base::InstanceId &instance : sealed) {
        const Spreading::HeldObject *held = replica.find(Keys::sealKey(instance));
        if ((!held || !held->value) && isNamed(instance))
            result.record.push_back(instance);
    }

    std::unordered_map<Base::InstanceId, Base::TimePoint> unnamedSince;
    const auto &objects = replica.objects();
    for (auto it = objects.lower_bound(std::string(Keys::Sealed));
         it != objects.end() && Keys::startsWith(it->first, Keys::Sealed); ++it) {
        const auto instance = Keys::instanceOfSealKey(it->first);
        if (!instance || !it->second.value || isNamed(*instance))
            continue;
        const auto known = m_unnamedSince.find(*instance);
        const Base::TimePoint since = known != m_unnamedSince.end() ? known->second : now;
        unnamedSince.emplace(*instance, since);
        if (now - since >= MinUnnamedTime && result.remove.size() < MaxRemovedPerCheck)
            result.remove.push_back(*instance);
    }
    m_unnamedSince = std::move(unnamedSince);
    return result;
}

} // namespace Medlar::Daemon
