#include "overloaddetector.h"

#include <cmath>

namespace Medlar::Retry {

namespace {

constexpr double MemorySeconds = 1.0;

/*! Fewer attempts than this say nothing about a share. */
constexpr double LeastAttempts = 10.0;

/*! How long the state holds without new observations: an overloaded service that nobody calls any
 * more is not known to have recovered, but must be tried. */
constexpr std::chrono::seconds Validity{1};

} // namespace

OverloadDetector::OverloadDetector(const OverloadSettings &settings) : m_settings(settings) {}

void OverloadDetector::onAttemptEnded(Base::TimePoint now, bool isRejected)
{
    const double elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
    const double decay = std::exp(-elapsed / MemorySeconds);
    m_attempts = m_attempts * decay + 1.0;
    m_rejected = m_rejected * decay + (isRejected ? 1.0 : 0.0);
    m_updatedAt = now;
    const double share = rejectedShare();
    if (m_attempts >= LeastAttempts && share >= m_settings.enterShare)
        m_isRejecting = true;
    else if (share <= m_settings.leaveShare)
        m_isRejecting = false;
}

void OverloadDetector::onQueueAge(Base::TimePoint now, Base::Duration age)
{
    if (age > m_settings.maxQueueAge)
        m_queueAgeExceededAt = now;
    else
        m_queueAgeExceededAt.reset();
}

bool OverloadDetector::isOverloaded(Base::TimePoint now) const
{
    const bool rejecting = m_isRejecting && now - m_updatedAt <= Validity;
    return rejecting || (m_queueAgeExceededAt && now - *m_queueAgeExceededAt <= Validity);
}

double OverloadDetector::rejectedShare() const
{
    return m_attempts > 0.0 ? m_rejected / m_attempts : 0.0;
}

} // namespace Medlar::Retry
