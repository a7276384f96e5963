#include "trafficsimulation.h"

#include <algorithm>

namespace Medlar::Scenario {

using namespace std::chrono_literals;

namespace {

constexpr TrueTime CheckInterval = 100ms; // of probes and alarms
constexpr TrueTime SummaryInterval = 500ms;
constexpr std::chrono::hours NoRampEnd{24}; // longer than any scenario

Cluster::NodeRecord recordOf(std::size_t index, const TrafficOptions &options)
{
    Cluster::NodeRecord record;
    record.instance = {"daemon-" + std::to_string(index + 1), index + 1};
    record.region = "r1";
    record.availabilityZone = options.zones[index];
    record.services = {TrafficService};
    record.backendSlots = options.slots;
    return record;
}

Configuration::Route routeOf(const TrafficOptions &options)
{
    Configuration::Route route;
    route.account = "shop";
    route.name = TrafficService;
    route.service = TrafficService;
    route.newServerRate = options.newServerRate;
    route.rampTime = std::chrono::duration_cast<std::chrono::milliseconds>(options.rampTime);
    if (options.brokenRules.count("ramp-ends") != 0)
        route.rampTime = NoRampEnd;
    route.maxQueue = options.maxQueue;
    return route;
}

} // namespace

TrafficSimulation::TrafficSimulation(const TrafficOptions &options, DaemonLog::Print print)
    : m_options(options)
    , m_print(std::move(print))
    , m_random(options.seed)
    , m_flow(m_events, m_daemons, options.printsRequests ? m_print : DaemonLog::Print())
{
    auto routes = std::make_shared<Configuration::RouteTable>();
    routes->routes[{"shop", TrafficService}] = routeOf(options);
    m_routes = std::move(routes);
    for (std::size_t i = 0; i < options.zones.size(); ++i)
        m_daemons.push_back(
            std::make_unique<TrafficDaemon>(m_events, options, recordOf(i, options), m_print));
    publish();
    check();
}

void TrafficSimulation::runUntil(TrueTime end)
{
    while (m_events.runNext(end)) {
    }
    m_events.advanceTo(end);
}

void TrafficSimulation::offer(const TrafficLoad &load)
{
    arriveNext(load, now() + load.duration);
}

void TrafficSimulation::setZoneOut(const std::string &zone, bool isOut)
{
    if (isOut && m_options.brokenRules.count("zone-out") == 0)
        m_zonesOut.insert(zone);
    else
        m_zonesOut.erase(zone);
    publish();
}

bool TrafficSimulation::hasZone(const std::string &zone) const
{
    return std::find(m_options.zones.begin(), m_options.zones.end(), zone) != m_options.zones.end();
}

// Each daemon has a snapshot of its own, and drops the one before.
void TrafficSimulation::publish()
{
    for (const auto &daemon : m_daemons) {
        auto snapshot = std::make_shared<Daemon::TrafficSnapshot>();
        snapshot->self = daemon->record();
        snapshot->routes = m_routes;
        snapshot->zonesOut = m_zonesOut;
        for (const auto &other : m_daemons)
            snapshot->nodes[other->record().instance] = other->record();
        daemon->setSnapshot(std::move(snapshot));
    }
}

void TrafficSimulation::check()
{
    for (const auto &daemon : m_daemons)
        daemon->check();
    if (now() % SummaryInterval == TrueTime(0))
        summarise();
    m_events.schedule(now() + CheckInterval, [this] { check(); });
}

void TrafficSimulation::arriveNext(const TrafficLoad &load, TrueTime end)
{
    if (now() >= end)
        return;
    TrafficRequest request;
    request.entry = load.entry.value_or(m_nextEntry++ % m_daemons.size());
    request.requestClass = load.requestClass;
    request.arrivedAt = now();
    request.deadline = now() + load.deadline;
    request.isIdempotent = load.isIdempotent;
    m_flow.arrive(std::move(request));
    const TrueTime mean(static_cast<TrueTime::rep>(1e9 / load.rate));
    m_events.schedule(now() + m_random.between(mean / 2, mean * 3 / 2),
                      [this, load, end] { arriveNext(load, end); });
}

// Prints what was finished and started since the last summary, unless nothing was.
void TrafficSimulation::summarise()
{
    const TrueTime since = std::exchange(m_summarised, now());
    std::map<std::string, std::size_t> finished;
    std::vector<std::size_t> started(m_daemons.size());
    std::size_t hedges = 0;
    for (const TrafficRequest &request : requests()) {
        for (const auto &[at, target] : request.starts)
            started[target] += at > since ? 1 : 0;
        if (!request.isFinished || request.finishedAt <= since)
            continue;
        hedges += request.hedges;
        std::string what(outcomeName(request.outcome));
        if (!request.error.empty())
            what += "/" + request.error;
        ++finished[what];
    }
    std::string line;
    for (const auto &[what, count] : finished)
        line += " " + what + "=" + std::to_string(count);
    if (line.empty())
        return;
    if (hedges > 0)
        line += " hedges=" + std::to_string(hedges);
    for (std::size_t i = 0; i < m_daemons.size(); ++i)
        line += " backend-" + std::to_string(i + 1) + ":started=" + std::to_string(started[i])
                + ",waiting=" + std::to_string(m_daemons[i]->waiting());
    m_print("summary" + line);
}

} // namespace Medlar::Scenario
