#include "keypopulation.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Medlar::Experiments {

namespace {

constexpr std::size_t MaxFrequentKeys = 200000;
constexpr std::uint64_t KeyHashMask = ~std::uint64_t(0) >> 1U;

// Sum of rank^-exponent from first to last, by the integral that the sum approaches for large
// ranks.
double tailSum(double first, double last, double exponent)
{
    if (last <= first)
        return 0.0;
    if (std::abs(exponent - 1.0) < 1e-9)
        return std::log(last / first);
    return (std::pow(last, 1.0 - exponent) - std::pow(first, 1.0 - exponent)) / (1.0 - exponent);
}

} // namespace

KeyPopulation::KeyPopulation(std::uint64_t keyCount, double exponent, double totalRate,
                             std::uint64_t seed)
    : m_totalRate(totalRate)
{
    std::mt19937_64 random(seed);
    const std::size_t frequent = std::min<std::uint64_t>(keyCount, MaxFrequentKeys);
    double sum = 0.0;
    for (std::size_t rank = 1; rank <= frequent; ++rank) {
        m_keys.push_back({random() & KeyHashMask, std::pow(double(rank), -exponent)});
        sum += m_keys.back().rate;
    }
    const double rest = tailSum(double(frequent), double(keyCount), exponent);
    const double scale = totalRate / (sum + rest);
    for (Key &key : m_keys)
        key.rate *= scale;
    m_restRate = rest * scale;
}

void KeyPopulation::replaceHottest(std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    for (std::size_t rank = 0; rank < std::min(count, m_keys.size()); ++rank)
        m_keys[rank].hash = random() & KeyHashMask;
}

} // namespace Medlar::Experiments
