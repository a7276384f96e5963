#include "clustercodec.h"

#include "cbor.h"
#include "slottable.h"

#include <limits>
#include <map>

namespace Medlar::Cluster {

using Base::InstanceId;
using nlohmann::json;

namespace {

constexpr std::size_t MaxInstancesPerList = 64;
constexpr std::size_t MaxServicesPerNode = 64;
constexpr std::size_t MaxHotKeysPerSlot = 256;

tl::unexpected<DecodeError> fail(std::string detail)
{
    return tl::unexpected(DecodeError{std::move(detail)});
}

template<typename Number>
bool readNumber(const json &object, const char *key, Number &out)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned())
        return false;
    const auto value = found->template get<std::uint64_t>();
    if (value > std::numeric_limits<Number>::max())
        return false;
    out = static_cast<Number>(value);
    return true;
}

bool readString(const json &object, const char *key, std::string &out)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
        return false;
    out = found->get<std::string>();
    return true;
}

bool readState(const json &object, NodeState &out)
{
    std::string text;
    if (!readString(object, "state", text))
        return false;
    for (const NodeState state : {NodeState::Active, NodeState::Draining, NodeState::Left}) {
        if (toString(state) == text) {
            out = state;
            return true;
        }
    }
    return false;
}

// Instances are written as indexes into a table, or in text form where no table is given.
class InstanceTable
{
public:
    std::size_t indexOf(const InstanceId &id)
    {
        const auto [position, inserted] = m_indexes.try_emplace(id, m_instances.size());
        if (inserted)
            m_instances.push_back(id);
        return position->second;
    }

    json indexesOf(const std::vector<InstanceId> &ids)
    {
        json result = json::array();
        for (const InstanceId &id : ids)
            result.push_back(indexOf(id));
        return result;
    }

    const std::vector<InstanceId> &instances() const { return m_instances; }

private:
    std::map<InstanceId, std::size_t> m_indexes;
    std::vector<InstanceId> m_instances;
};

Decoded<std::vector<InstanceId>> instancesFromIndexes(const json &list,
                                                      const std::vector<InstanceId> &table)
{
    if (!list.is_array() || list.size() > MaxInstancesPerList)
        return fail("instance list is not a short array");
    std::vector<InstanceId> result;
    for (const json &index : list) {
        if (!index.is_number_unsigned() || index.get<std::uint64_t>() >= table.size())
            return fail("instance index is out of range");
        result.push_back(table[index.get<std::size_t>()]);
    }
    return result;
}

Decoded<std::vector<SlotId>> hotKeysFromJson(const json &list)
{
    if (!list.is_array() || list.size() > MaxHotKeysPerSlot)
        return fail("hot key list is not a short array");
    std::vector<SlotId> result;
    for (const json &key : list) {
        if (!key.is_number_unsigned() || !isHotKey(key.get<SlotId>()))
            return fail("hot key id is invalid");
        result.push_back(key.get<SlotId>());
    }
    return result;
}

// Reads [slot, epoch, owners, prior, hotKeys]; instances are decoded by readInstances.
template<typename ReadInstances>
Decoded<SlotAssignment> assignmentFromArray(const json &array, ReadInstances readInstances)
{
    if (!array.is_array() || array.size() != 5 || !array[0].is_number_unsigned()
        || !array[1].is_number_unsigned())
        return fail("slot assignment is not [slot, epoch, owners, prior, hot keys]");

    SlotAssignment result;
    result.slot = array[0].template get<SlotId>();
    result.entry.epoch = array[1].template get<Epoch>();
    auto owners = readInstances(array[2]);
    if (!owners)
        return tl::unexpected(owners.error());
    if (owners->empty() || owners->size() > MaxOwnersPerEntry)
        return fail("slot assignment has no owner or too many");
    auto prior = readInstances(array[3]);
    if (!prior)
        return tl::unexpected(prior.error());
    auto hotKeys = hotKeysFromJson(array[4]);
    if (!hotKeys)
        return tl::unexpected(hotKeys.error());
    result.entry.owners = std::move(*owners);
    result.entry.prior = std::move(*prior);
    result.entry.hotKeys = std::move(*hotKeys);
    return result;
}

} // namespace

json toJson(const std::vector<InstanceId> &instances)
{
    json result = json::array();
    for (const InstanceId &id : instances)
        result.push_back(id.toString());
    return result;
}

Decoded<std::vector<InstanceId>> instancesFromJson(const json &list)
{
    if (!list.is_array() || list.size() > MaxInstancesPerList)
        return fail("instance list is not a short array");
    std::vector<InstanceId> result;
    for (const json &text : list) {
        if (!text.is_string())
            return fail("instance id is not a string");
        auto id = InstanceId::parse(text.get_ref<const std::string &>());
        if (!id)
            return fail(id.error());
        result.push_back(std::move(*id));
    }
    return result;
}

