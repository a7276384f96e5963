#include "repeatbudget.h"

#include <algorithm>

namespace Medlar::Relay {

namespace {

// Share of the requests for a service that may be sent again, over all nodes.
constexpr double FleetShare = 0.2;
constexpr double ClientShare = FleetShare / 2;
// Repeats that are saved for calls; fractions above it are lost. The rest of the burst is left to
// other requests, which would otherwise get none while calls need none.
constexpr double CallBurst = 1.0;
// Rounding must not turn ten deposits of a tenth into less than one.
constexpr double Epsilon = 1e-9;

} // namespace

void RepeatBudget::onRequest(bool isCall, double repeatedShare)
{
    if (isCall) {
        // The calls of repeated requests count as repeats, and only the others as requests.
        const double share = FleetShare * (1.0 - repeatedShare) - repeatedShare;
        m_calls = std::min(CallBurst, m_calls + std::max(0.0, share));
    } else {
        m_others += ClientShare;
    }
    m_others = std::min(m_others, Burst - m_calls);
}

bool RepeatBudget::tryTake(bool isCall)
{
    double &available = isCall && m_calls + Epsilon >= 1.0 ? m_calls : m_others;
    if (available + Epsilon < 1.0)
        return false;
    available -= 1.0;
    return true;
}

} // namespace Medlar::Relay
