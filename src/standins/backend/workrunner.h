#pragma once

#include "capacitymodel.h"
#include "executionlog.h"
#include "fencingguard.h"

#include "../httpserver/httpsession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace Medlar::Standins {

struct WorkSettings
{
    std::string name = "backend";
    std::size_t slots = 6; //!< requests that run at once
    std::size_t queueLimit = 64;
    bool checksFencing = true;
    std::size_t responseBytes = 0; //!< padding in the response body
    std::size_t logCapacity = 200000;
    std::uint32_t seed = 1;
    CapacitySettings capacity;
};

struct WorkCounters
{
    std::uint64_t received = 0;
    std::uint64_t completed = 0;
    std::uint64_t shed = 0;         //!< queue full or draining
    std::uint64_t expired = 0;      //!< deadline passed before the start
    std::uint64_t fenced = 0;       //!< rejected by grant or token
    std::uint64_t coldFailures = 0; //!< started above the cold capacity
    std::uint64_t cancelledQueued = 0;
    std::uint64_t cancelledRunning = 0;
    std::size_t maxQueued = 0;
};

/*! Runs requests in a limited number of slots and queues or sheds the others. */
class WorkRunner
{
public:
    using SessionPtr = std::shared_ptr<HttpSession>;

    WorkRunner(boost::asio::io_context &context, const WorkSettings &settings);

    /*! Takes the session's request; the response follows when it has run or is rejected. */
    void submit(const SessionPtr &session);
    /*! Returns "queued", "running" or, when there is no such request, an empty text. */
    std::string cancel(const std::string &requestId);
    /*! Nothing starts or completes until \a until. */
    void freeze(SteadyTime until);
    void setDraining(bool draining) { m_draining = draining; }

    bool isDraining() const { return m_draining; }
    SteadyTime frozenUntil() const { return m_frozenUntil; }
    std::size_t running() const { return m_running.size(); }
    std::size_t queued() const { return m_queue.size(); }
    std::size_t slots() const { return m_settings.slots; }
    const WorkCounters &counters() const { return m_counters; }
    const ExecutionLog &log() const { return m_log; }
    CapacityModel &capacity() { return m_capacity; }
    FencingGuard &fencing() { return m_fencing; }

private:
    struct Work
    {
        SessionPtr session;
        std::string requestId;
        std::string key;
        std::string slot;
        std::uint64_t token = 0;
        SteadyTime deadline;
        std::uint64_t sequence = 0;
        bool failsCold = false;
        SteadyTime end;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    using Running = std::list<Work>;

    Work workOf(const SessionPtr &session) const;
    /*! Why the work must not start now; nothing when it may. */
    std::optional<HttpResponse> rejection(const Work &work);
    void startQueued();
    void start(Work work);
    void waitForEnd(Running::iterator work);
    void finish(Running::iterator work);
    void respond(const Work &work, Http::status status) const;

    boost::asio::io_context &m_context;
    WorkSettings m_settings;
    CapacityModel m_capacity;
    FencingGuard m_fencing;
    ExecutionLog m_log;
    WorkCounters m_counters;
    std::deque<Work> m_queue;
    Running m_running;
    bool m_draining = false;
    SteadyTime m_frozenUntil{};
    boost::asio::steady_timer m_thawTimer;
};

} // namespace Medlar::Standins
