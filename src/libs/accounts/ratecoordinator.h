#pragma once

#include "accountdirectory.h"
#include "base/time.h"
#include "messages/peermessages.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace Medlar::Accounts {

/*!
    Divides the rates of all limited accounts among the nodes. Runs on one elected node. Each
    account has a token bucket. Nodes ask for tokens: for requests that they hold, and for credits
    with which they admit later requests without asking. The load patterns that it handles are:
    demand that is spread over all nodes, enters at one node or moves (credits follow the demand and
    unused ones come back), bursts at one node, and demand far above the limit (nodes are told when
    to ask again, so that the number of messages stays bounded).

    Credits are limited to maxCredits(), and the bucket is larger than the burst of the account by
   as much, so that credits of nodes without demand do not reduce what the account may use
   elsewhere.
*/
class RateCoordinator
{
public:
    /*! \a now: when the node was elected. Without reports, the buckets were half full then. */
    explicit RateCoordinator(Base::TimePoint now);

    // Commands

    /*! Buckets are cut to the new limits; a raised limit fills at its new rate. */
    void setAccounts(Base::TimePoint now, std::shared_ptr<const AccountDirectory> accounts);
    /*! \a share of the rates that this coordinator distributes: the reachable part of the nodes. */
    void setShare(Base::TimePoint now, double share);
    Messages::RateAllotment onReport(Base::TimePoint now, const std::string &node,
                                     const Messages::RateReport &report);
    /*! Forgets expired credits and unused accounts. */
    void tick(Base::TimePoint now);

    // Queries

    /*! Number of nodes that have reported within the lifetime of their credits. */
    std::size_t reporterCount() const { return m_reporters.size(); }
    /*! Number of accounts with recent demand. */
    std::size_t activeAccountCount() const { return m_buckets.size(); }

private:
    struct Holding
    {
        std::uint32_t credits = 0;
        std::uint32_t wanted = 0;
        Base::TimePoint reportedAt;
    };
    struct Bucket
    {
        double tokens = 0.0;
        double grantedTotal = 0.0; //!< tokens that left the bucket since its creation
        double discarded = 0.0;    //!< recent refill that did not fit
        Base::TimePoint refilledAt;
        std::map<std::string, Holding> holdings; //!< by node
        std::uint64_t credits = 0;               //!< of all holdings
        std::uint64_t wanted = 0;                //!< of all holdings
    };

    double rate(const ClientAccount &account) const;
    double capacity(const ClientAccount &account) const;
    double creditLimit(const ClientAccount &account) const;
    Bucket &bucket(Base::TimePoint now, const ClientAccount &account);
    void refill(Base::TimePoint now, const ClientAccount &account, Bucket &bucket) const;
    void applyReport(Base::TimePoint now, const ClientAccount &account, Bucket &bucket,
                     const std::string &node, bool isFirst,
                     const Messages::RateDemand &demand) const;
    Messages::RateGrant grant(const ClientAccount &account, Bucket &bucket, Holding &holding,
                              const Messages::RateDemand &demand) const;
    /*! Delay before a node whose requests were refused asks again. */
    std::chrono::milliseconds askDelay() const;

    Base::TimePoint m_electedAt;
    double m_share = 1.0;
    std::shared_ptr<const AccountDirectory> m_accounts;
    std::unordered_map<std::string, Bucket> m_buckets; //!< by account, of recent demand
    std::map<std::string, Base::TimePoint> m_reporters;
};

} // namespace Medlar::Accounts
