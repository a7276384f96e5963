#include "randomsequence.h"

namespace Medlar::Balancing {

std::uint64_t RandomSequence::next()
{
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

double RandomSequence::share()
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(next() >> 11U) * Scale;
}

} // namespace Medlar::Balancing
