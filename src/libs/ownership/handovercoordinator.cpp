#include "handovercoordinator.h"

#include <algorithm>

namespace Medlar::Ownership {

using namespace Cluster;

HandoverCoordinator::HandoverCoordinator(const Settings &settings,
                                         const InstanceDirectory &directory)
    : m_self(settings.self.instance)
    , m_timing(settings.timing)
    , m_rules(settings.rules)
    , m_directory(directory)
    , m_responder(settings.self.instance, directory)
{}

void HandoverCoordinator::onTime(Base::TimePoint now, Commands &out)
{
    while (!m_guards.empty() && m_guards.begin()->first <= now) {
        const SlotKey key = m_guards.begin()->second;
        m_guards.erase(m_guards.begin());
        evaluate(now, m_services.at(key.first), key.second, out);
    }
    finish(now, out);
}

void HandoverCoordinator::onEntries(Base::TimePoint now, const std::string &service,
                                    std::uint32_t slotCount,
                                    const std::vector<SlotAssignment> &assignments, Commands &out)
{
    ServiceState *state = stateFor(service, slotCount, out);
    if (state == nullptr)
        return;
    merge(now, *state, assignments, out);
    finish(now, out);
}

ServiceState *HandoverCoordinator::stateFor(const std::string &service, std::uint32_t slotCount,
                                            Commands &out)
{
    const auto found = m_services.find(service);
    if (found != m_services.end() && found->second.table.slotCount() == slotCount)
        return &found->second;
    auto table = SlotTable::create(service, slotCount);
    if (found == m_services.end() && table)
        return &m_services.emplace(service, ServiceState(std::move(*table))).first->second;
    out.push_back(
        Base::LogLine("entries-rejected")
            .add("service", service)
            .add("slot_count", slotCount)
            .add("reason", table ? "the slot count of a service never changes" : table.error()));
    return nullptr;
}

void HandoverCoordinator::merge(Base::TimePoint now, ServiceState &service,
                                const std::vector<SlotAssignment> &assignments, Commands &out)
{
    std::vector<SlotId> changed;
    for (const SlotAssignment &assignment : assignments) {
        service.noteBaseEntry(assignment);
        const SlotEntry *known = service.table.entry(assignment.slot);
        if (known != nullptr && known->epoch >= assignment.entry.epoch)
            continue;
        mergeOne(service, assignment);
        changed.push_back(assignment.slot);
        // Hot keys become valid or superseded with the entry of their base slot.
        changed.insert(changed.end(), assignment.entry.hotKeys.begin(),
                       assignment.entry.hotKeys.end());
    }
    // All entries of a batch are merged before any is judged, as a split changes two of them.
    for (const SlotId slot : changed)
        evaluate(now, service, slot, out);
}

void HandoverCoordinator::mergeOne(ServiceState &service, const SlotAssignment &assignment)
{
    const SlotEntry *known = service.table.entry(assignment.slot);
    const bool isOwner = ownerIndexOf(assignment.entry, m_self).has_value();
    if (known != nullptr && isOwner) {
        std::set<Base::InstanceId> &former = service.at(assignment.slot).formerInstances;
        former.insert(known->owners.begin(), known->owners.end());
        former.insert(known->prior.begin(), known->prior.end());
    }
    LocalSlot *local = service.find(assignment.slot);
    if (known != nullptr && local != nullptr)
        m_servingChanged
            |= ServiceState::changeHotKeys(*local, known->hotKeys, assignment.entry.hotKeys);
    service.table.merge(assignment);
}

void HandoverCoordinator::evaluate(Base::TimePoint now, ServiceState &service, SlotId slot,
                                   Commands &out)
{
    const SlotEntry *entry = service.table.entry(slot);
    if (entry == nullptr || m_ended)
        return;
    const auto index = ownerIndexOf(*entry, m_self);
    if (!index) {
        tidy(service, slot);
        return;
    }
    LocalSlot &local = service.at(slot);
    if (local.served && local.served->epoch >= entry->epoch)
        return;
    if (isActivatable(now, service, slot, *entry, *index))
        activate(service, slot, *entry, *index, out);
}

bool HandoverCoordinator::isActivatable(Base::TimePoint now, ServiceState &service, SlotId slot,
                                        const SlotEntry &entry, std::size_t ownerIndex)
{
    LocalSlot &local = service.at(slot);
    std::set<Base::InstanceId> missing;
    const bool isLater = hasEarlierLiveOwner(service, slot, entry, ownerIndex)
                         || isSuperseded(service, slot, entry);
    if (!isLater)
        missing = missingReleases(entry, local);
    for (const Base::InstanceId &instance : missing)
        m_dependents[instance].emplace(service.table.service(), slot);
    updateRequests(service, slot, local, entry.epoch, missing);
    if (isLater || !missing.empty())
        return false;
    if (local.served)
        return true; // No other instance can have had requests in flight since.
    const Base::TimePoint guard = guardEnd(entry, ownerIndex, local);
    if (now >= guard)
        return true;
    m_guards.emplace(guard, SlotKey(service.table.service(), slot));
    return false;
}

bool HandoverCoordinator::hasEarlierLiveOwner(const ServiceState &service, SlotId slot,
                                              const SlotEntry &entry, std::size_t ownerIndex)
{
    const auto end = entry.owners.begin() + static_cast<std::ptrdiff_t>(ownerIndex);
    const auto live = std::find_if(entry.owners.begin(), end, [this](const auto &owner) {
        return !m_directory.isSealed(owner);
    });
    if (live == end)
        return false;
    m_dependents[*live].emplace(service.table.service(), slot);
    return true;
}

std::set<Base::InstanceId> HandoverCoordinator::missingReleases(const SlotEntry &entry,
                                                                const LocalSlot &local) const
{
    std::set<Base::InstanceId> missing;
    if (!m_rules.activationNeedsReleases)
        return missing;
    for (const Base::InstanceId &instance : entry.prior) {
        if (instance == m_self || m_directory.isSealed(instance))
            continue;
        const auto released = local.released.find(instance);
        if (released == local.released.end() || released->second < entry.epoch)
            missing.insert(instance);
    }
    return missing;
}

void HandoverCoordinator::updateRequests(const ServiceState &service, SlotId slot, LocalSlot &local,
                                         Epoch epoch, const std::set<Base::InstanceId> &missing)
{
    const std::string &name = service.table.service();
    for (const Base::InstanceId &peer : local.asked) {
        if (local.askedEpoch != epoch || missing.count(peer) == 0)
            m_requester.remove(peer, name, slot);
    }
    for (const Base::InstanceId &peer : missing)
        m_requester.add(peer, name, slot);
    local.asked = missing;
    local.askedEpoch = epoch;
}

Base::TimePoint HandoverCoordinator::guardEnd(const SlotEntry &entry, std::size_t ownerIndex,
                                              const LocalSlot &local) const
{
    Base::TimePoint end = Base::TimePoint::min();
    const auto consider = [&](const Base::InstanceId &instance) {
        end = std::max(end, m_directory.guardedUntil(instance, m_timing.unfencedGuard));
    };
    for (std::size_t i = 0; i < ownerIndex; ++i)
        consider(entry.owners[i]);
    std::for_each(entry.prior.begin(), entry.prior.end(), consider);
    std::for_each(local.formerInstances.begin(), local.formerInstances.end(), consider);
    return end;
}

bool HandoverCoordinator::isSuperseded(const ServiceState &service, SlotId slot,
                                       const SlotEntry &entry)
{
    if (isHotKey(slot))
        return service.isMergedBack(slot);
    // A later entry of a hot key that the base entry does not list shows that a newer base entry
    // exists, which has not arrived yet.
    return std::any_of(
        service.table.hotKeys().begin(), service.table.hotKeys().end(), [&](const auto &item) {
            return item.second.epoch > entry.epoch && service.baseSlotOf(item.first) == slot
                   && !service.isListed(item.first);
        });
}

void HandoverCoordinator::activate(ServiceState &service, SlotId slot, const SlotEntry &entry,
                                   std::size_t ownerIndex, Commands &out)
{
    LocalSlot &local = service.at(slot);
    local.served = entry;
    local.requestsUpTo = entry.epoch;
    local.released.clear();
    local.formerInstances.clear();
    m_servingChanged = true;
    out.push_back(Base::LogLine("slot-served")
                      .add("service", service.table.service())
                      .add("slot", slot)
                      .add("epoch", entry.epoch)
                      .add("owner_index", ownerIndex));
    const auto hotKeys = service.localHotKeys.find(slot);
    if (hotKeys == service.localHotKeys.end())
        return;
    for (const SlotId hotKey : std::set<SlotId>(hotKeys->second)) {
        if (service.isMergedBack(hotKey)) {
            service.at(hotKey).served.reset();
            tidy(service, hotKey);
        }
    }
}

void HandoverCoordinator::tidy(ServiceState &service, SlotId slot)
{
    LocalSlot *local = service.find(slot);
    const SlotEntry *entry = service.table.entry(slot);
    if (local == nullptr)
        return;
    if (entry != nullptr && !ownerIndexOf(*entry, m_self))
        updateRequests(service, slot, *local, entry->epoch, {});
    const bool isOwner = entry != nullptr && ownerIndexOf(*entry, m_self);
    if (!isOwner && !local->served && !local->drain && local->requestsUpTo == 0)
        service.erase(slot);
}

void HandoverCoordinator::onReleaseRequest(Base::TimePoint now, const Base::InstanceId &from,
                                           const Messages::ReleaseRequest &request, Commands &out)
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end() || m_ended)
        return;
    merge(now, found->second, request.assignments, out);
    std::vector<SlotId> stopped;
    m_responder.onRequest(from, found->second, request.assignments, stopped, out);
    m_servingChanged = m_servingChanged || !stopped.empty();
    for (const SlotId slot : stopped)
        evaluate(now, found->second, slot, out);
    finish(now, out);
}

