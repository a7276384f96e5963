#pragma once

#include "base/time.h"

#include <optional>

namespace Medlar::Retry {

struct OverloadSettings
{
    double enterShare = 0.2; //!< of rejected attempts
    double leaveShare = 0.1;
    std::chrono::milliseconds maxQueueAge{200};
};

/*!
    Decides whether a service as a whole is overloaded: a large share of the recent attempts was
   rejected for overload, or a queue of the service holds old entries.
*/
class OverloadDetector
{
public:
    explicit OverloadDetector(const OverloadSettings &settings = {});

    /*! An attempt ended; \a isRejected: by admission, shedding or a ramp, not for another owner. */
    void onAttemptEnded(Base::TimePoint now, bool isRejected);

    /*! Age of the oldest entry of the service's queues, as far as known. */
    void onQueueAge(Base::TimePoint now, Base::Duration age);

    bool isOverloaded(Base::TimePoint now) const;

    /*! Share of recent attempts that were rejected. */
    double rejectedShare() const;

private:
    OverloadSettings m_settings;
    double m_attempts = 0.0; //!< decayed
    double m_rejected = 0.0; //!< decayed
    Base::TimePoint m_updatedAt;
    bool m_isRejecting = false;
    std::optional<Base::TimePoint> m_queueAgeExceededAt;
};

} // namespace Medlar::Retry
