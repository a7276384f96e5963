#include "concurrencylimit.h"

#include <algorithm>

namespace Medlar::Balancing {

namespace {

/*! Limit to begin with when the BackendServer does not say how many slots it has. */
constexpr std::uint32_t UnknownSlotsLimit = 8;

constexpr double DecreaseFactor = 0.7;
constexpr double LatencyDecreaseFactor = 0.9;

/*! Means of 20 exponentially distributed latencies exceed 2.5 times the baseline in fewer than 1 of
 * 10,000 windows. At a tolerance of 2 above the lowest mean, 12 slots reached 0.945 of their
 * capacity at three times overload. */
constexpr std::uint32_t WindowSize = 20;
constexpr double LatencyTolerance = 2.5;

/*! The baseline follows lower means at once and a lasting rise over some hundred windows. */
constexpr double BaselineFallGain = 0.1;
constexpr double BaselineRiseGain = 0.01;

constexpr std::uint32_t LearningWindows = 5;

/*! A BackendServer that is slow for another reason than its load gains nothing from a lower limit.
 */
constexpr double LatencyFloorShare = 0.5;

} // namespace

tl::expected<ConcurrencyLimit, std::string>
ConcurrencyLimit::create(const ConcurrencyLimitSettings &settings)
{
    if (settings.connections == 0)
        return tl::unexpected(std::string("no connection to the BackendServer is allowed"));
    std::uint32_t maximum = settings.maxConcurrency != 0 ? settings.maxConcurrency : settings.slots;
    if (maximum == 0)
        maximum = settings.connections;
    maximum = std::min(maximum, settings.connections);
    const std::uint32_t initial = settings.slots != 0 ? settings.slots : UnknownSlotsLimit;
    return ConcurrencyLimit(std::min(initial, maximum), maximum);
}

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t initial, std::uint32_t maximum)
    : m_maximum(maximum), m_limit(initial)
{}

void ConcurrencyLimit::onStarted()
{
    ++m_inFlight;
    m_peakInFlight = std::max(m_peakInFlight, m_inFlight);
}

void ConcurrencyLimit::onFinished(Base::TimePoint startedAt, Base::TimePoint now, LoadSignal signal)
{
    if (m_inFlight > 0)
        --m_inFlight;
    switch (signal) {
    case LoadSignal::Answered:
        addLatency(now - startedAt);
        return;
    case LoadSignal::Rejected:
    case LoadSignal::TimedOut:
        // Requests that began before the last decrease say nothing about the present limit.
        if (startedAt >= m_lastDecrease)
            decrease(now);
        return;
    case LoadSignal::Unrelated:
        return;
    }
}

void ConcurrencyLimit::decrease(Base::TimePoint now)
{
    m_limit = std::max(1.0, m_limit * DecreaseFactor);
    m_lastDecrease = now;
    m_sinceIncrease = 0;
}

void ConcurrencyLimit::addLatency(Base::Duration latency)
{
    m_latencySum += std::chrono::duration<double>(latency).count();
    ++m_count;
    if (m_count >= WindowSize) {
        endWindow();
        return;
    }
    const bool used = m_peakInFlight >= limit();
    if (used && ++m_sinceIncrease >= limit()) {
        m_sinceIncrease = 0;
        m_limit = std::min<double>(m_maximum, m_limit + 1.0);
    }
}

void ConcurrencyLimit::endWindow()
{
    const double mean = m_latencySum / m_count;
    const bool used = m_peakInFlight >= limit();
    const double floor = std::max(1.0, LatencyFloorShare * m_maximum);
    if (used && m_windows >= LearningWindows && mean > LatencyTolerance * m_baselineLatency
        && m_limit > floor) {
        m_limit = std::max(floor, m_limit * LatencyDecreaseFactor);
        m_sinceIncrease = 0;
    }
    // The first answers are the fast ones, so the baseline begins as the mean of some windows.
    ++m_windows;
    const double gain = mean < m_baselineLatency ? BaselineFallGain : BaselineRiseGain;
    const double learningGain = m_windows <= LearningWindows ? 1.0 / m_windows : gain;
    m_baselineLatency += learningGain * (mean - m_baselineLatency);
    m_count = 0;
    m_latencySum = 0.0;
    m_peakInFlight = m_inFlight;
}

} // namespace Medlar::Balancing
