#include "weighttree.h"

namespace Medlar::Relay {

namespace {

std::size_t lowestBit(std::size_t number)
{
    return number & (~number + 1);
}

} // namespace

void WeightTree::append(std::uint64_t weight)
{
    const std::size_t number = m_weights.size() + 1;
    std::uint64_t sum = weight;
    for (std::size_t i = number - 1; i > number - lowestBit(number); i -= lowestBit(i))
        sum += m_sums[i - 1];
    m_weights.push_back(weight);
    m_sums.push_back(sum);
    m_total += weight;
}

void WeightTree::removeLast()
{
    m_total -= m_weights.back();
    m_weights.pop_back();
    m_sums.pop_back();
}

void WeightTree::set(std::size_t position, std::uint64_t weight)
{
    // Unsigned arithmetic wraps, so that the difference may be negative.
    const std::uint64_t difference = weight - m_weights[position];
    if (difference == 0)
        return;
    m_weights[position] = weight;
    m_total += difference;
    for (std::size_t i = position + 1; i <= m_sums.size(); i += lowestBit(i))
        m_sums[i - 1] += difference;
}

std::size_t WeightTree::find(std::uint64_t value) const
{
    std::size_t step = 1;
    while (step * 2 <= m_sums.size())
        step *= 2;
    std::size_t position = 0;
    for (; step > 0; step /= 2) {
        if (position + step <= m_sums.size() && m_sums[position + step - 1] <= value) {
            position += step;
            value -= m_sums[position - 1];
        }
    }
    return position;
}

} // namespace Medlar::Relay
