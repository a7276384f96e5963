#pragma once

#include "accountshares.h"
#include "base/time.h"
#include "declinereason.h"
#include "heldbytes.h"
#include "requestqueue.h"
#include "servicetimes.h"
#include "startrate.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Medlar::Gate {

/*! Last known state of the BackendServer. */
struct BackendCondition
{
    bool isPresent = false;
    bool isDraining = false;
    bool isEvacuated = false;
    bool isCold = false;
    std::uint32_t slots = 1;
    double coldRequestsPerSecond = 0.0;
    /*! Limit that the BackendServer itself has named; empty if none. */
    std::optional<double> maxRequestsPerSecond;
};

/*!
    Admission queue that all requests to a BackendServer pass through. Requests wait here rather
    than in the BackendServer, where they could be neither cancelled nor reordered.

    Handled load patterns:
    - More requests than slots: requests that would be late are declined at once, since queueing
      them would make all accepted requests slightly late. Urgent requests go first.
    - More requests for one key than slots: the number of waiting requests per key is limited, so
      that the queue has room for other keys.
    - Short and long requests for one BackendServer: the expected wait is the work of the requests
      that run and wait ahead, and each request needs the time that is usual on its route.
    - A cold BackendServer: the number of requests started per second is limited.
    - A BackendServer in need that names how many requests per second it takes: requests beyond that
      wait, or are declined with the time until one more may be started.
    - A BackendServer that declines some requests although it has free slots: it is not throttled,
      so that its slots stay in use.
    - Calls of other BackendServers: a call that is declined wastes the slot of the request that
   made it. Calls are declined only if they cannot be answered before their deadlines, go before
   other requests of the same priority, and have places of their own in the queue.
    - An account whose requests fill the queue: see AccountShares.
    - Large requests: they wait until the BackendServer holds few bytes (see HeldBytes), and small
      ones pass them meanwhile.
*/
class BackendGate
{
public:
    // Commands

    void setCondition(Base::TimePoint now, const BackendCondition &condition);

    /*! Queues \a request, or returns why it is declined. Call next() afterwards. */
    tl::expected<Ticket, Decline> offer(Base::TimePoint now, const GateRequest &request);
    /*! Removes and returns the request to send now, if there is one. */
    std::optional<Ticket> next(Base::TimePoint now);
    /*! Removes and returns queued requests that were declined, among them those that can no longer
       be served in time. */
    std::vector<std::pair<Ticket, Decline>> takeDeclined(Base::TimePoint now);
    /*! Removes a request that its caller cancelled. Returns whether it was still waiting. */
    bool cancel(Ticket ticket);
    /*! Counts a request that is sent to the BackendServer once more while it keeps its slot. */
    void onSentAgain(Base::TimePoint now) { countStart(now); }
    /*! Frees the slot of a request that next() returned and that took \a elapsed. */
    void onFinished(Ticket ticket, Base::Duration elapsed, bool wasAnswered);
    /*! Called when the BackendServer declined a request. \a reportedLoad is the number of running
       and waiting requests that it reported. Unless this shows free slots, fewer requests are sent
       to it for a short time. */
    void onBackendDeclined(Base::TimePoint now, std::optional<std::uint32_t> reportedLoad);

    // Queries

    const BackendCondition &condition() const { return m_condition; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_queue.size()); }
    /*! The means over all routes are used to compare BackendServers; the recent mean is unsuitable
       for lasting decisions, since other processes on the same machine slow a BackendServer down
       for short periods. */
    const ServiceTimes &serviceTimes() const { return m_serviceTimes; }
    /*! Number of requests that were declined in favour of those of another account. */
    std::uint64_t displaced() const { return m_displaced; }
    /*! When to call next() and takeDeclined() if no other event occurs before; empty if no request
       is waiting. */
    std::optional<Base::TimePoint> nextPollTime(Base::TimePoint now) const;

private:
    struct RunningRequest
    {
        std::string route;
        std::string account;
        std::size_t bytes = 0;
    };

    std::optional<DeclineReason> declineReason() const;
    std::uint32_t concurrencyLimit(Base::TimePoint now) const;
    std::uint32_t coldRequestLimit() const;
    void removeOldStarts(Base::TimePoint now);
    void countStart(Base::TimePoint now);
    Base::Duration expectedTime(const GateRequest &request) const;
    Base::Duration meanRunningTime() const;
    Base::Duration expectedWait(Base::TimePoint now, std::size_t ahead,
                                Base::Duration workAhead) const;
    Base::Duration expectedWait(Base::TimePoint now, RequestQueue::Entry position) const;
    Base::Duration maxLateWait(Base::TimePoint now, Base::Duration serviceTime) const;
    std::optional<Base::Duration> excessiveWait(Base::TimePoint now, const QueuePosition &position,
                                                const GateRequest &request) const;
    bool exceedsKeyLimit(const GateRequest &request) const;
    std::size_t maxWaiting(Base::TimePoint now, bool isCall) const;
    /*! Removes a request from the queue that is not started. */
    RequestQueue::Entry remove(RequestQueue::Entry entry);
    /*! Declines a request of an account that has more requests, and moves \a position to its place.
     */
    bool displaceForAccount(Base::TimePoint now, QueuePosition &position,
                            const GateRequest &request);
    /*! Makes room in a full queue by declining a less urgent request. */
    bool displaceLessUrgent(Base::TimePoint now, const QueuePosition &position);
    void moveLateRequestsBack(Base::TimePoint now);

    BackendCondition m_condition;
    RequestQueue m_queue;
    std::vector<std::pair<Ticket, Decline>> m_declined;
    StartRate m_startRate;
    std::deque<Base::TimePoint> m_recentStarts; //!< start times of the last second
    Ticket m_lastTicket = 0;
    std::unordered_map<Ticket, RunningRequest> m_running;
    AccountShares m_accounts;
    HeldBytes m_heldBytes; //!< of the requests in slots
    std::uint64_t m_displaced = 0;
    ServiceTimes m_serviceTimes;
    Base::TimePoint m_throttledUntil{};
    std::uint32_t m_throttledLimit = 0;
    std::optional<Base::TimePoint> m_lastCall; //!< time of the last offered call
};

} // namespace Medlar::Gate
