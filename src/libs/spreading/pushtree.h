#pragma once

#include "cluster/noderecord.h"

#include <cstddef>
#include <vector>

namespace Medlar::Spreading {

/*! Fan-out with which a tree of two levels reaches \a memberCount members. */
std::size_t twoLevelFanOut(std::size_t memberCount);

/*! Watchers of the store in each availability zone. */
constexpr std::size_t WatchersPerZone = 2;

/*! The members of the zone that watch the store, chosen by rendezvous hash; the first one leads. */
std::vector<Base::InstanceId> watchersOf(const std::string &availabilityZone,
                                         const std::vector<Cluster::NodeRecord> &members);

/*!
    The children of \a self in the tree of \a fanOut that starts at \a origin and reaches all \a
   members. All daemons that know the same members compute the same tree. Empty when self is not in
   the tree.
*/
std::vector<Base::InstanceId> childrenInTree(const Base::InstanceId &origin,
                                             const Base::InstanceId &self,
                                             std::vector<Base::InstanceId> members,
                                             std::size_t fanOut);

} // namespace Medlar::Spreading
