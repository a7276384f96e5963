#include "bufferedlog.h"

#include <utility>

namespace Medlar::Logging {

BufferedLog::BufferedLog(Base::LogSink &sink, std::size_t maxLines,
                         std::chrono::milliseconds interval)
    : m_sink(sink), m_maxLines(maxLines), m_interval(interval), m_writer([this] { run(); })
{}

BufferedLog::~BufferedLog()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_one();
    m_writer.join();
}

void BufferedLog::write(const Base::LogLine &line)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_lines.empty();
        if (m_lines.size() < m_maxLines)
            m_lines.push_back(line);
        else
            ++m_dropped;
    }
    if (wasEmpty)
        m_wake.notify_one();
}

std::uint64_t BufferedLog::droppedLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

void BufferedLog::run()
{
    std::uint64_t reported = 0;
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_isStopping || !m_lines.empty(); });
        if (!m_isStopping)
            m_wake.wait_for(lock, m_interval, [this] { return m_isStopping; });
        const std::deque<Base::LogLine> batch = std::exchange(m_lines, {});
        const std::uint64_t dropped = m_dropped - reported;
        reported = m_dropped;
        const bool isLast = m_isStopping;
        lock.unlock();
        for (const Base::LogLine &line : batch)
            m_sink.write(line);
        if (dropped != 0)
            m_sink.write(Base::LogLine("log-lines-dropped").add("count", dropped));
        if (isLast)
            return;
        lock.lock();
    }
}

} // namespace Medlar::Logging
