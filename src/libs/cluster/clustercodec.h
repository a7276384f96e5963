#pragma once

#include "noderecord.h"
#include "slotentry.h"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace Medlar::Cluster {

/*! Says why bytes or JSON from the store or a peer are not a valid object. */
struct DecodeError
{
    std::string detail;
};

template<typename T>
using Decoded = tl::expected<T, DecodeError>;

nlohmann::json toJson(const NodeRecord &record);
Decoded<NodeRecord> nodeRecordFromJson(const nlohmann::json &json);

/*! Compact array form, used in CBOR: [slot, epoch, owners, prior, hotKeys]. */
nlohmann::json toJson(const SlotAssignment &assignment);
Decoded<SlotAssignment> slotAssignmentFromJson(const nlohmann::json &json);

nlohmann::json toJson(const std::vector<Base::InstanceId> &instances);
Decoded<std::vector<Base::InstanceId>> instancesFromJson(const nlohmann::json &json);

/*! The object assignment/SERVICE/CHUNK: the slot count of the service and the entries of one chunk.
 */
struct AssignmentChunk
{
    std::string service;
    std::uint32_t slotCount = 0;
    std::vector<SlotAssignment> assignments;
};

/*! CBOR form with a table of instances, so that each is named once. */
std::string encodeChunk(const AssignmentChunk &chunk);
Decoded<AssignmentChunk> decodeChunk(const std::string &cbor);

} // namespace Medlar::Cluster
