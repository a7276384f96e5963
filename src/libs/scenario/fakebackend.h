#pragma once

#include "eventqueue.h"
#include "randomsource.h"

#include <map>
#include <string>

namespace Medlar::Scenario {

/*! What the daemon sees of a request that it sent to the BackendServer. */
enum class BackendReply {
    Answered,
    Shed,    //!< says that it has not run the request
    Refused, //!< no connection
    CutOff,  //!< the request runs, but its answer is lost
};

/*!
    A BackendServer with slots and a service time. It sheds what exceeds its slots. While it is cold
   it has fewer usable slots and is slower; both return to normal in a straight line.
*/
class FakeBackend
{
public:
    using Done = std::function<void(BackendReply)>;

    FakeBackend(EventQueue &events, std::uint32_t slots, TrueTime serviceTime, std::uint64_t seed)
        : m_events(events), m_slots(slots), m_serviceTime(serviceTime), m_random(seed)
    {}

    /*! Returns whether the request runs. \a done is called later than this call; for CutOff, a
     * second time with Answered when the request has run. */
    bool send(std::uint64_t request, Done done);
    /*! Ends a request that runs; its \a done is not called any more. */
    void cancel(std::uint64_t request);

    // Faults

    /*! Nothing is finished until then. */
    void stallUntil(TrueTime end) { m_stalledUntil = end; }
    /*! Service times are multiplied until then. */
    void slowDown(std::uint64_t factor, TrueTime end);
    void refuseUntil(TrueTime end) { m_refusesUntil = end; }
    void shedUntil(TrueTime end) { m_shedsUntil = end; }
    void loseAnswersUntil(TrueTime end) { m_losesUntil = end; }
    /*! Ends all requests and is down for a time; their answers are lost. */
    void restart(TrueTime down);
    /*! Loses what keeps it warm; connections and running requests stay. */
    void becomeCold(TrueTime duration);

    // Queries

    bool isReachable() const { return m_events.now() >= m_refusesUntil; }
    std::size_t running() const { return m_running.size(); }
    std::size_t shed() const { return m_shed; }

private:
    double coldness() const;
    void finishLater(std::uint64_t request, TrueTime at);
    void replyLater(const Done &done, BackendReply reply);

    EventQueue &m_events;
    std::uint32_t m_slots;
    TrueTime m_serviceTime;
    RandomSource m_random;
    std::map<std::uint64_t, Done> m_running;
    TrueTime m_stalledUntil{0};
    std::uint64_t m_slowFactor = 1;
    TrueTime m_slowUntil{0};
    TrueTime m_refusesUntil{0};
    TrueTime m_shedsUntil{0};
    TrueTime m_losesUntil{0};
    TrueTime m_coldSince{0};
    TrueTime m_coldUntil{0};
    std::size_t m_shed = 0;
};

} // namespace Medlar::Scenario
