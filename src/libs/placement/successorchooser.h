#pragma once

#include "cluster/slotentry.h"
#include "plannode.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Medlar::Placement {

/*!
    Chooses the successors of slots so that those of one owner are distributed over many nodes in
   other availability zones. For each choice a few candidates are drawn by a hash of the slot and
   the one with the fewest successor roles is taken, which costs a constant time for each slot.
*/
class SuccessorChooser
{
public:
    explicit SuccessorChooser(const std::vector<PlanNode> &nodes);

    /*! Counts the roles that existing entries already give to the nodes. */
    void addExisting(const Cluster::SlotEntry &entry);

    /*!
        Successors for \a slot owned by node \a owner, at most two. Successors in \a keep that are
       still suitable are kept, so that a repair changes as little as possible.
    */
    std::vector<Base::InstanceId> choose(Cluster::SlotId slot, std::size_t owner,
                                         const std::vector<Base::InstanceId> &keep);

private:
    std::size_t pick(Cluster::SlotId slot, const std::vector<std::size_t> &taken,
                     const std::vector<std::size_t> &candidates, std::uint64_t seed) const;
    std::vector<std::size_t> otherZones(const std::vector<std::size_t> &taken) const;
    bool isSuitable(std::size_t node, const std::vector<std::size_t> &taken) const;

    const std::vector<PlanNode> &m_nodes;
    std::map<Base::InstanceId, std::size_t> m_indexes;
    std::vector<std::size_t> m_accepting;
    std::map<std::string, std::vector<std::size_t>> m_byZone;
    std::vector<std::size_t> m_roles; //!< successor roles of each node
};

} // namespace Medlar::Placement
