#include "command.h"

#include "fleetview.h"

#include <algorithm>
#include <optional>

namespace Medlar::Cli {

using nlohmann::json;

namespace {

// Writes the decision unless it is stored already, and reports what was there before.
CommandResult storeDecision(CommandContext &context, const std::string &key, const json &decision)
{
    const auto object = context.store->get(key);
    if (!object)
        return tl::unexpected(object.error());
    const std::string value = decision.dump();
    const std::string before = *object ? stringField((*object)->value, "state") : std::string();
    Report report;
    report.add("key", key).add("before", before).add("state", decision["state"]);
    if (decision.contains("instance"))
        report.add("instance", decision["instance"]);
    if (*object && (*object)->value == value)
        return report.add("result", "unchanged");

    const auto outcome = context.store->put(key, value, *object ? (*object)->version : 0);
    if (!outcome)
        return tl::unexpected(outcome.error());
    if (*outcome != BlockingStore::PutOutcome::Conflict)
        return report.add("result", "changed");
    const auto now = context.store->get(key);
    report.add("current", now && *now ? json::parse((*now)->value, nullptr, false) : json());
    return fail(ExitCode::Conflict,
                "somebody else changed " + key + " at the same time; nothing was changed",
                std::move(report));
}

std::string joined(const std::set<std::string> &names)
{
    std::string result;
    for (const std::string &name : names)
        result += (result.empty() ? "" : ", ") + name;
    return result.empty() ? "none" : result;
}

const Cluster::NodeRecord *findNode(const FleetView &view, const std::string &name)
{
    const auto found
        = std::find_if(view.nodes.begin(), view.nodes.end(),
                       [&name](const auto &node) { return node.instance.node == name; });
    return found == view.nodes.end() ? nullptr : &*found;
}

// NODE or NODE#INCARNATION as the instance that is meant.
Result<Base::InstanceId> resolveInstance(const FleetView &view, const std::string &argument,
                                         bool isConfirmation)
{
    const auto exact = Base::InstanceId::parse(argument);
    const std::string name = exact ? exact->node : argument;
    const Cluster::NodeRecord *node = findNode(view, name);
    // A lost instance may have no record any more, or its replacement may have announced itself.
    if (exact && isConfirmation)
        return *exact;
    if (exact && (node == nullptr || node->instance != *exact))
        return fail(ExitCode::Failed,
                    "instance " + argument + " is not the announced one: "
                        + (node != nullptr ? node->instance.toString() : std::string("none")));
    if (node == nullptr)
        return fail(ExitCode::Failed, "no node " + name + " has announced itself");
    return node->instance;
}

} // namespace

CommandResult runZone(CommandContext &context)
{
    const std::string &state = context.arguments[0];
    const std::string &zone = context.arguments[1];
    if (state != "out" && state != "in")
        return fail(ExitCode::UsageError, "\"" + state + "\" is not accepted; accepted: out, in");
    if (!Base::isValidNodeName(zone))
        return fail(ExitCode::UsageError, "\"" + zone + "\" is not a zone name");
    const auto view = readFleet(*context.store);
    if (!view)
        return tl::unexpected(view.error());
    // A mistyped name would leave the zone that was meant in service.
    if (!context.options.force && view->zones().count(zone) == 0)
        return fail(ExitCode::Failed, "no node has announced zone " + zone + "; known zones: "
                                          + joined(view->zones()) + "; --force accepts it");
    return storeDecision(context, ZonesPrefix + zone, {{"state", state}});
}

CommandResult runServer(CommandContext &context)
{
    const std::string &action = context.arguments[0];
    const std::optional<std::string> state
        = action == "drain"          ? std::optional<std::string>("drain")
          : action == "return"       ? std::optional<std::string>("active")
          : action == "confirm-dead" ? std::optional<std::string>("confirmed-dead")
                                     : std::nullopt;
    if (!state)
        return fail(ExitCode::UsageError,
                    "\"" + action + "\" is not accepted; accepted: drain, return, confirm-dead");
    const auto view = readFleet(*context.store);
    if (!view)
        return tl::unexpected(view.error());
    const auto instance = resolveInstance(*view, context.arguments[1], *state == "confirmed-dead");
    if (!instance)
        return tl::unexpected(instance.error());

    const auto decided = view->servers.find(instance->node);
    const bool isDead = decided != view->servers.end() && decided->second.state == "confirmed-dead"
                        && decided->second.instance == instance->toString();
    // Daemons that have not seen the decision yet must still find it.
    if (isDead && *state != "confirmed-dead")
        return fail(ExitCode::Failed, "instance " + instance->toString()
                                          + " is confirmed dead, which is final; restart the node");
    return storeDecision(context, ServersPrefix + instance->node,
                         {{"state", *state}, {"instance", instance->toString()}});
}

} // namespace Medlar::Cli
