#include "attempthistory.h"

#include <algorithm>

namespace Medlar::Retry {

using Messages::Outcome;

std::size_t AttemptHistory::begin()
{
    m_attempts.emplace_back();
    return m_attempts.size() - 1;
}

bool AttemptHistory::mayBegin() const
{
    const bool isAnswered = std::any_of(m_attempts.begin(), m_attempts.end(), [](const Attempt &a) {
        return a.outcome() == Outcome::Answered;
    });
    if (isAnswered)
        return false;
    return m_isIdempotent
           || std::all_of(m_attempts.begin(), m_attempts.end(),
                          [](const Attempt &a) { return a.outcome() == Outcome::NotRun; });
}

bool AttemptHistory::hasUnfinished() const
{
    return std::any_of(m_attempts.begin(), m_attempts.end(),
                       [](const Attempt &a) { return !a.isFinal(); });
}

Outcome AttemptHistory::outcome() const
{
    Outcome combined = Outcome::NotRun;
    for (const Attempt &attempt : m_attempts) {
        if (attempt.outcome() == Outcome::Answered)
            return Outcome::Answered;
        if (attempt.mayHaveRun())
            combined = Outcome::Unknown;
    }
    return combined;
}

} // namespace Medlar::Retry
