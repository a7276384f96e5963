#include "placechooser.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Medlar::Relay {

namespace {

// Costs are in milliseconds of expected latency.
constexpr double ZoneCost = 2.0;
// The round trip to another region takes 40 ms. Traffic between regions is billed, so another
// region has to save more time than that.
constexpr double RegionCost = 120.0;
// The traffic of a request to another region costs about as much as a late answer, so a request
// stays in its region if its expected latency there is within this share of its remaining time:
// about half, since many requests take twice the mean.
constexpr double LocalLatencyShare = 0.57;
constexpr double AvoidCost = 400.0;
constexpr double FailureCost = 500.0; //!< for a node that fails all requests
constexpr double ColdCost = 60.0;
// Penalty for a full node in a contended region; it falls to zero at the share ContendedFrom of the
// slots. Twice RegionCost, so that a contended and another region cost the same at three quarters
// of the slots, where requests begin to wait.
constexpr double ContendedCost = 240.0;
constexpr double ContendedFrom = 0.5;
// Whether a request leaves its region is decided with the lower bound of the load of its nodes: the
// weight of a report falls to zero at this age. With the expected load, more requests left.
constexpr std::chrono::milliseconds MaxLoadReportAge{1500};
// Number of nodes of the region that are drawn, besides this node and a hint. In the simulation of
// docs/design/even-load.md, a third one changes nothing.
constexpr int LocalSamples = 2;
// Draws that may hit excluded nodes or one node twice before fewer nodes are compared.
constexpr int MaxDraws = 8;
// A hint is older than this only if few requests are sent, and then tells nothing. Four times the
// service time was as good as eight in the simulation, and better than one.
constexpr double MaxHintAge = 4.0; //!< in service times
// Reports that all daemons have are forgotten this much faster than those that came with an answer,
// since all daemons act on them at the same moment.
constexpr double SharedReportDecay = 4.0;
// A node is busy by such a report only if it is clearly above the mean, which varies by some
// percent with each report.
constexpr double BusyReport = 1.2;
// Costs are increased at random by up to this share, so that daemons with the same reports do not
// all choose the same node of another region.
constexpr double MaxJitter = 0.3;
constexpr double MaxLocalJitter = 0.1;
// A scan of all nodes of a service is used for this long, so that the cost of a choice does not
// grow with the fleet when no node that was drawn is in time. Shorter than most service times.
constexpr std::chrono::milliseconds ScanInterval{25};
// More than the nodes that a request is usually offered to, so that some are left if all others are
// excluded.
constexpr std::size_t ShortlistPerRegion = 8;

double milliseconds(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/*!
    Requests at a node now: what was reported gives way to the mean of the group as requests end and
   others arrive, by the service time, or by the time that a queue needs to end. A report that is
   lost or old makes a node look as busy as the others, not idle.
*/
double expectedLoad(const NodeView &view, double reported, Base::TimePoint now, double serviceMs,
                    double slots, double decay)
{
    const double mean = view.index.group->utilization * slots;
    const double lifeMs = serviceMs * std::max(1.0, reported / slots);
    const double kept = std::exp(-decay * std::max(0.0, milliseconds(now - view.loadAt)) / lifeMs);
    return std::max<double>(view.outstanding, reported * kept + mean * (1.0 - kept));
}

} // namespace

PlaceChooser::PlaceChooser(std::string region, std::string availabilityZone, std::uint64_t seed)
    : m_region(std::move(region)), m_zone(std::move(availabilityZone)), m_random(seed)
{}

double PlaceChooser::penalties(const Comparison &comparison, const FleetNode &node,
                               double relativeLoad) const
{
    const auto &[name, view] = node;
    double cost = FailureCost * view.failureRate;
    if (name != comparison.fleet.self())
        cost += view.place.availabilityZone == m_zone ? 0.5 : ZoneCost;
    if (view.place.region != m_region)
        cost += RegionCost;
    if (comparison.now < view.avoidUntil)
        cost += AvoidCost;
    if (view.status.state == Messages::BackendState::Cold)
        cost += ColdCost;
    if (comparison.request.contendedRegions.count(view.place.region) != 0)
        cost += ContendedCost * std::max(0.0, relativeLoad - ContendedFrom) / (1.0 - ContendedFrom);
    return cost;
}

double PlaceChooser::cost(const Comparison &comparison, const FleetNode &node) const
{
    const NodeView &view = node.second;
    const double serviceMs = view.serviceMs(comparison.assumedServiceMs);
    const double slots = view.slotsFor(serviceMs);
    const double reported = view.load.running + view.load.waiting;
    const double reportWeight = std::clamp(
        1.0 - milliseconds(comparison.now - view.loadAt) / milliseconds(MaxLoadReportAge), 0.0,
        1.0);
    const double load = std::max<double>(view.outstanding, reported * reportWeight);
    // A busy node slows down even before all its slots are occupied.
    const double relativeWait = std::max(0.0, load + 1.0 - slots) / slots + 0.3 * load / slots;
    return serviceMs * (1.0 + relativeWait) + penalties(comparison, node, load / slots);
}

double PlaceChooser::occupationCost(const Comparison &comparison, const FleetNode &node) const
{
    const NodeView &view = node.second;
    const double serviceMs = view.serviceMs(comparison.assumedServiceMs);
    const double slots = view.slotsFor(serviceMs);
    // Daemons that all avoid a busy node spread their requests over all others, whereas daemons
    // that all prefer an idle one send them all there.
    const double mean = view.index.group->utilization * slots;
    const double shared = view.reportedLoad > mean * BusyReport ? view.reportedLoad : mean;
    const double load
        = view.isLoadFromAnswer
              ? expectedLoad(view, view.reportedLoad, comparison.now, serviceMs, slots, 1.0)
              : expectedLoad(view, shared, comparison.now, serviceMs, slots, SharedReportDecay);
    return comparison.assumedServiceMs * (load + 1.0) / slots
           + penalties(comparison, node, load / slots);
}

const FleetNode *PlaceChooser::draw(const NodeGroup &group)
{
    std::uniform_int_distribution<std::uint64_t> value(0, group.weights.total() - 1);
    return group.nodes[group.weights.find(value(m_random))];
}

const FleetNode *PlaceChooser::chooseLocal(const Comparison &comparison, const NodeGroup &group)
{
    std::uniform_real_distribution<double> jitter(1.0, 1.0 + MaxLocalJitter);
    Best best;
    const auto isExcluded = [&](const FleetNode &node) {
        return !comparison.request.excluded.empty()
               && comparison.request.excluded.count(node.first) != 0;
    };
    const auto compare = [&](const FleetNode *node) {
        if (cost(comparison, *node) > comparison.localLatencyLimit)
            return;
        const double occupation = occupationCost(comparison, *node) * jitter(m_random);
        if (!best.node || occupation < best.cost)
            best = {node, occupation};
    };
    const FleetNode *const self = &comparison.fleet.selfNode();
    if (self->second.index.group == &group && !isExcluded(*self))
        compare(self);
    for (auto hint = group.hints.rbegin(); hint != group.hints.rend(); ++hint) {
        const double maxAge
            = MaxHintAge * hint->node->second.serviceMs(comparison.assumedServiceMs);
        if (milliseconds(comparison.now - hint->at) > maxAge)
            break;
        if (isExcluded(*hint->node))
            continue;
        compare(hint->node);
        break;
    }
    const FleetNode *first = nullptr;
    int drawn = 0;
    for (int i = 0; i < MaxDraws && drawn < LocalSamples && group.weights.total() > 0; ++i) {
        const FleetNode *const node = draw(group);
        if (node == first || isExcluded(*node))
            continue;
        first = node;
        ++drawn;
        compare(node);
    }
    return best.node;
}

void PlaceChooser::scan(const Comparison &comparison, const ServiceNodes &service,
                        Shortlist &shortlist, std::size_t nodesPerRegion) const
{
    shortlist.scannedAt = comparison.now;
    shortlist.revision = comparison.fleet.index().revision();
    shortlist.nodes.clear();
    std::vector<std::pair<double, const FleetNode *>> costs;
    for (const auto &[region, group] : service.regions) {
        costs.clear();
        for (const FleetNode *const node : group.nodes)
            costs.emplace_back(cost(comparison, *node), node);
        const std::size_t count = std::min(nodesPerRegion, costs.size());
        std::partial_sort(costs.begin(), costs.begin() + static_cast<std::ptrdiff_t>(count),
                          costs.end(),
                          [](const auto &a, const auto &b) { return a.first < b.first; });
        for (std::size_t i = 0; i < count; ++i)
            shortlist.nodes.push_back(costs[i].second);
    }
}

const FleetNode *PlaceChooser::chooseOverall(const Comparison &comparison,
                                             const ServiceNodes &service)
{
    Shortlist &shortlist = m_shortlists[comparison.request.service];
    const bool isCurrent = shortlist.revision == comparison.fleet.index().revision()
                           && comparison.now >= shortlist.scannedAt
                           && comparison.now - shortlist.scannedAt < ScanInterval;
    if (!isCurrent)
        scan(comparison, service, shortlist, ShortlistPerRegion);
    const FleetNode *const chosen = chooseFrom(comparison, shortlist.nodes);
    if (chosen || comparison.request.excluded.size() < ShortlistPerRegion)
        return chosen;
    Shortlist all;
    scan(comparison, service, all, std::numeric_limits<std::size_t>::max());
    return chooseFrom(comparison, all.nodes);
}

const FleetNode *PlaceChooser::chooseFrom(const Comparison &comparison,
                                          const std::vector<const FleetNode *> &nodes)
{
    const PlacementRequest &request = comparison.request;
    std::uniform_real_distribution<double> jitter(1.0, 1.0 + MaxJitter);
    Best bestLocal;
    Best bestOverall;
    for (const FleetNode *const node : nodes) {
        const std::string &region = node->second.place.region;
        const bool isAllowed
            = request.allowedRegions.empty() || request.allowedRegions.count(region) != 0;
        if (!isAllowed || request.excluded.count(node->first) != 0)
            continue;
        const double expectedCost = cost(comparison, *node);
        const double jitteredCost = expectedCost * jitter(m_random);
        const bool isLocalInTime
            = region == m_region && expectedCost <= comparison.localLatencyLimit;
        if (isLocalInTime && (!bestLocal.node || jitteredCost < bestLocal.cost))
            bestLocal = {node, jitteredCost};
        if (!bestOverall.node || jitteredCost < bestOverall.cost)
            bestOverall = {node, jitteredCost};
    }
    return bestLocal.node ? bestLocal.node : bestOverall.node;
}

std::optional<std::string> PlaceChooser::choose(Base::TimePoint now, const FleetView &fleet,
                                                const PlacementRequest &request)
{
    const ServiceNodes *const service = fleet.index().find(request.service);
    if (!service)
        return std::nullopt;
    const Comparison comparison{now, fleet, request, service->assumedServiceMs(),
                                milliseconds(request.targetLeft) * LocalLatencyShare};
    const FleetNode *chosen = nullptr;
    const auto local = service->regions.find(m_region);
    const bool isLocalAllowed
        = request.allowedRegions.empty() || request.allowedRegions.count(m_region) != 0;
    if (local != service->regions.end() && isLocalAllowed)
        chosen = chooseLocal(comparison, local->second);
    if (!chosen)
        chosen = chooseOverall(comparison, *service);
    return chosen ? std::optional<std::string>(chosen->first) : std::nullopt;
}

} // namespace Medlar::Relay
