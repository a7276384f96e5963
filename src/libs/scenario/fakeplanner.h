#pragma once

#include "fakestore.h"

#include <unordered_set>

namespace Medlar::Scenario {

/*! What a planner knows besides the store. All facts are monotonic, so old ones stay true. */
struct PlannerView
{
    std::unordered_set<Base::InstanceId> sealed;
    /*! Epoch at which the owner of a slot reported that it serves it. */
    std::map<Cluster::SlotId, Cluster::Epoch> settled;
};

/*! Rewrites entries by the rules of docs/design.md, 3.1 and 3.7, without regard to load. */
class FakePlanner
{
public:
    FakePlanner(const FakeStore &store, const PlannerView &view);

    /*! Assigns all slots evenly to the active nodes. */
    void assignAll();
    /*! Gives \a slot to \a owner with successors in other zones. */
    void move(Cluster::SlotId slot, const Base::InstanceId &owner);
    /*! Writes \a slot again with the same owners. */
    void rewrite(Cluster::SlotId slot);
    /*! Gives \a hotKey of its base slot an entry of its own. */
    void split(Cluster::SlotId hotKey, const Base::InstanceId &owner);
    void mergeBack(Cluster::SlotId hotKey);
    /*! Replaces sealed and draining owners. */
    void repair();

    /*! Active nodes that are not sealed. */
    std::vector<Base::InstanceId> candidates() const;
    const std::vector<Cluster::SlotAssignment> &changes() const { return m_changes; }
    std::uint64_t version() const { return m_version; }

private:
    std::vector<Base::InstanceId> ownersWith(const Base::InstanceId &owner) const;
    std::vector<Base::InstanceId> possibleOwners(Cluster::SlotId slot) const;
    void write(Cluster::SlotId slot, Cluster::SlotEntry entry);
    bool isCandidate(const Base::InstanceId &instance) const;
    bool isLive(Cluster::SlotId slot) const;

    const FakeStore &m_store;
    const PlannerView &m_view;
    std::uint64_t m_version;
    Entries m_entries;
    Cluster::Epoch m_nextEpoch = 1;
    std::vector<Cluster::SlotAssignment> m_changes;
};

} // namespace Medlar::Scenario
