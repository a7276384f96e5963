#pragma once

#include "base/time.h"
#include "cluster/slotentry.h"
#include "messages/peermessages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Medlar::Placement {

/*! When a key is split off its slot and when it is merged back, as shares of a node's mean load. */
struct HotKeyPolicy
{
    double splitShare = 0.25;
    double mergeShare = 0.10; //!< lower than splitShare, so that a key does not move back and forth
    double minimumRate = 100.0; //!< requests/s below which a key is never split off
    /*! Slots with fewer requests/s count with this, so that a few requests move nothing. Added to
     * all slots it would hide imbalance, because nodes with many idle slots would seem loaded. */
    double minimumSlotRate = 1.0;
    std::size_t maxHotKeys = 64;
    std::chrono::milliseconds halfLife{10000}; //!< of the averages of requests/s
    /*! Without a usable report for this long, a rate begins to fade. Nodes repeat unchanged rates
     * every three minutes, so that two reports were lost. */
    std::chrono::milliseconds staleAfter{400000};
};

/*!
    Combines the load summaries of all nodes into slot weights and hot keys for the planner.

    A slot that changed its owner during the window of a summary was served for a part of that
   window only. Such rates are not used, because a planner that takes them for the slot's load moves
   further slots in every round and never reaches balance.
*/
class LoadTracker
{
public:
    explicit LoadTracker(const HotKeyPolicy &policy = {});

    // Commands
    void onSummary(Base::TimePoint now, const Messages::LoadSummary &summary);
    /*! Which slots an instance serves; until it has served one for a whole window, the earlier rate
     * of the slot stays. */
    void onServed(Base::TimePoint now, const Messages::SlotsServed &served);
    /*! Entries that are about to be written. Carries the rates of hot keys over to their own
     * entries, and back to the slot. */
    void onPlanned(Base::TimePoint now, const std::string &service, std::uint32_t slotCount,
                   const std::vector<Cluster::SlotAssignment> &changed);
    /*! Recomputes which keys are hot for \a nodeCount nodes that share the load of \a service. */
    void updateHotKeys(const std::string &service, std::size_t nodeCount);

    /*! Whether the nodes are reporting right now, so that rates of two windows stand side by side.
     */
    bool isReceiving(const std::string &service, Base::TimePoint now) const;

    // Queries, in requests/s
    /*! Slots of which nothing is known yet are missing; idle ones count with the minimum. */
    std::unordered_map<Cluster::SlotId, double> slotWeights(const std::string &service,
                                                            Base::TimePoint now) const;
    std::unordered_map<Cluster::SlotId, double> hotKeys(const std::string &service) const;

private:
    struct Average
    {
        double rate = 0.0;
        Base::TimePoint updated;
    };

    /*! Who serves a slot, as far as it was reported. */
    struct Server
    {
        Base::InstanceId instance;
        Cluster::Epoch epoch = 0; //!< under which it serves
        Base::TimePoint since;
        Cluster::Epoch planned = 0; //!< of the last entry written
        Base::TimePoint plannedAt;
    };

    struct ServiceLoad
    {
        std::unordered_map<Cluster::SlotId, Average> slots;
        std::unordered_map<Cluster::SlotId, Average> keys;
        std::unordered_map<Cluster::SlotId, Server> servers;
        std::unordered_set<Cluster::SlotId> hot;
        std::unordered_set<Cluster::SlotId> split; //!< hot keys that have their own entry
        std::uint32_t slotCount = 0;               //!< 0 until something was planned
        Base::TimePoint started;                   //!< first report
        Base::TimePoint latest;                    //!< last report
        Base::TimePoint batchStarted;              //!< first report after a pause

        /*! Whether \a instance has served \a slot alone since \a begin, as far as is known. */
        bool servedSince(Cluster::SlotId slot, const Base::InstanceId &instance,
                         Base::TimePoint begin, Base::TimePoint now) const;
        /*! Whether \a instance serves the slot of a key that has no entry of its own. */
        bool servesSlotOf(Cluster::SlotId key, const Base::InstanceId &instance) const;
        void splitKeys(Cluster::SlotId slot, const std::vector<Cluster::SlotId> &hotKeys);
        void mergeKeys(Cluster::SlotId slot, const std::vector<Cluster::SlotId> &hotKeys);
    };

    void update(Average &average, Base::TimePoint now, double rate, double window) const;
    double faded(const Average &average, Base::TimePoint now) const;

    HotKeyPolicy m_policy;
    std::map<std::string, ServiceLoad> m_services;
};

} // namespace Medlar::Placement
