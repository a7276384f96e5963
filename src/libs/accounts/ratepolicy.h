#pragma once

#include "base/time.h"
#include "clientaccount.h"

#include <algorithm>

namespace Medlar::Accounts {

/*! Interval at which a node reports to the coordinator, if it had demand. */
constexpr std::chrono::milliseconds RateReportInterval{500};
/*! Credits of a node expire this long after the last answer of the coordinator. */
constexpr std::chrono::milliseconds CreditLifetime{2000};

/*!
    What the requirement leaves above rate and burst: in any 5 s, (rate x 5 + burst) x 1.1 + 20
    requests of an account may be sent. Half of the excess covers credits that nodes hold; the other
    half covers the delay of reports, fixed shares without a coordinator and changes of the
    coordinator.
*/
inline double allowedExcess(const ClientAccount &account)
{
    constexpr double WindowSeconds = 5.0;
    constexpr double Ratio = 0.1;
    constexpr double Requests = 20.0;
    return (account.ratePerSecond * WindowSeconds + account.burst) * Ratio + Requests;
}

/*! Credits that all nodes together may hold. */
inline double maxCredits(const ClientAccount &account)
{
    constexpr double ShareOfExcess = 0.5;
    return allowedExcess(account) * ShareOfExcess;
}

/*! Seconds in a duration, for rates. */
inline double toSeconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Medlar::Accounts
