#pragma once

#include <cstddef>
#include <cstdint>

namespace Medlar::Experiments {

struct ReportTrafficOptions
{
    std::size_t nodes = 410;
    std::size_t slotsPerNode = 40;
    double requestsPerSecond = 2800000.0; //!< of the whole fleet
    std::uint64_t seed = 1;
};

/*! What the planner's node receives in load reports, with headers. */
struct ReportTraffic
{
    double changedBytesPerSecond = 0.0; //!< as sent: changed rates, and all of them now and then
    double wholeBytesPerSecond = 0.0;   //!< if each report had all rates
};

/*!
    Lets each node count random requests at constant rates, and adds up the reports of six minutes.
   Slots have exponentially distributed rates, and each node has a few keys that are worth a report.
*/
ReportTraffic measureReportTraffic(const ReportTrafficOptions &options);

} // namespace Medlar::Experiments
