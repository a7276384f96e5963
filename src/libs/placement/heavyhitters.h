#pragma once

#include "cluster/slotentry.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Medlar::Placement {

/*!
    Space-saving sketch of the most frequent keys. Holds at most \a capacity counters; the count of
   a key is too high by at most its error, and any key with more than total/capacity requests is
   held. Sketches of several nodes are merged by adding counts.
*/
class HeavyHitters
{
public:
    struct Counter
    {
        Cluster::SlotId key = 0;
        std::uint64_t count = 0;
        std::uint64_t error = 0;
    };

    explicit HeavyHitters(std::size_t capacity);

    void add(Cluster::SlotId key, std::uint64_t count = 1);
    void merge(const HeavyHitters &other);
    void clear();

    /*! The \a limit highest counters, highest first. */
    std::vector<Counter> top(std::size_t limit) const;
    std::uint64_t total() const { return m_total; }

private:
    void insert(const Counter &counter);
    void siftDown(std::size_t position);
    void siftUp(std::size_t position);
    void swapCounters(std::size_t a, std::size_t b);

    std::size_t m_capacity;
    std::uint64_t m_total = 0;
    std::vector<Counter> m_heap; // lowest count at the front
    std::unordered_map<Cluster::SlotId, std::size_t> m_positions;
};

} // namespace Medlar::Placement
