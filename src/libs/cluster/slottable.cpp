#include "slottable.h"

#include <algorithm>
#include <utility>

namespace Medlar::Cluster {

tl::expected<SlotTable, std::string> SlotTable::create(std::string service, std::uint32_t slotCount)
{
    if (slotCount == 0 || slotCount > MaxSlotsPerService)
        return tl::unexpected("slot count " + std::to_string(slotCount) + " is not in 1.."
                              + std::to_string(MaxSlotsPerService));
    return SlotTable(std::move(service), slotCount);
}

SlotTable::SlotTable(std::string service, std::uint32_t slotCount)
    : m_service(std::move(service)), m_slots(slotCount)
{}

bool SlotTable::merge(const SlotAssignment &assignment)
{
    if (!isHotKey(assignment.slot) && assignment.slot >= m_slots.size())
        return false;

    SlotEntry &known
        = isHotKey(assignment.slot) ? m_hotKeys[assignment.slot] : m_slots[assignment.slot];
    if (assignment.entry.epoch <= known.epoch)
        return false;
    known = assignment.entry;
    return true;
}

SlotId SlotTable::slotFor(std::uint64_t keyHash) const
{
    const SlotId slot = baseSlot(keyHash);
    const std::vector<SlotId> &hotKeys = m_slots[slot].hotKeys;
    if (hotKeys.empty())
        return slot;

    const SlotId hotKey = keyHash | HotKeyBit;
    const bool isSeparate = std::find(hotKeys.begin(), hotKeys.end(), hotKey) != hotKeys.end();
    return isSeparate ? hotKey : slot;
}

std::uint32_t SlotTable::chunkOf(SlotId slot) const
{
    const SlotId base = isHotKey(slot) ? baseSlot(slot & ~HotKeyBit) : slot;
    return static_cast<std::uint32_t>(base / SlotsPerChunk);
}

const SlotEntry *SlotTable::entry(SlotId slot) const
{
    if (isHotKey(slot)) {
        const auto found = m_hotKeys.find(slot);
        return found == m_hotKeys.end() ? nullptr : &found->second;
    }
    if (slot >= m_slots.size() || m_slots[slot].epoch == 0)
        return nullptr;
    return &m_slots[slot];
}

std::vector<SlotAssignment> SlotTable::chunk(std::uint32_t index) const
{
    std::vector<SlotAssignment> result;
    const std::size_t first = std::size_t(index) * SlotsPerChunk;
    const std::size_t last = std::min(first + SlotsPerChunk, m_slots.size());
    for (std::size_t slot = first; slot < last; ++slot) {
        if (m_slots[slot].epoch != 0)
            result.push_back({slot, m_slots[slot]});
    }
    const std::size_t hotKeysStart = result.size();
    for (const auto &[slot, entry] : m_hotKeys) {
        // An entry that its base slot no longer lists was merged back and is void.
        if (chunkOf(slot) == index && slotFor(slot & ~HotKeyBit) == slot)
            result.push_back({slot, entry});
    }
    std::sort(result.begin() + static_cast<std::ptrdiff_t>(hotKeysStart), result.end(),
              [](const auto &a, const auto &b) { return a.slot < b.slot; });
    return result;
}

Epoch SlotTable::highestEpoch(std::uint32_t index) const
{
    Epoch highest = 0;
    for (const SlotAssignment &assignment : chunk(index))
        highest = std::max(highest, assignment.entry.epoch);
    return highest;
}

} // namespace Medlar::Cluster
