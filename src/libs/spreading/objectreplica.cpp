#include "objectreplica.h"

#include "base/keyhash.h"
#include "cluster/cbor.h"
#include "cluster/clustercodec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace Medlar::Spreading {

using nlohmann::json;

namespace {

constexpr char AssignmentPrefix[] = "medlar/assignment/";

std::uint64_t itemHash(const std::string &key, std::uint64_t version)
{
    return Base::seededHash(key, version);
}

std::optional<std::string> chunkDelta(const std::string &from, const std::string &to)
{
    const auto before = Cluster::decodeChunk(from);
    const auto after = Cluster::decodeChunk(to);
    if (!before || !after || before->slotCount != after->slotCount)
        return {};

    std::map<Cluster::SlotId, const Cluster::SlotEntry *> known;
    for (const auto &assignment : before->assignments)
        known[assignment.slot] = &assignment.entry;

    Cluster::AssignmentChunk changed{after->service, after->slotCount, {}};
    for (const auto &assignment : after->assignments) {
        const auto found = known.find(assignment.slot);
        const bool isSame = found != known.end() && *found->second == assignment.entry;
        if (!isSame)
            changed.assignments.push_back(assignment);
        known.erase(assignment.slot);
    }
    // Entries disappear when a hot key is merged back; the remaining ids are listed as removed.
    json removed = json::array();
    for (const auto &[slot, entry] : known)
        removed.push_back(slot);

    const std::string bytes = Cluster::encodeChunk(changed);
    const json parts = json::array({json::binary({bytes.begin(), bytes.end()}), removed});
    std::string cbor;
    json::to_cbor(parts, cbor);
    return cbor;
}

std::optional<std::string> applyChunkDelta(const std::string &from, const std::string &delta)
{
    auto chunk = Cluster::decodeChunk(from);
    const json parts = Cluster::parseCbor(delta);
    if (!chunk || !parts.is_array() || parts.size() != 2 || !parts[0].is_binary()
        || !parts[1].is_array())
        return {};
    const auto &bytes = parts[0].get_binary();
    const auto changed = Cluster::decodeChunk(std::string(bytes.begin(), bytes.end()));
    if (!changed || changed->slotCount != chunk->slotCount)
        return {};

    std::map<Cluster::SlotId, Cluster::SlotEntry> entries;
    for (auto &assignment : chunk->assignments)
        entries[assignment.slot] = std::move(assignment.entry);
    for (const auto &assignment : changed->assignments)
        entries[assignment.slot] = assignment.entry;
    for (const json &slot : parts[1]) {
        if (!slot.is_number_unsigned())
            return {};
        entries.erase(slot.get<Cluster::SlotId>());
    }
    chunk->assignments.clear();
    for (auto &[slot, entry] : entries)
        chunk->assignments.push_back({slot, std::move(entry)});
    return Cluster::encodeChunk(*chunk);
}

} // namespace

bool isAssignmentKey(const std::string &key)
{
    return key.rfind(AssignmentPrefix, 0) == 0;
}

std::optional<std::string> makeDelta(const std::string &key, const std::string &from,
                                     const std::string &to)
{
    std::optional<std::string> delta;
    if (isAssignmentKey(key)) {
        delta = chunkDelta(from, to);
    } else {
        const json before = json::parse(from, nullptr, false);
        const json after = json::parse(to, nullptr, false);
        // A patch yields the canonical text, so it can only stand for values in that form.
        if (!before.is_discarded() && !after.is_discarded() && after.dump() == to)
            delta = json::diff(before, after).dump();
    }
    if (delta && delta->size() >= to.size())
        return {};
    return delta;
}

std::optional<std::string> applyDelta(const std::string &key, const std::string &from,
                                      const std::string &delta)
{
    try {
        if (isAssignmentKey(key))
            return applyChunkDelta(from, delta);
        const json before = json::parse(from, nullptr, false);
        const json patch = json::parse(delta, nullptr, false);
        if (before.is_discarded() || !patch.is_array())
            return {};
        return before.patch(patch).dump();
    } catch (const json::exception &) {
        // The library reports a patch that does not fit, and damaged CBOR sizes, by exception.
        return {};
    }
}

bool ObjectReplica::update(const std::string &key, std::uint64_t version,
                           std::optional<std::string> value)
{
    HeldObject &held = m_objects[key];
    if (version <= held.version)
        return false;
    if (held.version != 0)
        m_hash ^= itemHash(key, held.version);
    m_hash ^= itemHash(key, version);
    held.version = version;
    held.value = std::move(value);
    return true;
}

bool ObjectReplica::apply(const Messages::ObjectDelta &delta)
{
    const HeldObject *held = find(delta.key);
    if (!held || held->version != delta.baseVersion || !held->value
        || delta.version <= delta.baseVersion)
        return false;
    auto value = applyDelta(delta.key, *held->value, delta.delta);
    return value && update(delta.key, delta.version, std::move(value));
}

const HeldObject *ObjectReplica::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::map<std::string, std::uint64_t> ObjectReplica::versions() const
{
    std::map<std::string, std::uint64_t> result;
    for (const auto &[key, held] : m_objects)
        result[key] = held.version;
    return result;
}

} // namespace Medlar::Spreading
