#include "declinereason.h"

namespace Medlar::Gate {

std::string_view toString(DeclineReason reason)
{
    switch (reason) {
    case DeclineReason::Absent:
        return "backend-absent";
    case DeclineReason::Draining:
        return "backend-draining";
    case DeclineReason::Evacuated:
        return "zone-evacuated";
    case DeclineReason::Overloaded:
        return "overloaded";
    case DeclineReason::Expired:
        return "no-time-left";
    }
    return "unknown";
}

} // namespace Medlar::Gate
