#pragma once

#include "base/instanceid.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Medlar::Spreading {

/*! What one zone acknowledged, as written to status/ZONE. */
struct ZoneStatus
{
    std::string zone;
    std::uint64_t lowestVersion = 0;
    std::vector<Base::InstanceId> lagging; //!< below the highest version, at most MaxLaggingListed
    std::size_t nodes = 0;
    Base::InstanceId reportedBy;
};

constexpr std::size_t MaxLaggingListed = 20;

bool operator==(const ZoneStatus &a, const ZoneStatus &b);

std::string encodeZoneStatus(const ZoneStatus &status);
std::optional<ZoneStatus> decodeZoneStatus(const std::string &json);

/*! Merges the acknowledgements of one zone, so that a change costs one store write for each zone.
 */
class Acknowledgements
{
public:
    /*! Acknowledged versions never go down. */
    void acknowledge(const Base::InstanceId &instance, std::uint64_t version);

    /*! The status of \a members; a member that never acknowledged counts with version 0. */
    ZoneStatus status(const std::string &zone, const Base::InstanceId &reporter,
                      const std::vector<Base::InstanceId> &members) const;

private:
    std::map<Base::InstanceId, std::uint64_t> m_versions;
};

} // namespace Medlar::Spreading
