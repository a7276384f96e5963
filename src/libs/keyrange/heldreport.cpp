#include "heldreport.h"

namespace Medlar::KeyRange {

std::vector<Range> notHeld(const Range &range, const HeldReport &report)
{
    std::vector<Range> held;
    held.reserve(report.held.size());
    for (const HeldRange &each : report.held)
        held.push_back(each.range);
    return subtracted(range, held);
}

} // namespace Medlar::KeyRange
