#include "unavailability.h"

#include "invariantchecker.h"

#include <algorithm>

namespace Medlar::Scenario {

Unavailability::Unavailability(Simulation &simulation, TrueTime interval)
    : m_simulation(simulation), m_interval(interval)
{}

void Unavailability::start(TrueTime end)
{
    sample();
    if (m_simulation.now() + m_interval <= end)
        m_simulation.queue().schedule(m_simulation.now() + m_interval, [this, end] { start(end); });
}

void Unavailability::sample()
{
    const auto &nodes = m_simulation.nodes();
    for (const Cluster::SlotId unit : ownershipUnits(m_simulation.store())) {
        const bool isServed = std::any_of(nodes.begin(), nodes.end(), [unit](const auto &item) {
            return item.second->isRunning() && permittedToken(*item.second, unit);
        });
        if (isServed) {
            m_unservedSince.erase(unit);
            continue;
        }
        const auto since = m_unservedSince.emplace(unit, m_simulation.now()).first;
        m_worst = std::max(m_worst, m_simulation.now() - since->second);
    }
}

} // namespace Medlar::Scenario
