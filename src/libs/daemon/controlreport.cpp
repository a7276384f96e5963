#include "controlreport.h"

#include <algorithm>
#include <chrono>

namespace Medlar::Daemon {

using nlohmann::json;

std::string statusJson(const ControlReport &report, Base::TimePoint now)
{
    json slots = json::object();
    for (const auto &[table, view] : report.snapshots->services())
        slots[table] = report.engine->servedSlots(table).size();
    const auto leaseLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
        report.engine->leaseValidUntil() - now);
    const auto &routes = report.view->routes();
    return json{{"instance", report.self->instance.toString()},
                {"region", report.self->region},
                {"zone", report.self->availabilityZone},
                {"ready", report.isReady},
                {"lease_left_ms", std::max<std::int64_t>(leaseLeft.count(), 0)},
                {"term", report.self->term},
                {"witnesses", Cluster::toJson(report.self->witnesses)},
                {"nodes", report.view->nodes().size()},
                {"sealed", report.engine->sealedInstances().size()},
                {"configuration_version", routes ? routes->version : 0},
                {"served_slots", slots},
                {"watcher", report.isWatcher},
                {"planner", report.isPlanner},
                {"store_reachable", report.isStoreReachable},
                {"backend_up", report.isBackendUp},
                {"instance_restarts", report.instanceRestarts}}
        .dump();
}

std::string explainSlotJson(const ControlReport &report, Base::TimePoint now,
                            const std::string &table, Cluster::SlotId slot)
{
    json result{{"table", table}, {"slot", slot}, {"node", report.self->instance.toString()}};
    const Ownership::OwnershipEngine &engine = *report.engine;
    const Cluster::SlotTable *slots = engine.table(table);
    const Cluster::SlotEntry *entry = slots ? slots->entry(slot) : nullptr;
    if (!entry) {
        result["error"] = "no entry known";
        return result.dump();
    }
    std::vector<Base::InstanceId> sealed;
    std::copy_if(entry->owners.begin(), entry->owners.end(), std::back_inserter(sealed),
                 [&engine](const auto &id) { return engine.isSealed(id); });
    result["epoch"] = entry->epoch;
    result["owners"] = Cluster::toJson(entry->owners);
    result["prior"] = Cluster::toJson(entry->prior);
    result["sealed_owners"] = Cluster::toJson(sealed);
    if (const auto owner = engine.ownerOf(table, slot))
        result["owner"] = owner->owner.toString();
    if (const auto permit = engine.permit(now, table, slot))
        result["serving_token"] = permit->token;
    return result.dump();
}

std::string backlogJson(const ControlReport &report)
{
    std::vector<Admission::BacklogEntry> queues = report.queues;
    std::stable_sort(queues.begin(), queues.end(),
                     [](const auto &a, const auto &b) { return a.severity > b.severity; });
    json result = json::array();
    for (const Admission::BacklogEntry &queue : queues) {
        const auto age
            = std::chrono::duration_cast<std::chrono::milliseconds>(queue.backlog.oldestAge);
        result.push_back({{"name", queue.name},
                          {"entries", queue.backlog.depth},
                          {"max_entries", queue.backlog.bounds.maxEntries},
                          {"bytes", queue.backlog.bytes},
                          {"max_bytes", queue.backlog.bounds.maxBytes},
                          {"oldest_ms", age.count()},
                          {"severity", queue.severity},
                          {"alarm", queue.alarmed}});
    }
    return result.dump();
}

std::string controlMetricsText(const ControlReport &report)
{
    std::string text;
    const auto add = [&text](const char *name, const char *kind, double value) {
        text += std::string("# TYPE ") + name + ' ' + kind + '\n';
        text += std::string(name) + ' ' + std::to_string(value) + '\n';
    };
    add("medlar_control_bytes_sent_total", "counter", double(report.links.bytesSent));
    add("medlar_control_bytes_received_total", "counter", double(report.links.bytesReceived));
    add("medlar_control_frames_sent_total", "counter", double(report.links.framesSent));
    add("medlar_control_frames_received_total", "counter", double(report.links.framesReceived));
    add("medlar_control_links", "gauge", double(report.linkCount));
    add("medlar_nodes", "gauge", double(report.view->nodes().size()));
    add("medlar_sealed_instances", "gauge", double(report.engine->sealedInstances().size()));
    add("medlar_instance_restarts_total", "counter", double(report.instanceRestarts));
    return text;
}

} // namespace Medlar::Daemon
