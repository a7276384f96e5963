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
    std::string id;                 //!< as in RangeRow::owner
    bool takesRanges = false;       //!< ready, and its zone is in service
    bool isStarting = false;        //!< its BackendServer has not reported yet
    bool mustReleaseRanges = false; //!< draining, evacuated, or lost for longer than a restart
    double slots = 1.0; //!< below 1 if the BackendServer has named a low limit of requests
    double relativeServiceTime
        = 1.0; //!< service time relative to the mean of all nodes of the service
};

struct PlannerSettings
{
    /*! Ranges of each node in the initial table. The ranges of different nodes are interleaved,
     * since busy keys tend to be adjacent. */
    std::size_t initialRangesPerNode = 8;
    /*! Time after the start of a node before it creates the initial table. Nodes that start
     * together know each other by then. */
    Base::Duration minInitialTableDelay = std::chrono::milliseconds(2000);
    /*! The initial table waits until the BackendServers of all known nodes have reported, up to
     * this time after the start. */
    Base::Duration maxInitialTableDelay = std::chrono::milliseconds(6000);
    /*! Limit of concurrent moves, multiplied by the number of nodes of the service. Requests for
     * keys that are being moved have to wait. */
    std::size_t maxMovesPerNode = 4;
    /*! With more ranges, the response to a heartbeat would be too long. */
    std::size_t maxRangesPerNode = 36;
    /*! Balancing moves ranges away from a node only if its weighted utilization exceeds the mean
     * utilization of the service by this fraction of the mean, and also by minExcess. */
    double imbalance = 0.25;
    /*! Minimum excess over the mean utilization, in busy slots per slot. Other Vms on the same host
     * can briefly slow a BackendServer down to a third of its speed, so requests are queued long
     * before the mean utilization reaches 1. */
    double minExcess = 0.12;
    /*! Time after a move is planned until the reports of the new owner include the load of the
     * moved range. */
    Base::Duration settlingTime = std::chrono::milliseconds(2500);
    /*! Minimum by which a move has to reduce the higher utilization of its source and target. */
    double minReduction = 0.02;
    /*! Exponent of the relative service time of a node by which its utilization is weighted while
     * most slots of the service are idle. Service times do not depend on the number of busy slots,
     * so fast nodes should be nearly full before slow nodes get much load. */
    double maxServiceTimeExponent = 3.0;
    /*! A key whose load is at least the number of slots of its node is moved only to a node whose
     * service time is lower by this factor. */
    double minSpeedup = 1.3;
};

/*!
    Plans the moves of key ranges between nodes. It only sets successors; the owner of a range
   releases it, see RangeKeeper. Handles hot spots of adjacent keys and BackendServers that join,
   leave or are lost, and BackendServers that have named a limit of requests per second: they count
   as having fewer slots, so that keys are moved away from them. Balancing moves the pieces of
   ranges that RangeLoadMeter reports, preferably those with a high load and few keys, because keys
   are briefly unserved while they change owner.
*/
class RangePlanner
{
public:
    explicit RangePlanner(const PlannerSettings &settings = {}) : m_settings(settings) {}

    /*! Returns the initial table of a service \a sinceStart after the start of this node, or
     * nothing if it is too early or no node takes ranges. BackendServers that start together send
     * their first reports over several seconds; a table of the first few would give them all keys,
     * and with them the load of the whole service. */
    std::optional<RangeTable> initialTable(Base::Duration sinceStart,
                                           const std::vector<RangeNode> &nodes) const;
    /*! Returns a table that divides the keys among the nodes that take ranges. */
    std::optional<RangeTable> initialTable(const std::vector<RangeNode> &nodes) const;

    /*! Returns \a table with added or changed successors, or nothing if no successor changes.
     * \a loads are the latest reports of all nodes. */
    std::optional<RangeTable> plan(Base::TimePoint now, const RangeTable &table,
                                   const std::vector<RangeNode> &nodes,
                                   const std::vector<RangeLoad> &loads);

private:
    struct NodeState;
    struct Draft;
    struct Move;

    void prepareNodes(Draft &draft, const std::vector<RangeLoad> &loads) const;
    double serviceTimeExponent(const Draft &draft) const;
    void replaceLostSuccessors(Draft &draft) const;
    void drainLeavingNodes(Draft &draft) const;
    void balance(Draft &draft) const;
    bool moveOne(Draft &draft) const;
    std::optional<Move> bestMove(const Draft &draft, const NodeState &source) const;
    bool isSettling(const Range &range) const;
    std::vector<RangeLoad> withLoadsOfRecentMoves(Base::TimePoint now,
                                                  const std::vector<RangeLoad> &loads);

    /*! A range for which a move was planned recently, with its load at that time. The loads that
     * the previous and the new owner report for it are too low for a while, which would cause too
     * many further ranges to be moved to the new owner. */
    struct RecentMove
    {
        RangeLoad load;
        Base::TimePoint until;
    };

    PlannerSettings m_settings;
    std::vector<RecentMove> m_recentMoves;
};

} // namespace Medlar::KeyRange
