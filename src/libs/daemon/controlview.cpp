#include "controlview.h"

#include "objectkeys.h"

#include <utility>

namespace Medlar::Daemon {

using nlohmann::json;
using Spreading::HeldObject;

namespace {

std::vector<ViewChange> rejected(const std::string &key, std::string detail)
{
    return {ObjectRejected{key, std::move(detail)}};
}

// The value of the field "state" of a JSON object, empty when it is not one.
std::string stateOf(const json &object)
{
    if (!object.is_object())
        return {};
    const auto found = object.find("state");
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<Base::InstanceId> instanceIn(const json &object, const char *field)
{
    if (!object.is_object())
        return {};
    const auto found = object.find(field);
    if (found == object.end() || !found->is_string())
        return {};
    auto id = Base::InstanceId::parse(found->get_ref<const std::string &>());
    if (!id)
        return {};
    return *id;
}

} // namespace

ControlView::ControlView(ConfigurationParser parser) : m_parser(std::move(parser)) {}

std::vector<ViewChange> ControlView::apply(const std::string &key, const HeldObject &object)
{
    if (const auto name = Keys::nameBehind(key, Keys::Nodes))
        return applyNode(*name, key, object);
    if (const auto zone = Keys::nameBehind(key, Keys::Zones))
        return applyZone(*zone, key, object);
    if (const auto node = Keys::nameBehind(key, Keys::Servers))
        return applyServer(*node, key, object);
    if (key == Keys::PlannerCurrent)
        return applyPlanner(object);
    if (Keys::startsWith(key, Keys::Sealed)) {
        if (const auto instance = Keys::instanceOfSealKey(key); instance && object.value)
            return {InstanceSealed{{*instance, Messages::SealReason::LeaseExpired, false}}};
        return {};
    }
    if (!object.value)
        return {};
    if (key == Keys::Configuration)
        return applyConfiguration(key, *object.value);
    if (Keys::startsWith(key, Keys::Assignment)) {
        auto chunk = Cluster::decodeChunk(*object.value);
        if (!chunk)
            return rejected(key, chunk.error().detail);
        return {EntriesLearnt{std::move(*chunk)}};
    }
    return {};
}

std::vector<ViewChange> ControlView::applyNode(const std::string &name, const std::string &key,
                                               const HeldObject &object)
{
    if (!object.value) {
        m_nodes.erase(name);
        return {NodeWithdrawn{name}};
    }
    auto record = Cluster::nodeRecordFromJson(json::parse(*object.value, nullptr, false));
    if (!record)
        return rejected(key, record.error().detail);
    if (record->instance.node != name)
        return rejected(key, "node record names another node");
    m_nodes[name] = *record;
    return {NodeAnnounced{std::move(*record)}};
}

std::vector<ViewChange> ControlView::applyZone(const std::string &zone, const std::string &key,
                                               const HeldObject &object)
{
    const std::string state
        = object.value ? stateOf(json::parse(*object.value, nullptr, false)) : "in";
    if (state != "in" && state != "out")
        return rejected(key, "zone state is neither in nor out");
    if (state == "out")
        m_zonesOut.insert(zone);
    else
        m_zonesOut.erase(zone);
    return {PolicyChanged{}};
}

std::vector<ViewChange> ControlView::applyServer(const std::string &node, const std::string &key,
                                                 const HeldObject &object)
{
    const json content
        = object.value ? json::parse(*object.value, nullptr, false) : json{{"state", "active"}};
    const std::string state = stateOf(content);
    if (state == "active") {
        m_nodesOut.erase(node);
        return {PolicyChanged{}};
    }
    if (state == "drain") {
        m_nodesOut.insert(node);
        return {PolicyChanged{}};
    }
    const auto instance = instanceIn(content, "instance");
    if (state != "confirmed-dead" || !instance || instance->node != node)
        return rejected(key,
                        "server state is not active, drain, or confirmed-dead with an instance");
    // A later instance of the node is not drained any more.
    m_nodesOut.erase(node);
    return {InstanceSealed{{*instance, Messages::SealReason::ConfirmedDead, false}},
            PolicyChanged{}};
}

std::vector<ViewChange> ControlView::applyConfiguration(const std::string &key,
                                                        const std::string &value)
{
    auto routes = m_parser(value);
    if (!routes)
        return rejected(key, routes.error());
    // A store that was reset to an older state must not take an accepted configuration back.
    if (m_routes && routes->version < m_routes->version)
        return rejected(key, "version " + std::to_string(routes->version)
                                 + " is below the version in force");
    m_routes = std::make_shared<const Configuration::RouteTable>(std::move(*routes));
    return {PolicyChanged{}};
}

std::vector<ViewChange> ControlView::applyPlanner(const HeldObject &object)
{
    m_planner.reset();
    if (object.value)
        m_planner = instanceIn(json::parse(*object.value, nullptr, false), "holder");
    return {PolicyChanged{}};
}

} // namespace Medlar::Daemon
