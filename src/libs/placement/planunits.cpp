#include "planunits.h"

#include <algorithm>
#include <utility>

namespace Medlar::Placement {

using Base::InstanceId;
using Cluster::SlotEntry;
using Cluster::SlotId;

namespace {

class UnitCollector
{
public:
    UnitCollector(const PlanInput &input, const std::map<InstanceId, std::size_t> &nodeIndex)
        : m_input(input), m_table(*input.table), m_nodeIndex(nodeIndex)
    {}

    PlanUnits run();

private:
    void addUnits();
    void addUnit(SlotId slot, const SlotEntry *entry);
    void splitAndMergeHotKeys();
    void splitHotKey(SlotId key, double weight);
    void mergeHotKeys(PlanUnit &base);

    const PlanInput &m_input;
    const Cluster::SlotTable &m_table;
    const std::map<InstanceId, std::size_t> &m_nodeIndex;
    std::vector<PlanUnit> m_units;
    std::size_t m_hotKeyChanges = 0;
};

PlanUnits UnitCollector::run()
{
    addUnits();
    splitAndMergeHotKeys();
    return {std::move(m_units), m_hotKeyChanges};
}

void UnitCollector::addUnits()
{
    m_units.reserve(m_table.slotCount() + m_table.hotKeys().size() + m_input.hotKeys.size());
    for (SlotId slot = 0; slot < m_table.slotCount(); ++slot)
        addUnit(slot, m_table.entry(slot));
    for (SlotId slot = 0; slot < m_table.slotCount(); ++slot) {
        for (const SlotId key : std::vector<SlotId>(m_units[slot].hotKeys)) {
            // Without its entry the earlier owners of the key are unknown, so it must not be
            // assigned.
            if (const SlotEntry *entry = m_table.entry(key))
                addUnit(key, entry);
        }
    }
}

void UnitCollector::addUnit(SlotId slot, const SlotEntry *entry)
{
    PlanUnit unit;
    unit.slot = slot;
    unit.entry = entry;
    const auto weight = m_input.slotWeights.find(slot);
    unit.weight = weight == m_input.slotWeights.end() ? -1.0 : weight->second;
    if (entry) {
        unit.hotKeys = entry->hotKeys;
        const auto settled = m_input.settled.find(slot);
        unit.isSettled = settled != m_input.settled.end() && settled->second == entry->epoch;
        for (const InstanceId &owner : entry->owners) {
            if (m_input.sealed.count(owner) != 0)
                continue;
            const auto node = m_nodeIndex.find(owner);
            unit.originalOwner = node == m_nodeIndex.end() ? NoNode : node->second;
            break;
        }
        unit.mustRewrite = m_input.sealed.count(entry->owners.front()) != 0;
    }
    m_units.push_back(std::move(unit));
}

void UnitCollector::splitAndMergeHotKeys()
{
    for (SlotId slot = 0; slot < m_table.slotCount(); ++slot)
        mergeHotKeys(m_units[slot]);
    for (const auto &[key, weight] :
         std::map<SlotId, double>(m_input.hotKeys.begin(), m_input.hotKeys.end()))
        splitHotKey(key, weight);
}

void UnitCollector::splitHotKey(SlotId key, double weight)
{
    const SlotId slot = m_table.baseSlot(key & ~Cluster::HotKeyBit);
    PlanUnit &base = m_units[slot];
    const bool known
        = std::find(base.hotKeys.begin(), base.hotKeys.end(), key) != base.hotKeys.end();
    if (known || !base.entry || m_hotKeyChanges >= m_input.limits.maxHotKeyMoves)
        return;

    base.hotKeys.push_back(key);
    base.mustRewrite = true;
    if (base.weight > weight)
        base.weight -= weight;
    ++m_hotKeyChanges;

    PlanUnit unit;
    unit.slot = key;
    unit.entry = base.entry;
    unit.weight = weight;
    unit.originalOwner = base.originalOwner;
    unit.isSettled = base.isSettled;
    unit.isNewHotKey = true;
    unit.mustRewrite = true;
    m_units.push_back(std::move(unit));
}

void UnitCollector::mergeHotKeys(PlanUnit &base)
{
    const auto isCold = [this](SlotId key) { return m_input.hotKeys.count(key) == 0; };
    for (const SlotId key : base.hotKeys) {
        const SlotEntry *entry = isCold(key) ? m_table.entry(key) : nullptr;
        if (!entry)
            continue;
        base.merged.insert(base.merged.end(), entry->owners.begin(), entry->owners.end());
        base.merged.insert(base.merged.end(), entry->prior.begin(), entry->prior.end());
        base.mustRewrite = true;
        ++m_hotKeyChanges;
        m_units.erase(
            std::remove_if(m_units.begin() + m_table.slotCount(), m_units.end(),
                           [key = key](const PlanUnit &unit) { return unit.slot == key; }),
            m_units.end());
    }
    base.hotKeys.erase(std::remove_if(base.hotKeys.begin(), base.hotKeys.end(), isCold),
                       base.hotKeys.end());
}

} // namespace

PlanUnits collectUnits(const PlanInput &input, const std::map<InstanceId, std::size_t> &nodeIndex)
{
    return UnitCollector(input, nodeIndex).run();
}

} // namespace Medlar::Placement
