#pragma once

#include "decisionring.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace Medlar::Logging {

struct DecisionLogSettings
{
    /*! Decisions kept for searches; also the bound of those that wait to be written. */
    std::size_t capacity = 16384;
    /*! Lines are collected this long, since one wake-up per request costs more than the line. */
    std::chrono::milliseconds flushInterval{20};
    bool writesLines = true; //!< false: decisions are only kept for searches
};

/*!
    Writes decisions to a sink from a thread of its own and keeps the last ones for searches. All
   functions may be called from any thread. Decisions that the sink is too slow for are dropped from
   the log, counted, and the count is logged.
*/
class DecisionLog
{
public:
    /*! \a sink must outlive the log. */
    DecisionLog(const DecisionLogSettings &settings, Base::LogSink &sink);
    /*! Writes what is left. */
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    /*! Never waits for the sink. */
    void add(Decision decision);

    std::vector<Decision> findRequest(const std::string &requestId) const;
    std::vector<Decision> findSlot(const std::string &service, std::uint64_t slot,
                                   std::size_t limit) const;
    std::uint64_t droppedLines() const;
    std::size_t capacity() const { return m_ring.capacity(); }
    /*! Decisions that wait to be written. */
    std::size_t backlog() const;

private:
    void run();
    std::vector<Decision> takeBatch();
    void writeBatch(const std::vector<Decision> &batch, std::uint64_t newlyDropped);

    const DecisionLogSettings m_settings;
    Base::LogSink &m_sink;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    DecisionRing m_ring;
    std::uint64_t m_written = 0; //!< number of the next decision to write
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace Medlar::Logging
