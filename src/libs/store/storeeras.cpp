#include "storeeras.h"

#include <algorithm>

namespace Medlar::Store {

bool StoreEras::accept(std::optional<Era> named)
{
    // A store that has named its era names it in all its answers.
    if (!named)
        return m_latest == 0;
    if (*named < m_latest)
        return false;
    const bool isRestored = m_latest != 0 && *named > m_latest;
    m_latest = *named;
    if (isRestored)
        setCurrent(m_latest);
    return true;
}

void StoreEras::learnFromPeer(Era era)
{
    if (era <= m_current)
        return;
    m_latest = std::max(m_latest, era);
    setCurrent(era);
}

void StoreEras::noteEarlierRestore()
{
    if (m_current == 0 && m_latest != 0)
        setCurrent(m_latest);
}

void StoreEras::setCurrent(Era era)
{
    m_current = era;
    for (const auto &listener : m_listeners)
        listener();
}

} // namespace Medlar::Store
