#include "servicerateestimator.h"

#include <algorithm>
#include <cmath>

namespace Medlar::Admission {

namespace {

/*! Busy time after which an observation has lost two thirds of its weight. A hang or a change of
 * the concurrency limit shows within this time. */
constexpr double MemorySeconds = 0.5;

/*! Dispatches below which no estimate is given; single intervals vary too much. */
constexpr double LeastDispatches = 4.0;

constexpr double DurationGain = 1.0 / 16.0;

/*! For exponentially distributed durations, mean + 3 mean deviations covers 96% of them. */
constexpr double SafeDeviations = 3.0;

double seconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/*! Longest estimate; keeps conversions within the range of Duration. */
constexpr double MaxSeconds = 3600.0;

Base::Duration duration(double value)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double>(std::min(value, MaxSeconds)));
}

} // namespace

void ServiceRateEstimator::onBacklogStarted(Base::TimePoint now)
{
    m_busySince = now;
}

void ServiceRateEstimator::advance(Base::TimePoint now)
{
    if (!m_busySince || now <= *m_busySince)
        return;
    const double elapsed = seconds(now - *m_busySince);
    const double decay = std::exp(-elapsed / MemorySeconds);
    m_busySeconds = m_busySeconds * decay + MemorySeconds * (1.0 - decay);
    m_dispatched *= decay;
    m_busySince = now;
}

void ServiceRateEstimator::onDispatched(Base::TimePoint now, bool waited, bool backlogRemains)
{
    advance(now);
    if (waited)
        m_dispatched += 1.0;
    if (!backlogRemains)
        m_busySince.reset();
}

void ServiceRateEstimator::onBacklogEnded(Base::TimePoint now)
{
    advance(now);
    m_busySince.reset();
}

void ServiceRateEstimator::onCompleted(Base::Duration duration)
{
    const double sample = seconds(duration);
    if (!m_hasDuration) {
        m_hasDuration = true;
        m_meanSeconds = sample;
        m_deviationSeconds = sample / 2.0;
        return;
    }
    const double error = sample - m_meanSeconds;
    m_meanSeconds += DurationGain * error;
    m_deviationSeconds += DurationGain * (std::abs(error) - m_deviationSeconds);
}

std::optional<Base::Duration> ServiceRateEstimator::waitEstimate(Base::TimePoint now,
                                                                 double ahead) const
{
    ServiceRateEstimator current = *this;
    current.advance(now);
    // A hang must not hide behind too few dispatches: what was known before it began still counts.
    if (m_dispatched < LeastDispatches || current.m_busySeconds <= 0.0)
        return std::nullopt;
    const double rate = current.m_dispatched / current.m_busySeconds;
    return duration((ahead + 1.0) / std::max(rate, 1.0 / MaxSeconds));
}

Base::Duration ServiceRateEstimator::typicalDuration() const
{
    return duration(m_meanSeconds);
}

Base::Duration ServiceRateEstimator::safeDuration() const
{
    return duration(m_meanSeconds + SafeDeviations * m_deviationSeconds);
}

} // namespace Medlar::Admission
