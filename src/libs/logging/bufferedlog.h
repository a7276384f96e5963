#pragma once

#include "base/logline.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace Medlar::Logging {

/*!
    Passes lines on to a slower sink from a thread of its own. write() never waits for the sink.
   Lines beyond the bound are dropped and counted, and the count is logged.
*/
class BufferedLog : public Base::LogSink
{
public:
    /*! Lines are collected for \a interval, since each wake-up costs more than a line. \a sink must
     * outlive the log. */
    BufferedLog(Base::LogSink &sink, std::size_t maxLines, std::chrono::milliseconds interval);
    /*! Writes what is left. */
    ~BufferedLog() override;
    BufferedLog(const BufferedLog &) = delete;
    BufferedLog &operator=(const BufferedLog &) = delete;

    void write(const Base::LogLine &line) override;
    std::uint64_t droppedLines() const;

private:
    void run();

    Base::LogSink &m_sink;
    const std::size_t m_maxLines;
    const std::chrono::milliseconds m_interval;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<Base::LogLine> m_lines;
    std::uint64_t m_dropped = 0;
    bool m_isStopping = false;
    std::thread m_writer;
};

} // namespace Medlar::Logging
