#pragma once

#include <algorithm>
#include <cmath>

namespace Medlar::Placement {

/*!
    Whether two rates in requests/s, each counted over \a window seconds, differ by more than
   \a deviations times what chance explains.
*/
inline bool isSignificantChange(double before, double after, double window, double deviations)
{
    const double noise = std::sqrt(std::max(before, after) / window);
    return std::abs(after - before) > deviations * noise;
}

} // namespace Medlar::Placement
