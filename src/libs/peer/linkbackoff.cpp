#include "linkbackoff.h"

#include <algorithm>

namespace Medlar::Peer {

LinkBackoff::LinkBackoff(const BackoffSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U)))
    , m_nominal(settings.initial)
{}

void LinkBackoff::onFailure(Base::TimePoint now)
{
    const std::chrono::microseconds nominal = m_nominal;
    std::uniform_int_distribution<std::int64_t> jitter(nominal.count() / 2, nominal.count());
    m_nextAttempt = now + std::chrono::microseconds(jitter(m_random));
    m_nominal = std::min(m_nominal * 2, m_settings.maximum);
}

void LinkBackoff::onSuccess()
{
    m_nominal = m_settings.initial;
}

} // namespace Medlar::Peer
