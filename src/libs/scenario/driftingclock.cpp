#include "driftingclock.h"

namespace Medlar::Scenario {

DriftingClock::DriftingClock(TrueTime start, Base::TimePoint localStart)
    : m_trueStart(start), m_localStart(localStart)
{}

void DriftingClock::setDrift(TrueTime now, double drift)
{
    m_localStart = local(now);
    m_trueStart = now;
    m_rate = 1.0 + drift;
}

Base::TimePoint DriftingClock::local(TrueTime now) const
{
    const auto elapsed = static_cast<double>((now - m_trueStart).count());
    return m_localStart + std::chrono::nanoseconds(static_cast<std::int64_t>(elapsed * m_rate));
}

TrueTime DriftingClock::trueTimeOf(Base::TimePoint local) const
{
    if (local <= m_localStart)
        return m_trueStart;
    const auto elapsed = static_cast<double>((local - m_localStart).count());
    // One nanosecond more makes up for rounding, so that a timer never fires early.
    return m_trueStart + TrueTime(static_cast<std::int64_t>(elapsed / m_rate) + 1);
}

} // namespace Medlar::Scenario
