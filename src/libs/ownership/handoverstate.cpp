#include "handoverstate.h"

#include <algorithm>

namespace Medlar::Ownership {

namespace {

bool contains(const std::vector<Cluster::SlotId> &ids, Cluster::SlotId id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

void HotKeyFloors::add(const Cluster::SlotEntry &baseEntry)
{
    if (baseEntry.epoch > m_others) {
        std::map<Cluster::SlotId, Cluster::Epoch> listed;
        for (const Cluster::SlotId hotKey : baseEntry.hotKeys)
            listed[hotKey] = of(hotKey);
        m_listed = std::move(listed);
        m_others = baseEntry.epoch;
        return;
    }
    for (auto &[hotKey, floor] : m_listed) {
        if (!contains(baseEntry.hotKeys, hotKey))
            floor = std::max(floor, baseEntry.epoch);
    }
}

Cluster::Epoch HotKeyFloors::of(Cluster::SlotId hotKey) const
{
    const auto found = m_listed.find(hotKey);
    return found == m_listed.end() ? m_others : found->second;
}

LocalSlot *ServiceState::find(Cluster::SlotId slot)
{
    const auto found = local.find(slot);
    return found == local.end() ? nullptr : &found->second;
}

const LocalSlot *ServiceState::find(Cluster::SlotId slot) const
{
    const auto found = local.find(slot);
    return found == local.end() ? nullptr : &found->second;
}

LocalSlot &ServiceState::at(Cluster::SlotId slot)
{
    if (Cluster::isHotKey(slot))
        localHotKeys[baseSlotOf(slot)].insert(slot);
    return local[slot];
}

void ServiceState::erase(Cluster::SlotId slot)
{
    local.erase(slot);
    if (!Cluster::isHotKey(slot))
        return;
    const auto found = localHotKeys.find(baseSlotOf(slot));
    if (found == localHotKeys.end())
        return;
    found->second.erase(slot);
    if (found->second.empty())
        localHotKeys.erase(found);
}

Cluster::SlotId ServiceState::baseSlotOf(Cluster::SlotId slot) const
{
    return Cluster::isHotKey(slot) ? table.baseSlot(slot & ~Cluster::HotKeyBit) : slot;
}

bool ServiceState::isListed(Cluster::SlotId hotKey) const
{
    const Cluster::SlotEntry *base = table.entry(baseSlotOf(hotKey));
    return base != nullptr && contains(base->hotKeys, hotKey);
}

bool ServiceState::isMergedBack(Cluster::SlotId hotKey) const
{
    const Cluster::SlotId slot = baseSlotOf(hotKey);
    const Cluster::SlotEntry *base = table.entry(slot);
    const Cluster::SlotEntry *own = table.entry(hotKey);
    if (base == nullptr || own == nullptr)
        return false;
    const auto known = floors.find(slot);
    return own->epoch < (known == floors.end() ? base->epoch : known->second.of(hotKey));
}

void ServiceState::noteBaseEntry(const Cluster::SlotAssignment &assignment)
{
    if (Cluster::isHotKey(assignment.slot))
        return;
    auto known = floors.find(assignment.slot);
    if (known == floors.end() && assignment.entry.hotKeys.empty())
        return;
    if (known == floors.end()) {
        const Cluster::SlotEntry *former = table.entry(assignment.slot);
        const Cluster::Epoch epoch = former == nullptr ? 0 : former->epoch;
        known = floors.emplace(assignment.slot, HotKeyFloors(epoch)).first;
    }
    known->second.add(assignment.entry);
}

bool ServiceState::changeHotKeys(LocalSlot &local, const std::vector<Cluster::SlotId> &known,
                                 const std::vector<Cluster::SlotId> &listed)
{
    for (const Cluster::SlotId hotKey : listed) {
        if (local.requestsUpTo != 0 && !contains(known, hotKey))
            local.splitOff[hotKey] = local.requestsUpTo;
    }
    // Keys are looked up in the newest entry. When it takes a hot key back, the older entry must
    // not be used for it before its owner has released it.
    const bool takesBack = std::any_of(known.begin(), known.end(), [&](Cluster::SlotId hotKey) {
        return !contains(listed, hotKey);
    });
    if (!takesBack || !local.served)
        return false;
    local.served.reset();
    return true;
}

std::optional<std::size_t> ownerIndexOf(const Cluster::SlotEntry &entry, const Base::InstanceId &id)
{
    const auto found = std::find(entry.owners.begin(), entry.owners.end(), id);
    if (found == entry.owners.end())
        return {};
    return static_cast<std::size_t>(found - entry.owners.begin());
}

std::optional<std::size_t> firstLiveOwner(const Cluster::SlotEntry &entry,
                                          const InstanceDirectory &directory)
{
    const auto found
        = std::find_if(entry.owners.begin(), entry.owners.end(),
                       [&directory](const auto &owner) { return !directory.isSealed(owner); });
    if (found == entry.owners.end())
        return {};
    return static_cast<std::size_t>(found - entry.owners.begin());
}

} // namespace Medlar::Ownership
