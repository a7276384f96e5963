#include "executionlog.h"

#include <algorithm>
#include <utility>

namespace Medlar::Standins {

std::uint64_t ExecutionLog::begin(Execution execution)
{
    execution.sequence = ++m_lastSequence;
    m_executions.push_back(std::move(execution));
    if (m_executions.size() > m_capacity)
        m_executions.pop_front();
    return m_lastSequence;
}

void ExecutionLog::finish(std::uint64_t sequence, SteadyTime end, std::uint32_t status)
{
    if (sequence <= dropped())
        return;
    Execution &execution = m_executions[sequence - dropped() - 1];
    execution.end = end;
    execution.status = status;
}

std::vector<const Execution *> ExecutionLog::after(std::uint64_t after, std::size_t limit) const
{
    std::vector<const Execution *> found;
    for (std::size_t i = after > dropped() ? after - dropped() : 0;
         i < m_executions.size() && found.size() < limit; ++i)
        found.push_back(&m_executions[i]);
    return found;
}

} // namespace Medlar::Standins
