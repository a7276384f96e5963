#include "command.h"

#include "base/keyhash.h"
#include "cluster/clustercodec.h"
#include "cluster/slottable.h"
#include "fleetview.h"

#include <algorithm>
#include <map>

namespace Medlar::Cli {

using Cluster::SlotTable;

namespace {

struct Assignment
{
    std::map<std::string, SlotTable> tables;
    std::vector<std::string> unreadable; //!< keys
};

// A service restricted to regions has tables of its own, named SERVICE@REGION+REGION.
bool isSelected(const std::string &table, const std::string &service)
{
    return service.empty() || table == service || table.rfind(service + "@", 0) == 0;
}

Result<Assignment> readAssignment(BlockingStore &store, const std::string &service)
{
    const auto objects = store.list(AssignmentPrefix + service);
    if (!objects)
        return tl::unexpected(objects.error());
    Assignment result;
    for (const Store::StoredObject &object : *objects) {
        const std::string name = nameIn(object.key, AssignmentPrefix);
        const std::string table = name.substr(0, name.find('/'));
        if (!isSelected(table, service))
            continue;
        const auto chunk = Cluster::decodeChunk(object.value);
        auto known = result.tables.find(table);
        if (chunk && known == result.tables.end()) {
            if (auto created = SlotTable::create(table, chunk->slotCount))
                known = result.tables.emplace(table, std::move(*created)).first;
        }
        if (!chunk || known == result.tables.end()
            || chunk->slotCount != known->second.slotCount()) {
            result.unreadable.push_back(object.key);
            continue;
        }
        for (const Cluster::SlotAssignment &assignment : chunk->assignments)
            known->second.merge(assignment);
    }
    return result;
}

nlohmann::ordered_json shownSlot(Cluster::SlotId slot)
{
    if (!Cluster::isHotKey(slot))
        return slot;
    return "hot key " + std::to_string(slot);
}

void addKeyOwners(Report &report, const SlotTable &table, const std::string &key)
{
    const Cluster::SlotId slot = table.slotFor(Base::keyHash(key));
    const Cluster::SlotEntry *entry = table.entry(slot);
    if (entry == nullptr) {
        report.addRow({table.service(), shownSlot(slot), nullptr, nullptr, nullptr, nullptr});
        return;
    }
    const std::vector<Base::InstanceId> successors(entry->owners.begin() + 1, entry->owners.end());
    report.addRow({table.service(), shownSlot(slot), entry->epoch, entry->owners.front().toString(),
                   Cluster::toJson(successors), Cluster::toJson(entry->prior)});
}

// Slots as owner and as successor of each node.
struct Counts
{
    std::size_t slots = 0;
    std::size_t hotKeys = 0;
    std::size_t successorOf = 0;
};

void addOwnerCounts(Report &report, const SlotTable &table)
{
    std::map<std::string, Counts> counts;
    std::size_t unassigned = table.slotCount();
    for (std::uint32_t index = 0; index < table.chunkCount(); ++index) {
        for (const Cluster::SlotAssignment &assignment : table.chunk(index)) {
            const auto &owners = assignment.entry.owners;
            const bool isHotKey = Cluster::isHotKey(assignment.slot);
            Counts &owner = counts[owners.front().toString()];
            ++(isHotKey ? owner.hotKeys : owner.slots);
            unassigned -= isHotKey ? 0 : 1;
            for (std::size_t i = 1; i < owners.size(); ++i)
                ++counts[owners[i].toString()].successorOf;
        }
    }
    for (const auto &[instance, count] : counts)
        report.addRow({table.service(), instance, count.slots, count.hotKeys, count.successorOf});
    if (unassigned > 0)
        report.addRow({table.service(), "(none)", unassigned, 0, 0});
}

} // namespace

CommandResult runOwners(CommandContext &context)
{
    const Options &options = context.options;
    const auto assignment = readAssignment(*context.store, options.service);
    if (!assignment)
        return tl::unexpected(assignment.error());
    if (assignment->tables.empty())
        return fail(ExitCode::Failed, options.service.empty()
                                          ? "no service has an assignment"
                                          : "service " + options.service + " has no assignment");
    Report report;
    if (!assignment->unreadable.empty())
        report.add("unreadable_objects", assignment->unreadable);
    if (!options.key.empty()) {
        report.addTable("owners", {"table", "slot", "epoch", "owner", "successors", "prior"});
        for (const auto &[name, table] : assignment->tables)
            addKeyOwners(report, table, options.key);
        return report;
    }
    report.addTable("owners", {"table", "instance", "slots", "hot_keys", "successor_of"});
    for (const auto &[name, table] : assignment->tables)
        addOwnerCounts(report, table);
    return report;
}

} // namespace Medlar::Cli