void HandoverCoordinator::onReleased(Base::TimePoint now, const Base::InstanceId &from,
                                     const Messages::Released &message, Commands &out)
{
    const auto found = m_services.find(message.service);
    if (found == m_services.end())
        return;
    for (const Messages::SlotEpoch &slot : message.slots) {
        LocalSlot *local = found->second.find(slot.slot);
        if (local == nullptr)
            continue;
        Epoch &released = local->released[from];
        released = std::max(released, slot.epoch);
        evaluate(now, found->second, slot.slot, out);
    }
    finish(now, out);
}

void HandoverCoordinator::onDrained(Base::TimePoint now, const std::string &service,
                                    const std::vector<Messages::SlotEpoch> &slots, Commands &out)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || m_ended)
        return;
    std::vector<SlotId> finished;
    m_responder.onDrained(found->second, slots, finished, out);
    for (const SlotId slot : finished)
        tidy(found->second, slot);
    finish(now, out);
}

void HandoverCoordinator::onSealed(Base::TimePoint now, const Base::InstanceId &instance,
                                   Commands &out)
{
    m_requester.removePeer(instance);
    const auto found = m_dependents.find(instance);
    if (found == m_dependents.end())
        return;
    const std::set<SlotKey> slots = std::move(found->second);
    m_dependents.erase(found);
    for (const auto &[service, slot] : slots)
        evaluate(now, m_services.at(service), slot, out);
    finish(now, out);
}

