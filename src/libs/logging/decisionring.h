#pragma once

#include "decision.h"

#include <cstddef>
#include <vector>

namespace Medlar::Logging {

/*!
    The last decisions, numbered in the order in which they were added. Not thread-safe. A reader
   that falls behind by more than the capacity loses the oldest decisions.
*/
class DecisionRing
{
public:
    /*! \a capacity must not be 0. */
    explicit DecisionRing(std::size_t capacity) : m_decisions(capacity) {}

    void add(Decision decision);

    /*! Number of decisions added so far; the newest has this number minus one. */
    std::uint64_t end() const { return m_end; }
    /*! Number of the oldest decision that is still held. */
    std::uint64_t begin() const { return m_end - size(); }
    std::size_t size() const
    {
        return m_end < m_decisions.size() ? static_cast<std::size_t>(m_end) : m_decisions.size();
    }
    std::size_t capacity() const { return m_decisions.size(); }
    /*! \a number must be between begin() and end(). */
    const Decision &at(std::uint64_t number) const
    {
        return m_decisions[number % m_decisions.size()];
    }

    /*! Decisions about one request, oldest first. */
    std::vector<Decision> findRequest(const std::string &requestId) const;
    /*! At most \a limit latest decisions about one slot of a service, oldest first. */
    std::vector<Decision> findSlot(const std::string &service, std::uint64_t slot,
                                   std::size_t limit) const;

private:
    std::vector<Decision> m_decisions;
    std::uint64_t m_end = 0;
};

} // namespace Medlar::Logging
