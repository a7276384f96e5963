#include "fencingguard.h"

namespace Medlar::Standins {

void FencingGuard::grant(const std::string &instance, TimePoint validUntil)
{
    m_instance = instance;
    m_validUntil = validUntil;
}

FencingGuard::Verdict FencingGuard::check(TimePoint now, const std::string &slot,
                                          std::uint64_t token)
{
    if (now >= m_validUntil)
        return Verdict::NoGrant;
    std::uint64_t &highest = m_highestTokens[slot];
    if (token < highest)
        return Verdict::LowerToken;
    highest = token;
    return Verdict::Accepted;
}

} // namespace Medlar::Standins
