#include "ratelimiter.h"

#include "ratepolicy.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Medlar::Accounts {

using Base::TimePoint;
using Messages::RateAllotment;
using Messages::RateDemand;
using Messages::RateGrant;
using Messages::RateReport;
using std::chrono::milliseconds;

namespace {

// Demand is averaged over this time, and the wanted credits cover it for as long.
constexpr milliseconds DemandTime{500};
// Credits of an account without a request for this time are given back.
constexpr milliseconds IdleTime{1000};
// A state without demand, held requests and unreported counts is forgotten after this time.
constexpr milliseconds StateLifetime{10000};
// The answer to a report was lost, or the coordinator is overloaded; the node asks again.
constexpr milliseconds AnswerTimeout{200};
// Reports for held requests follow each other at this interval while an answer is on its way, so
// that a request waits this time and one round trip at most.
constexpr milliseconds MinReportInterval{10};
// Interval of reports that only ask for credits. The wanted credits cover five times as long.
constexpr milliseconds MinCreditReportInterval{100};
// Requests held by one account on one node: what arrives in MaxHold at 50,000 requests a second.
// The listener limits the number of connections further.
constexpr std::size_t MaxHeld = 3000;
constexpr milliseconds MinRetryAfter{30};

double decay(Base::Duration elapsed)
{
    return std::exp(-toSeconds(elapsed) / toSeconds(DemandTime));
}

} // namespace

void RateLimiter::setAccounts(std::shared_ptr<const AccountDirectory> accounts)
{
    m_accounts = std::move(accounts);
    // A limit may have been raised; the coordinator decides anew.
    for (auto &[name, state] : m_states)
        state.noAskUntil = {};
}

void RateLimiter::onCoordinatorChanged(TimePoint now)
{
    m_isFirstReport = true;
    m_answeredSequence = m_sequence;
    m_regularReportAt = now;
    for (auto &[name, state] : m_states) {
        // The former coordinator charged these counts, except for requests admitted without it.
        const std::uint32_t overdrawn = state.counts.overdrawn;
        state.counts = {};
        state.counts.overdrawn = overdrawn;
        state.asked = 0;
        state.noAskUntil = {};
    }
}

RateLimiter::State &RateLimiter::state(TimePoint now, const ClientAccount &account)
{
    const auto [entry, isNew] = m_states.try_emplace(account.name);
    if (isNew) {
        entry->second.reserve = reserveCapacity(account);
        entry->second.reserveAt = now;
        entry->second.demandAt = now;
    }
    return entry->second;
}

double RateLimiter::currentDemand(TimePoint now, const State &state)
{
    return state.demand * decay(now - state.demandAt);
}

std::uint32_t RateLimiter::wantedCredits(TimePoint now, const State &state)
{
    if (now - state.demandAt > IdleTime)
        return 0;
    return static_cast<std::uint32_t>(std::ceil(std::min(currentDemand(now, state), 1e6)));
}

void RateLimiter::dropExpiredCredits(TimePoint now, State &state)
{
    if (now >= state.creditsEnd)
        state.credits = 0;
}

double RateLimiter::reserveCapacity(const ClientAccount &account) const
{
    return std::max(1.0, account.burst / static_cast<double>(m_nodeCount));
}

bool RateLimiter::takeReserve(TimePoint now, const ClientAccount &account, State &state) const
{
    const double rate = account.ratePerSecond / static_cast<double>(m_nodeCount);
    state.reserve = std::min(reserveCapacity(account),
                             state.reserve + rate * toSeconds(now - state.reserveAt));
    state.reserveAt = now;
    if (state.reserve < 1.0)
        return false;
    state.reserve -= 1.0;
    ++state.counts.overdrawn;
    return true;
}

bool RateLimiter::isAnswerPending(TimePoint now) const
{
    return m_answeredSequence < m_sequence && now - m_reportedAt < AnswerTimeout;
}

bool RateLimiter::needsReport(TimePoint now, const State &state) const
{
    if (state.held.size() > state.asked)
        return true;
    // A quarter of the wanted credits lasts 125 ms, until the answer arrives. A node that wants few
    // credits asks when it has none, which halves the number of its reports.
    return now >= state.noAskUntil && !isAnswerPending(now)
           && now - m_reportedAt >= MinCreditReportInterval
           && 4 * state.credits < wantedCredits(now, state);
}

milliseconds RateLimiter::retryAfter(TimePoint now, const State &state)
{
    return std::max(MinRetryAfter, std::chrono::duration_cast<milliseconds>(state.retryAt - now));
}

RateDecision RateLimiter::request(TimePoint now, const std::string &account)
{
    using Verdict = RateDecision::Verdict;
    const ClientAccount *const definition = m_accounts ? m_accounts->findByName(account) : nullptr;
    if (!definition || !definition->isLimited())
        return {};
    State &accountState = state(now, *definition);
    accountState.demand = currentDemand(now, accountState) + 1.0;
    accountState.demandAt = now;
    dropExpiredCredits(now, accountState);
    if (accountState.credits > 0) {
        --accountState.credits;
        ++accountState.counts.used;
        if (needsReport(now, accountState))
            m_urgent.insert(account);
        return {};
    }
    if (now < accountState.noAskUntil || accountState.held.size() >= MaxHeld)
        return {Verdict::Refused, 0, retryAfter(now, accountState)};
    accountState.held.push_back({++m_lastTicket, now + MaxHold});
    ++m_heldCount;
    m_urgent.insert(account);
    return {Verdict::Held, m_lastTicket, milliseconds(0)};
}

