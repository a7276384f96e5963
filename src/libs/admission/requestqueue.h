#pragma once

#include "backlogregistry.h"
#include "messages/peermessages.h"
#include "servicerateestimator.h"

#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Medlar::Admission {

/*! Identifies an accepted request within its queue; never used twice. */
using Ticket = std::uint64_t;

/*! A request that asks for admission. */
struct QueuedRequest
{
    Messages::RequestClass requestClass = Messages::RequestClass::Normal;
    Base::TimePoint deadline; //!< of the response
    std::size_t bytes = 0;    //!< memory held while waiting
};

/*! Why a request was rejected. The outcome is "not run" for each of them. */
enum class RejectReason {
    QueueFull,
    BytesFull,
    DeadlineUnmeetable, //!< it would be dispatched too late to be answered in time
    Expired,            //!< its deadline passed, or no time is left for it to run
    Displaced,          //!< its place was given to a request of a more urgent class
    Closed,             //!< the queue was closed
};

std::string_view toString(RejectReason reason);

/*! A request that will not be dispatched. */
struct Rejection
{
    RejectReason reason = RejectReason::QueueFull;
    Base::Duration retryAfter{0}; //!< estimated time until the queue has drained
};

/*! Rejection of a request that had been accepted before. */
struct LateRejection
{
    Ticket ticket = 0;
    Rejection rejection;
};

/*! A request to be sent to the BackendServer now. */
struct Dispatch
{
    Ticket ticket = 0;
    QueuedRequest request;
    Base::Duration waited{0};
};

struct RequestQueueSettings
{
    std::string name; //!< in the registry, usually BACKENDSERVER/SERVICE
    BacklogBounds bounds;
    BacklogAlarmLimits alarmLimits;
    /*!
        While bulk requests wait, one dispatch in this many is theirs although normal requests wait.
       The same share of the entries and bytes is kept for them. At least 2.
    */
    std::uint32_t bulkTurn = 16;
};

/*! Settings that cannot be used. */
struct QueueError
{
    std::string detail;
};

/*!
    Requests that wait for one service at one BackendServer. Dispatch order: all first-answer
   requests, then normal and bulk ones with a small guaranteed turn for bulk; by deadline within a
   class. A request whose deadline cannot be met at the observed rate is rejected on arrival.

   Accepted requests that are rejected later (expired, displaced, closed) are collected and must be
   fetched with takeLateRejections() after offer(), take(), expire() and close().
*/
class RequestQueue final : public BacklogSource
{
public:
    /*! Fails when a bound is 0, the name is empty or bulkTurn is below 2. */
    static tl::expected<std::unique_ptr<RequestQueue>, QueueError>
    create(BacklogRegistry &registry, const RequestQueueSettings &settings);

    // Commands

    /*! Accepts \a request or says why not. */
    tl::expected<Ticket, Rejection> offer(Base::TimePoint now, const QueuedRequest &request);

    /*! Removes and returns the next request, if there is one with enough time left to run. */
    std::optional<Dispatch> take(Base::TimePoint now);

    /*! Removes an entry, as after a cancellation by the caller. Returns whether it was waiting. */
    bool cancel(Base::TimePoint now, Ticket ticket);

    /*! Rejects all entries whose deadline has passed. To be called at nextDeadline(). */
    void expire(Base::TimePoint now);

    /*! Rejects all entries, and all requests offered from now on. */
    void close(Base::TimePoint now);

    /*! A dispatched request ended \a duration after its dispatch, with whatever result. */
    void onCompleted(Base::Duration duration) { m_estimator.onCompleted(duration); }

    std::vector<LateRejection> takeLateRejections() { return std::exchange(m_lateRejections, {}); }

    // Queries

    Backlog backlog(Base::TimePoint now) const override;
    bool isEmpty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    std::size_t size(Messages::RequestClass requestClass) const;

    /*! The earliest deadline of all entries. */
    std::optional<Base::TimePoint> nextDeadline() const;

private:
    struct Entry
    {
        QueuedRequest request;
        Base::TimePoint enqueued;
    };
    using Order = std::set<std::pair<Base::TimePoint, Ticket>>;

    RequestQueue(BacklogRegistry &registry, const RequestQueueSettings &settings);

    Order &order(Messages::RequestClass requestClass);
    const Order &order(Messages::RequestClass requestClass) const;
    std::optional<std::vector<Ticket>> victimsFor(const QueuedRequest &request) const;
    double entriesAhead(const QueuedRequest &request) const;
    bool canMeetDeadline(Base::TimePoint now, const QueuedRequest &request) const;
    Rejection rejection(Base::TimePoint now, RejectReason reason) const;
    Messages::RequestClass nextClass() const;
    Entry remove(Ticket ticket);
    void rejectLate(Base::TimePoint now, Ticket ticket, RejectReason reason);

    RequestQueueSettings m_settings;
    std::map<Ticket, Entry> m_entries;      //!< in the order of arrival
    std::array<Order, 3> m_orders;          //!< by class
    std::array<std::size_t, 3> m_bytesOf{}; //!< by class
    std::size_t m_bytes = 0;
    Ticket m_nextTicket = 1;
    std::uint32_t m_normalSinceBulk = 0; //!< normal dispatches while bulk waited
    bool m_closed = false;
    ServiceRateEstimator m_estimator;
    std::vector<LateRejection> m_lateRejections;
};

} // namespace Medlar::Admission
