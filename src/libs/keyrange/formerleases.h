#pragma once

#include "base/time.h"
#include "heldreport.h"
#include "releasedranges.h"

#include <optional>
#include <string>
#include <vector>

namespace Medlar::KeyRange {

/*!
    The leases that a former process of this daemon may have granted, which the present process does
   not know. They count until the longest of them has expired, whatever the BackendServer reports:
   a heartbeat states what was held when it was sent, which may be before such a lease was granted.

   Two kinds of reports prove that leases have ended:
   - A range was reported as held under an epoch and as freed in a later report. RangeKeeper grants
   no released range again under the same epoch, so no lease under that epoch remains.
   - A report names a range as held under an epoch that is later than those of the former process.
   It was sent after the start of the present process, so it names all leases that remain.
*/
class FormerLeases
{
public:
    /*! \a end is when the longest lease that a former process can have granted expires. */
    explicit FormerLeases(Base::TimePoint end) : m_end(end) {}

    // Commands

    /*! Expects the reports of each incarnation in the order of their sequence. A former process may
     * have granted ranges up to \a lastEpoch; empty while that is not known. */
    void onReport(Base::TimePoint now, const HeldReport &report, std::optional<Epoch> lastEpoch);

    // Queries

    Base::TimePoint end() const { return m_end; }
    /*! Whether a key of \a row may still be leased without being reported as held. */
    bool mayCover(Base::TimePoint now, const RangeRow &row) const;

private:
    void addReleases(const HeldReport &report);
    void addHeld(const HeldReport &report);

    Base::TimePoint m_end;
    bool m_areAllReported = false;
    std::string m_backend;
    std::uint64_t m_incarnation = 0;
    std::vector<HeldRange> m_held; //!< in any report of the present incarnation
    ReleasedRanges m_released;
};

} // namespace Medlar::KeyRange
