#pragma once

#include "simulation.h"

namespace Medlar::Scenario {

/*! Control traffic of engines without faults, per node and second. */
struct ControlTraffic
{
    double messagesPerSecond = 0;
    double payloadBytesPerSecond = 0;
    /*! Payload with 66 bytes of headers a message and 52 bytes for an acknowledgement packet. */
    double wireBytesPerSecond = 0;
    double highestDutiesPerNode = 0; //!< holders that the busiest witness serves
};

/*!
    Measures \a seconds of a cluster with \a nodes nodes in five zones of two regions: all messages
   that a node sends, encoded, without spreading and anti-entropy.
*/
ControlTraffic measureControlTraffic(std::uint64_t seed, std::size_t nodes,
                                     std::chrono::seconds seconds);

struct RecoveryOptions
{
    std::uint64_t seed = 1;
    std::uint64_t runs = 100;
    std::size_t nodes = 24;
    bool storeDown = false;
    bool backendChecksFencing = true;
};

/*! Times from a kill of one node until all its slots have an owner, in ascending order. */
std::vector<std::chrono::milliseconds> measureRecovery(const RecoveryOptions &options);

/*! The value below which \a percent of the ascending \a values lie; 0 without values. */
std::chrono::milliseconds percentile(const std::vector<std::chrono::milliseconds> &values,
                                     double percent);

} // namespace Medlar::Scenario
