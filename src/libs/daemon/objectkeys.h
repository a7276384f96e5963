#pragma once

#include "base/instanceid.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Medlar::Daemon::Keys {

/*! Common prefix of all objects in the store. */
inline constexpr std::string_view Root = "medlar/";
inline constexpr std::string_view Nodes = "medlar/nodes/";
inline constexpr std::string_view Zones = "medlar/zones/";
inline constexpr std::string_view Servers = "medlar/servers/";
inline constexpr std::string_view Sealed = "medlar/sealed/";
inline constexpr std::string_view Assignment = "medlar/assignment/";
inline constexpr std::string_view Status = "medlar/status/";
inline constexpr std::string_view Configuration = "medlar/config/current";
inline constexpr std::string_view PlannerLease = "medlar/planner/lease";
inline constexpr std::string_view PlannerCurrent = "medlar/planner/current";

inline bool startsWith(std::string_view key, std::string_view prefix)
{
    return key.substr(0, prefix.size()) == prefix;
}

/*! The part of \a key behind \a prefix, or nothing when it does not start with it. */
inline std::optional<std::string> nameBehind(std::string_view key, std::string_view prefix)
{
    if (!startsWith(key, prefix) || key.size() == prefix.size())
        return {};
    return std::string(key.substr(prefix.size()));
}

/*! Objects that every daemon needs. Renewals, status and history stay with the watchers. */
inline bool isPropagated(std::string_view key)
{
    return startsWith(key, Nodes) || startsWith(key, Zones) || startsWith(key, Servers)
           || startsWith(key, Sealed) || startsWith(key, Assignment) || key == Configuration
           || key == PlannerCurrent;
}

std::string chunkKey(const std::string &table, std::uint32_t chunk);
std::string sealKey(const Base::InstanceId &instance);
/*! The instance that a sealed/ object names. */
std::optional<Base::InstanceId> instanceOfSealKey(std::string_view key);

} // namespace Medlar::Daemon::Keys
