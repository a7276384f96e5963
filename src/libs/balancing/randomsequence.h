#pragma once

#include <cstdint>

namespace Medlar::Balancing {

/*! SplitMix64: cheap, the same on all platforms, and any seed gives a good sequence. */
class RandomSequence
{
public:
    explicit RandomSequence(std::uint64_t seed) : m_state(seed) {}

    std::uint64_t next();

    /*! Evenly distributed from 0 up to, but not including, 1. */
    double share();

private:
    std::uint64_t m_state;
};

} // namespace Medlar::Balancing