void HandoverCoordinator::end(Commands &out)
{
    m_ended = true;
    m_requester.clear();
    m_guards.clear();
    for (auto &[name, service] : m_services)
        service.local.clear();
    out.emplace_back(ServingChanged{});
}

void HandoverCoordinator::finish(Base::TimePoint now, Commands &out)
{
    if (m_ended)
        return;
    if (m_servingChanged)
        out.emplace_back(ServingChanged{});
    m_servingChanged = false;
    m_requester.flush(now, m_services, out);
}

Base::TimePoint HandoverCoordinator::nextDeadline() const
{
    const Base::TimePoint resend = m_requester.nextDeadline();
    return m_guards.empty() ? resend : std::min(resend, m_guards.begin()->first);
}

const SlotTable *HandoverCoordinator::table(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.table;
}

tl::expected<ServePermit, ServeError> HandoverCoordinator::permit(const std::string &service,
                                                                  SlotId slot) const
{
    const auto found = m_services.find(service);
    const SlotEntry *entry = found == m_services.end() ? nullptr : found->second.table.entry(slot);
    if (entry == nullptr)
        return tl::unexpected(ServeError{});
    const LocalSlot *local = found->second.find(slot);
    if (local != nullptr && local->served) {
        const auto index = ownerIndexOf(*local->served, m_self);
        return ServePermit{local->served->tokenFor(*index), local->served->epoch, {}};
    }
    ServeError error{NotServingReason::NotOwner, {}, entry->epoch};
    if (const auto live = firstLiveOwner(*entry, m_directory))
        error.owner = entry->owners[*live];
    if (local != nullptr && local->drain)
        error.reason = NotServingReason::Draining;
    else if (!m_ended && error.owner == m_self)
        error.reason = NotServingReason::AwaitingRelease;
    return tl::unexpected(error);
}

std::optional<OwnerView> HandoverCoordinator::ownerOf(const std::string &service, SlotId slot) const
{
    const SlotTable *slots = table(service);
    const SlotEntry *entry = slots == nullptr ? nullptr : slots->entry(slot);
    const auto live
        = entry == nullptr ? std::optional<std::size_t>() : firstLiveOwner(*entry, m_directory);
    if (!live)
        return {};
    return OwnerView{entry->owners[*live], entry->epoch, *live};
}

std::vector<ServedSlot> HandoverCoordinator::servedSlots(const std::string &service) const
{
    std::vector<ServedSlot> served;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return served;
    for (const auto &[slot, local] : found->second.local) {
        if (!local.served)
            continue;
        const auto index = ownerIndexOf(*local.served, m_self);
        served.push_back({slot, local.served->epoch, local.served->tokenFor(*index)});
    }
    std::sort(served.begin(), served.end(),
              [](const auto &a, const auto &b) { return a.slot < b.slot; });
    return served;
}

} // namespace Medlar::Ownership
