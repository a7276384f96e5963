#pragma once

#include "base/time.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace Medlar::Gate {

/*! Identifies a request at the gate; never used twice. */
using Ticket = std::uint64_t;

/*! Why a request does not get to the BackendServer. It has certainly not run. */
enum class DeclineReason {
    Absent,     //!< no BackendServer is known to be there
    Draining,   //!< it leaves
    Evacuated,  //!< its AvailabilityZone is out of service
    Overloaded, //!< it would not be served in time
    Expired,    //!< too little time was left when its turn came
};

std::string_view toString(DeclineReason reason);

struct Decline
{
    DeclineReason reason = DeclineReason::Absent;
    Base::Duration retryAfter{0}; //!< when there may be room; 0: unknown
};

struct GateRequest
{
    unsigned priority = 0;  //!< 0 is the most urgent
    Base::TimePoint target; //!< a later answer is worth less
    Base::TimePoint deadline;
    std::optional<std::uint32_t> key; //!< for requests that only this BackendServer may serve
};

/*! What is known of the BackendServer. */
struct BackendCondition
{
    bool isPresent = false;
    bool isDraining = false;
    bool isEvacuated = false;
    bool isCold = false;
    std::uint32_t slots = 1;
    double coldRequestsPerSecond = 0.0;
};

/*!
    The one way of requests to a BackendServer. Requests wait here rather than in the
   BackendServer, where they could be neither recalled nor put into order. Answers the load patterns
   "more requests than slots" (those that would be late are declined at once, so that those that are
   taken are not all served just too late; urgent ones go first), "one key gets more requests than
   slots" (it leaves places in the queue to other keys) and "a cold BackendServer" (a bounded number
   of requests in each second) and "a BackendServer declines a part of its requests while slots are
   free" (its slots go on being used).
*/
class BackendGate
{
public:
    // Commands

    void setCondition(Base::TimePoint now, const BackendCondition &condition);

    /*! Puts the request into the queue, or says why not. Call next() afterwards. */
    tl::expected<Ticket, Decline> offer(Base::TimePoint now, const GateRequest &request);
    /*! Removes the request that is to be sent now, if there is one. */
    std::optional<Ticket> next(Base::TimePoint now);
    /*! Removes requests whose turn will not come in time. */
    std::vector<std::pair<Ticket, Decline>> takeDeclined(Base::TimePoint now);
    /*! The caller left. Returns whether the request was still waiting. */
    bool cancel(Ticket ticket);
    /*! A request that next() returned has ended after \a service. */
    void onFinished(Base::TimePoint now, Base::Duration service, bool wasAnswered);
    /*! The BackendServer declined a request and said that it has \a occupied requests. If it was
       full, less is sent to it for a moment. */
    void onShed(Base::TimePoint now, std::optional<std::uint32_t> occupied);

    // Queries

    const BackendCondition &condition() const { return m_condition; }
    std::uint32_t running() const { return m_running; }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(m_queue.size()); }
    /*! Mean of the last requests. */
    Base::Duration serviceTime() const { return m_serviceTime; }
    /*! Whether enough requests were answered for the mean service times to say something. */
    bool isServiceTimeKnown() const { return m_answered >= MinAnswered; }
    /*! Mean over a longer time, by which BackendServers are compared; neighbours on the same
     * machine slow each of them down for moments. */
    Base::Duration usualServiceTime() const { return m_usualServiceTime; }
    /*! When next() may return a request without any other event. */
    std::optional<Base::TimePoint> nextTurn(Base::TimePoint now) const;

private:
    struct Order
    {
        unsigned priority = 0;
        bool isLate = false;
        Base::TimePoint deadline;
        Ticket ticket = 0;
    };
    friend bool operator<(const Order &a, const Order &b);

    static constexpr std::uint32_t MinAnswered = 20;

    std::optional<DeclineReason> refusal() const;
    std::uint32_t limit(Base::TimePoint now) const;
    std::uint32_t coldAllowance() const;
    void forgetOldStarts(Base::TimePoint now);
    Base::Duration turnTime(Base::TimePoint now) const;
    Base::Duration waitBehind(Base::TimePoint now, std::size_t ahead) const;
    std::optional<Base::Duration> tooLongWait(Base::TimePoint now, const Order &order,
                                              const GateRequest &request) const;
    void sortOutLate(Base::TimePoint now);
    void enqueue(const Order &order, const GateRequest &request);
    void dequeue(std::map<Order, GateRequest>::iterator entry);

    BackendCondition m_condition;
    std::map<Order, GateRequest> m_queue;
    std::map<std::uint32_t, std::uint32_t> m_waitingByKey;
    std::vector<std::pair<Ticket, Decline>> m_declined;
    std::deque<Base::TimePoint> m_starts; //!< in the last second, while cold
    Ticket m_lastTicket = 0;
    std::uint32_t m_running = 0;
    Base::Duration m_serviceTime = std::chrono::milliseconds(50);
    Base::Duration m_usualServiceTime = std::chrono::milliseconds(50);
    std::uint32_t m_answered = 0; //!< while the usual time is still being learnt
    Base::TimePoint m_shedUntil{};
    std::uint32_t m_shedLimit = 0;
};

} // namespace Medlar::Gate
