#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Medlar::Balancing {

/*! Why a BackendServer is taken for cold. */
enum class ColdReason {
    ConnectionsLost,    //!< all or most connections closed at once
    Reconnected,        //!< first connection after all had been lost
    LatencyAndFailures, //!< both rose far above their usual values at about the same time
};

std::string_view toString(ColdReason reason);

/*!
    Notices that a BackendServer was restarted or lost its caches without announcing it. Whenever a
   function returns a reason, the caller starts the ramp of that BackendServer anew.
*/
class ColdDetector
{
public:
    /*! \a quietTime: a rise of latency and failures is not reported again before it has passed;
     * usually the ramp time. */
    explicit ColdDetector(Base::Duration quietTime);

    /*! A ramp was started for another reason; the quiet time begins. */
    void onRampStarted(Base::TimePoint now) { m_reportedAt = now; }

    /*! A connection failed or was closed by the BackendServer; \a open others remain. */
    std::optional<ColdReason> onConnectionLost(Base::TimePoint now, std::size_t open);

    std::optional<ColdReason> onConnectionOpened(Base::TimePoint now);

    /*! A request was answered after \a latency. */
    std::optional<ColdReason> onAnswered(Base::TimePoint now, Base::Duration latency);

    /*! A request was shed, timed out or failed at the BackendServer. */
    std::optional<ColdReason> onFailed(Base::TimePoint now);

private:
    void endLatencyWindow(Base::TimePoint now);
    void countRequest(Base::TimePoint now, bool failed);
    std::optional<ColdReason> check(Base::TimePoint now);

    Base::Duration m_quietTime;
    bool m_allLost = false;
    std::size_t m_lost = 0; //!< connections lost since m_lostSince
    Base::TimePoint m_lostSince;
    std::optional<Base::TimePoint> m_reportedAt;

    // Windows: latency of answered requests, failures of all requests
    std::uint32_t m_answered = 0;
    double m_latencySum = 0.0; //!< seconds
    std::uint32_t m_requests = 0;
    std::uint32_t m_failed = 0;
    std::uint32_t m_failedInARow = 0;

    // Usual values, and when each was last exceeded by far
    double m_usualLatency = 0.0; //!< seconds
    std::uint32_t m_latencyWindows = 0;
    std::optional<double> m_usualFailures; //!< share
    std::optional<Base::TimePoint> m_latencyJumpedAt;
    std::optional<Base::TimePoint> m_failuresJumpedAt;
};

} // namespace Medlar::Balancing
