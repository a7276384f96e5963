#pragma once

#include "base/time.h"
#include "heldreport.h"
#include "releasedranges.h"

#include <string>
#include <vector>

namespace Medlar::KeyRange {

/*!
    The leases that a former process of this daemon may have granted, which the present process does
   not know. They count until the longest of them has expired, whatever the BackendServer reports:
   a heartbeat states what was held when it was sent, which may be before such a lease was granted.

   The exception is a range that was reported as held under an epoch and as freed in a later report.
   RangeKeeper grants no released range again under the same epoch, so no lease under that epoch
   remains.
*/
class FormerLeases
{
public:
    /*! \a end is when the longest lease that a former process can have granted expires. */
    explicit FormerLeases(Base::TimePoint end) : m_end(end) {}

    // Commands

    /*! Expects the reports of each incarnation in the order of their sequence. */
    void onReport(Base::TimePoint now, const HeldReport &report);

    // Queries

    Base::TimePoint end() const { return m_end; }
    /*! Whether a key of \a row may still be leased. */
    bool mayCover(Base::TimePoint now, const RangeRow &row) const;

private:
    void addReleases(const HeldReport &report);
    void addHeld(const HeldReport &report);

    Base::TimePoint m_end;
    std::string m_backend;
    std::uint64_t m_incarnation = 0;
    std::vector<HeldRange> m_held; //!< in any report of the present incarnation
    ReleasedRanges m_released;
};

} // namespace Medlar::KeyRange
