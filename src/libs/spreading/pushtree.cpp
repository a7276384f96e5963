#include "pushtree.h"

#include "base/keyhash.h"

#include <algorithm>
#include <utility>

namespace Medlar::Spreading {

namespace {

// Small fleets are reached without relays, whose loss would delay a seal until the next digest.
constexpr std::size_t MinFanOut = 16;

} // namespace

std::size_t twoLevelFanOut(std::size_t memberCount)
{
    std::size_t fanOut = MinFanOut;
    while (1 + fanOut + fanOut * fanOut < memberCount)
        ++fanOut;
    return fanOut;
}

std::vector<Base::InstanceId> watchersOf(const std::string &availabilityZone,
                                         const std::vector<Cluster::NodeRecord> &members)
{
    std::vector<std::pair<std::uint64_t, Base::InstanceId>> ranked;
    for (const Cluster::NodeRecord &member : members) {
        if (member.availabilityZone == availabilityZone)
            ranked.emplace_back(Base::keyHash(member.instance.toString()), member.instance);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<Base::InstanceId> result;
    for (std::size_t i = 0; i < std::min(ranked.size(), WatchersPerZone); ++i)
        result.push_back(ranked[i].second);
    return result;
}

std::vector<Base::InstanceId> childrenInTree(const Base::InstanceId &origin,
                                             const Base::InstanceId &self,
                                             std::vector<Base::InstanceId> members,
                                             std::size_t fanOut)
{
    // The order depends on the origin, so that several origins use different relays.
    const std::uint64_t seed = Base::keyHash(origin.toString());
    members.erase(std::remove(members.begin(), members.end(), origin), members.end());
    std::sort(members.begin(), members.end(), [seed](const auto &a, const auto &b) {
        const std::uint64_t hashA = Base::seededHash(a.toString(), seed);
        const std::uint64_t hashB = Base::seededHash(b.toString(), seed);
        return hashA != hashB ? hashA < hashB : a < b;
    });
    members.insert(members.begin(), origin);

    const auto position = std::find(members.begin(), members.end(), self);
    if (position == members.end())
        return {};
    const auto index = std::size_t(position - members.begin());
    const std::size_t first = std::min(index * fanOut + 1, members.size());
    const std::size_t last = std::min(first + fanOut, members.size());
    return {members.begin() + std::ptrdiff_t(first), members.begin() + std::ptrdiff_t(last)};
}

} // namespace Medlar::Spreading
