#include "command.h"

#include "configurationstore.h"
#include "fleetview.h"

namespace Medlar::Cli {

namespace {

std::size_t liveNodesIn(const FleetView &view, const std::string &zone)
{
    std::size_t count = 0;
    for (const Cluster::NodeRecord &node : view.nodes) {
        if (node.availabilityZone == zone && view.isLive(node))
            ++count;
    }
    return count;
}

std::string regionOf(const FleetView &view, const std::string &zone)
{
    for (const Cluster::NodeRecord &node : view.nodes) {
        if (node.availabilityZone == zone)
            return node.region;
    }
    return {};
}

void addZones(Report &report, const FleetView &view)
{
    report.addTable("zones",
                    {"zone", "region", "service", "live_nodes", "lowest_version", "lagging"});
    for (const std::string &zone : view.zones()) {
        const auto status = view.statuses.find(zone);
        nlohmann::ordered_json lowest;
        nlohmann::ordered_json lagging = nlohmann::ordered_json::array();
        if (status != view.statuses.end()) {
            lowest = status->second.lowestVersion;
            for (const Base::InstanceId &instance : status->second.lagging)
                lagging.push_back(instance.toString());
        }
        report.addRow({zone, regionOf(view, zone), view.zonesOut.count(zone) != 0 ? "out" : "in",
                       liveNodesIn(view, zone), lowest, lagging});
    }
}

// What the node announced, unless it has ended.
std::string stateOf(const FleetView &view, const Cluster::NodeRecord &node)
{
    if (view.ended.count(node.instance.toString()) != 0)
        return "ended";
    return std::string(toString(node.state));
}

void addNodes(Report &report, const FleetView &view)
{
    report.addTable("nodes",
                    {"node", "zone", "state", "operator", "address", "services", "instance"});
    for (const Cluster::NodeRecord &node : view.nodes) {
        const auto server = view.servers.find(node.instance.node);
        report.addRow({node.instance.node, node.availabilityZone, stateOf(view, node),
                       server != view.servers.end() ? server->second.state : std::string(),
                       node.address + ":" + std::to_string(node.httpPort), node.services,
                       node.instance.toString()});
    }
}

} // namespace

CommandResult runStatus(CommandContext &context)
{
    if (context.store == nullptr)
        return askDaemon(context, "/admin/status");
    const auto current = ConfigurationStore(*context.store).current();
    if (!current && current.error().code == ExitCode::Unreachable)
        return tl::unexpected(current.error());
    const auto view = readFleet(*context.store);
    if (!view)
        return tl::unexpected(view.error());

    const std::uint64_t version = current && *current ? (*current)->bundle.version() : 0;
    // Without a configuration or a live node there is nothing to tell.
    const std::set<std::string> liveZones = view->liveZones();
    nlohmann::ordered_json isInForce;
    if (version > 0 && !liveZones.empty())
        isInForce = true;
    for (const std::string &zone : liveZones) {
        const auto status = view->statuses.find(zone);
        const bool isReached
            = status != view->statuses.end() && status->second.lowestVersion >= version;
        if (!isReached && version > 0)
            isInForce = false;
    }
    Report report;
    report.add("configuration_version", version).add("in_force", isInForce);
    if (!current)
        report.add("configuration_error", current.error().message);
    if (!view->unreadable.empty())
        report.add("unreadable_objects", view->unreadable);
    addZones(report, *view);
    addNodes(report, *view);
    return report;
}

} // namespace Medlar::Cli