RateDemand RateLimiter::takeDemand(TimePoint now, const ClientAccount &account, State &state) const
{
    dropExpiredCredits(now, state);
    RateDemand demand = std::exchange(state.counts, {});
    demand.account = account.name;
    demand.waiting = static_cast<std::uint32_t>(state.held.size() - state.asked);
    demand.wanted = wantedCredits(now, state);
    demand.held = state.credits;
    if (m_isFirstReport && state.level) {
        const double level = *state.level + account.ratePerSecond * toSeconds(now - state.levelAt);
        demand.level = static_cast<std::uint32_t>(std::min(level, 4e9));
    }
    state.asked = state.held.size();
    return demand;
}

std::optional<RateReport> RateLimiter::takeReport(TimePoint now)
{
    const bool isRegular = now >= m_regularReportAt;
    if (!m_accounts || (!isRegular && m_urgent.empty())
        || (isAnswerPending(now) && now - m_reportedAt < MinReportInterval))
        return std::nullopt;
    RateReport report;
    const auto add = [&](const std::string &name, State &accountState) {
        const ClientAccount *const account = m_accounts->findByName(name);
        if (account && account->isLimited())
            report.accounts.push_back(takeDemand(now, *account, accountState));
    };
    if (isRegular) {
        m_regularReportAt = now + RateReportInterval;
        for (auto &[name, accountState] : m_states) {
            const RateDemand &counts = accountState.counts;
            const bool hasNews = counts.used != 0 || counts.returned != 0 || counts.unneeded != 0
                                 || counts.overdrawn != 0
                                 || (accountState.credits != 0
                                     && accountState.creditsEnd - now < 2 * RateReportInterval);
            if (hasNews || needsReport(now, accountState))
                add(name, accountState);
        }
    } else {
        for (const std::string &name : m_urgent) {
            const auto found = m_states.find(name);
            if (found != m_states.end() && needsReport(now, found->second))
                add(name, found->second);
        }
    }
    m_urgent.clear();
    if (report.accounts.empty())
        return std::nullopt;
    report.sequence = ++m_sequence;
    report.isFirst = std::exchange(m_isFirstReport, false);
    m_reportedAt = now;
    return report;
}

RateResolution RateLimiter::popHeld(State &state, bool isAdmitted, milliseconds retryAfter)
{
    const RateResolution resolution{state.held.front().ticket, isAdmitted, retryAfter};
    state.held.pop_front();
    --m_heldCount;
    if (state.asked > 0)
        --state.asked;
    return resolution;
}

void RateLimiter::applyGrant(TimePoint now, const RateGrant &grant, State &state,
                             std::vector<RateResolution> &resolutions)
{
    std::uint32_t granted = grant.granted;
    for (; granted > 0 && !state.held.empty(); --granted)
        resolutions.push_back(popHeld(state, true, milliseconds(0)));
    state.counts.unneeded += granted;
    dropExpiredCredits(now, state);
    state.credits += grant.credits;
    state.creditsEnd = now + CreditLifetime;
    state.level = grant.level;
    state.levelAt = now;
    if (grant.askAfter.count() > 0) {
        state.noAskUntil = now + grant.askAfter;
        state.retryAt = now + grant.retryAfter;
        const std::size_t refused = std::min<std::size_t>(grant.refused, state.asked);
        for (std::size_t i = 0; i < refused; ++i)
            resolutions.push_back(popHeld(state, false, retryAfter(now, state)));
    }
    // Requests that came in the meantime use the new credits.
    while (!state.held.empty() && state.credits > 0) {
        --state.credits;
        ++state.counts.used;
        resolutions.push_back(popHeld(state, true, milliseconds(0)));
    }
}

std::vector<RateResolution> RateLimiter::onAllotment(TimePoint now, const RateAllotment &allotment)
{
    std::vector<RateResolution> resolutions;
    m_answeredSequence = std::max(m_answeredSequence, allotment.sequence);
    for (const RateGrant &grant : allotment.accounts) {
        const auto found = m_states.find(grant.account);
        if (found != m_states.end())
            applyGrant(now, grant, found->second, resolutions);
    }
    return resolutions;
}

std::vector<RateResolution> RateLimiter::endExpiredHolds(TimePoint now)
{
    std::vector<RateResolution> resolutions;
    if (m_heldCount == 0)
        return resolutions;
    for (auto &[name, accountState] : m_states) {
        while (!accountState.held.empty() && accountState.held.front().deadline <= now) {
            const ClientAccount *const account
                = m_accounts ? m_accounts->findByName(name) : nullptr;
            const bool isAdmitted
                = !account || !account->isLimited() || takeReserve(now, *account, accountState);
            resolutions.push_back(popHeld(accountState, isAdmitted, MinRetryAfter));
        }
    }
    return resolutions;
}

void RateLimiter::tick(TimePoint now)
{
    for (auto entry = m_states.begin(); entry != m_states.end();) {
        State &accountState = entry->second;
        dropExpiredCredits(now, accountState);
        if (now - accountState.demandAt > IdleTime && accountState.credits > 0)
            accountState.counts.returned += std::exchange(accountState.credits, 0);
        const bool isUnused
            = accountState.held.empty() && now - accountState.demandAt > StateLifetime;
        entry = isUnused ? m_states.erase(entry) : std::next(entry);
    }
}

} // namespace Medlar::Accounts
