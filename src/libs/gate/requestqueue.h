#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Medlar::Gate {

/*! Identifies a request within its gate; never reused. */
using Ticket = std::uint64_t;

struct GateRequest
{
    unsigned priority = 0;  //!< 0 is the most urgent
    Base::TimePoint target; //!< a later response is late, but still useful
    Base::TimePoint deadline;
    std::optional<std::uint32_t> key; //!< set if only this BackendServer may serve it
    std::string route;                //!< requests of a route have similar service times
    bool isCall = false;      //!< made by a BackendServer, which holds a slot until it is answered
    std::string account = {}; //!< empty if there are no accounts
    std::size_t bytes = 0;    //!< of the body
};

/*! Place of a request in the queue: by priority, calls before other requests, late requests last.
 */
struct QueuePosition
{
    unsigned priority = 0;
    bool isCall = false;
    bool isLate = false; //!< a call is never late: its target matters less than its deadline
    Base::TimePoint deadline;
    Ticket ticket = 0;
};
bool operator<(const QueuePosition &a, const QueuePosition &b);

/*! The waiting requests of a BackendGate in their order, and how many of them are of one kind. */
class RequestQueue
{
public:
    using Entries = std::map<QueuePosition, GateRequest>;
    using Entry = Entries::const_iterator;

    // Commands

    void insert(const QueuePosition &position, GateRequest request);
    /*! Returns the entry behind the removed one. */
    Entry remove(Entry entry);
    void clear();

    // Queries

    Entry begin() const { return m_entries.begin(); }
    Entry end() const { return m_entries.end(); }
    Entry find(Ticket ticket) const;
    /*! The first entry that is not before \a position. */
    Entry lowerBound(const QueuePosition &position) const
    {
        return m_entries.lower_bound(position);
    }
    /*! The least urgent request; calls are left out if \a withoutCalls. */
    Entry last(bool withoutCalls) const;
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    std::size_t calls() const { return m_calls; }
    std::size_t waitingForKey(std::uint32_t key) const;

private:
    Entries m_entries;
    std::map<std::uint32_t, std::size_t> m_waitingByKey;
    std::size_t m_calls = 0;
};

} // namespace Medlar::Gate
