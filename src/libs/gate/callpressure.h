#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Medlar::Gate {

/*! How a call of the local BackendServer has ended. */
enum class CallResult {
    Answered,
    Overloaded, //!< declined because the called service is full
    Failed      //!< any other failure, for example a server that declines with free slots
};

std::string_view toString(CallResult result);

/*!
    Limits the requests that are started while the calls which the BackendServer makes for them
    are declined because the called service is full. A request whose call fails has used its slot
   for nothing, and the calls of the others compete with its own. Other failures limit nothing: they
    would be as frequent with fewer requests, and slots would stay idle.

    Handled load patterns:
    - The called service is overloaded: the share of requests that are started falls with the share
      of failed calls of the last second, so that those that are started succeed.
    - It recovers: the share never falls to zero, so that this is seen, and is one again when no
   call has failed for a second.
    - Single failures, and failures that do not come from an overload: nothing is limited.
    - Only a few of the requests make calls: the failures count against all requests, so that the
      others are not declined.
*/
class CallPressure
{
public:
    // Commands

    void onCallEnded(Base::TimePoint now, CallResult result);
    /*! Whether a request that may make calls is started; counts it if so. */
    bool tryStart(Base::TimePoint now, unsigned priority);

    // Queries

    /*! Share of requests that are started, from MinShare to 1. */
    double startedShare() const { return m_share; }
    /*! Time after which a declined request may be sent again. */
    static Base::Duration retryAfter();

    /*! Enough requests to see that calls succeed again, few enough not to load the called service.
     */
    static constexpr double MinShare = 0.1;

private:
    static constexpr std::size_t Intervals = 10; //!< that make up a second

    struct Counts
    {
        std::uint32_t calls = 0; //!< that have ended
        std::uint32_t overloaded = 0;
        std::uint32_t started = 0; //!< requests
    };

    void advance(Base::TimePoint now);
    void updateShare();
    double startedShare(unsigned priority) const;

    std::array<Counts, Intervals> m_counts;
    std::size_t m_interval = 0; //!< index of the present one
    Base::TimePoint m_intervalStart;
    double m_share = 1.0;
    std::array<double, 2> m_credits{}; //!< of priority 0 and of the others
};

} // namespace Medlar::Gate
