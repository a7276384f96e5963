#pragma once

#include "base/instanceid.h"

#include <cstdint>
#include <vector>

namespace Medlar::Cluster {

/*!
    Identifies what is owned as a whole: a slot of the key space, or a single hot key. Values below
   the service's slot count are slots; a hot key is its key hash with HotKeyBit set.
*/
using SlotId = std::uint64_t;

/*! Counts the rewrites of entries in one chunk of the assignment; 0 means never assigned. */
using Epoch = std::uint64_t;

/*! Handed to BackendServers; grows with each change of owner of a slot. */
using FencingToken = std::uint64_t;

constexpr SlotId HotKeyBit = SlotId(1) << 63U;
constexpr std::size_t MaxOwnersPerEntry = 3;

constexpr bool isHotKey(SlotId id)
{
    return (id & HotKeyBit) != 0;
}

/*! The assignment of one slot or hot key. See docs/design.md, 3.1 and 3.4. */
struct SlotEntry
{
    Epoch epoch = 0;
    /*! The assigned owner, then its successors in the order in which they take over. */
    std::vector<Base::InstanceId> owners;
    /*! Every instance that may have owned the slot under a lower epoch. */
    std::vector<Base::InstanceId> prior;
    /*! Hot keys of this slot that have an entry of their own; empty for a hot key. */
    std::vector<SlotId> hotKeys;

    /*! The token under which the owner at \a ownerIndex serves. */
    FencingToken tokenFor(std::size_t ownerIndex) const
    {
        return epoch * (MaxOwnersPerEntry + 1) + ownerIndex;
    }
};

inline bool operator==(const SlotEntry &a, const SlotEntry &b)
{
    return a.epoch == b.epoch && a.owners == b.owners && a.prior == b.prior
           && a.hotKeys == b.hotKeys;
}

/*! An entry with its slot, as stored and as sent between daemons. */
struct SlotAssignment
{
    SlotId slot = 0;
    SlotEntry entry;
};

inline bool operator==(const SlotAssignment &a, const SlotAssignment &b)
{
    return a.slot == b.slot && a.entry == b.entry;
}

} // namespace Medlar::Cluster
