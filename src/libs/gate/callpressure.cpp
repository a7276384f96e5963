#include "callpressure.h"

#include <algorithm>
#include <cmath>

namespace Medlar::Gate {

namespace {
constexpr std::chrono::milliseconds Interval{100};
// Share of failed calls that is not taken for an overload.
constexpr double ToleratedFailures = 0.02;
// Exponent of the share of successful calls. 10% of failures start half of the requests, 27% a
// tenth. A lower one lets more requests fail while the called service is overloaded; a higher one
// leaves slots idle for about a second after it has recovered.
constexpr double Steepness = 8.0;
// Fewer calls and requests in a second count as this many, so that a service with little load is
// not limited by two failures.
constexpr std::uint32_t MinCalls = 10;

} // namespace

std::string_view toString(CallResult result)
{
    switch (result) {
    case CallResult::Answered:
        return "answered";
    case CallResult::Overloaded:
        return "overloaded";
    case CallResult::Failed:
        return "failed";
    }
    return "unknown";
}

Base::Duration CallPressure::retryAfter()
{
    return Interval * Intervals;
}

void CallPressure::advance(Base::TimePoint now)
{
    if (now - m_intervalStart < Interval)
        return;
    if (now - m_intervalStart >= Interval * Intervals) {
        m_counts = {};
        m_intervalStart = now;
    }
    while (now - m_intervalStart >= Interval) {
        m_intervalStart += Interval;
        m_interval = (m_interval + 1) % Intervals;
        m_counts[m_interval] = {};
    }
    updateShare();
}

void CallPressure::updateShare()
{
    Counts sum;
    for (const Counts &counts : m_counts) {
        sum.calls += counts.calls;
        sum.overloaded += counts.overloaded;
        sum.started += counts.started;
    }
    // A single failure is no sign of an overload.
    const double overloaded = sum.overloaded > 0 ? sum.overloaded - 1.0 : 0.0;
    const double failures = overloaded / std::max({MinCalls, sum.calls, sum.started});
    m_share = std::max(MinShare,
                       std::pow(1.0 - std::max(0.0, failures - ToleratedFailures), Steepness));
}

void CallPressure::onCallEnded(Base::TimePoint now, CallResult result)
{
    advance(now);
    ++m_counts[m_interval].calls;
    if (result != CallResult::Overloaded)
        return;
    ++m_counts[m_interval].overloaded;
    updateShare();
}

// The most urgent requests have the highest value; they are limited only when more than half of the
// others are.
double CallPressure::startedShare(unsigned priority) const
{
    return priority == 0 ? std::min(1.0, 2.0 * m_share) : m_share;
}

bool CallPressure::tryStart(Base::TimePoint now, unsigned priority)
{
    advance(now);
    const double share = startedShare(priority);
    double &credit = m_credits[priority == 0 ? 0 : 1];
    credit = std::min(credit + share, 2.0);
    if (share < 1.0 && credit < 1.0)
        return false;
    credit = std::max(0.0, credit - 1.0);
    ++m_counts[m_interval].started;
    return true;
}

} // namespace Medlar::Gate
