#pragma once

#include "slotplanner.h"

#include <map>

namespace Medlar::Placement {

/*! Index of a node that does not exist. */
constexpr std::size_t NoNode = static_cast<std::size_t>(-1);

/*! A slot or hot key during planning. */
struct PlanUnit
{
    Cluster::SlotId slot = 0;
    const Cluster::SlotEntry *entry
        = nullptr; //!< what the table holds; for a new hot key that of its slot
    double weight = 0.0;
    std::size_t originalOwner = NoNode; //!< the node that owns it now
    std::size_t owner = NoNode;         //!< the node that shall own it
    bool isSettled = false;
    bool isNewHotKey = false;
    bool mustRewrite = false;
    std::vector<Cluster::SlotId> hotKeys; //!< hot keys of the slot after planning
    std::vector<Base::InstanceId> merged; //!< possible owners of hot keys that were merged back
};

struct PlanUnits
{
    std::vector<PlanUnit> units; //!< base slots first, at the index of their slot
    std::size_t hotKeyChanges = 0;
};

/*!
    All slots and hot keys of the table, with hot keys split off and merged back as \a input says.
   \a nodeIndex has the places of the instances in the list of nodes.
*/
PlanUnits collectUnits(const PlanInput &input,
                       const std::map<Base::InstanceId, std::size_t> &nodeIndex);

} // namespace Medlar::Placement
