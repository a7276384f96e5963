#include "snapshotbuilder.h"

#include <utility>

namespace Medlar::Daemon {

namespace {

std::shared_ptr<const ServiceView> buildView(const Cluster::SlotTable &slots,
                                             const std::vector<Ownership::ServedSlot> &servedSlots)
{
    auto view = std::make_shared<ServiceView>(slots);
    for (const Ownership::ServedSlot &served : servedSlots)
        view->served[served.slot] = {served.token, served.epoch};
    return view;
}

} // namespace

void SnapshotBuilder::invalidate(const std::string &table)
{
    m_changedTables.insert(table);
    m_isChanged = true;
}

void SnapshotBuilder::invalidateAll()
{
    for (const auto &[table, view] : m_services)
        m_changedTables.insert(table);
    m_isChanged = true;
}

void SnapshotBuilder::reset()
{
    m_services.clear();
    m_served.clear();
    m_changedTables.clear();
    m_isChanged = true;
}

std::shared_ptr<const TrafficSnapshot>
SnapshotBuilder::build(const Cluster::NodeRecord &self, const ControlView &view,
                       const Ownership::OwnershipEngine &engine)
{
    for (const std::string &table : std::exchange(m_changedTables, {})) {
        const Cluster::SlotTable *const slots = engine.table(table);
        if (!slots)
            continue;
        std::vector<Ownership::ServedSlot> &served = m_served[table];
        served = engine.servedSlots(table);
        m_services[table] = buildView(*slots, served);
    }
    m_isChanged = false;

    auto snapshot = std::make_shared<TrafficSnapshot>();
    snapshot->self = self;
    snapshot->routes = view.routes();
    snapshot->services = m_services;
    for (const auto &[name, record] : view.nodes())
        snapshot->nodes[record.instance] = record;
    snapshot->nodes[self.instance] = self;
    snapshot->sealed = engine.sealedInstances();
    snapshot->zonesOut = view.zonesOut();
    snapshot->nodesOut = view.nodesOut();
    return snapshot;
}

} // namespace Medlar::Daemon
