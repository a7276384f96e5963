#include "accountrates.h"

#include "accounts/ratepolicy.h"
#include "base/keyhash.h"
#include "base/steadyclock.h"

#include <algorithm>
#include <utility>

namespace Medlar::Relay {

using Accounts::RateDecision;
using Base::LogLine;
using Base::steadyNow;
using Base::TimePoint;
using std::chrono::milliseconds;

namespace {

// All nodes must agree on the coordinator, so this seed never changes.
constexpr std::uint64_t ElectionSeed = 0x7261746573;
// A report that had to keep its distance from the last one is tried again after this time.
constexpr milliseconds ReportRetryInterval{5};
constexpr std::size_t MaxLoggedAccounts = 20;

} // namespace

AccountRates::AccountRates(boost::asio::io_context &context, const FleetView &fleet, Send send,
                           Base::LogSink &log, Metrics::MetricRegistry &metrics)
    : m_timers(context)
    , m_fleet(fleet)
    , m_send(std::move(send))
    , m_log(log)
    , m_reports(metrics.counter("medlar_rate_reports_total",
                                "Reports of this node to the coordinator of the rate limits"))
    , m_holds(metrics.counter("medlar_rate_holds_total",
                              "Requests that waited for the coordinator of the rate limits"))
{
    metrics.setGauge("medlar_rate_coordinator_accounts",
                     "Accounts with demand, on the coordinator of the rate limits", {}, [this] {
                         return m_coordinator
                                    ? static_cast<double>(m_coordinator->activeAccountCount())
                                    : 0.0;
                     });
}

void AccountRates::setAccounts(std::shared_ptr<const Accounts::AccountDirectory> accounts)
{
    const bool isLimiting = accounts
                            && std::any_of(accounts->accounts().begin(), accounts->accounts().end(),
                                           [](const Accounts::ClientAccount &account) {
                                               return account.isLimited();
                                           });
    m_accounts = isLimiting ? std::move(accounts) : nullptr;
    m_limiter.setAccounts(m_accounts);
    if (!m_accounts)
        m_coordinator.reset();
    else if (m_coordinator)
        m_coordinator->setAccounts(steadyNow(), m_accounts);
}

void AccountRates::elect(TimePoint now)
{
    m_isElectionDue = false;
    m_knownCount = m_fleet.nodes().size();
    m_linkedCount = 0;
    m_nodeCount = 0;
    std::pair<std::uint64_t, std::string> top;
    TimePoint linked;
    for (const auto &[name, node] : m_fleet.nodes()) {
        const bool isLinked = node.isLinked || name == m_fleet.self();
        m_nodeCount += node.isRegistered || isLinked ? 1 : 0;
        if (!isLinked)
            continue;
        ++m_linkedCount;
        std::pair<std::uint64_t, std::string> candidate{Base::seededHash(name, ElectionSeed), name};
        if (candidate > top) {
            top = std::move(candidate);
            linked = node.linkChanged;
        }
    }
    m_limiter.setNodeCount(m_nodeCount);
    updateShare(now);
    // A coordinator whose link was interrupted may have restarted.
    if (top.second == m_coordinatorNode && linked == m_coordinatorLinked)
        return;
    m_coordinatorNode = std::move(top.second);
    m_coordinatorLinked = linked;
    m_limiter.onCoordinatorChanged(now);
    m_log.write(LogLine("rate-coordinator")
                    .add("coordinator", m_coordinatorNode)
                    .add("linked", m_linkedCount)
                    .add("nodes", m_nodeCount));
}

// A node that is not elected can receive reports of nodes that have no link to the elected one. It
// distributes only the shares of these nodes.
void AccountRates::updateShare(TimePoint now)
{
    if (!m_coordinator)
        return;
    const std::size_t served = m_coordinatorNode == m_fleet.self()
                                   ? m_linkedCount
                                   : std::max<std::size_t>(1, m_coordinator->reporterCount());
    m_coordinator->setShare(now, static_cast<double>(std::min(served, m_nodeCount))
                                     / static_cast<double>(std::max<std::size_t>(1, m_nodeCount)));
}

Accounts::RateCoordinator &AccountRates::coordinate(TimePoint now)
{
    if (!m_coordinator) {
        m_coordinator = std::make_unique<Accounts::RateCoordinator>(now);
        m_coordinator->setAccounts(now, m_accounts);
        updateShare(now);
    }
    return *m_coordinator;
}

void AccountRates::admit(const std::string &account, Done done)
{
    const RateDecision decision = m_limiter.request(steadyNow(), account);
    switch (decision.verdict) {
    case RateDecision::Verdict::Admitted:
        done(std::nullopt);
        break;
    case RateDecision::Verdict::Refused:
        countRefusal(account, decision.retryAfter);
        done(decision.retryAfter);
        break;
    case RateDecision::Verdict::Held:
        m_holds.add();
        m_waiting[decision.ticket] = {account, std::move(done)};
        m_timers.add(steadyNow() + Accounts::RateLimiter::MaxHold,
                     [this] { resolve(m_limiter.endExpiredHolds(steadyNow())); });
        break;
    }
    if (m_limiter.hasUrgentReport())
        sendReports();
}

void AccountRates::sendReports()
{
    const TimePoint now = steadyNow();
    // A node that has just started learns the others one after another. Until the next tick it
    // would use a share that is too large.
    if (m_isElectionDue || m_fleet.nodes().size() != m_knownCount)
        elect(now);
    if (const auto report = m_limiter.takeReport(now)) {
        m_reports.add();
        if (m_coordinatorNode == m_fleet.self())
            apply(coordinate(now).onReport(now, m_coordinatorNode, *report));
        else
            m_send(m_coordinatorNode, *report);
    }
    if (m_limiter.hasUrgentReport() && !m_isReportScheduled) {
        m_isReportScheduled = true;
        m_timers.add(now + ReportRetryInterval, [this] {
            m_isReportScheduled = false;
            sendReports();
        });
    }
}

void AccountRates::onReport(const std::string &node, const Messages::RateReport &report)
{
    if (!m_accounts)
        return; // The node has another version of the configuration and uses its fixed share.
    const TimePoint now = steadyNow();
    m_send(node, coordinate(now).onReport(now, node, report));
}

void AccountRates::onAllotment(const std::string &node, const Messages::RateAllotment &allotment)
{
    if (node == m_coordinatorNode)
        apply(allotment);
}

void AccountRates::apply(const Messages::RateAllotment &allotment)
{
    resolve(m_limiter.onAllotment(steadyNow(), allotment));
}

void AccountRates::resolve(const std::vector<Accounts::RateResolution> &resolutions)
{
    for (const Accounts::RateResolution &resolution : resolutions) {
        auto entry = m_waiting.extract(resolution.ticket);
        if (entry.empty())
            continue;
        const Waiting &waiting = entry.mapped();
        if (!resolution.isAdmitted)
            countRefusal(waiting.account, resolution.retryAfter);
        waiting.done(resolution.isAdmitted ? std::nullopt : std::optional(resolution.retryAfter));
    }
}

void AccountRates::countRefusal(const std::string &account, milliseconds retryAfter)
{
    Refusals &refusals = m_refusals[account];
    ++refusals.count;
    refusals.retryAfter = retryAfter;
}

// One line for each account and interval: an account far over its limit is refused thousands of
// times a second.
void AccountRates::logRefusals()
{
    std::vector<std::pair<std::uint64_t, const std::string *>> largest;
    for (const auto &[account, refusals] : m_refusals)
        largest.emplace_back(refusals.count, &account);
    const auto logged = std::min(largest.size(), MaxLoggedAccounts);
    std::partial_sort(largest.begin(), largest.begin() + static_cast<std::ptrdiff_t>(logged),
                      largest.end(), std::greater<>());
    for (std::size_t i = 0; i < logged; ++i) {
        m_log.write(LogLine("rate-limited")
                        .add("account", *largest[i].second)
                        .add("refused", largest[i].first)
                        .add("retry_after_ms", m_refusals[*largest[i].second].retryAfter)
                        .add("coordinator", m_coordinatorNode));
    }
    if (logged < largest.size())
        m_log.write(LogLine("rate-limited-more").add("accounts", largest.size() - logged));
    m_refusals.clear();
}

void AccountRates::tick()
{
    const TimePoint now = steadyNow();
    logRefusals();
    if (!m_accounts)
        return;
    elect(now);
    m_limiter.tick(now);
    if (m_coordinator) {
        m_coordinator->tick(now);
        updateShare(now);
        if (m_coordinatorNode != m_fleet.self() && m_coordinator->reporterCount() == 0)
            m_coordinator.reset();
    }
    sendReports();
}

} // namespace Medlar::Relay
