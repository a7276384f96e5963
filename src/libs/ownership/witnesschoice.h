#pragma once

#include "instancedirectory.h"

#include <tuple>

namespace Medlar::Ownership {

constexpr std::size_t WitnessCount = 3;

/*! Holders above which a witness is full: twice the mean, which bounds its control traffic. */
constexpr std::size_t MaxDuties = 2 * WitnessCount;

/*! How well a witness set tolerates the loss of zones and regions, and how it spreads the load. */
struct WitnessQuality
{
    std::size_t size = 0;
    std::size_t zones = 0;
    std::size_t inOwnRegion = 0; //!< at most two count
    bool hasOtherRegion = false;
    std::size_t notFull = 0; //!< witnesses that have no more than MaxDuties holders

    bool operator<(const WitnessQuality &other) const
    {
        return std::tie(size, zones, inOwnRegion, hasOtherRegion, notFull) < std::tie(
                   other.size, other.zones, other.inOwnRegion, other.hasOtherRegion, other.notFull);
    }
};

/*!
    Chooses the witnesses of one holder among the active nodes: two in its region in different zones
   and one in another region, as far as there are such nodes. The result depends only on the known
   records. Nodes are ranked by a rendezvous hash, which spreads the duties; full ones come last.
*/
class WitnessChoice
{
public:
    /*! \a current are the present witnesses of \a self. */
    WitnessChoice(const Cluster::NodeRecord &self, const InstanceDirectory &directory,
                  const std::vector<Base::InstanceId> &current);

    std::vector<Base::InstanceId>
    choose(const std::unordered_set<Base::InstanceId> &excluded) const;
    WitnessQuality qualityOf(const std::vector<Base::InstanceId> &witnesses) const;

private:
    std::vector<const Cluster::NodeRecord *>
    rankedCandidates(const std::unordered_set<Base::InstanceId> &excluded) const;
    bool isFull(const Base::InstanceId &witness) const;

    const Cluster::NodeRecord &m_self;
    const InstanceDirectory &m_directory;
    /*! Holders whose claim to a witness goes before that of the own node. */
    std::unordered_map<Base::InstanceId, std::size_t> m_claims;
};

} // namespace Medlar::Ownership
