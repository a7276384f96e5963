#pragma once

#include "cluster/noderecord.h"
#include "cluster/slotentry.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Medlar::Scenario {

/*! All services of a simulation are one service of this name with one chunk. */
constexpr const char *ServiceName = "s";

using Entries = std::map<Cluster::SlotId, Cluster::SlotEntry>;

/*! The object store: one assignment chunk under conditional update, node records and seals. */
class FakeStore
{
public:
    explicit FakeStore(std::uint32_t slotCount) : m_slotCount(slotCount) {}

    bool isUp() const { return m_up; }
    void setUp(bool up) { m_up = up; }

    std::uint32_t slotCount() const { return m_slotCount; }
    /*! The slot that \a unit is or, for a hot key, was split off from. */
    Cluster::SlotId baseSlotOf(Cluster::SlotId unit) const
    {
        return Cluster::isHotKey(unit) ? (unit & ~Cluster::HotKeyBit) % m_slotCount : unit;
    }
    std::uint64_t version() const { return m_version; }
    const Entries &entries() const { return m_entries; }
    std::vector<Cluster::SlotAssignment> assignments() const;

    /*! Writes the chunk if the store is up and \a expectedVersion is current. */
    bool write(std::uint64_t expectedVersion,
               const std::vector<Cluster::SlotAssignment> &assignments);

    void putRecord(const Cluster::NodeRecord &record) { m_records[record.instance.node] = record; }
    void removeRecord(const std::string &node) { m_records.erase(node); }
    const std::map<std::string, Cluster::NodeRecord> &records() const { return m_records; }

private:
    std::uint32_t m_slotCount;
    bool m_up = true;
    std::uint64_t m_version = 1;
    Entries m_entries;
    std::map<std::string, Cluster::NodeRecord> m_records;
};

} // namespace Medlar::Scenario
