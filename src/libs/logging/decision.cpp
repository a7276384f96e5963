#include "decision.h"

namespace Medlar::Logging {

Base::LogLine Decision::toLine() const
{
    Base::LogLine line("route");
    line.add("request_id", requestId)
        .add("account", account)
        .add("route", route)
        .add("target_service", service);
    if (slot)
        line.add("slot", *slot).add("epoch", epoch);
    line.add("chosen", chosen).add("reason", reason).add("configuration", configurationVersion);
    return line;
}

} // namespace Medlar::Logging
