#pragma once

#include "fleetview.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Medlar::Relay {

/*! Constraints and preferences of a request for the node that serves it. */
struct PlacementRequest
{
    std::string service;
    std::set<std::string> allowedRegions; //!< empty: any
    /*! Regions that other requests of the service are bound to, while this one may use any region.
     */
    std::set<std::string> contendedRegions;
    std::set<std::string> excluded; //!< nodes that were already tried
    Base::Duration targetLeft{0};   //!< time until the target latency is exceeded
};

/*!
    Chooses the node that serves a request of a service without keys. The load patterns that it
   handles are: the caller's region is full (other regions are used only if no node of the region is
   expected to respond in time), BackendServers differ in speed, a BackendServer fails part of its
   requests, a BackendServer has named a limit of requests per second (it counts as one with fewer
   slots), requests that are bound to some regions fill the BackendServers there while other regions
   are idle (requests without such a binding are sent to the idle regions), and many daemons choose
   by the same load reports, which are up to a second old (each compares only a few nodes that it
   draws at random, so that they do not all choose the node that was idle at the last report).
*/
class PlaceChooser
{
public:
    PlaceChooser(std::string region, std::string availabilityZone, std::uint64_t seed);

    std::optional<std::string> choose(Base::TimePoint now, const FleetView &fleet,
                                      const PlacementRequest &request);

private:
    using Candidates = std::vector<std::pair<const std::string *, const NodeView *>>;

    Candidates candidates(const FleetView &fleet, const PlacementRequest &request) const;
    /*! Draws nodes of this region at random, in proportion to their capacity. */
    Candidates sampleLocal(const Candidates &candidates, const FleetView &fleet,
                           double assumedServiceMs);
    /*! Expected latency in milliseconds plus penalties, such as for another region or recent
     * failures. */
    double cost(Base::TimePoint now, const std::string &name, const NodeView &node,
                const FleetView &fleet, const PlacementRequest &request,
                double assumedServiceMs) const;
    static bool isCandidate(const std::string &name, const NodeView &node,
                            const PlacementRequest &request);

    std::string m_region;
    std::string m_zone;
    std::mt19937_64 m_random;
};

} // namespace Medlar::Relay
