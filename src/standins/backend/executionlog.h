#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace Medlar::Standins {

using SteadyTime = std::chrono::steady_clock::time_point;

/*! One execution of a request. Times are those of the machine's monotonic clock, so they can be
 * compared between processes. */
struct Execution
{
    std::uint64_t sequence = 0; //!< counts from 1
    std::string requestId;
    std::string key;
    std::string slot;
    std::uint64_t token = 0; //!< 0: the request had none
    SteadyTime start;
    SteadyTime end; //!< the epoch while it runs
    std::uint32_t status = 0;
};

/*! The most recent executions. */
class ExecutionLog
{
public:
    explicit ExecutionLog(std::size_t capacity) : m_capacity(capacity) {}

    /*! Returns the sequence number of the execution. */
    std::uint64_t begin(Execution execution);
    void finish(std::uint64_t sequence, SteadyTime end, std::uint32_t status);

    std::uint64_t lastSequence() const { return m_lastSequence; }
    /*! Executions that were dropped because the log was full. */
    std::uint64_t dropped() const { return m_lastSequence - m_executions.size(); }
    /*! Up to \a limit executions with a sequence number above \a after, in ascending order. */
    std::vector<const Execution *> after(std::uint64_t after, std::size_t limit) const;

private:
    std::size_t m_capacity;
    std::uint64_t m_lastSequence = 0;
    std::deque<Execution> m_executions;
};

} // namespace Medlar::Standins
