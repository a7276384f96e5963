#pragma once

#include "slotentry.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Medlar::Cluster {

constexpr std::uint32_t MaxSlotsPerService = 65536;

/*! Slots that are stored in one object of the assignment. */
constexpr std::uint32_t SlotsPerChunk = 512;

/*! The assignment of one service: an entry for each slot, and entries for single hot keys. */
class SlotTable
{
public:
    /*! Fails unless \a slotCount is between 1 and MaxSlotsPerService. */
    static tl::expected<SlotTable, std::string> create(std::string service,
                                                       std::uint32_t slotCount);

    /*! Takes \a assignment if its epoch is higher than the known one; returns whether it was taken.
     */
    bool merge(const SlotAssignment &assignment);

    const std::string &service() const { return m_service; }
    std::uint32_t slotCount() const { return static_cast<std::uint32_t>(m_slots.size()); }
    std::uint32_t chunkCount() const { return (slotCount() + SlotsPerChunk - 1) / SlotsPerChunk; }

    /*! The slot that holds the key with \a keyHash, without regard to hot keys. */
    SlotId baseSlot(std::uint64_t keyHash) const { return keyHash % m_slots.size(); }

    /*! The slot or hot key that decides who owns the key with \a keyHash. */
    SlotId slotFor(std::uint64_t keyHash) const;

    /*! The chunk in which \a slot is stored; a hot key lies in the chunk of its base slot. */
    std::uint32_t chunkOf(SlotId slot) const;

    /*! The entry of \a slot, or nullptr when there is none yet. */
    const SlotEntry *entry(SlotId slot) const;

    /*! All entries of one chunk, slots first, in ascending order. */
    std::vector<SlotAssignment> chunk(std::uint32_t index) const;

    /*! The highest epoch in chunk \a index, 0 when it is empty. */
    Epoch highestEpoch(std::uint32_t index) const;

    const std::unordered_map<SlotId, SlotEntry> &hotKeys() const { return m_hotKeys; }

private:
    SlotTable(std::string service, std::uint32_t slotCount);

    std::string m_service;
    std::vector<SlotEntry> m_slots;
    std::unordered_map<SlotId, SlotEntry> m_hotKeys;
};

} // namespace Medlar::Cluster
