#include "replicastatistics.h"

#include <algorithm>
#include <cmath>

namespace Medlar::Balancing {

namespace {

/*! The average follows a rise within a few requests and a fall more slowly, so that a single fast
 * response does not hide a problem. */
constexpr double RiseGain = 0.3;
constexpr double FallGain = 0.1;

constexpr double SteadyGain = 0.1;

/*! Without new samples the average approaches the usual latency with this time constant. */
constexpr double ForgetSeconds = 1.0;

/*! Rise of the lowest latency per sample; follows a changed route within some hundred requests. */
constexpr double LowestRise = 0.005;

constexpr double RejectionFactor = 0.5;
constexpr double LowestAcceptance = 0.05;
constexpr double AcceptanceRecoverySeconds = 2.0; //!< from 0 to 1

/*! Rejections within this time count once: they stem from the same decision to send. */
constexpr std::chrono::milliseconds RejectionWindow{20};

/*! A report changes the score by at most this factor, so that a false one cannot outweigh a
 * straggler's latency. */
constexpr double LargestHint = 3.0;

double seconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ReplicaStatistics::ReplicaStatistics(const SelectorSettings &settings)
    : m_reportLifetime(settings.reportLifetime)
{}

void ReplicaStatistics::onEnded(Base::TimePoint sentAt)
{
    const auto found = m_outstanding.find(sentAt);
    if (found != m_outstanding.end())
        m_outstanding.erase(found);
}

/*! \a average in seconds, with regard to the time since the last sample. */
double ReplicaStatistics::decayed(double average, Base::TimePoint now, Base::Duration usual) const
{
    const double expected = seconds(usual);
    if (!m_hasLatency)
        return expected;
    if (average <= expected)
        return average;
    return expected + std::exp(-seconds(now - m_latencyAt) / ForgetSeconds) * (average - expected);
}

void ReplicaStatistics::addLatency(Base::TimePoint now, Base::Duration latency,
                                   Base::Duration usual)
{
    if (!m_hasLatency) {
        m_lowest = latency;
        resetLatency(now, latency);
        return;
    }
    const double sample = seconds(latency);
    const double average = decayed(m_latency, now, usual);
    m_latency = average + (sample > average ? RiseGain : FallGain) * (sample - average);
    const double steady = decayed(m_steadyLatency, now, usual);
    m_steadyLatency = steady + SteadyGain * (sample - steady);
    m_latencyAt = now;
    const auto rise = std::chrono::duration_cast<Base::Duration>(LowestRise * (latency - m_lowest));
    m_lowest = std::min(latency, m_lowest + rise);
}

void ReplicaStatistics::addLatencyBound(Base::TimePoint now, Base::Duration latency,
                                        Base::Duration usual)
{
    if (m_hasLatency && seconds(latency) > decayed(m_latency, now, usual))
        addLatency(now, latency, usual);
}

void ReplicaStatistics::resetLatency(Base::TimePoint now, Base::Duration latency)
{
    m_hasLatency = true;
    m_latency = seconds(latency);
    m_steadyLatency = m_latency;
    m_latencyAt = now;
}

void ReplicaStatistics::onRejected(Base::TimePoint now)
{
    if (now - m_rejectedAt < RejectionWindow && m_acceptance < 1.0)
        return;
    m_acceptance = std::max(LowestAcceptance, RejectionFactor * acceptance(now));
    m_rejectedAt = now;
}

double ReplicaStatistics::acceptance(Base::TimePoint now) const
{
    if (m_acceptance >= 1.0)
        return 1.0;
    return std::min(1.0, m_acceptance + seconds(now - m_rejectedAt) / AcceptanceRecoverySeconds);
}

double ReplicaStatistics::hintFactor(Base::TimePoint now) const
{
    if (!m_report)
        return 1.0;
    const double age = std::max(0.0, seconds(now - m_report->measuredAt));
    const double trust = std::max(0.0, 1.0 - age / seconds(m_reportLifetime));
    const double utilisation = std::clamp(m_report->utilisation, 0.0, LargestHint - 1.0);
    return 1.0 + trust * utilisation;
}

double ReplicaStatistics::steadyLatency(Base::TimePoint now, Base::Duration usual) const
{
    return std::max(decayed(m_steadyLatency, now, usual), seconds(oldestAge(now)));
}

double ReplicaStatistics::score(Base::TimePoint now, Base::Duration usual) const
{
    const double latency = std::max(decayed(m_latency, now, usual), seconds(oldestAge(now)));
    return latency * static_cast<double>(m_outstanding.size() + 1) * hintFactor(now);
}

std::size_t ReplicaStatistics::overdue(Base::TimePoint now, Base::Duration age) const
{
    std::size_t count = 0;
    for (auto it = m_outstanding.begin(); it != m_outstanding.end() && now - *it > age; ++it)
        ++count;
    return count;
}

Base::Duration ReplicaStatistics::oldestAge(Base::TimePoint now) const
{
    return m_outstanding.empty() ? Base::Duration{0} : now - *m_outstanding.begin();
}

} // namespace Medlar::Balancing
