#pragma once

#include "fleetview.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
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
   by the same load reports, which are up to two seconds old (each compares only a few nodes: two
   that it draws at random by slots and speed, this node, and one that has lately answered it as
   less busy than others; reports that all daemons have can only make a node less attractive).
*/
class PlaceChooser
{
public:
    PlaceChooser(std::string region, std::string availabilityZone, std::uint64_t seed);

    std::optional<std::string> choose(Base::TimePoint now, const FleetView &fleet,
                                      const PlacementRequest &request);

private:
    /*! What the candidates of one request are compared with. */
    struct Comparison
    {
        Base::TimePoint now;
        const FleetView &fleet;
        const PlacementRequest &request;
        double assumedServiceMs = 0.0;
        double localLatencyLimit = 0.0; //!< in milliseconds
    };
    /*! The nodes of each region of a service with the lowest costs at the last scan. */
    struct Shortlist
    {
        Base::TimePoint scannedAt;
        std::uint64_t revision = 0; //!< of the index
        std::vector<const FleetNode *> nodes;
    };
    struct Best
    {
        const FleetNode *node = nullptr;
        double cost = 0.0;
    };

    /*! Compares a few nodes of this region by the share of their slots that is in use; nullptr if
     * none of them is expected to respond in time. */
    const FleetNode *chooseLocal(const Comparison &comparison, const NodeGroup &group);
    /*! Draws nodes of this region at random, in proportion to their capacity. */
    const FleetNode *draw(const NodeGroup &group);
    /*! Compares the best nodes of all allowed regions by their costs. */
    const FleetNode *chooseOverall(const Comparison &comparison, const ServiceNodes &service);
    const FleetNode *chooseFrom(const Comparison &comparison,
                                const std::vector<const FleetNode *> &nodes);
    /*! Scans the nodes of all regions of a service. */
    void scan(const Comparison &comparison, const ServiceNodes &service, Shortlist &shortlist,
              std::size_t nodesPerRegion) const;
    /*! Expected latency in milliseconds plus penalties, such as for another region or recent
     * failures. */
    double cost(const Comparison &comparison, const FleetNode &node) const;
    /*! Like cost(), with the expected share of occupied slots in place of the latency. */
    double occupationCost(const Comparison &comparison, const FleetNode &node) const;
    double penalties(const Comparison &comparison, const FleetNode &node,
                     double relativeLoad) const;

    std::string m_region;
    std::string m_zone;
    std::mt19937_64 m_random;
    std::map<std::string, Shortlist> m_shortlists; //!< by service
};

} // namespace Medlar::Relay
