#include "startrate.h"

#include <algorithm>

namespace Medlar::Gate {

namespace {

// Starts are saved for this long, and at least one is saved.
constexpr double SavingSeconds = 0.2;
// Starts that become available within this time count as available, against rounding errors.
constexpr double Tolerance = 1e-6;

double seconds(Base::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double StartRate::maxSavedStarts() const
{
    return std::max(1.0, *m_perSecond * SavingSeconds);
}

double StartRate::savedStarts(Base::TimePoint now) const
{
    const double earned = seconds(now - m_savedAt) * *m_perSecond;
    return std::min(maxSavedStarts(), m_saved + std::max(0.0, earned));
}

void StartRate::setLimit(Base::TimePoint now, std::optional<double> perSecond)
{
    const bool wasLimited = m_perSecond.has_value();
    if (wasLimited)
        m_saved = savedStarts(now);
    m_savedAt = now;
    m_perSecond = perSecond;
    if (!m_perSecond)
        return;
    m_perSecond = std::max(MinPerSecond, *m_perSecond);
    m_saved = wasLimited ? std::min(m_saved, maxSavedStarts()) : maxSavedStarts();
}

void StartRate::onStarted(Base::TimePoint now)
{
    if (!m_perSecond)
        return;
    m_saved = savedStarts(now) - 1.0;
    m_savedAt = now;
}

Base::Duration StartRate::wait(Base::TimePoint now, std::size_t ahead) const
{
    if (!m_perSecond)
        return Base::Duration::zero();
    const double missing = static_cast<double>(ahead) + 1.0 - savedStarts(now) - Tolerance;
    return std::max(Base::Duration::zero(),
                    std::chrono::duration_cast<Base::Duration>(
                        std::chrono::duration<double>(missing / *m_perSecond)));
}

} // namespace Medlar::Gate
