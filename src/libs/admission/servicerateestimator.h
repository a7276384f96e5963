#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

namespace Medlar::Admission {

/*!
    Estimates how long a request will wait and run, from the rate at which a backlogged queue was
   drained and from the durations of completed requests. Idle time is not counted: it says nothing
   about how fast the BackendServer can work.
*/
class ServiceRateEstimator
{
public:
    /*! The queue became non-empty. */
    void onBacklogStarted(Base::TimePoint now);

    /*!
        One entry was dispatched; \a waited tells whether it had to wait. One that did not shows
       free capacity, not the rate of draining, and is not counted.
    */
    void onDispatched(Base::TimePoint now, bool waited, bool backlogRemains);

    /*! The queue became empty without a dispatch. */
    void onBacklogEnded(Base::TimePoint now);

    /*! A dispatched request ended after \a duration, with whatever result. */
    void onCompleted(Base::Duration duration);

    /*! Time until an entry with \a ahead entries before it is dispatched; empty when not yet known.
     */
    std::optional<Base::Duration> waitEstimate(Base::TimePoint now, double ahead) const;

    /*! Mean time from dispatch to completion, 0 when not yet known. */
    Base::Duration typicalDuration() const;

    /*! Time from dispatch in which nearly all requests complete, 0 when not yet known. */
    Base::Duration safeDuration() const;

private:
    void advance(Base::TimePoint now);

    std::optional<Base::TimePoint> m_busySince;
    double m_busySeconds = 0.0; //!< decayed
    double m_dispatched = 0.0;  //!< decayed
    double m_meanSeconds = 0.0;
    double m_deviationSeconds = 0.0;
    bool m_hasDuration = false;
};

} // namespace Medlar::Admission
