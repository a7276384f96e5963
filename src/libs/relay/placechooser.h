#pragma once

#include "fleetview.h"

#include <optional>
#include <random>
#include <set>
#include <string>

namespace Medlar::Relay {

/*! What a request asks of the node that serves it. */
struct PlaceWish
{
    std::string service;
    std::set<std::string> allowedRegions; //!< empty: any
    /*! Where requests of the same service are bound to, while this one is free to go elsewhere. */
    std::set<std::string> contendedRegions;
    std::set<std::string> excluded; //!< nodes that were tried
    Base::Duration targetLeft{0};   //!< until an answer is late
};

/*!
    Chooses the node that serves a request of a service without keys. Answers the load patterns
   "the caller's region is full" (others are used only if no node of the region would be in time),
   "BackendServers of unlike speed", "a BackendServer fails a part of its requests" and "requests
   that are bound to some regions fill their BackendServers while those elsewhere are idle" (the
   others make room there).
*/
class PlaceChooser
{
public:
    PlaceChooser(std::string region, std::string availabilityZone, std::uint64_t seed);

    std::optional<std::string> choose(Base::TimePoint now, const FleetView &fleet,
                                      const PlaceWish &wish);

private:
    /*! Expected latency in milliseconds, and more for what else speaks against the node. */
    double cost(Base::TimePoint now, const std::string &name, const NodeView &node,
                const FleetView &fleet, const PlaceWish &wish, double unknownService) const;
    static bool isCandidate(const std::string &name, const NodeView &node, const PlaceWish &wish);

    std::string m_region;
    std::string m_zone;
    std::mt19937_64 m_random;
};

} // namespace Medlar::Relay
