#pragma once

#include "base/instanceid.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Medlar::Cluster {

/*! What a node announces about its willingness to own slots. */
enum class NodeState { Active, Draining, Left };

std::string_view toString(NodeState state);

/*! The announcement of one daemon and its BackendServer, stored as nodes/NAME. */
struct NodeRecord
{
    Base::InstanceId instance;
    std::string address;           //!< IP number
    std::uint16_t httpPort = 0;    //!< for callers and operators
    std::uint16_t controlPort = 0; //!< for control messages of other daemons
    std::uint16_t trafficPort = 0; //!< for forwarded requests of other daemons
    std::string region;
    std::string availabilityZone;
    std::vector<std::string> services; //!< services that the BackendServer offers
    std::uint32_t term = 0;            //!< of the witness set
    std::vector<Base::InstanceId> witnesses;
    NodeState state = NodeState::Active;
    bool backendChecksFencing = true;
    std::uint32_t backendSlots = 0; //!< requests that the BackendServer runs at once
};

bool operator==(const NodeRecord &a, const NodeRecord &b);

/*! Number of grants or promises that decide for a set of \a witnessCount witnesses. */
constexpr std::size_t quorumOf(std::size_t witnessCount)
{
    return witnessCount == 0 ? 0 : witnessCount / 2 + 1;
}

} // namespace Medlar::Cluster
