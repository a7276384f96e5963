#pragma once

#include "base/time.h"
#include "rangetable.h"

#include <vector>

namespace Medlar::KeyRange {

/*! Busy slots that a range asks for, as a mean over the last seconds; more than there are when
    requests wait. */
struct RangeLoad
{
    Range range;
    double busySlots = 0.0;
};

/*!
    Measures what each key costs its BackendServer and divides ranges where the load is. Answers the
   load pattern "neighbouring keys become busy": a stretch that is small in keys and large in load
   gets an entry of its own, so that it can move alone.
*/
class RangeLoadMeter
{
public:
    RangeLoadMeter();

    /*! A request for \a key arrived, which usually occupies a slot for \a usual. */
    void add(Key key, Base::Duration usual);

    /*! Ends a window that began at the previous call. Returns the load of \a rows, divided into
     * pieces that cost about \a pieceLoad busy slots at most, where keys allow it. */
    std::vector<RangeLoad> report(Base::TimePoint now, const std::vector<RangeRow> &rows,
                                  double pieceLoad);

private:
    std::vector<float> m_window;  //!< busy seconds since the last report, by key
    std::vector<float> m_average; //!< busy slots, by key
    Base::TimePoint m_windowStart{};
    bool m_hasWindow = false;
};

} // namespace Medlar::KeyRange
