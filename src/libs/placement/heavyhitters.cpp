#include "heavyhitters.h"

#include <algorithm>
#include <utility>

namespace Medlar::Placement {

HeavyHitters::HeavyHitters(std::size_t capacity) : m_capacity(std::max<std::size_t>(capacity, 1))
{
    m_heap.reserve(m_capacity);
    m_positions.reserve(m_capacity);
}

void HeavyHitters::add(Cluster::SlotId key, std::uint64_t count)
{
    m_total += count;
    insert({key, count, 0});
}

void HeavyHitters::merge(const HeavyHitters &other)
{
    m_total += other.m_total;
    // Highest first, so that a low counter of one node does not displace a high one of another.
    for (const Counter &counter : other.top(other.m_heap.size()))
        insert(counter);
}

void HeavyHitters::clear()
{
    m_total = 0;
    m_heap.clear();
    m_positions.clear();
}

std::vector<HeavyHitters::Counter> HeavyHitters::top(std::size_t limit) const
{
    std::vector<Counter> result = m_heap;
    std::sort(result.begin(), result.end(), [](const Counter &a, const Counter &b) {
        return a.count != b.count ? a.count > b.count : a.key < b.key;
    });
    if (result.size() > limit)
        result.resize(limit);
    return result;
}

void HeavyHitters::insert(const Counter &counter)
{
    const auto found = m_positions.find(counter.key);
    if (found != m_positions.end()) {
        Counter &known = m_heap[found->second];
        known.count += counter.count;
        known.error += counter.error;
        siftDown(found->second);
        return;
    }
    if (m_heap.size() < m_capacity) {
        m_positions[counter.key] = m_heap.size();
        m_heap.push_back(counter);
        siftUp(m_heap.size() - 1);
        return;
    }

    // The lowest counter is taken over; its count is the bound of the new key's error.
    Counter &lowest = m_heap.front();
    m_positions.erase(lowest.key);
    lowest = {counter.key, lowest.count + counter.count, lowest.count + counter.error};
    m_positions[counter.key] = 0;
    siftDown(0);
}

void HeavyHitters::siftDown(std::size_t position)
{
    for (;;) {
        std::size_t lowest = position;
        for (const std::size_t child : {2 * position + 1, 2 * position + 2}) {
            if (child < m_heap.size() && m_heap[child].count < m_heap[lowest].count)
                lowest = child;
        }
        if (lowest == position)
            return;
        swapCounters(position, lowest);
        position = lowest;
    }
}

void HeavyHitters::siftUp(std::size_t position)
{
    while (position > 0) {
        const std::size_t parent = (position - 1) / 2;
        if (m_heap[parent].count <= m_heap[position].count)
            return;
        swapCounters(position, parent);
        position = parent;
    }
}

void HeavyHitters::swapCounters(std::size_t a, std::size_t b)
{
    std::swap(m_heap[a], m_heap[b]);
    m_positions[m_heap[a].key] = a;
    m_positions[m_heap[b].key] = b;
}

} // namespace Medlar::Placement
