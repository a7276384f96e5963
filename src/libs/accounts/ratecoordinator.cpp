#include "ratecoordinator.h"

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

// Expired credits are counted as used. The coordinator waits a little longer than the node, since
// the answer that started the lifetime was on its way.
constexpr milliseconds HoldingLifetime = CreditLifetime + milliseconds(500);
// Refill that was discarded because unreported use was not known yet. Half a report interval, since
// the use was spread over the interval.
constexpr double MaxDiscardedSeconds = 0.25;
// Nodes of an account over its limit ask again after this time, or later if there are many nodes:
// the coordinator, which may have a tenth of a core, then gets at most 500 such reports a second.
constexpr milliseconds MinAskDelay{100};
constexpr milliseconds AskDelayPerNode{2};
constexpr milliseconds MaxAskDelay{1000};
constexpr milliseconds MaxRetryAfter{60000};

std::uint32_t wholeTokens(double tokens)
{
    return static_cast<std::uint32_t>(std::clamp(tokens, 0.0, double(UINT32_MAX - 1)));
}

} // namespace

RateCoordinator::RateCoordinator(TimePoint now) : m_electedAt(now) {}

double RateCoordinator::rate(const ClientAccount &account) const
{
    return account.ratePerSecond * m_share;
}

double RateCoordinator::creditLimit(const ClientAccount &account) const
{
    return maxCredits(account) * m_share;
}

// At least one request, so that an account with a small burst gets its rate at all.
double RateCoordinator::capacity(const ClientAccount &account) const
{
    return std::max(1.0, account.burst * m_share + creditLimit(account));
}

void RateCoordinator::setAccounts(TimePoint now, std::shared_ptr<const AccountDirectory> accounts)
{
    for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
        Bucket &bucket = entry->second;
        if (const ClientAccount *const former
            = m_accounts ? m_accounts->findByName(entry->first) : nullptr)
            refill(now, *former, bucket);
        const ClientAccount *const account
            = accounts ? accounts->findByName(entry->first) : nullptr;
        if (!account || !account->isLimited()) {
            entry = m_buckets.erase(entry);
            continue;
        }
        const double room = capacity(*account) - static_cast<double>(bucket.credits);
        bucket.tokens = std::min(bucket.tokens, std::max(0.0, room));
        bucket.discarded = 0.0;
        ++entry;
    }
    m_accounts = std::move(accounts);
}

void RateCoordinator::setShare(TimePoint now, double share)
{
    if (share == m_share)
        return;
    for (auto &[name, bucket] : m_buckets) {
        if (const ClientAccount *const account = m_accounts->findByName(name))
            refill(now, *account, bucket);
    }
    m_share = share;
}

void RateCoordinator::refill(TimePoint now, const ClientAccount &account, Bucket &bucket) const
{
    const double added = rate(account) * toSeconds(now - bucket.refilledAt);
    bucket.refilledAt = now;
    const double room = capacity(account) - static_cast<double>(bucket.credits) - bucket.tokens;
    const double fitting = std::min(added, std::max(room, 0.0));
    bucket.tokens += fitting;
    // A share that became smaller can leave more tokens than the capacity.
    if (room < 0.0 && bucket.tokens > 0.0)
        bucket.tokens = std::max(0.0, bucket.tokens + room);
    bucket.discarded
        = std::min(bucket.discarded + added - fitting, rate(account) * MaxDiscardedSeconds);
}

RateCoordinator::Bucket &RateCoordinator::bucket(TimePoint now, const ClientAccount &account)
{
    const auto [entry, isNew] = m_buckets.try_emplace(account.name);
    Bucket &bucket = entry->second;
    if (!isNew) {
        refill(now, account, bucket);
        return bucket;
    }
    bucket.refilledAt = now;
    const double burst = account.burst * m_share;
    bucket.tokens = std::min(capacity(account), capacity(account) - burst / 2
                                                    + rate(account) * toSeconds(now - m_electedAt));
    return bucket;
}

