#include "fakeplanner.h"

#include <algorithm>

namespace Medlar::Scenario {

using namespace Cluster;

FakePlanner::FakePlanner(const FakeStore &store, const PlannerView &view)
    : m_store(store), m_view(view), m_version(store.version()), m_entries(store.entries())
{
    for (const auto &[slot, entry] : m_entries)
        m_nextEpoch = std::max(m_nextEpoch, entry.epoch + 1);
}

void FakePlanner::assignAll()
{
    const auto nodes = candidates();
    if (nodes.empty())
        return;
    for (SlotId slot = 0; slot < m_store.slotCount(); ++slot)
        move(slot, nodes[slot % nodes.size()]);
}

void FakePlanner::move(SlotId slot, const Base::InstanceId &owner)
{
    if (!isLive(slot))
        return;
    SlotEntry entry;
    entry.owners = ownersWith(owner);
    entry.prior = possibleOwners(slot);
    entry.hotKeys = m_entries[slot].hotKeys;
    write(slot, std::move(entry));
}

void FakePlanner::rewrite(SlotId slot)
{
    const auto &owners = m_entries[slot].owners;
    if (!owners.empty())
        move(slot, owners.front());
}

void FakePlanner::split(SlotId hotKey, const Base::InstanceId &owner)
{
    const SlotId base = m_store.baseSlotOf(hotKey);
    SlotEntry baseEntry = m_entries[base];
    if (isLive(hotKey))
        return;
    const auto prior = possibleOwners(base);
    baseEntry.prior = prior;
    baseEntry.hotKeys.push_back(hotKey);
    write(base, std::move(baseEntry));
    write(hotKey, SlotEntry{0, ownersWith(owner), prior, {}});
}

void FakePlanner::mergeBack(SlotId hotKey)
{
    const SlotId base = m_store.baseSlotOf(hotKey);
    SlotEntry entry = m_entries[base];
    const auto listed = std::find(entry.hotKeys.begin(), entry.hotKeys.end(), hotKey);
    if (listed == entry.hotKeys.end())
        return;
    entry.hotKeys.erase(listed);
    entry.prior = possibleOwners(base);
    for (const Base::InstanceId &instance : possibleOwners(hotKey)) {
        if (std::find(entry.prior.begin(), entry.prior.end(), instance) == entry.prior.end())
            entry.prior.push_back(instance);
    }
    write(base, std::move(entry));
}

void FakePlanner::repair()
{
    const auto nodes = candidates();
    if (nodes.empty())
        return;
    const Entries before = m_entries;
    for (const auto &[slot, entry] : before) {
        if (!isLive(slot)
            || std::all_of(entry.owners.begin(), entry.owners.end(),
                           [this](const auto &owner) { return isCandidate(owner); }))
            continue;
        const auto live = std::find_if(entry.owners.begin(), entry.owners.end(),
                                       [this](const auto &owner) { return isCandidate(owner); });
        move(slot, live == entry.owners.end() ? nodes[slot % nodes.size()] : *live);
    }
}

std::vector<Base::InstanceId> FakePlanner::candidates() const
{
    std::vector<Base::InstanceId> result;
    for (const auto &[node, record] : m_store.records()) {
        if (record.state == NodeState::Active && m_view.sealed.count(record.instance) == 0)
            result.push_back(record.instance);
    }
    return result;
}

std::vector<Base::InstanceId> FakePlanner::ownersWith(const Base::InstanceId &owner) const
{
    std::vector<Base::InstanceId> owners{owner};
    const auto nodes = candidates();
    const auto zoneOf = [this](const Base::InstanceId &id) {
        const auto record = m_store.records().find(id.node);
        return record == m_store.records().end() ? std::string() : record->second.availabilityZone;
    };
    const auto start = std::find(nodes.begin(), nodes.end(), owner);
    const auto offset = static_cast<std::size_t>(start - nodes.begin());
    for (const bool onlyOtherZones : {true, false}) {
        for (std::size_t i = 1; i <= nodes.size() && owners.size() < MaxOwnersPerEntry; ++i) {
            const Base::InstanceId &node = nodes[(offset + i) % nodes.size()];
            const bool isTaken = std::find(owners.begin(), owners.end(), node) != owners.end();
            const bool sameZone = std::any_of(owners.begin(), owners.end(), [&](const auto &id) {
                return zoneOf(id) == zoneOf(node);
            });
            if (!isTaken && !(onlyOtherZones && sameZone))
                owners.push_back(node);
        }
    }
    return owners;
}

std::vector<Base::InstanceId> FakePlanner::possibleOwners(SlotId slot) const
{
    const auto found = m_entries.find(slot);
    std::vector<Base::InstanceId> result;
    if (found == m_entries.end())
        return result;
    const SlotEntry &entry = found->second;
    const auto settled = m_view.settled.find(slot);
    const bool isSettled = settled != m_view.settled.end() && settled->second == entry.epoch;
    const auto add = [&](const Base::InstanceId &instance) {
        if (m_view.sealed.count(instance) == 0
            && std::find(result.begin(), result.end(), instance) == result.end())
            result.push_back(instance);
    };
    std::for_each(entry.owners.begin(), entry.owners.end(), add);
    if (!isSettled)
        std::for_each(entry.prior.begin(), entry.prior.end(), add);
    return result;
}

void FakePlanner::write(SlotId slot, SlotEntry entry)
{
    entry.epoch = m_nextEpoch++;
    m_entries[slot] = entry;
    const auto known = std::find_if(m_changes.begin(), m_changes.end(),
                                    [slot](const auto &change) { return change.slot == slot; });
    if (known == m_changes.end())
        m_changes.push_back({slot, std::move(entry)});
    else
        known->entry = std::move(entry);
}

bool FakePlanner::isCandidate(const Base::InstanceId &instance) const
{
    const auto nodes = candidates();
    return std::find(nodes.begin(), nodes.end(), instance) != nodes.end();
}

bool FakePlanner::isLive(SlotId slot) const
{
    if (!isHotKey(slot))
        return true;
    const auto base = m_entries.find(m_store.baseSlotOf(slot));
    return base != m_entries.end()
           && std::find(base->second.hotKeys.begin(), base->second.hotKeys.end(), slot)
                  != base->second.hotKeys.end();
}

} // namespace Medlar::Scenario
