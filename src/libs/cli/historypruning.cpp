#include "historypruning.h"

#include "configuration/configurationbundle.h"
#include "configuration/units.h"

#include <map>
#include <optional>

namespace Medlar::Cli {

namespace {

// Nothing for keys that medlarctl does not write, such as one with leading zeros.
std::optional<std::uint64_t> versionInKey(const std::string &key)
{
    const std::string prefix = Configuration::BundleHistoryPrefix;
    if (key.rfind(prefix, 0) != 0)
        return std::nullopt;
    const auto version = Configuration::parseCount(key.substr(prefix.size()));
    if (!version || historyKey(*version) != key)
        return std::nullopt;
    return *version;
}

std::map<std::uint64_t, Store::StoredObject>
byVersion(const std::vector<Store::StoredObject> &listed)
{
    std::map<std::uint64_t, Store::StoredObject> result;
    for (const Store::StoredObject &object : listed) {
        if (const auto version = versionInKey(object.key))
            result.emplace(*version, object);
    }
    return result;
}

} // namespace

std::string historyKey(std::uint64_t version)
{
    return Configuration::BundleHistoryPrefix + std::to_string(version);
}

std::vector<Store::StoredObject> prunableVersions(const std::vector<Store::StoredObject> &listed,
                                                  std::uint64_t current, std::uint64_t keep)
{
    std::vector<Store::StoredObject> result;
    for (const auto &[version, object] : byVersion(listed)) {
        if (version >= current || current - version < keep || result.size() == MaxPrunedPerChange)
            break;
        result.push_back(object);
    }
    return result;
}

Result<std::size_t> pruneHistory(BlockingStore &store, std::uint64_t current, std::uint64_t keep)
{
    const auto listed = store.listKeys(Configuration::BundleHistoryPrefix);
    if (!listed)
        return tl::unexpected(listed.error());
    std::size_t removed = 0;
    for (const Store::StoredObject &object : prunableVersions(*listed, current, keep)) {
        const auto isRemoved = store.remove(object.key, object.version);
        if (!isRemoved)
            return tl::unexpected(isRemoved.error());
        removed += *isRemoved ? 1 : 0;
    }
    return removed;
}

Result<std::uint64_t> oldestVersion(BlockingStore &store)
{
    const auto listed = store.listKeys(Configuration::BundleHistoryPrefix);
    if (!listed)
        return tl::unexpected(listed.error());
    const auto versions = byVersion(*listed);
    return versions.empty() ? 1 : versions.begin()->first;
}

} // namespace Medlar::Cli