void RateCoordinator::applyReport(TimePoint now, const ClientAccount &account, Bucket &bucket,
                                  const std::string &node, bool isFirst,
                                  const RateDemand &demand) const
{
    const auto [entry, isNew] = bucket.holdings.try_emplace(node);
    Holding &holding = entry->second;
    holding.reportedAt = now;
    bucket.wanted += demand.wanted;
    bucket.wanted -= holding.wanted;
    holding.wanted = demand.wanted;
    if (isNew || isFirst) {
        // Credits of a former coordinator or of a former process of the node.
        bucket.credits += demand.held;
        bucket.credits -= holding.credits;
        holding.credits = demand.held;
        if (demand.level != RateDemand::UnknownLevel)
            bucket.tokens
                = std::min(bucket.tokens, std::max(0.0, demand.level - bucket.grantedTotal));
    } else {
        const std::uint32_t ended = std::min(holding.credits, demand.used + demand.returned);
        holding.credits -= ended;
        bucket.credits -= ended;
        const double regained = std::min<double>(demand.used, bucket.discarded);
        bucket.discarded -= regained;
        bucket.tokens += regained + demand.returned + demand.unneeded;
    }
    bucket.tokens -= demand.overdrawn;
    bucket.tokens
        = std::min(bucket.tokens, capacity(account) - static_cast<double>(bucket.credits));
}

RateGrant RateCoordinator::grant(const ClientAccount &account, Bucket &bucket, Holding &holding,
                                 const RateDemand &demand) const
{
    RateGrant result;
    result.account = account.name;
    result.granted = std::min(demand.waiting, wholeTokens(bucket.tokens));
    bucket.tokens -= result.granted;
    result.refused = demand.waiting - result.granted;
    if (result.refused > 0) {
        result.askAfter = askDelay();
        const double untilToken = (1.0 - bucket.tokens) / rate(account);
        const std::chrono::duration<double> wait(
            std::min(untilToken, std::chrono::duration<double>(MaxRetryAfter).count()));
        result.retryAfter
            = std::max(result.askAfter, std::chrono::duration_cast<milliseconds>(wait));
    }
    const double limit = creditLimit(account);
    const double part
        = limit * demand.wanted / static_cast<double>(std::max<std::uint64_t>(bucket.wanted, 1));
    const double target = std::min<double>(demand.wanted, std::max(1.0, part));
    const double room = limit - static_cast<double>(bucket.credits);
    result.credits = wholeTokens(std::min({target - holding.credits, room, bucket.tokens}));
    bucket.tokens -= result.credits;
    holding.credits += result.credits;
    bucket.credits += result.credits;
    bucket.grantedTotal += result.granted + result.credits;
    result.level = wholeTokens(bucket.tokens);
    return result;
}

milliseconds RateCoordinator::askDelay() const
{
    const auto delay = AskDelayPerNode * static_cast<std::int64_t>(m_reporters.size());
    return std::clamp<milliseconds>(delay, MinAskDelay, MaxAskDelay);
}

RateAllotment RateCoordinator::onReport(TimePoint now, const std::string &node,
                                        const RateReport &report)
{
    m_reporters[node] = now;
    RateAllotment result;
    result.sequence = report.sequence;
    for (const RateDemand &demand : report.accounts) {
        const ClientAccount *const account
            = m_accounts ? m_accounts->findByName(demand.account) : nullptr;
        if (!account || !account->isLimited()) {
            // The node has another version of the configuration. Without a grant in the answer,
            // it uses its fixed share.
            continue;
        }
        Bucket &accountBucket = bucket(now, *account);
        applyReport(now, *account, accountBucket, node, report.isFirst, demand);
        result.accounts.push_back(
            grant(*account, accountBucket, accountBucket.holdings.at(node), demand));
    }
    return result;
}

void RateCoordinator::tick(TimePoint now)
{
    for (auto entry = m_reporters.begin(); entry != m_reporters.end();)
        entry = now - entry->second > HoldingLifetime ? m_reporters.erase(entry) : std::next(entry);
    for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
        Bucket &bucket = entry->second;
        if (const ClientAccount *const account = m_accounts->findByName(entry->first))
            refill(now, *account, bucket);
        for (auto holding = bucket.holdings.begin(); holding != bucket.holdings.end();) {
            if (now - holding->second.reportedAt <= HoldingLifetime) {
                ++holding;
                continue;
            }
            bucket.credits -= holding->second.credits;
            bucket.wanted -= holding->second.wanted;
            holding = bucket.holdings.erase(holding);
        }
        const ClientAccount *const account = m_accounts->findByName(entry->first);
        // bucket() would make the same bucket again.
        const bool isUnneeded
            = !account
              || (bucket.holdings.empty() && bucket.tokens >= capacity(*account)
                  && rate(*account) * toSeconds(now - m_electedAt) >= account->burst * m_share / 2);
        entry = isUnneeded ? m_buckets.erase(entry) : std::next(entry);
    }
}

} // namespace Medlar::Accounts
