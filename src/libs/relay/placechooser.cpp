#include "placechooser.h"

#include <algorithm>

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
constexpr double LocalLatencyShare = 0.55;
constexpr double AvoidCost = 400.0;
constexpr double FailureCost = 500.0; //!< for a node that fails all requests
constexpr double ColdCost = 60.0;
// Penalty for a full node in a contended region; it falls to zero at the share ContendedFrom of the
// slots. Twice RegionCost, so that a contended and another region cost the same at three quarters
// of the slots, where requests begin to wait.
constexpr double ContendedCost = 240.0;
constexpr double ContendedFrom = 0.5;
constexpr double DefaultServiceMs = 40.0;
// A BackendServer without a measured service time is assumed to be slightly faster than the fastest
// one, so that it receives requests and can be measured.
constexpr double UnmeasuredServiceFactor = 0.9;
// The weight of a load report falls to zero at this age; this daemon's own outstanding requests are
// the better estimate then.
constexpr std::chrono::milliseconds MaxLoadReportAge{1500};
// Number of nodes of the region that are compared first, besides this node. A larger number follows
// the load reports more closely, which makes daemons with the same reports choose the same node.
constexpr std::size_t LocalSamples = 2;
// Costs are increased at random by up to this share, so that daemons with the same reports do not
// all choose the same node.
constexpr double MaxJitter = 0.3;

double milliseconds(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/*! Requests that a node can work on at a time; not 0, since costs are divided by it. */
double capacity(const NodeView &node, double serviceMs)
{
    constexpr double MinCapacity = 0.01;
    const std::chrono::duration<double, std::milli> serviceTime(serviceMs);
    return std::max(MinCapacity,
                    node.capacity(std::chrono::duration_cast<Base::Duration>(serviceTime)));
}

} // namespace

PlaceChooser::PlaceChooser(std::string region, std::string availabilityZone, std::uint64_t seed)
    : m_region(std::move(region)), m_zone(std::move(availabilityZone)), m_random(seed)
{}

double PlaceChooser::cost(Base::TimePoint now, const std::string &name, const NodeView &node,
                          const FleetView &fleet, const PlacementRequest &request,
                          double assumedServiceMs) const
{
    const double serviceMs = node.load.serviceTime.count() > 0 ? milliseconds(node.load.serviceTime)
                                                               : assumedServiceMs;
    const double slots = capacity(node, serviceMs);
    const double reported = node.load.running + node.load.waiting;
    const double reportWeight = std::clamp(
        1.0 - milliseconds(now - node.loadAt) / milliseconds(MaxLoadReportAge), 0.0, 1.0);
    const double load = std::max<double>(node.outstanding, reported * reportWeight);
    // A busy node slows down even before all its slots are occupied.
    const double relativeWait = std::max(0.0, load + 1.0 - slots) / slots + 0.3 * load / slots;
    double cost = serviceMs * (1.0 + relativeWait);
    if (name != fleet.self())
        cost += node.place.availabilityZone == m_zone ? 0.5 : ZoneCost;
    if (node.place.region != m_region)
        cost += RegionCost;
    if (now < node.avoidUntil)
        cost += AvoidCost;
    if (node.status.state == Messages::BackendState::Cold)
        cost += ColdCost;
    if (request.contendedRegions.count(node.place.region) != 0)
        cost += ContendedCost * std::max(0.0, load / slots - ContendedFrom) / (1.0 - ContendedFrom);
    return cost + FailureCost * node.failureRate;
}

bool PlaceChooser::isCandidate(const std::string &name, const NodeView &node,
                               const PlacementRequest &request)
{
    const bool isAllowed
        = request.allowedRegions.empty() || request.allowedRegions.count(node.place.region) != 0;
    return node.status.service == request.service && node.takesRequests() && isAllowed
           && request.excluded.count(name) == 0;
}

PlaceChooser::Candidates PlaceChooser::candidates(const FleetView &fleet,
                                                  const PlacementRequest &request) const
{
    Candidates result;
    for (const auto &[name, node] : fleet.nodes()) {
        if (isCandidate(name, node, request))
            result.emplace_back(&name, &node);
    }
    return result;
}

PlaceChooser::Candidates PlaceChooser::sampleLocal(const Candidates &candidates,
                                                   const FleetView &fleet, double assumedServiceMs)
{
    Candidates local;
    Candidates result;
    std::vector<double> capacities;
    for (const auto &candidate : candidates) {
        const NodeView &node = *candidate.second;
        if (*candidate.first == fleet.self()) {
            result.push_back(candidate);
        } else if (node.place.region == m_region) {
            const double serviceMs = node.load.serviceTime.count() > 0
                                         ? milliseconds(node.load.serviceTime)
                                         : assumedServiceMs;
            local.push_back(candidate);
            capacities.push_back(capacity(node, serviceMs) / std::max(1.0, serviceMs));
        }
    }
    for (std::size_t i = 0; i < LocalSamples && i < local.size(); ++i) {
        std::discrete_distribution<std::size_t> index(capacities.begin(), capacities.end());
        const std::size_t drawn = index(m_random);
        result.push_back(local[drawn]);
        capacities[drawn] = 0.0;
    }
    return result;
}

std::optional<std::string> PlaceChooser::choose(Base::TimePoint now, const FleetView &fleet,
                                                const PlacementRequest &request)
{
    const Candidates all = candidates(fleet, request);
    std::optional<double> fastest;
    for (const auto &[name, node] : all) {
        if (node->load.serviceTime.count() > 0) {
            const double service = milliseconds(node->load.serviceTime);
            fastest = std::min(fastest.value_or(service), service);
        }
    }
    const double assumedServiceMs = fastest.value_or(DefaultServiceMs) * UnmeasuredServiceFactor;
    std::uniform_real_distribution<double> jitter(1.0, 1.0 + MaxJitter);
    struct Best
    {
        const std::string *name = nullptr;
        double cost = 0.0;
    };
    Best bestLocal;
    Best bestOverall;
    const double localLatencyLimit = milliseconds(request.targetLeft) * LocalLatencyShare;
    const auto compare = [&](const Candidates &compared) {
        for (const auto &[name, node] : compared) {
            const double expectedCost = cost(now, *name, *node, fleet, request, assumedServiceMs);
            const double jitteredCost = expectedCost * jitter(m_random);
            const bool isLocalInTime
                = node->place.region == m_region && expectedCost <= localLatencyLimit;
            if (isLocalInTime && (!bestLocal.name || jitteredCost < bestLocal.cost))
                bestLocal = {name, jitteredCost};
            if (!bestOverall.name || jitteredCost < bestOverall.cost)
                bestOverall = {name, jitteredCost};
        }
    };
    compare(sampleLocal(all, fleet, assumedServiceMs));
    if (!bestLocal.name)
        compare(all);
    const std::string *const chosen = bestLocal.name ? bestLocal.name : bestOverall.name;
    return chosen ? std::optional<std::string>(*chosen) : std::nullopt;
}

} // namespace Medlar::Relay
