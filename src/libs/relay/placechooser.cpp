#include "placechooser.h"

#include <algorithm>

namespace Medlar::Relay {

namespace {

// Costs are in milliseconds of expected latency.
constexpr double ZoneCost = 2.0;
// The way to another region and back takes 40 ms; its bytes are billed, so it has to gain more.
constexpr double RegionCost = 120.0;
// Bytes between regions are billed about as dear as an answer that comes late, so a request stays
// in its region if it is expected to end there within this share of its time: about half, since
// many take twice the mean.
constexpr double InTimeShare = 0.55;
constexpr double AvoidCost = 400.0;
constexpr double FailureCost = 500.0; //!< for a node that fails all requests
constexpr double ColdCost = 60.0;
// For a full node where requests wait that may go nowhere else; less below this share of its slots.
// Twice the price of another region, so that they are used alike at three quarters of the slots,
// where waiting begins.
constexpr double ContendedCost = 240.0;
constexpr double ContendedFrom = 0.5;
constexpr double DefaultServiceMs = 40.0;
// A BackendServer that has just joined counts as a little faster than the fastest, so that it gets
// requests and shows how fast it is.
constexpr double NewcomerShare = 0.9;
// Reports older than this say little; the requests that this daemon sent since then say more.
constexpr std::chrono::milliseconds LoadAge{1500};
// Costs vary by this share, so that daemons with the same reports do not all choose the same node.
constexpr double Jitter = 0.3;

double milliseconds(Base::Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

PlaceChooser::PlaceChooser(std::string region, std::string availabilityZone, std::uint64_t seed)
    : m_region(std::move(region)), m_zone(std::move(availabilityZone)), m_random(seed)
{}

double PlaceChooser::cost(Base::TimePoint now, const std::string &name, const NodeView &node,
                          const FleetView &fleet, const PlaceWish &wish,
                          double unknownService) const
{
    const double slots = std::max<std::uint32_t>(1, node.status.slots);
    const double service
        = node.load.serviceTime.count() > 0 ? milliseconds(node.load.serviceTime) : unknownService;
    const double reported = node.load.running + node.load.waiting;
    const double freshness
        = std::clamp(1.0 - milliseconds(now - node.loadAt) / milliseconds(LoadAge), 0.0, 1.0);
    const double load = std::max<double>(node.outstanding, reported * freshness);
    // A busy node is slower before all its slots are taken.
    const double wait = std::max(0.0, load + 1.0 - slots) / slots + 0.3 * load / slots;
    double cost = service * (1.0 + wait);
    if (name != fleet.self())
        cost += node.place.availabilityZone == m_zone ? 0.5 : ZoneCost;
    if (node.place.region != m_region)
        cost += RegionCost;
    if (now < node.avoidUntil)
        cost += AvoidCost;
    if (node.status.state == Messages::BackendState::Cold)
        cost += ColdCost;
    if (wish.contendedRegions.count(node.place.region) != 0)
        cost += ContendedCost * std::max(0.0, load / slots - ContendedFrom) / (1.0 - ContendedFrom);
    return cost + FailureCost * node.failureRate;
}

bool PlaceChooser::isCandidate(const std::string &name, const NodeView &node, const PlaceWish &wish)
{
    const bool isAllowed
        = wish.allowedRegions.empty() || wish.allowedRegions.count(node.place.region) != 0;
    return node.status.service == wish.service && node.takesRequests() && isAllowed
           && wish.excluded.count(name) == 0;
}

std::optional<std::string> PlaceChooser::choose(Base::TimePoint now, const FleetView &fleet,
                                                const PlaceWish &wish)
{
    std::optional<double> fastest;
    for (const auto &[name, node] : fleet.nodes()) {
        if (isCandidate(name, node, wish) && node.load.serviceTime.count() > 0) {
            const double service = milliseconds(node.load.serviceTime);
            fastest = std::min(fastest.value_or(service), service);
        }
    }
    const double unknownService = fastest.value_or(DefaultServiceMs) * NewcomerShare;
    std::uniform_real_distribution<double> jitter(1.0, 1.0 + Jitter);
    struct Best
    {
        const std::string *name = nullptr;
        double cost = 0.0;
    };
    Best near;
    Best any;
    const double limit = milliseconds(wish.targetLeft) * InTimeShare;
    for (const auto &[name, node] : fleet.nodes()) {
        if (!isCandidate(name, node, wish))
            continue;
        const double plain = cost(now, name, node, fleet, wish, unknownService);
        const double varied = plain * jitter(m_random);
        const bool isNear = node.place.region == m_region && plain <= limit;
        if (isNear && (!near.name || varied < near.cost))
            near = {&name, varied};
        if (!any.name || varied < any.cost)
            any = {&name, varied};
    }
    const std::string *const chosen = near.name ? near.name : any.name;
    return chosen ? std::optional<std::string>(*chosen) : std::nullopt;
}

} // namespace Medlar::Relay
