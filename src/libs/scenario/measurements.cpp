#include "measurements.h"

#include "unavailability.h"

#include <algorithm>

namespace Medlar::Scenario {

using namespace std::chrono_literals;

namespace {

constexpr double HeaderBytes = 66;
constexpr double AcknowledgementBytes = 52;
constexpr TrueTime SettleTime = 5s;
constexpr TrueTime SampleInterval = 1ms;
constexpr TrueTime RecoveryLimit = 3s;
constexpr TrueTime LongestKillDelay = 400ms; //!< spreads kills over two renewal intervals

SimulationOptions clusterOf(std::uint64_t seed, std::size_t nodes)
{
    static const std::vector<Location> Zones{
        {"r1", "a"}, {"r2", "d"}, {"r1", "b"}, {"r2", "e"}, {"r1", "c"}};
    SimulationOptions options;
    options.seed = seed;
    options.antiEntropy = false;
    options.tracksRequests = false;
    for (std::size_t i = 0; i < nodes; ++i)
        options.nodes.push_back({"node-" + std::to_string(i + 1), Zones[i % Zones.size()]});
    return options;
}

} // namespace

ControlTraffic measureControlTraffic(std::uint64_t seed, std::size_t nodes,
                                     std::chrono::seconds seconds)
{
    SimulationOptions options = clusterOf(seed, nodes);
    options.repairs = false;
    Simulation simulation(options);
    simulation.warmUp();
    simulation.runUntil(simulation.now() + SettleTime);
    simulation.network().startCounting();
    simulation.runUntil(simulation.now() + seconds);

    const Traffic &sent = simulation.network().sent();
    const double nodeSeconds = static_cast<double>(nodes) * static_cast<double>(seconds.count());
    ControlTraffic traffic;
    traffic.messagesPerSecond = static_cast<double>(sent.messages) / nodeSeconds;
    traffic.payloadBytesPerSecond = static_cast<double>(sent.payloadBytes) / nodeSeconds;
    traffic.wireBytesPerSecond = traffic.payloadBytesPerSecond
                                 + traffic.messagesPerSecond * (HeaderBytes + AcknowledgementBytes);
    std::map<std::string, double> duties;
    for (const auto &[name, node] : simulation.nodes()) {
        for (const Base::InstanceId &witness : node->engine().self().witnesses)
            traffic.highestDutiesPerNode
                = std::max(traffic.highestDutiesPerNode, ++duties[witness.node]);
    }
    return traffic;
}

std::vector<std::chrono::milliseconds> measureRecovery(const RecoveryOptions &options)
{
    std::vector<std::chrono::milliseconds> times;
    for (std::uint64_t run = 0; run < options.runs; ++run) {
        SimulationOptions cluster = clusterOf(options.seed + run, options.nodes);
        cluster.slotCount = static_cast<std::uint32_t>(options.nodes) * 2;
        cluster.antiEntropy = true;
        for (NodeOptions &node : cluster.nodes)
            node.backendChecksFencing = options.backendChecksFencing;
        Simulation simulation(cluster);
        simulation.warmUp();
        simulation.runUntil(simulation.now() + simulation.random().between(0ms, LongestKillDelay));
        if (options.storeDown)
            simulation.setStoreUp(false);
        Unavailability unavailability(simulation, SampleInterval);
        simulation.kill("node-" + std::to_string(1 + run % options.nodes));
        unavailability.start(simulation.now() + RecoveryLimit);
        simulation.runUntil(simulation.now() + RecoveryLimit);
        times.push_back(
            std::chrono::duration_cast<std::chrono::milliseconds>(unavailability.worst()));
    }
    std::sort(times.begin(), times.end());
    return times;
}

std::chrono::milliseconds percentile(const std::vector<std::chrono::milliseconds> &values,
                                     double percent)
{
    if (values.empty())
        return 0ms;
    const auto index
        = static_cast<std::size_t>(percent / 100 * static_cast<double>(values.size() - 1));
    return values[std::min(index, values.size() - 1)];
}

} // namespace Medlar::Scenario
