#include "evacuatedzones.h"

#include <utility>

namespace Medlar::Relay {

void EvacuatedZones::onZones(Base::TimePoint now, Store::Version revision,
                             std::set<std::string> zones)
{
    onStoreRestored(now, Store::eraOf(revision));
    if (revision < m_revision)
        return;
    m_revision = revision;
    m_stored = std::move(zones);
    for (const std::string &zone : m_stored)
        m_retainedUntil.erase(zone);
}

void EvacuatedZones::onStoreRestored(Base::TimePoint now, Store::Era era)
{
    if (era <= Store::eraOf(m_revision))
        return;
    for (const std::string &zone : inForce())
        m_retainedUntil[zone] = now + RewriteAllowance;
    m_stored.clear();
    m_revision = Store::versionOf(era, 0);
}

void EvacuatedZones::expire(Base::TimePoint now)
{
    for (auto zone = m_retainedUntil.begin(); zone != m_retainedUntil.end();)
        zone = zone->second <= now ? m_retainedUntil.erase(zone) : std::next(zone);
}

std::set<std::string> EvacuatedZones::inForce() const
{
    std::set<std::string> zones = m_stored;
    for (const auto &[zone, until] : m_retainedUntil)
        zones.insert(zone);
    return zones;
}

} // namespace Medlar::Relay
