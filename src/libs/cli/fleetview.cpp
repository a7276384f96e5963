#include "fleetview.h"

#include "cluster/clustercodec.h"

#include <algorithm>

namespace Medlar::Cli {

const char *const NodesPrefix = "medlar/nodes/";
const char *const ZonesPrefix = "medlar/zones/";
const char *const ServersPrefix = "medlar/servers/";
const char *const StatusPrefix = "medlar/status/";
const char *const SealedPrefix = "medlar/sealed/";
const char *const AssignmentPrefix = "medlar/assignment/";

namespace {

void addNode(FleetView &view, const Store::StoredObject &object)
{
    const auto json = nlohmann::json::parse(object.value, nullptr, false);
    auto record = Cluster::nodeRecordFromJson(json);
    if (record)
        view.nodes.push_back(std::move(*record));
    else
        view.unreadable.push_back(object.key);
}

void addZone(FleetView &view, const Store::StoredObject &object)
{
    const std::string state = stringField(object.value, "state");
    if (state == "out")
        view.zonesOut.insert(nameIn(object.key, ZonesPrefix));
    else if (state != "in")
        view.unreadable.push_back(object.key);
}

void addServer(FleetView &view, const Store::StoredObject &object)
{
    ServerDecision decision{stringField(object.value, "state"),
                            stringField(object.value, "instance")};
    if (decision.state.empty()) {
        view.unreadable.push_back(object.key);
        return;
    }
    if (decision.state == "confirmed-dead")
        view.ended.insert(decision.instance);
    view.servers[nameIn(object.key, ServersPrefix)] = std::move(decision);
}

void addStatus(FleetView &view, const Store::StoredObject &object)
{
    view.statusRevision = std::max(view.statusRevision, object.version);
    auto status = Spreading::decodeZoneStatus(object.value);
    if (status)
        view.statuses[status->zone] = std::move(*status);
    else
        view.unreadable.push_back(object.key);
}

// The key is sealed/NODE/INCARNATION, because '#' would start a fragment in a URL.
void addSeal(FleetView &view, const Store::StoredObject &object)
{
    std::string instance = nameIn(object.key, SealedPrefix);
    std::replace(instance.begin(), instance.end(), '/', '#');
    view.ended.insert(instance);
}

} // namespace

bool FleetView::isLive(const Cluster::NodeRecord &node) const
{
    return node.state != Cluster::NodeState::Left && ended.count(node.instance.toString()) == 0;
}

std::set<std::string> FleetView::liveZones() const
{
    std::set<std::string> result;
    for (const Cluster::NodeRecord &node : nodes) {
        if (isLive(node))
            result.insert(node.availabilityZone);
    }
    return result;
}

std::set<std::string> FleetView::zones() const
{
    std::set<std::string> result = zonesOut;
    for (const Cluster::NodeRecord &node : nodes)
        result.insert(node.availabilityZone);
    for (const auto &[zone, status] : statuses)
        result.insert(zone);
    return result;
}

Result<FleetView> readFleet(BlockingStore &store)
{
    using AddObject = void (*)(FleetView &, const Store::StoredObject &);
    const std::pair<const char *, AddObject> sections[] = {{NodesPrefix, addNode},
                                                           {ZonesPrefix, addZone},
                                                           {ServersPrefix, addServer},
                                                           {SealedPrefix, addSeal},
                                                           {StatusPrefix, addStatus}};
    FleetView view;
    for (const auto &[prefix, addObject] : sections) {
        const auto objects = store.list(prefix);
        if (!objects)
            return tl::unexpected(objects.error());
        for (const Store::StoredObject &object : *objects)
            addObject(view, object);
    }
    std::sort(view.nodes.begin(), view.nodes.end(),
              [](const auto &a, const auto &b) { return a.instance < b.instance; });
    return view;
}

std::string nameIn(const std::string &key, const std::string &prefix)
{
    return key.size() > prefix.size() ? key.substr(prefix.size()) : std::string();
}

std::string stringField(const std::string &jsonText, const char *field)
{
    const auto json = nlohmann::json::parse(jsonText, nullptr, false);
    const auto found = json.is_object() ? json.find(field) : json.end();
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace Medlar::Cli
