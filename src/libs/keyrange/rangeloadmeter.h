#pragma once

#include "base/time.h"
#include "rangetable.h"

#include <vector>

namespace Medlar::KeyRange {

/*! Load of a range in busy slots, averaged over the last seconds. It exceeds the number of slots of
    the BackendServer when requests are queued. */
struct RangeLoad
{
    Range range;
    double busySlots = 0.0;
};

/*!
    Measures the load of each key on its BackendServer and splits ranges by load. Handles the load
   pattern "neighbouring keys become busy": a few adjacent keys with a high load are reported as a
   piece of their own, so that they can be moved without the rest of the range.
*/
class RangeLoadMeter
{
public:
    RangeLoadMeter();

    /*! Records a request for \a key. Such requests typically occupy a slot for \a
     * typicalServiceTime. */
    void add(Key key, Base::Duration typicalServiceTime);

    /*! Ends the window that began with the previous call. Returns the load of \a rows, split into
     * pieces of at most about \a maxPieceLoad busy slots. A piece of one key may exceed that. */
    std::vector<RangeLoad> report(Base::TimePoint now, const std::vector<RangeRow> &rows,
                                  double maxPieceLoad);

private:
    std::vector<float> m_window;  //!< busy seconds since the last report, by key
    std::vector<float> m_average; //!< busy slots, by key
    Base::TimePoint m_windowStart{};
    bool m_hasWindow = false;
};

} // namespace Medlar::KeyRange
