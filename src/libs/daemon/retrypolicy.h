#pragma once

#include "base/time.h"
#include "messages/peermessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace Medlar::Daemon {

/*! An attempt that ended without a response. */
struct FailedAttempt
{
    Messages::Outcome outcome = Messages::Outcome::Unknown;
    std::string_view error;
    unsigned attempts = 0; //!< made so far, this one included
    Base::TimePoint deadline;
    std::string_view service;
};

/*! How one attempt ended, for the estimates of a policy. */
enum class AttemptEnd {
    Answered,
    LostHedge, //!< cancelled, because another attempt was answered first
    Overloaded,
    NotOwner,
    Failed
};

/*!
    Limits retries and hedges. The at-most-once rule is not its business: it is asked only where
   another attempt is safe. Used by the traffic thread only. Implementations read no clock.
*/
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /*! A caller's request arrived; budgets are shares of these. */
    virtual void onRequest(Base::TimePoint now, const std::string &service) = 0;
    /*! Whether the request may be tried once more; if so, the retry counts as made. */
    virtual bool takeRetry(Base::TimePoint now, const FailedAttempt &attempt) = 0;

    /*! \a latency is the age of the attempt when it ended. */
    virtual void onAttemptEnded(Base::TimePoint now, const std::string &service, AttemptEnd end,
                                Base::Duration latency)
    {
        static_cast<void>(now);
        static_cast<void>(service);
        static_cast<void>(end);
        static_cast<void>(latency);
    }
    /*! Age at which an idempotent request that any instance may serve gets a second attempt beside
     * the first; empty: never. */
    virtual std::optional<Base::Duration> hedgeDelay(const std::string &service) const
    {
        static_cast<void>(service);
        return std::nullopt;
    }
    /*! Whether that second attempt may be made now; if so, it counts as made. */
    virtual bool takeHedge(Base::TimePoint now, const std::string &service,
                           Base::TimePoint deadline)
    {
        static_cast<void>(now);
        static_cast<void>(service);
        static_cast<void>(deadline);
        return false;
    }
};

} // namespace Medlar::Daemon
