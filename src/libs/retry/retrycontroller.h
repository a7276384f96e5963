#pragma once

#include "attempthistory.h"
#include "budgets.h"
#include "overloaddetector.h"

#include <string_view>

namespace Medlar::Retry {

/*! Why an attempt did not bring the answer. */
enum class AttemptFailure {
    Overload, //!< not run: rejected by admission, shedding or a ramp
    NotOwner, //!< not run: the receiver does not own the key
    Other,    //!< link lost, timed out, invalid response
};

enum class RetryVerdict {
    Retry,
    AtMostOnce, //!< the request may have run and is not idempotent
    AttemptsUsedUp,
    NoTimeLeft,
    Overloaded,
    BudgetUsedUp,
};

std::string_view toString(RetryVerdict verdict);

/*!
    Retries and hedges of one service in one daemon. The daemon reports each request and the end of
   each attempt, and asks before each further attempt.
*/
class RetryController
{
public:
    explicit RetryController(const OverloadSettings &settings = {});

    // Events

    /*! A request arrived, before its first attempt. */
    void onRequest();
    /*! \a latency without the distance to another region, see Balancing::Choice. */
    void onAttemptAnswered(Base::TimePoint now, Base::Duration latency);
    /*! The attempt was cancelled because its hedge was answered first. */
    void onAttemptLostHedge(Base::TimePoint now, Base::Duration age);
    void onAttemptFailed(Base::TimePoint now, AttemptFailure failure);
    void onQueueAge(Base::TimePoint now, Base::Duration age) { m_overload.onQueueAge(now, age); }

    // Decisions

    /*!
        Whether a further attempt may follow one that failed; \a timeLeft until the deadline. Takes
       from the budget when the verdict is Retry, unless the failure is NotOwner: a corrected route
       adds no load to a BackendServer.
    */
    RetryVerdict decideRetry(Base::TimePoint now, const AttemptHistory &history,
                             AttemptFailure failure, Base::Duration timeLeft);

    /*!
        Whether a second attempt may be made beside one that has been outstanding for hedgeDelay().
       Takes from the budget when the verdict is Retry.
    */
    RetryVerdict decideHedge(Base::TimePoint now, const AttemptHistory &history,
                             HedgePurpose purpose, Base::Duration timeLeft);

    /*! Age, apart from the distance to another region, at which an outstanding idempotent request
     * should be hedged; empty: not at all. */
    std::optional<Base::Duration> hedgeDelay() const { return m_hedges.delay(); }

    bool isOverloaded(Base::TimePoint now) const { return m_overload.isOverloaded(now); }

private:
    OverloadDetector m_overload;
    RetryBudget m_retries;
    HedgeBudget m_hedges;
};

} // namespace Medlar::Retry
