#include "memorybudget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Medlar::Memory {

namespace {

// A VM that is smaller than the program needs still serves small requests.
constexpr std::uint64_t MinTotalBytes = 8'000'000;
constexpr std::uint64_t ReservedDivisor = 8;

} // namespace

MemoryLimits MemoryLimits::forVm(std::uint64_t memory, std::uint64_t program)
{
    MemoryLimits limits;
    limits.totalBytes = memory > program + MinTotalBytes ? memory - program : MinTotalBytes;
    limits.reservedBytes = limits.totalBytes / ReservedDivisor;
    return limits;
}

std::shared_ptr<MemoryBudget> MemoryBudget::create(const MemoryLimits &limits)
{
    return std::shared_ptr<MemoryBudget>(new MemoryBudget(limits));
}

std::uint64_t MemoryBudget::used() const
{
    return std::accumulate(m_used.begin(), m_used.end(), std::uint64_t(0));
}

std::uint64_t MemoryBudget::largestHolder() const
{
    std::uint64_t largest = 0;
    for (const auto &[id, entry] : m_entries)
        largest = std::max(largest, entry.candidate.bytes);
    return largest;
}

Charge MemoryBudget::charge(Kind kind, std::uint64_t bytes)
{
    return {shared_from_this(), kind, bytes};
}

std::optional<Charge> MemoryBudget::tryCharge(Base::TimePoint now, Kind kind, std::uint64_t bytes)
{
    if (makeRoom(now, 0, 0, bytes))
        return charge(kind, bytes);
    if (m_observer) {
        Candidate refused;
        refused.kind = kind;
        refused.bytes = bytes;
        m_observer(refused, true);
    }
    return std::nullopt;
}

bool MemoryBudget::makeRoom(Base::TimePoint now, HolderId self, std::uint64_t selfBytes,
                            std::uint64_t moreBytes)
{
    const bool isSmall = selfBytes + moreBytes <= m_limits.smallBytes;
    const std::uint64_t limit = m_limits.totalBytes - (isSmall ? 0 : m_limits.reservedBytes);
    while (used() + moreBytes > limit) {
        std::vector<Candidate> candidates;
        for (const auto &[id, entry] : m_entries) {
            // Evicting what is smaller than the need of a large holder would cost many for one.
            const bool isWorthwhile = entry.candidate.bytes > (isSmall ? 0 : m_limits.smallBytes);
            if (id == self || isWorthwhile)
                candidates.push_back(entry.candidate);
        }
        const auto chosen = m_policy.choose(now, candidates);
        if (!chosen || *chosen == self) {
            ++m_counters.refused;
            if (m_observer && chosen)
                m_observer(m_entries.at(*chosen).candidate, true);
            return false;
        }
        ++m_counters.evicted;
        const Entry entry = m_entries.at(*chosen);
        if (m_observer)
            m_observer(entry.candidate, false);
        const std::uint64_t before = used();
        entry.evict();
        // A holder that could not release anything is not asked again until it makes progress.
        const auto remaining = m_entries.find(*chosen);
        if (used() == before && remaining != m_entries.end())
            remaining->second.candidate.bytes = 0;
    }
    return true;
}

Charge::Charge(MemoryBudgetPtr budget, Kind kind, std::uint64_t bytes)
    : m_budget(std::move(budget)), m_kind(kind), m_bytes(bytes)
{
    if (m_budget)
        m_budget->add(m_kind, m_bytes);
}

Charge::~Charge()
{
    if (m_budget)
        m_budget->remove(m_kind, m_bytes);
}

Charge::Charge(Charge &&other) noexcept
    : m_budget(std::exchange(other.m_budget, nullptr)), m_kind(other.m_kind), m_bytes(other.m_bytes)
{}

Charge &Charge::operator=(Charge &&other) noexcept
{
    Charge moved(std::move(other));
    std::swap(m_budget, moved.m_budget);
    std::swap(m_kind, moved.m_kind);
    std::swap(m_bytes, moved.m_bytes);
    return *this;
}

Holder::Holder(MemoryBudgetPtr budget, Kind kind, std::uint64_t caller, std::function<void()> evict)
    : m_budget(std::move(budget)), m_kind(kind)
{
    if (!m_budget)
        return;
    m_id = ++m_budget->m_lastId;
    Candidate candidate;
    candidate.id = m_id;
    candidate.kind = kind;
    candidate.caller = caller;
    m_budget->m_entries[m_id] = {candidate, std::move(evict)};
}

Holder::~Holder()
{
    if (!m_budget)
        return;
    m_budget->remove(m_kind, m_charged);
    m_budget->m_entries.erase(m_id);
}

void Holder::begin(Base::TimePoint now)
{
    if (!m_budget)
        return;
    Candidate &candidate = m_budget->m_entries.at(m_id).candidate;
    candidate.began = now;
    candidate.lastProgress = now;
    candidate.transferred = 0;
}

bool Holder::tryResize(Base::TimePoint now, std::uint64_t bytes)
{
    if (!m_budget)
        return true;
    if (bytes <= m_charged) {
        shrink(bytes);
        return true;
    }
    if (!m_budget->makeRoom(now, m_id, m_charged, bytes - m_charged))
        return false;
    m_budget->add(m_kind, bytes - m_charged);
    m_charged = bytes;
    list(bytes);
    return true;
}

void Holder::shrink(std::uint64_t bytes)
{
    if (!m_budget || bytes > m_charged)
        return;
    m_budget->remove(m_kind, m_charged - bytes);
    m_charged = bytes;
    list(bytes);
}

void Holder::list(std::uint64_t bytes)
{
    if (m_budget)
        m_budget->m_entries.at(m_id).candidate.bytes = bytes;
}

void Holder::onProgress(Base::TimePoint now, std::uint64_t transferredBytes)
{
    if (!m_budget)
        return;
    Candidate &candidate = m_budget->m_entries.at(m_id).candidate;
    candidate.lastProgress = now;
    candidate.transferred += transferredBytes;
}

} // namespace Medlar::Memory
