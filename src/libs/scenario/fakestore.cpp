#include "fakestore.h"

namespace Medlar::Scenario {

std::vector<Cluster::SlotAssignment> FakeStore::assignments() const
{
    std::vector<Cluster::SlotAssignment> result;
    result.reserve(m_entries.size());
    for (const auto &[slot, entry] : m_entries)
        result.push_back({slot, entry});
    return result;
}

bool FakeStore::write(std::uint64_t expectedVersion,
                      const std::vector<Cluster::SlotAssignment> &assignments)
{
    if (!m_up || expectedVersion != m_version)
        return false;
    ++m_version;
    for (const Cluster::SlotAssignment &assignment : assignments)
        m_entries[assignment.slot] = assignment.entry;
    return true;
}

} // namespace Medlar::Scenario
