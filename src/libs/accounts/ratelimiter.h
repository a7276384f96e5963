#pragma once

#include "accountdirectory.h"
#include "base/time.h"
#include "messages/peermessages.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Medlar::Accounts {

/*! What happens to a request of an account. */
struct RateDecision
{
    enum class Verdict { Admitted, Held, Refused };

    Verdict verdict = Verdict::Admitted;
    std::uint64_t ticket = 0;                //!< of a held request
    std::chrono::milliseconds retryAfter{0}; //!< of a refused request
};

/*! The end of the wait of a held request. */
struct RateResolution
{
    std::uint64_t ticket = 0;
    bool isAdmitted = false;
    std::chrono::milliseconds retryAfter{0};
};

/*!
    Admits requests of limited accounts on one node with credits from the RateCoordinator. A request
    without a credit is held while the coordinator is asked, at most MaxHold. If the coordinator
   does not answer in time, the node uses its fixed share of the rate, so that a slow coordinator
   does not make it refuse requests within the limit.
*/
class RateLimiter
{
public:
    /*! The answer of a coordinator in another region takes 40 ms. */
    static constexpr std::chrono::milliseconds MaxHold{60};

    // Commands

    void setAccounts(std::shared_ptr<const AccountDirectory> accounts);
    /*! Sets the number of nodes among which rates are divided without a coordinator. */
    void setNodeCount(std::size_t nodeCount) { m_nodeCount = std::max<std::size_t>(1, nodeCount); }
    /*! Credits stay valid; requests that wait for an answer ask again. */
    void onCoordinatorChanged(Base::TimePoint now);
    RateDecision request(Base::TimePoint now, const std::string &account);
    /*! The report to be sent to the coordinator now, if any. */
    std::optional<Messages::RateReport> takeReport(Base::TimePoint now);
    std::vector<RateResolution> onAllotment(Base::TimePoint now,
                                            const Messages::RateAllotment &allotment);
    /*! Ends the wait of requests that were held for MaxHold. */
    std::vector<RateResolution> endExpiredHolds(Base::TimePoint now);
    /*! Gives back unused credits and forgets accounts without demand. */
    void tick(Base::TimePoint now);

    // Queries

    /*! Whether takeReport() should be called before its regular interval. */
    bool hasUrgentReport() const { return !m_urgent.empty(); }
    std::size_t heldCount() const { return m_heldCount; }

private:
    struct Held
    {
        std::uint64_t ticket = 0;
        Base::TimePoint deadline;
    };
    struct State
    {
        std::uint32_t credits = 0;
        Base::TimePoint creditsEnd;
        Messages::RateDemand counts; //!< since the last report
        std::deque<Held> held;
        std::size_t asked = 0; //!< held requests, from the front, that reports contained
        Base::TimePoint noAskUntil;
        Base::TimePoint retryAt; //!< for callers of refused requests
        double demand = 0.0;     //!< decaying count of requests
        Base::TimePoint demandAt;
        std::optional<double> level; //!< of the coordinator's bucket
        Base::TimePoint levelAt;
        double reserve = 0.0; //!< tokens of the fixed share
        Base::TimePoint reserveAt;
    };

    State &state(Base::TimePoint now, const ClientAccount &account);
    static double currentDemand(Base::TimePoint now, const State &state);
    static std::uint32_t wantedCredits(Base::TimePoint now, const State &state);
    bool needsReport(Base::TimePoint now, const State &state) const;
    bool isAnswerPending(Base::TimePoint now) const;
    static void dropExpiredCredits(Base::TimePoint now, State &state);
    bool takeReserve(Base::TimePoint now, const ClientAccount &account, State &state) const;
    double reserveCapacity(const ClientAccount &account) const;
    Messages::RateDemand takeDemand(Base::TimePoint now, const ClientAccount &account,
                                    State &state) const;
    void applyGrant(Base::TimePoint now, const Messages::RateGrant &grant, State &state,
                    std::vector<RateResolution> &resolutions);
    RateResolution popHeld(State &state, bool isAdmitted, std::chrono::milliseconds retryAfter);
    static std::chrono::milliseconds retryAfter(Base::TimePoint now, const State &state);

    std::shared_ptr<const AccountDirectory> m_accounts;
    std::unordered_map<std::string, State> m_states; //!< by account
    std::size_t m_nodeCount = 1;
    std::size_t m_heldCount = 0;
    std::uint64_t m_lastTicket = 0;
    std::uint64_t m_sequence = 0;
    bool m_isFirstReport = true;
    std::uint64_t m_answeredSequence = 0;
    std::set<std::string> m_urgent; //!< accounts that need a report before the regular one
    Base::TimePoint m_reportedAt;
    Base::TimePoint m_regularReportAt;
};

} // namespace Medlar::Accounts
