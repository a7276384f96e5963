#pragma once

#include "http/deadlinequeue.h"
#include "messages/peermessages.h"

#include <functional>
#include <list>
#include <unordered_map>

namespace Medlar::Daemon {

/*! A request that runs at the BackendServer under an epoch. */
struct RunningKey
{
    std::string service;
    std::uint64_t keyHash = 0;
    Cluster::SlotId baseSlot = 0;
    Cluster::Epoch epoch = 0;
};

/*! The slots of one drain. A slot covers its hot keys, and a hot key covers requests for that key
 * that began under its base slot. */
class DrainScope
{
public:
    DrainScope(std::string service, const std::vector<Messages::SlotEpoch> &slots);

    bool covers(const RunningKey &request) const;

private:
    std::string m_service;
    std::unordered_map<Cluster::SlotId, Cluster::Epoch> m_epochs;
};

/*! Drains that wait for requests to end. */
class DrainList
{
public:
    /*! Counts the running requests in a scope. */
    using Count = std::function<std::size_t(const DrainScope &)>;
    /*! Ends the running requests in a scope with the outcome "unknown". */
    using GiveUp = std::function<void(const DrainScope &)>;

    DrainList(Http::DeadlineQueue &deadlines, Count count, GiveUp giveUp);

    /*! \a done is called once, possibly within this call. */
    void add(DrainScope scope, Base::TimePoint deadline, std::function<void()> done);
    /*! A request ended; completes the drains that waited for it. */
    void onEnded(const RunningKey &request);

private:
    struct Drain
    {
        std::uint64_t id = 0;
        DrainScope scope;
        Http::DeadlineQueue::Handle deadline;
        std::function<void()> done;
    };

    void onDeadline(std::uint64_t id);

    Http::DeadlineQueue &m_deadlines;
    Count m_count;
    GiveUp m_giveUp;
    std::list<Drain> m_drains;
    std::uint64_t m_lastId = 0;
};

} // namespace Medlar::Daemon
