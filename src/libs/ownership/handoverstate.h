#pragma once

#include "instancedirectory.h"

#include <map>
#include <set>
#include <unordered_map>

namespace Medlar::Ownership {

/*! A release that waits for requests in flight. */
struct PendingDrain
{
    Cluster::Epoch epoch = 0;
    /*! The slot itself and merged hot keys that must be drained with it. */
    std::set<Cluster::SlotId> remaining;
    /*! Who asked, and for which epoch. */
    std::map<Base::InstanceId, Cluster::Epoch> requesters;
};

/*! What this instance does with one slot that it serves, served or is an owner of. */
struct LocalSlot
{
    /*! The entry under which the slot is served, which may be older than the one in the table. */
    std::optional<Cluster::SlotEntry> served;
    /*! Highest epoch under which requests of the slot may be in flight; 0 when it is drained. */
    Cluster::Epoch requestsUpTo = 0;
    /*! Highest epoch at which each instance released the slot. */
    std::map<Base::InstanceId, Cluster::Epoch> released;
    std::optional<PendingDrain> drain;
    /*!
        Of a base slot: hot keys that were split off while requests for them may have begun as
       requests of the slot, and the highest epoch under which they can have begun.
    */
    std::map<Cluster::SlotId, Cluster::Epoch> splitOff;
    /*! Instances asked to release the slot, and for which epoch. */
    std::set<Base::InstanceId> asked;
    Cluster::Epoch askedEpoch = 0;
    /*! Former owners and prior instances, whose seals the unfenced guard applies to. */
    std::set<Base::InstanceId> formerInstances;
};

/*!
    Up to which epochs entries of hot keys are void, because the base slot took the hot keys back.
   Remembered apart from the base entry, since a later entry may list the same hot key again: its
   former entry must not become valid by that.
*/
class HotKeyFloors
{
public:
    /*! Takes the base slot to have listed no hot key up to \a epoch. */
    explicit HotKeyFloors(Cluster::Epoch epoch) : m_others(epoch) {}

    /*! Takes an entry of the base slot into account; entries may come in any order. */
    void add(const Cluster::SlotEntry &baseEntry);
    /*! Entries of \a hotKey with a lower epoch are void. */
    Cluster::Epoch of(Cluster::SlotId hotKey) const;

private:
    Cluster::Epoch m_others;
    std::map<Cluster::SlotId, Cluster::Epoch> m_listed;
};

/*! The assignment of one service and the part of it that concerns this instance. */
struct ServiceState
{
    explicit ServiceState(Cluster::SlotTable slotTable) : table(std::move(slotTable)) {}

    Cluster::SlotTable table;
    std::unordered_map<Cluster::SlotId, LocalSlot> local;
    /*! Hot keys in local, by base slot. */
    std::map<Cluster::SlotId, std::set<Cluster::SlotId>> localHotKeys;
    /*! By base slot; only for slots that listed a hot key at some time. */
    std::map<Cluster::SlotId, HotKeyFloors> floors;

    LocalSlot *find(Cluster::SlotId slot);
    const LocalSlot *find(Cluster::SlotId slot) const;
    LocalSlot &at(Cluster::SlotId slot);
    void erase(Cluster::SlotId slot);

    Cluster::SlotId baseSlotOf(Cluster::SlotId slot) const;
    /*! Whether the base entry of the hot key lists it, that is, it has an entry of its own. */
    bool isListed(Cluster::SlotId hotKey) const;
    /*! Whether the base slot took the hot key back after the entry in the table was written. */
    bool isMergedBack(Cluster::SlotId hotKey) const;
    /*! Notes which hot keys a base entry takes back, before it is merged and also if it is old. */
    void noteBaseEntry(const Cluster::SlotAssignment &assignment);
    /*!
        Prepares \a local for a newer list of hot keys. Returns whether the slot had to stop being
       served, because the list takes a hot key back that its owner has not released.
    */
    static bool changeHotKeys(LocalSlot &local, const std::vector<Cluster::SlotId> &known,
                              const std::vector<Cluster::SlotId> &listed);
};

using Services = std::map<std::string, ServiceState>;

/*! The index of \a id in the owners of \a entry, if it is one. */
std::optional<std::size_t> ownerIndexOf(const Cluster::SlotEntry &entry,
                                        const Base::InstanceId &id);

/*! The index of the first owner that is not sealed. */
std::optional<std::size_t> firstLiveOwner(const Cluster::SlotEntry &entry,
                                          const InstanceDirectory &directory);

} // namespace Medlar::Ownership