json toJson(const NodeRecord &record)
{
    return {{"instance", record.instance.toString()},
            {"address", record.address},
            {"http_port", record.httpPort},
            {"control_port", record.controlPort},
            {"traffic_port", record.trafficPort},
            {"region", record.region},
            {"zone", record.availabilityZone},
            {"services", record.services},
            {"term", record.term},
            {"witnesses", toJson(record.witnesses)},
            {"state", toString(record.state)},
            {"backend_checks_fencing", record.backendChecksFencing},
            {"backend_slots", record.backendSlots}};
}

Decoded<NodeRecord> nodeRecordFromJson(const json &object)
{
    if (!object.is_object())
        return fail("node record is not an object");

    NodeRecord record;
    std::string instance;
    if (!readString(object, "instance", instance))
        return fail("node record has no instance");
    auto id = InstanceId::parse(instance);
    if (!id)
        return fail(id.error());
    record.instance = std::move(*id);

    if (!readString(object, "address", record.address)
        || !readNumber(object, "http_port", record.httpPort)
        || !readNumber(object, "control_port", record.controlPort)
        || !readNumber(object, "traffic_port", record.trafficPort))
        return fail("node record has no valid address");
    if (!readString(object, "region", record.region)
        || !readString(object, "zone", record.availabilityZone))
        return fail("node record has no region or zone");
    if (!readNumber(object, "term", record.term)
        || !readNumber(object, "backend_slots", record.backendSlots))
        return fail("node record has no valid term or backend_slots");
    if (!readState(object, record.state))
        return fail("node record has no valid state");

    const auto checks = object.find("backend_checks_fencing");
    if (checks == object.end() || !checks->is_boolean())
        return fail("node record has no valid backend_checks_fencing");
    record.backendChecksFencing = checks->get<bool>();

    const auto services = object.find("services");
    if (services == object.end() || !services->is_array() || services->size() > MaxServicesPerNode)
        return fail("node record has no valid services");
    for (const json &service : *services) {
        if (!service.is_string())
            return fail("node record has a service that is not a string");
        record.services.push_back(service.get<std::string>());
    }

    const auto witnesses = object.find("witnesses");
    if (witnesses == object.end())
        return fail("node record has no witnesses");
    auto witnessIds = instancesFromJson(*witnesses);
    if (!witnessIds)
        return tl::unexpected(witnessIds.error());
    record.witnesses = std::move(*witnessIds);
    return record;
}

json toJson(const SlotAssignment &assignment)
{
    return json::array({assignment.slot, assignment.entry.epoch, toJson(assignment.entry.owners),
                        toJson(assignment.entry.prior), assignment.entry.hotKeys});
}

Decoded<SlotAssignment> slotAssignmentFromJson(const json &array)
{
    return assignmentFromArray(array, [](const json &list) { return instancesFromJson(list); });
}

std::string encodeChunk(const AssignmentChunk &chunk)
{
    InstanceTable table;
    json entries = json::array();
    for (const SlotAssignment &assignment : chunk.assignments) {
        entries.push_back(json::array(
            {assignment.slot, assignment.entry.epoch, table.indexesOf(assignment.entry.owners),
             table.indexesOf(assignment.entry.prior), assignment.entry.hotKeys}));
    }
    const json document = json::array(
        {chunk.service, chunk.slotCount, toJson(table.instances()), std::move(entries)});
    std::string cbor;
    json::to_cbor(document, cbor);
    return cbor;
}

Decoded<AssignmentChunk> decodeChunk(const std::string &cbor)
{
    const json document = parseCbor(cbor);
    if (!document.is_array() || document.size() != 4 || !document[0].is_string()
        || !document[1].is_number_unsigned() || !document[2].is_array() || !document[3].is_array())
        return fail("assignment chunk is not [service, slot count, instances, entries]");

    const auto slotCount = document[1].get<std::uint64_t>();
    if (slotCount == 0 || slotCount > MaxSlotsPerService)
        return fail("assignment chunk has an invalid slot count");

    std::vector<InstanceId> table;
    for (const json &text : document[2]) {
        if (!text.is_string())
            return fail("instance id is not a string");
        auto id = InstanceId::parse(text.get_ref<const std::string &>());
        if (!id)
            return fail(id.error());
        table.push_back(std::move(*id));
    }

    AssignmentChunk chunk{
        document[0].get<std::string>(), static_cast<std::uint32_t>(slotCount), {}};
    for (const json &entry : document[3]) {
        auto assignment = assignmentFromArray(
            entry, [&table](const json &list) { return instancesFromIndexes(list, table); });
        if (!assignment)
            return tl::unexpected(assignment.error());
        if (!isHotKey(assignment->slot) && assignment->slot >= slotCount)
            return fail("slot is not below the slot count");
        chunk.assignments.push_back(std::move(*assignment));
    }
    return chunk;
}

} // namespace Medlar::Cluster
