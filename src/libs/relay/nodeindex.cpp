#include "nodeindex.h"

#include "fleetview.h"

#include <algorithm>

namespace Medlar::Relay {

namespace {

constexpr double DefaultServiceMs = 40.0;
// A BackendServer without a measured service time is assumed to be slightly faster than the fastest
// one, so that it receives requests and can be measured.
constexpr double UnmeasuredServiceFactor = 0.9;
// Weights are integers, so that sums do not drift: slots per 1,000 seconds of service time.
constexpr double WeightScale = 1e6;
// Weight of a report in the average of a group: about the last 50 reports, which is one or two
// rounds of reports of a small service.
constexpr double UtilizationWeight = 0.02;
// Older hints than the last ones are seldom fresh enough to be used.
constexpr std::size_t MaxHints = 16;

std::uint64_t weightOf(const NodeView &view, double assumedServiceMs)
{
    const double serviceMs = view.serviceMs(assumedServiceMs);
    const double weight = view.slotsFor(serviceMs) / std::max(1.0, serviceMs) * WeightScale;
    return std::max<std::uint64_t>(1, static_cast<std::uint64_t>(weight));
}

} // namespace

double ServiceNodes::assumedServiceMs() const
{
    const double fastest
        = serviceTimes.empty()
              ? DefaultServiceMs
              : std::chrono::duration<double, std::milli>(*serviceTimes.begin()).count();
    return fastest * UnmeasuredServiceFactor;
}

void NodeIndex::update(FleetNode &node, bool isSelf)
{
    NodeView &view = node.second;
    const NodeGroup *const group = view.index.group;
    if (group
        && (!view.takesRequests() || group->service != view.status.service
            || group->region != view.place.region))
        remove(node);
    if (!view.takesRequests())
        return;
    const bool isNew = !view.index.group;
    if (isNew)
        add(node);
    ServiceNodes &service = *view.index.service;
    const double formerlyAssumed = service.assumedServiceMs();
    if (view.index.serviceTime != view.load.serviceTime) {
        forgetServiceTime(view);
        recordServiceTime(view);
    }
    if (service.unmeasuredCount > 0 && (isNew || service.assumedServiceMs() != formerlyAssumed))
        updateUnmeasured(service);
    const std::uint64_t weight = isSelf ? 0 : weightOf(view, service.assumedServiceMs());
    view.index.group->weights.set(view.index.position, weight);
}

void NodeIndex::add(FleetNode &node)
{
    NodeView &view = node.second;
    ++m_revision;
    ServiceNodes &service = m_services[view.status.service];
    NodeGroup &group = service.regions[view.place.region];
    group.service = view.status.service;
    group.region = view.place.region;
    view.index = {&service, &group, group.nodes.size(), {}};
    group.nodes.push_back(&node);
    group.weights.append(0);
    recordServiceTime(view);
}

void NodeIndex::remove(FleetNode &node)
{
    NodeView &view = node.second;
    if (!view.index.group)
        return;
    ++m_revision;
    forgetServiceTime(view);
    NodeGroup &group = *view.index.group;
    ServiceNodes &service = *view.index.service;
    const std::size_t position = view.index.position;
    FleetNode *const last = group.nodes.back();
    group.nodes[position] = last;
    group.weights.set(position, group.weights.weight(group.nodes.size() - 1));
    last->second.index.position = position;
    group.nodes.pop_back();
    group.weights.removeLast();
    group.hints.erase(std::remove_if(group.hints.begin(), group.hints.end(),
                                     [&](const IdleHint &hint) { return hint.node == &node; }),
                      group.hints.end());
    view.index = {};
    if (!group.nodes.empty())
        return;
    // The names are copied, since they are parts of what is erased.
    const std::string serviceName = group.service;
    const std::string region = group.region;
    service.regions.erase(region);
    if (service.regions.empty())
        m_services.erase(serviceName);
}

void NodeIndex::recordServiceTime(NodeView &view)
{
    view.index.serviceTime = view.load.serviceTime;
    if (view.index.serviceTime.count() > 0)
        view.index.service->serviceTimes.insert(view.index.serviceTime);
    else
        ++view.index.service->unmeasuredCount;
}

void NodeIndex::forgetServiceTime(const NodeView &view)
{
    ServiceNodes &service = *view.index.service;
    if (view.index.serviceTime.count() > 0)
        service.serviceTimes.erase(service.serviceTimes.find(view.index.serviceTime));
    else
        --service.unmeasuredCount;
}

void NodeIndex::updateUnmeasured(ServiceNodes &service)
{
    for (auto &[region, group] : service.regions) {
        for (std::size_t i = 0; i < group.nodes.size(); ++i) {
            const NodeView &view = group.nodes[i]->second;
            // This node keeps the weight 0.
            if (view.load.serviceTime.count() == 0 && group.weights.weight(i) > 0)
                group.weights.set(i, weightOf(view, service.assumedServiceMs()));
        }
    }
}

void NodeIndex::onReport(const NodeView &view)
{
    NodeGroup *const group = view.index.group;
    if (!group)
        return;
    const double slots = view.slotsFor(view.serviceMs(view.index.service->assumedServiceMs()));
    const double utilization = view.reportedLoad / slots;
    const double weight = group->hasUtilization ? UtilizationWeight : 1.0;
    group->utilization += (utilization - group->utilization) * weight;
    group->hasUtilization = true;
}

void NodeIndex::addHint(const FleetNode &node, Base::TimePoint at)
{
    NodeGroup *const group = node.second.index.group;
    if (!group)
        return;
    if (group->hints.size() >= MaxHints)
        group->hints.erase(group->hints.begin());
    group->hints.push_back({&node, at});
}

void NodeIndex::useHint(const FleetNode &node)
{
    NodeGroup *const group = node.second.index.group;
    if (!group)
        return;
    const auto hint = std::find_if(group->hints.rbegin(), group->hints.rend(),
                                   [&](const IdleHint &other) { return other.node == &node; });
    if (hint != group->hints.rend())
        group->hints.erase(std::next(hint).base());
}

const ServiceNodes *NodeIndex::find(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace Medlar::Relay
