#pragma once

#include "cluster/slottable.h"
#include "plannode.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Medlar::Placement {

/*! Limits of one planning round. */
struct PlanLimits
{
    double tolerance = 0.05; //!< deviation of a node's load from its share that balancing aims at
    /*! Deviation at which balancing begins. Rates of a few hundred requests scatter by more than
     * the tolerance, and moves for that reason would be undone by the next report. */
    double trigger = 0.09;
    std::size_t maxBalancingMoves
        = 1000; //!< moves that only improve balance; repairs are not limited
    std::size_t maxHotKeyMoves = 64;
};

/*! What the planner knows of one service. Weights are requests/s; slots without a weight count with
 * the mean. */
struct PlanInput
{
    const Cluster::SlotTable *table = nullptr;
    std::vector<PlanNode> nodes;
    std::unordered_set<Base::InstanceId> sealed;
    /*! Epochs under which the current owners reported that they serve. */
    std::unordered_map<Cluster::SlotId, Cluster::Epoch> settled;
    std::unordered_map<Cluster::SlotId, double> slotWeights;
    /*! Keys (as SlotId with HotKeyBit) that should have an entry of their own, with their weights.
     */
    std::unordered_map<Cluster::SlotId, double> hotKeys;
    /*! Names of the nodes that lost slots by a fault or by operators. A node that returns gets its
     * own slots back first, because its BackendServer may still hold their state. */
    std::unordered_map<Cluster::SlotId, std::string> formerNodes;
    PlanLimits limits;
};

/*! Entries to write. An entry's epoch is the highest of its chunk plus one. */
struct Plan
{
    std::vector<Cluster::SlotAssignment> changed;
    std::size_t repaired = 0;       //!< slots whose owner was lost, draining or out of service
    std::size_t balancingMoves = 0; //!< slots moved to improve balance
    std::size_t hotKeyChanges = 0;  //!< hot keys split off, moved or merged back
    std::size_t deferred = 0;       //!< slots that wait because their last move has not ended
    double imbalanceBefore = 0.0;   //!< highest load relative to the node's share
    double imbalanceAfter = 0.0;
};

/*!
    Computes the entries that repair and balance the assignment of one service with few moves.
   Owners stay where they are unless they are lost, must not serve, or hold more than their share
   allows.
*/
Plan planSlots(const PlanInput &input);

} // namespace Medlar::Placement
