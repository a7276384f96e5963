#include "capacitymodel.h"

#include <algorithm>

namespace Medlar::Standins {

namespace {

/*! Requests may arrive this much ahead of the average rate. */
constexpr double BurstSeconds = 0.02;
constexpr double MinBurst = 2;

double seconds(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

CapacityModel::CapacityModel(const CapacitySettings &settings, std::uint32_t seed, TimePoint start)
    : m_settings(settings)
    , m_random(seed)
    , m_distribution(0, settings.spread)
    , m_coldSince(start)
    , m_tokensAt(start)
{}

void CapacityModel::becomeCold(TimePoint now, std::chrono::milliseconds coldTime)
{
    if (coldTime.count() > 0)
        m_settings.coldTime = coldTime;
    m_coldSince = now;
    m_tokensAt = now;
    m_tokens = 1;
}

void CapacityModel::slowDown(TimePoint now, double factor, std::chrono::milliseconds duration)
{
    m_factor = factor;
    m_slowUntil = now + duration;
}

double CapacityModel::rate(TimePoint now) const
{
    const double coldFor = seconds(now - m_coldSince);
    const double coldTime = seconds(m_settings.coldTime);
    if (m_settings.fullRate <= 0 || coldFor >= coldTime)
        return 0;
    const double share
        = m_settings.coldFraction + (1 - m_settings.coldFraction) * coldFor / coldTime;
    return m_settings.fullRate * share;
}

bool CapacityModel::take(TimePoint now)
{
    const double current = rate(now);
    if (current <= 0)
        return true;
    const double burst = std::max(MinBurst, current * BurstSeconds);
    m_tokens = std::min(burst, m_tokens + current * seconds(now - m_tokensAt));
    m_tokensAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

std::chrono::microseconds CapacityModel::nextServiceTime(TimePoint now)
{
    const double factor = now < m_slowUntil ? m_factor : 1;
    const double us
        = static_cast<double>(m_settings.serviceTime.count()) * factor * m_distribution(m_random);
    return std::chrono::microseconds(static_cast<std::int64_t>(us));
}

} // namespace Medlar::Standins
