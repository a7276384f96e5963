#pragma once

#include <chrono>
#include <cstdint>

namespace Medlar::Scenario {

/*! SplitMix64. Its results are the same on every platform, unlike those of std distributions. */
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed) : m_state(seed) {}

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }
    /*! A value below \a limit, which must not be 0. */
    std::uint64_t below(std::uint64_t limit) { return next() % limit; }
    /*! True in \a percent of all calls. */
    bool chance(double percent) { return static_cast<double>(below(1000000)) < percent * 10000; }
    std::chrono::nanoseconds between(std::chrono::nanoseconds low, std::chrono::nanoseconds high)
    {
        const auto span = static_cast<std::uint64_t>((high - low).count());
        return low + std::chrono::nanoseconds(below(span + 1));
    }

private:
    std::uint64_t m_state;
};

} // namespace Medlar::Scenario
