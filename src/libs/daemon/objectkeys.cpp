#include "objectkeys.h"

namespace Medlar::Daemon::Keys {

std::string chunkKey(const std::string &table, std::uint32_t chunk)
{
    return std::string(Assignment) + table + '/' + std::to_string(chunk);
}

std::string sealKey(const Base::InstanceId &instance)
{
    // '#' would start a fragment in a URL, so node and incarnation are path segments.
    std::string id = instance.toString();
    id[id.find('#')] = '/';
    return std::string(Sealed) + id;
}

std::optional<Base::InstanceId> instanceOfSealKey(std::string_view key)
{
    auto id = nameBehind(key, Sealed);
    const std::size_t separator = id ? id->find('/') : std::string::npos;
    if (separator == std::string::npos)
        return {};
    (*id)[separator] = '#';
    auto instance = Base::InstanceId::parse(*id);
    if (!instance)
        return {};
    return *instance;
}

} // namespace Medlar::Daemon::Keys
