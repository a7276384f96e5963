#include "decisionlog.h"

#include <algorithm>

namespace Medlar::Logging {

namespace {

// Bounds how long add() can wait for the copy of a batch.
constexpr std::uint64_t MaxBatch = 256;

} // namespace

DecisionLog::DecisionLog(const DecisionLogSettings &settings, Base::LogSink &sink)
    : m_settings(settings), m_sink(sink), m_ring(std::max<std::size_t>(settings.capacity, 1))
{
    if (m_settings.writesLines)
        m_writer = std::thread([this] { run(); });
}

DecisionLog::~DecisionLog()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_one();
    if (m_writer.joinable())
        m_writer.join();
}

void DecisionLog::add(Decision decision)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(m_mutex);
        wasEmpty = m_written == m_ring.end();
        m_ring.add(std::move(decision));
        if (!m_settings.writesLines) {
            m_written = m_ring.end();
        } else if (m_written < m_ring.begin()) {
            m_dropped += m_ring.begin() - m_written;
            m_written = m_ring.begin();
        }
    }
    if (wasEmpty && m_settings.writesLines)
        m_wake.notify_one();
}

// The mutex must be held.
std::vector<Decision> DecisionLog::takeBatch()
{
    std::vector<Decision> batch;
    const std::uint64_t last = std::min(m_ring.end(), m_written + MaxBatch);
    batch.reserve(last - m_written);
    for (; m_written < last; ++m_written)
        batch.push_back(m_ring.at(m_written));
    return batch;
}

void DecisionLog::run()
{
    std::uint64_t reported = 0;
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || m_written != m_ring.end(); });
        if (!m_stopping)
            m_wake.wait_for(lock, m_settings.flushInterval, [this] { return m_stopping; });
        while (m_written != m_ring.end() || m_dropped != reported) {
            const std::vector<Decision> batch = takeBatch();
            const std::uint64_t newlyDropped = m_dropped - reported;
            reported = m_dropped;
            lock.unlock();
            writeBatch(batch, newlyDropped);
            lock.lock();
        }
        if (m_stopping)
            return;
    }
}

void DecisionLog::writeBatch(const std::vector<Decision> &batch, std::uint64_t newlyDropped)
{
    if (newlyDropped != 0)
        m_sink.write(Base::LogLine("log-lines-dropped").add("count", newlyDropped));
    for (const Decision &decision : batch)
        m_sink.write(decision.toLine());
}

std::vector<Decision> DecisionLog::findRequest(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    return m_ring.findRequest(requestId);
}

std::vector<Decision> DecisionLog::findSlot(const std::string &service, std::uint64_t slot,
                                            std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    return m_ring.findSlot(service, slot, limit);
}

std::uint64_t DecisionLog::droppedLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::size_t DecisionLog::backlog() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(m_ring.end() - m_written);
}

} // namespace Medlar::Logging
