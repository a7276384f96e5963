#pragma once

#include "base/time.h"
#include "eventqueue.h"

namespace Medlar::Scenario {

/*! The monotonic clock of one node: runs at a rate near 1 from an arbitrary start. */
class DriftingClock
{
public:
    DriftingClock(TrueTime start, Base::TimePoint localStart);

    /*! Changes the rate at \a now; 0.01 means that the clock runs 1% too fast. */
    void setDrift(TrueTime now, double drift);
    Base::TimePoint local(TrueTime now) const;
    /*! The earliest true time at which the clock shows at least \a local. */
    TrueTime trueTimeOf(Base::TimePoint local) const;

private:
    TrueTime m_trueStart;
    Base::TimePoint m_localStart;
    double m_rate = 1.0;
};

} // namespace Medlar::Scenario
