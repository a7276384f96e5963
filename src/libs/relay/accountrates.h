#pragma once

#include "accounts/ratecoordinator.h"
#include "accounts/ratelimiter.h"
#include "base/logline.h"
#include "fleetview.h"
#include "http/deadlinequeue.h"
#include "metrics/metricregistry.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Medlar::Relay {

/*!
    Enforces the rate limits of ClientAccounts over all nodes: connects the RateLimiter of this node
    and, if this node is elected, the RateCoordinator to the peers. The coordinator is the linked
    node with the highest hash of its name. It distributes the part of each rate that corresponds to
    the linked part of the known nodes, so that the sides of a partition stay within the limit
    together. Sends no message unless an account is limited. Use it on the thread of the io_context
    only.
*/
class AccountRates
{
public:
    /*! Returns false if the node is unreachable. */
    using Send = std::function<bool(const std::string &node, const Messages::PeerMessage &)>;
    /*! Without a value, the request is admitted; otherwise the delay before a retry. */
    using Done = std::function<void(std::optional<std::chrono::milliseconds> retryAfter)>;

    /*! All references must outlive the object. */
    AccountRates(boost::asio::io_context &context, const FleetView &fleet, Send send,
                 Base::LogSink &log, Metrics::MetricRegistry &metrics);
    AccountRates(const AccountRates &) = delete;
    AccountRates &operator=(const AccountRates &) = delete;

    // Commands

    /*! \a accounts is empty if no accounts are in force. */
    void setAccounts(std::shared_ptr<const Accounts::AccountDirectory> accounts);
    /*! Calls \a done at once, or after RateLimiter::MaxHold at most. An empty name is not limited.
     */
    void admit(const std::string &account, Done done);
    void onReport(const std::string &node, const Messages::RateReport &report);
    void onAllotment(const std::string &node, const Messages::RateAllotment &allotment);
    /*! A link came up or went down. Other changes of the fleet take effect at the next tick(). */
    void onLinksChanged() { m_isElectionDue = true; }
    /*! To be called every Accounts::RateReportInterval. */
    void tick();

    // Queries

    const std::string &coordinator() const { return m_coordinatorNode; }

private:
    void elect(Base::TimePoint now);
    /*! The coordinator of this node, created if necessary. */
    Accounts::RateCoordinator &coordinate(Base::TimePoint now);
    void updateShare(Base::TimePoint now);
    void sendReports();
    void apply(const Messages::RateAllotment &allotment);
    void resolve(const std::vector<Accounts::RateResolution> &resolutions);
    void countRefusal(const std::string &account, std::chrono::milliseconds retryAfter);
    void logRefusals();

    struct Waiting
    {
        std::string account;
        Done done;
    };
    struct Refusals
    {
        std::uint64_t count = 0;
        std::chrono::milliseconds retryAfter{0}; //!< the last one
    };

    Http::DeadlineQueue m_timers;
    const FleetView &m_fleet;
    Send m_send;
    Base::LogSink &m_log;
    Metrics::Counter &m_reports;
    Metrics::Counter &m_holds;
    std::shared_ptr<const Accounts::AccountDirectory> m_accounts; //!< empty: none is limited
    Accounts::RateLimiter m_limiter;
    std::unique_ptr<Accounts::RateCoordinator> m_coordinator;
    std::string m_coordinatorNode;
    Base::TimePoint m_coordinatorLinked; //!< when the link to the coordinator came up
    std::size_t m_linkedCount = 1;
    std::size_t m_nodeCount = 1;
    std::size_t m_knownCount = 0; //!< size of the fleet at the last election
    bool m_isElectionDue = true;
    bool m_isReportScheduled = false;
    std::unordered_map<std::uint64_t, Waiting> m_waiting; //!< by ticket
    std::map<std::string, Refusals> m_refusals;           //!< by account, since the last tick
};

} // namespace Medlar::Relay
