#pragma once

#include "evictionpolicy.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Medlar::Memory {

struct MemoryLimits
{
    /*! Bytes that all holders may hold together. */
    std::uint64_t totalBytes = 0;
    /*! Part of totalBytes that only small holders may use. */
    std::uint64_t reservedBytes = 0;
    /*! Up to this size a holder is small: a body of 64 KiB with its head and buffers. */
    std::uint64_t smallBytes = std::uint64_t(128) * 1024;
    EvictionLimits eviction;

    /*! For a VM with \a memory bytes, of which the program itself takes \a program, including its
     * configuration, links and idle memory of the allocator. */
    static MemoryLimits forVm(std::uint64_t memory, std::uint64_t program);
};

struct MemoryCounters
{
    std::uint64_t refused = 0; //!< holders that gave up for themselves
    std::uint64_t evicted = 0; //!< holders that gave up for others
};

class Charge;
class Holder;

/*!
    Counts the bytes that one process holds for callers and backend servers, and makes room by the
   EvictionPolicy. Pure: events carry their time. Not thread-safe. It is shared by its charges, so
   it may outlive whoever created it.
*/
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget>
{
public:
    /*! Tells about an eviction before it happens. \a isOwn: it asked for more memory itself. */
    using Observer = std::function<void(const Candidate &, bool isOwn)>;

    static std::shared_ptr<MemoryBudget> create(const MemoryLimits &limits);

    // Commands

    void setObserver(Observer observer) { m_observer = std::move(observer); }
    /*! Charges \a bytes at once, also above the limit: for bytes that were counted before under
     * another kind, or that cannot be refused. */
    Charge charge(Kind kind, std::uint64_t bytes);
    /*! Charges bytes of a new holder that cannot be evicted; nothing if there is no room. */
    std::optional<Charge> tryCharge(Base::TimePoint now, Kind kind, std::uint64_t bytes);
    /*! Replaces what is charged for a kind that is measured instead of charged. */
    void setUsed(Kind kind, std::uint64_t bytes) { m_used[static_cast<std::size_t>(kind)] = bytes; }

    // Queries

    std::uint64_t totalBytes() const { return m_limits.totalBytes; }
    std::uint64_t used() const;
    std::uint64_t used(Kind kind) const { return m_used[static_cast<std::size_t>(kind)]; }
    std::uint64_t largestHolder() const;
    const MemoryCounters &counters() const { return m_counters; }

private:
    friend class Charge;
    friend class Holder;

    struct Entry
    {
        Candidate candidate;
        std::function<void()> evict;
    };

    explicit MemoryBudget(const MemoryLimits &limits) : m_limits(limits), m_policy(limits.eviction)
    {}

    void add(Kind kind, std::uint64_t bytes) { m_used[static_cast<std::size_t>(kind)] += bytes; }
    void remove(Kind kind, std::uint64_t bytes) { m_used[static_cast<std::size_t>(kind)] -= bytes; }
    bool makeRoom(Base::TimePoint now, HolderId self, std::uint64_t selfBytes,
                  std::uint64_t moreBytes);

    const MemoryLimits m_limits;
    EvictionPolicy m_policy;
    Observer m_observer;
    MemoryCounters m_counters;
    std::array<std::uint64_t, KindCount> m_used{};
    std::map<HolderId, Entry> m_entries;
    HolderId m_lastId = 0;
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/*! Bytes that are charged until its destruction. */
class Charge
{
public:
    Charge() = default;
    Charge(MemoryBudgetPtr budget, Kind kind, std::uint64_t bytes);
    ~Charge();
    Charge(Charge &&other) noexcept;
    Charge &operator=(Charge &&other) noexcept;
    Charge(const Charge &) = delete;
    Charge &operator=(const Charge &) = delete;

private:
    MemoryBudgetPtr m_budget;
    Kind m_kind = Kind::Connection;
    std::uint64_t m_bytes = 0;
};

/*! A transfer in progress, whose bytes can be taken away. Without a budget it admits everything. */
class Holder
{
public:
    /*! \a evict is called when the memory is needed. It must release it, at the latest when the
     * pending operation ends. It may destroy the holder. */
    Holder(MemoryBudgetPtr budget, Kind kind, std::uint64_t caller, std::function<void()> evict);
    ~Holder();
    Holder(const Holder &) = delete;
    Holder &operator=(const Holder &) = delete;

    /*! A new transfer begins. */
    void begin(Base::TimePoint now);
    /*! Charges \a bytes in all. False: the holder has to give up its memory, and its charge is as
     * before. */
    bool tryResize(Base::TimePoint now, std::uint64_t bytes);
    /*! Charges fewer bytes. */
    void shrink(std::uint64_t bytes);
    /*! Makes \a bytes, which are charged elsewhere, known to the policy. */
    void list(std::uint64_t bytes);
    /*! The other end has sent or taken bytes. */
    void onProgress(Base::TimePoint now, std::uint64_t transferredBytes);

private:
    MemoryBudgetPtr m_budget;
    HolderId m_id = 0;
    Kind m_kind;
    std::uint64_t m_charged = 0;
};

} // namespace Medlar::Memory
