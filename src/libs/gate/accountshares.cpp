#include "accountshares.h"

#include <cmath>

namespace Medlar::Gate {

namespace {

// Requests count for about this long. Shorter than the patience of callers would make the share of
// a small account depend on single requests.
constexpr double MemorySeconds = 5.0;
// An account loses no requests while its started share is below this fraction of that of all
// accounts. No account may be served less than a quarter as often as all, with room for chance.
constexpr double MinRelativeShare = 0.5;
// An account with fewer recent requests is forgotten; they are about 25 s old.
constexpr double MinOffered = 0.01;
constexpr std::chrono::seconds CleanupInterval{5};

} // namespace

AccountShares::Service AccountShares::Service::at(Base::TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - updated).count();
    const double weight = std::exp(-age / MemorySeconds);
    return {offered * weight, started * weight, now};
}

void AccountShares::onOffered(Base::TimePoint now, const std::string &account)
{
    if (account.empty())
        return;
    removeOld(now);
    for (Service *const service : {&m_accounts[account].service, &m_service}) {
        *service = service->at(now);
        service->offered += 1.0;
    }
}

void AccountShares::onQueued(const std::string &account)
{
    if (!account.empty())
        ++m_accounts[account].present;
}

void AccountShares::onStarted(Base::TimePoint now, const std::string &account)
{
    if (account.empty())
        return;
    for (Service *const service : {&m_accounts[account].service, &m_service}) {
        *service = service->at(now);
        service->started += 1.0;
    }
}

void AccountShares::onEnded(const std::string &account)
{
    const auto found = m_accounts.find(account);
    if (found != m_accounts.end() && found->second.present > 0)
        --found->second.present;
}

bool AccountShares::mayLose(Base::TimePoint now, const Account &account) const
{
    const Service all = m_service.at(now);
    const Service own = account.service.at(now);
    return own.started * all.offered >= MinRelativeShare * all.started * own.offered;
}

std::optional<RequestQueue::Entry> AccountShares::displaceable(Base::TimePoint now,
                                                               const RequestQueue &queue,
                                                               const QueuePosition &position,
                                                               const std::string &account) const
{
    const auto self = m_accounts.find(account);
    if (self == m_accounts.end())
        return std::nullopt;
    // The other account keeps at least as many requests as this one will have.
    std::size_t minPresent = self->second.present + 2;
    std::optional<RequestQueue::Entry> result;
    QueuePosition first;
    first.priority = position.priority;
    first.isCall = true;
    for (auto entry = queue.lowerBound(first); entry != queue.end(); ++entry) {
        if (entry->first.priority != position.priority)
            break;
        const std::string &otherName = entry->second.account;
        const auto other = m_accounts.find(otherName);
        if (otherName.empty() || other == m_accounts.end() || other->second.present < minPresent
            || !mayLose(now, other->second))
            continue;
        minPresent = other->second.present;
        result = entry;
    }
    return result;
}

void AccountShares::removeOld(Base::TimePoint now)
{
    if (now < m_nextCleanup)
        return;
    m_nextCleanup = now + CleanupInterval;
    for (auto account = m_accounts.begin(); account != m_accounts.end();) {
        const bool isOld
            = account->second.present == 0 && account->second.service.at(now).offered < MinOffered;
        account = isOld ? m_accounts.erase(account) : std::next(account);
    }
}

} // namespace Medlar::Gate
