#pragma once

#include "base/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Medlar::Balancing {

struct ConcurrencyLimitSettings
{
    std::uint32_t slots = 0;          //!< that the BackendServer announced; 0: unknown
    std::uint32_t connections = 120;  //!< that the daemon may open to the BackendServer
    std::uint32_t maxConcurrency = 0; //!< of the route; 0: the slots
};

/*! How a request to the BackendServer ended, as far as it says something about its load. */
enum class LoadSignal {
    Answered,
    Rejected,  //!< shed by the BackendServer
    TimedOut,  //!< no response before the deadline
    Unrelated, //!< cancelled, or the connection failed
};

/*!
    Number of requests that one BackendServer may run at once. Additive increase while the limit is
   used, multiplicative decrease on rejections and time-outs, and a smaller decrease when latency
   rises at full use. Latency alone does not lower the limit below half of its maximum.
*/
class ConcurrencyLimit
{
public:
    /*! Fails when no connection is allowed. The error says so. */
    static tl::expected<ConcurrencyLimit, std::string>
    create(const ConcurrencyLimitSettings &settings);

    bool mayStart() const { return m_inFlight < limit(); }
    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }
    std::uint32_t maximum() const { return m_maximum; }
    std::uint32_t inFlight() const { return m_inFlight; }
    /*! Share of the limit that is in use. */
    double busyShare() const { return static_cast<double>(m_inFlight) / limit(); }

    void onStarted();
    /*! A request that began at \a startedAt ended at \a now. Call once for each onStarted(). */
    void onFinished(Base::TimePoint startedAt, Base::TimePoint now, LoadSignal signal);

private:
    ConcurrencyLimit(std::uint32_t initial, std::uint32_t maximum);

    void decrease(Base::TimePoint now);
    void addLatency(Base::Duration latency);
    void endWindow();

    std::uint32_t m_maximum = 1;
    std::uint32_t m_inFlight = 0;
    double m_limit = 1.0;
    Base::TimePoint m_lastDecrease;

    // Window of completions
    std::uint32_t m_count = 0;
    std::uint32_t m_peakInFlight = 0;
    double m_latencySum = 0.0;      //!< seconds
    double m_baselineLatency = 0.0; //!< seconds; usual window mean, biased low
    std::uint32_t m_windows = 0;
    std::uint32_t m_sinceIncrease = 0;
};

} // namespace Medlar::Balancing
