#include "successorchooser.h"

#include "base/keyhash.h"

#include <algorithm>
#include <string_view>

namespace Medlar::Placement {

namespace {

constexpr std::size_t NoNode = static_cast<std::size_t>(-1);
constexpr std::uint64_t CandidatesPerChoice = 6;

std::uint64_t hashOf(Cluster::SlotId slot, std::uint64_t seed)
{
    return Base::seededHash(std::string_view(reinterpret_cast<const char *>(&slot), sizeof(slot)),
                            seed);
}

bool contains(const std::vector<std::size_t> &list, std::size_t value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

} // namespace

SuccessorChooser::SuccessorChooser(const std::vector<PlanNode> &nodes)
    : m_nodes(nodes), m_roles(nodes.size(), 0)
{
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        m_indexes[nodes[i].instance] = i;
        if (!nodes[i].acceptsSlots)
            continue;
        m_accepting.push_back(i);
        m_byZone[nodes[i].availabilityZone].push_back(i);
    }
}

void SuccessorChooser::addExisting(const Cluster::SlotEntry &entry)
{
    for (std::size_t i = 1; i < entry.owners.size(); ++i) {
        const auto found = m_indexes.find(entry.owners[i]);
        if (found != m_indexes.end())
            ++m_roles[found->second];
    }
}

std::vector<Base::InstanceId> SuccessorChooser::choose(Cluster::SlotId slot, std::size_t owner,
                                                       const std::vector<Base::InstanceId> &keep)
{
    std::vector<std::size_t> taken{owner};
    for (const Base::InstanceId &instance : keep) {
        const auto found = m_indexes.find(instance);
        if (found != m_indexes.end() && taken.size() < Cluster::MaxOwnersPerEntry
            && isSuitable(found->second, taken))
            taken.push_back(found->second);
    }

    for (std::uint64_t seed = 1; taken.size() < Cluster::MaxOwnersPerEntry; ++seed) {
        std::size_t next = pick(slot, taken, otherZones(taken), seed);
        if (next == NoNode)
            next = pick(slot, taken, m_accepting, seed);
        if (next == NoNode)
            break;
        ++m_roles[next];
        taken.push_back(next);
    }

    std::vector<Base::InstanceId> result;
    for (std::size_t i = 1; i < taken.size(); ++i)
        result.push_back(m_nodes[taken[i]].instance);
    return result;
}

std::size_t SuccessorChooser::pick(Cluster::SlotId slot, const std::vector<std::size_t> &taken,
                                   const std::vector<std::size_t> &candidates,
                                   std::uint64_t seed) const
{
    if (candidates.empty())
        return NoNode;

    std::size_t best = NoNode;
    const auto consider = [&](std::size_t node) {
        if (contains(taken, node))
            return;
        if (best == NoNode
            || double(m_roles[node]) / m_nodes[node].capacity
                   < double(m_roles[best]) / m_nodes[best].capacity)
            best = node;
    };
    for (std::uint64_t draw = 0; draw < CandidatesPerChoice; ++draw)
        consider(candidates[hashOf(slot, seed * CandidatesPerChoice + draw) % candidates.size()]);
    if (best != NoNode)
        return best;

    // Few candidates: every draw may have hit a node that is taken.
    for (const std::size_t node : candidates)
        consider(node);
    return best;
}

std::vector<std::size_t> SuccessorChooser::otherZones(const std::vector<std::size_t> &taken) const
{
    std::vector<std::size_t> result;
    for (const auto &[zone, members] : m_byZone) {
        const bool used
            = std::any_of(taken.begin(), taken.end(), [&, &name = zone](std::size_t node) {
                  return m_nodes[node].availabilityZone == name;
              });
        if (!used)
            result.insert(result.end(), members.begin(), members.end());
    }
    return result;
}

bool SuccessorChooser::isSuitable(std::size_t node, const std::vector<std::size_t> &taken) const
{
    if (!m_nodes[node].acceptsSlots || contains(taken, node))
        return false;
    // A successor in the owner's zone is kept only where no other zone can take it.
    const bool sameZone = m_nodes[node].availabilityZone == m_nodes[taken.front()].availabilityZone;
    return !sameZone || m_byZone.size() <= 1;
}

} // namespace Medlar::Placement
