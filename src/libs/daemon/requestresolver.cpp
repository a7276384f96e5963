#include "requestresolver.h"

#include <algorithm>

namespace Medlar::Daemon {

using Cluster::NodeRecord;
using Cluster::SlotEntry;

namespace {

Resolution nowhere(const char *reason, const ServeState &state = {})
{
    return {nullptr, false, state.slot, state.knownEpoch, reason};
}

const char *distanceReason(const NodeRecord &self, const NodeRecord &node)
{
    if (node.instance == self.instance)
        return "any-local";
    if (node.region != self.region)
        return "any-other-region";
    return node.availabilityZone == self.availabilityZone ? "any-same-zone" : "any-same-region";
}

} // namespace

ServeState serveState(const TrafficSnapshot &snapshot, const std::string &service,
                      std::uint64_t keyHash)
{
    ServeState state;
    const auto view = snapshot.services.find(service);
    if (view == snapshot.services.end())
        return state;
    state.slot = view->second->table.slotFor(keyHash);
    const auto served = view->second->served.find(state.slot);
    if (served != view->second->served.end())
        state.served = &served->second;
    if (const SlotEntry *const entry = view->second->table.entry(state.slot))
        state.knownEpoch = entry->epoch;
    return state;
}

void RequestResolver::setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    m_snapshot = std::move(snapshot);
    m_candidates.setSnapshot(m_snapshot);
    m_balancer.onCandidatesChanged();
}

Resolution RequestResolver::resolve(Base::TimePoint now, const CallerRequest &request,
                                    const std::vector<Base::InstanceId> &excluded)
{
    return request.route->keyed ? resolveOwner(request) : resolveAny(now, request, excluded);
}

Resolution RequestResolver::resolveOwner(const CallerRequest &request) const
{
    const std::string &service = request.route->table;
    const ServeState state = serveState(*m_snapshot, service, request.keyHash);
    const NodeRecord &self = m_snapshot->self;
    if (state.served)
        return {&self, true, state.slot, state.served->epoch, "owner-local"};
    const auto view = m_snapshot->services.find(service);
    const SlotEntry *const entry
        = view == m_snapshot->services.end() ? nullptr : view->second->table.entry(state.slot);
    if (!entry)
        return nowhere(ErrorCode::Unassigned, state);

    const auto owner = std::find_if(
        entry->owners.begin(), entry->owners.end(),
        [this](const Base::InstanceId &id) { return m_snapshot->sealed.count(id) == 0; });
    if (owner == entry->owners.end())
        return nowhere(ErrorCode::NoLiveOwner, state);
    if (*owner == self.instance)
        return nowhere(ErrorCode::AwaitingRelease, state);
    const auto node = m_snapshot->nodes.find(*owner);
    if (node == m_snapshot->nodes.end())
        return nowhere(ErrorCode::OwnerUnknown, state);
    if (!request.route->allowsRegion(node->second.region))
        return nowhere(ErrorCode::WrongRegion, state);
    return {&node->second, false, state.slot, entry->epoch,
            owner == entry->owners.begin() ? "owner" : "successor"};
}

Resolution RequestResolver::resolveAny(Base::TimePoint now, const CallerRequest &request,
                                       const std::vector<Base::InstanceId> &excluded)
{
    const NodeRecord *const node = m_balancer.choose(
        now, request.route->service, m_candidates.candidates(*request.route), excluded);
    if (!node)
        return nowhere(ErrorCode::NoCandidate);
    const NodeRecord &self = m_snapshot->self;
    return {node, node->instance == self.instance, 0, 0, distanceReason(self, *node)};
}

} // namespace Medlar::Daemon
