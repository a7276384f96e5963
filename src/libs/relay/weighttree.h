#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Medlar::Relay {

/*! Integer weights by position (a Fenwick tree). A change and a weighted draw each take a time that
 * grows with the logarithm of the number of weights. */
class WeightTree
{
public:
    // Commands

    void append(std::uint64_t weight);
    void removeLast();
    void set(std::size_t position, std::uint64_t weight);

    // Queries

    std::size_t size() const { return m_weights.size(); }
    std::uint64_t weight(std::size_t position) const { return m_weights[position]; }
    std::uint64_t total() const { return m_total; }
    /*! Position whose part of the sum of all weights contains \a value, which must be less than
     * total(). */
    std::size_t find(std::uint64_t value) const;

private:
    std::vector<std::uint64_t> m_weights;
    /*! The sum at index i covers the weights from i + 1 - lowestBit(i + 1) to i. */
    std::vector<std::uint64_t> m_sums;
    std::uint64_t m_total = 0;
};

} // namespace Medlar::Relay
