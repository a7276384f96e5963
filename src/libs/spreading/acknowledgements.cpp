#include "acknowledgements.h"

#include "cluster/clustercodec.h"

#include <algorithm>
#include <limits>

namespace Medlar::Spreading {

using nlohmann::json;

bool operator==(const ZoneStatus &a, const ZoneStatus &b)
{
    return a.zone == b.zone && a.lowestVersion == b.lowestVersion && a.lagging == b.lagging
           && a.nodes == b.nodes && a.reportedBy == b.reportedBy;
}

std::string encodeZoneStatus(const ZoneStatus &status)
{
    return json{{"zone", status.zone},
                {"lowest_version", status.lowestVersion},
                {"lagging", Cluster::toJson(status.lagging)},
                {"nodes", status.nodes},
                {"reported_by", status.reportedBy.toString()}}
        .dump();
}

std::optional<ZoneStatus> decodeZoneStatus(const std::string &text)
{
    const json object = json::parse(text, nullptr, false);
    if (!object.is_object())
        return {};
    const auto isNumber = [&object](const char *key) {
        const auto found = object.find(key);
        return found != object.end() && found->is_number_unsigned();
    };
    const auto isString = [&object](const char *key) {
        const auto found = object.find(key);
        return found != object.end() && found->is_string();
    };
    if (!isString("zone") || !isNumber("lowest_version") || !isNumber("nodes")
        || !isString("reported_by") || !object.contains("lagging"))
        return {};
    auto lagging = Cluster::instancesFromJson(object["lagging"]);
    auto reporter = Base::InstanceId::parse(object["reported_by"].get_ref<const std::string &>());
    if (!lagging || !reporter)
        return {};
    return ZoneStatus{object["zone"].get<std::string>(),
                      object["lowest_version"].get<std::uint64_t>(), std::move(*lagging),
                      object["nodes"].get<std::size_t>(), std::move(*reporter)};
}

void Acknowledgements::acknowledge(const Base::InstanceId &instance, std::uint64_t version)
{
    std::uint64_t &known = m_versions[instance];
    known = std::max(known, version);
}

ZoneStatus Acknowledgements::status(const std::string &zone, const Base::InstanceId &reporter,
                                    const std::vector<Base::InstanceId> &members) const
{
    const auto versionOf = [this](const Base::InstanceId &member) {
        const auto found = m_versions.find(member);
        return found == m_versions.end() ? std::uint64_t(0) : found->second;
    };
    std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t highest = 0;
    for (const Base::InstanceId &member : members) {
        lowest = std::min(lowest, versionOf(member));
        highest = std::max(highest, versionOf(member));
    }

    ZoneStatus result{zone, members.empty() ? 0 : lowest, {}, members.size(), reporter};
    for (const Base::InstanceId &member : members) {
        if (versionOf(member) < highest && result.lagging.size() < MaxLaggingListed)
            result.lagging.push_back(member);
    }
    return result;
}

} // namespace Medlar::Spreading
