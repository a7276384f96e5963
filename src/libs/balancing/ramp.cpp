#include "ramp.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Medlar::Balancing {

namespace {

constexpr double LowestRate = 1.0; //!< requests/s; at 0 the ramp would end in one step

/*! More than one token would allow bursts that a cold BackendServer cannot take. */
constexpr double BucketSize = 1.0;

/*! Absorbs rounding when a token is taken at exactly nextToken(). */
constexpr double TokenEpsilon = 1e-6;

constexpr std::chrono::seconds WarmWindow{1};

/*! Loss of the warm rate per window, so that a peak of long ago is forgotten after some minutes. */
constexpr double WarmDecay = 0.995;

/*! The observed rate is extrapolated to this use of the limit. At full use up to 124 requests were
 * shed when a whole service returned, because the rate is the highest of many windows. */
constexpr double SustainedBusyShare = 0.4;
constexpr double MaxExtrapolation = 3.0;

double seconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Ramp::Ramp(const RampSettings &settings) : m_settings(settings), m_nextSettings(settings) {}

void Ramp::start(Base::TimePoint now)
{
    const bool wasActive = isActive(now);
    m_settings = m_nextSettings;
    m_settings.newServerRate = std::max(m_settings.newServerRate, LowestRate);
    // A restart must not add a token to one that was just taken.
    m_tokens = wasActive ? std::min(m_tokens, BucketSize) : BucketSize;
    if (!wasActive) {
        m_rampTarget = m_warmRate;
        m_windowCount = 0;
    }
    m_startedAt = now;
    m_updatedAt = now;
}

bool Ramp::isActive(Base::TimePoint now) const
{
    return m_startedAt && now - *m_startedAt < m_settings.rampTime;
}

double Ramp::progress(Base::TimePoint at) const
{
    return std::clamp(seconds(at - *m_startedAt) / seconds(m_settings.rampTime), 0.0, 1.0);
}

/*! Slope of the line to the warm rate in units of newServerRate per ramp time; negative: no line.
 */
double Ramp::lineSlope() const
{
    return m_rampTarget / m_settings.newServerRate - 1.0;
}

std::optional<double> Ramp::rate(Base::TimePoint now) const
{
    if (!isActive(now))
        return std::nullopt;
    const double done = progress(now);
    const double curve = 1.0 / (1.0 - done);
    const double slope = lineSlope();
    return m_settings.newServerRate * (slope > 0.0 ? std::min(curve, 1.0 + slope * done) : curve);
}

/*! Integral of the rate from the start to \a progress. */
double Ramp::cumulative(double progress) const
{
    const auto curve = [](double done) { return -std::log(1.0 - done); };
    const double slope = lineSlope();
    const auto line = [slope](double done) { return done + slope * done * done / 2.0; };
    const double total = m_settings.newServerRate * seconds(m_settings.rampTime);
    if (slope <= 0.0)
        return total * curve(progress);
    // The curve starts below the line if it is flatter there, and crosses it once.
    const double crossing = slope > 1.0 ? 1.0 - 1.0 / slope : 0.0;
    if (progress <= crossing)
        return total * curve(progress);
    return total * (curve(crossing) + line(progress) - line(crossing));
}

double Ramp::allowance(Base::TimePoint from, Base::TimePoint to) const
{
    if (!isActive(to))
        return std::numeric_limits<double>::infinity();
    return cumulative(progress(to)) - cumulative(progress(from));
}

// The observed rate alone is demand. A BackendServer at a tenth of its capacity was held to it, and
// requests were rejected when it got more keys after its return than before.
void Ramp::countWarm(Base::TimePoint now, double busyShare)
{
    const Base::Duration elapsed = now - m_windowStart;
    if (m_windowCount == 0 || elapsed > 2 * WarmWindow) {
        m_windowStart = now;
        m_windowCount = 0;
    } else if (elapsed >= WarmWindow) {
        const double busy = m_windowBusy / m_windowCount;
        const double factor
            = std::clamp(SustainedBusyShare / std::max(busy, 0.01), 1.0, MaxExtrapolation);
        m_warmRate = std::max(m_warmRate * WarmDecay, factor * m_windowCount / seconds(elapsed));
        m_windowStart = now;
        m_windowCount = 0;
    }
    if (m_windowCount == 0)
        m_windowBusy = 0.0;
    ++m_windowCount;
    m_windowBusy += busyShare;
}

bool Ramp::tryTake(Base::TimePoint now, double busyShare)
{
    if (!isActive(now)) {
        countWarm(now, busyShare);
        return true;
    }
    m_tokens = std::min(BucketSize, m_tokens + allowance(m_updatedAt, now));
    m_updatedAt = std::max(m_updatedAt, now);
    if (m_tokens < 1.0 - TokenEpsilon)
        return false;
    m_tokens -= 1.0;
    return true;
}

Base::TimePoint Ramp::nextToken(Base::TimePoint now) const
{
    if (!isActive(now))
        return now;
    const double missing = 1.0 - std::min(BucketSize, m_tokens + allowance(m_updatedAt, now));
    if (missing <= TokenEpsilon)
        return now;
    // Bisection: the piecewise integral has no simple inverse. 40 halvings of the ramp time are
    // finer than a nanosecond.
    double low = progress(now);
    double high = 1.0;
    const double wanted = cumulative(low) + missing;
    for (int i = 0; i < 40; ++i) {
        const double middle = (low + high) / 2.0;
        (cumulative(middle) < wanted ? low : high) = middle;
    }
    const std::chrono::duration<double> sinceStart(seconds(m_settings.rampTime) * high);
    return std::max(now, *m_startedAt + std::chrono::ceil<Base::Duration>(sinceStart));
}

} // namespace Medlar::Balancing
