#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace Medlar::Balancing {

struct RampSettings
{
    /*! Requests/s that a freshly started BackendServer may receive; values below 1 count as 1. */
    double newServerRate = 1.0;
    Base::Duration rampTime{0}; //!< from newServerRate to no limit; 0: no ramp
};

/*!
    Limits the rate to one freshly started or cold BackendServer. At time t after the start the rate
   is newServerRate / (1 - t / rampTime), which grows without a step to no limit. Once the rate that
   the BackendServer can sustain while warm is known, it also stays below the straight line from
   newServerRate to that rate. In every window the number of requests is at most one more than the
   integral of the rate, because the token bucket holds a single token.
*/
class Ramp
{
public:
    /*! Not active until start() is called. */
    explicit Ramp(const RampSettings &settings);

    /*! Enters the ramp, or begins it anew. */
    void start(Base::TimePoint now);

    /*! Takes a token if one is there. Always succeeds while the ramp is not active. To be called
     * for every request that is sent, because the warm rate is counted here. \a busyShare: share
     * of the concurrency limit that is in use, 0 to 1. */
    bool tryTake(Base::TimePoint now, double busyShare = 1.0);

    /*! The new settings hold from the next start() on. */
    void setSettings(const RampSettings &settings) { m_nextSettings = settings; }

    bool isActive(Base::TimePoint now) const;

    /*! Requests/s allowed at \a now; empty when there is no limit. */
    std::optional<double> rate(Base::TimePoint now) const;

    /*! When a token will be there; \a now if one is. */
    Base::TimePoint nextToken(Base::TimePoint now) const;

    /*! Rate that the BackendServer could sustain in the last minutes without a ramp, 0 when not
     * known: the highest observed one, more if the BackendServer was little used then. */
    double warmRate() const { return m_warmRate; }

    /*! Integral of the rate between two moments of the present ramp; infinite after its end. */
    double allowance(Base::TimePoint from, Base::TimePoint to) const;

private:
    double progress(Base::TimePoint at) const;
    double cumulative(double progress) const;
    double lineSlope() const;
    void countWarm(Base::TimePoint now, double busyShare);

    RampSettings m_settings;
    RampSettings m_nextSettings;
    std::optional<Base::TimePoint> m_startedAt;
    double m_tokens = 0.0;
    Base::TimePoint m_updatedAt;

    double m_warmRate = 0.0;   //!< requests/s
    double m_rampTarget = 0.0; //!< warm rate at the start of the present ramp
    Base::TimePoint m_windowStart;
    std::uint32_t m_windowCount = 0;
    double m_windowBusy = 0.0; //!< sum of the busy shares in the window
};

} // namespace Medlar::Balancing
