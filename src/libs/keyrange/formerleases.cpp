#include "formerleases.h"

#include <algorithm>

namespace Medlar::KeyRange {

void FormerLeases::onReport(Base::TimePoint now, const HeldReport &report,
                            std::optional<Epoch> lastEpoch)
{
    if (now >= m_end) {
        m_held.clear();
        return;
    }
    if (report.backend != m_backend || report.incarnation != m_incarnation) {
        m_held.clear();
        m_backend = report.backend;
        m_incarnation = report.incarnation;
    }
    addReleases(report);
    addHeld(report);
    m_areAllReported = m_areAllReported
                       || (lastEpoch
                           && std::any_of(report.held.begin(), report.held.end(),
                                          [lastEpoch](const HeldRange &held) {
                                              return epochOf(held.token) > *lastEpoch;
                                          }));
}

void FormerLeases::addReleases(const HeldReport &report)
{
    for (const FreedRange &freed : report.freed) {
        for (const Range &part : notHeld(freed.range, report)) {
            for (const HeldRange &held : m_held) {
                if (held.range.overlaps(part))
                    m_released.add(intersection(held.range, part), epochOf(held.token));
            }
        }
    }
}

// A range that the same report names as freed was released before it was granted as held. Later
// reports may repeat that release, so they would not prove that the range was released again.
void FormerLeases::addHeld(const HeldReport &report)
{
    for (const HeldRange &held : report.held) {
        const bool isFreed = std::any_of(
            report.freed.begin(), report.freed.end(),
            [&held](const FreedRange &freed) { return freed.range.overlaps(held.range); });
        const bool isKnown
            = std::any_of(m_held.begin(), m_held.end(), [&held](const HeldRange &known) {
                  return known.range == held.range && known.token == held.token;
              });
        if (!isFreed && !isKnown)
            m_held.push_back(held);
    }
}

bool FormerLeases::mayCover(Base::TimePoint now, const RangeRow &row) const
{
    return now < m_end && !m_areAllReported && !m_released.cover(row);
}

} // namespace Medlar::KeyRange
