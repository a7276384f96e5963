#pragma once

#include "base/time.h"
#include "rangeloadmeter.h"
#include "rangetable.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Medlar::KeyRange {

/*! A node whose BackendServer can hold ranges of the service. */
struct RangeNode
{
    std::string id;              //!< as the table names it
    bool takesRanges = false;    //!< ready, and its zone is in service
    bool mustGiveRanges = false; //!< leaving, out of service, or lost for longer than a restart
    double slots = 1.0;
    double slowness = 1.0; //!< time that work takes here, relative to the mean of the service
};

struct PlannerSettings
{
    /*! Ranges of a node in the first table. Interleaved, since busy keys are neighbours. */
    std::size_t firstRangesPerNode = 8;
    /*! Ranges that may be on the move at the same time for each node of the service, so that few
     * keys wait. */
    std::size_t maxMovesPerNode = 4;
    /*! More ranges would make the answer to a heartbeat too long. */
    std::size_t maxRangesPerNode = 36;
    /*! Nodes are balanced while the busiest exceeds the mean by this share ... */
    double imbalance = 0.25;
    /*! ... and by this many busy slots for each slot. Neighbours on the same machine may slow a
     * BackendServer down to a third for a moment, so callers wait long before all slots are busy.
     */
    double minExcess = 0.12;
    /*! After this time the reports of the new owner show the load of a range that moved. */
    Base::Duration settling = std::chrono::milliseconds(2500);
    /*! A move has to lower the highest utilization by this much. */
    double minRelief = 0.02;
    /*! How much more a slow node counts as busy while most slots of the service are idle, as an
     * exponent of its slowness. Service times do not depend on how many slots are busy, so fast
     * nodes should be nearly full before slow ones get much. */
    double maxSpeedWeight = 3.0;
    /*! A key that no node can serve alone moves only to one that is faster by this factor. */
    double worthwhileSpeedup = 1.3;
};

/*!
    Plans which ranges change hands. It sets successors only; owners let go by themselves, see
   RangeKeeper. Answers the load patterns "a stretch of keys becomes hot", "a BackendServer joins",
   "leaves" and "is lost": the busiest and smallest pieces move first, because keys that change
   hands are unserved for a moment.
*/
class RangePlanner
{
public:
    explicit RangePlanner(const PlannerSettings &settings = {}) : m_settings(settings) {}

    /*! The first table of a service, or nothing without nodes. */
    std::optional<RangeTable> firstTable(const std::vector<RangeNode> &nodes) const;

    /*! The table with further or other successors, or nothing when none has to change. \a loads
     * are the last reports of all nodes. */
    std::optional<RangeTable> plan(Base::TimePoint now, const RangeTable &table,
                                   const std::vector<RangeNode> &nodes,
                                   const std::vector<RangeLoad> &loads);

private:
    struct Draft;

    struct Move;

    double speedWeight(const Draft &draft) const;
    void replaceLostSuccessors(Draft &draft) const;
    void emptyLeavingNodes(Draft &draft) const;
    void balance(Draft &draft) const;
    bool moveOne(Draft &draft) const;
    std::optional<Move> bestMove(const Draft &draft, const std::string &sourceId) const;
    bool isSettling(const Range &range) const;
    std::vector<RangeLoad> withCarriedLoads(Base::TimePoint now,
                                            const std::vector<RangeLoad> &loads);

    /*! A range that was sent to another node, with the load that it had. Reports of the former and
     * of the new owner are too low for a while, which would make further ranges follow. */
    struct Carried
    {
        RangeLoad load;
        Base::TimePoint until;
    };

    PlannerSettings m_settings;
    std::vector<Carried> m_carried;
};

} // namespace Medlar::KeyRange
