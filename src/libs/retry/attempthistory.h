#pragma once

#include "attempt.h"

#include <vector>

namespace Medlar::Retry {

/*! All attempts at one request, and the at-most-once rule for the next one. */
class AttemptHistory
{
public:
    explicit AttemptHistory(bool isIdempotent) : m_isIdempotent(isIdempotent) {}

    /*! Begins an attempt and returns its index. Only allowed while mayBegin() is true. */
    std::size_t begin();

    Attempt &operator[](std::size_t index) { return m_attempts[index]; }
    const Attempt &operator[](std::size_t index) const { return m_attempts[index]; }
    std::size_t size() const { return m_attempts.size(); }
    bool isIdempotent() const { return m_isIdempotent; }

    /*! A non-idempotent request may be sent again only if no earlier attempt can have run or can
     * still be sent. */
    bool mayBegin() const;

    bool hasUnfinished() const;

    /*! What the caller of the request may conclude if no further attempt is made. */
    Messages::Outcome outcome() const;

private:
    bool m_isIdempotent;
    std::vector<Attempt> m_attempts;
};

} // namespace Medlar::Retry
