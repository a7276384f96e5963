#pragma once

#include "requestqueue.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace Medlar::Gate {

/*!
    Decides which waiting request gives its place to one of an account that has fewer requests. Does
    nothing for requests without an account.

    Handled load patterns:
    - One account sends more than all slots can serve, and its requests go first because they have
      the earlier deadlines: the others would get nothing.
    - Many small accounts want more than all slots together: an account that is already served far
      less often than all accounts does not lose any more requests.
*/
class AccountShares
{
public:
    // Commands

    void onOffered(Base::TimePoint now, const std::string &account);
    void onQueued(const std::string &account);
    void onStarted(Base::TimePoint now, const std::string &account);
    /*! A queued or started request was declined, cancelled or finished. */
    void onEnded(const std::string &account);

    // Queries

    /*! The last waiting request of the same priority of the account with the most waiting and
     * running requests, if a request of \a account at \a position may take its place. */
    std::optional<RequestQueue::Entry> displaceable(Base::TimePoint now, const RequestQueue &queue,
                                                    const QueuePosition &position,
                                                    const std::string &account) const;
    /*! Number of accounts that were seen recently. */
    std::size_t size() const { return m_accounts.size(); }

private:
    /*! Recent requests; older ones count less. */
    struct Service
    {
        double offered = 0.0;
        double started = 0.0;
        Base::TimePoint updated;

        Service at(Base::TimePoint now) const;
    };
    struct Account
    {
        std::size_t present = 0; //!< waiting and running
        Service service;
    };

    bool mayLose(Base::TimePoint now, const Account &account) const;
    void removeOld(Base::TimePoint now);

    std::unordered_map<std::string, Account> m_accounts;
    Service m_service; //!< of all accounts
    Base::TimePoint m_nextCleanup;
};

} // namespace Medlar::Gate
