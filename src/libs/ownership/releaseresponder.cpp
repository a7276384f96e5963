#include "releaseresponder.h"

#include <algorithm>

namespace Medlar::Ownership {

using namespace Cluster;

ReleaseResponder::ReleaseResponder(const Base::InstanceId &self, const InstanceDirectory &directory)
    : m_self(self), m_directory(directory)
{}

void ReleaseResponder::onRequest(const Base::InstanceId &from, ServiceState &service,
                                 const std::vector<SlotAssignment> &assignments,
                                 std::vector<SlotId> &stopped, Commands &out)
{
    Batch batch;
    for (const SlotAssignment &assignment : assignments)
        release(from, service, assignment, batch);

    stopped.insert(stopped.end(), batch.stopped.begin(), batch.stopped.end());
    if (!batch.toDrain.empty()) {
        out.emplace_back(ServingChanged{});
        out.push_back(DrainSlots{service.table.service(), std::move(batch.toDrain)});
    }
    if (!batch.released.empty())
        out.push_back(SendMessage{
            from, Messages::Released{service.table.service(), std::move(batch.released)}});
}

void ReleaseResponder::release(const Base::InstanceId &from, ServiceState &service,
                               const SlotAssignment &assignment, Batch &batch)
{
    const SlotId slot = assignment.slot;
    const Epoch epoch = assignment.entry.epoch;
    // An entry that the table did not take belongs to no slot of the service.
    const SlotEntry *known = service.table.entry(slot);
    if (known == nullptr || known->epoch < epoch || isOwnAssignment(service, slot, epoch))
        return;
    if (isHotKey(slot) && !mayReleaseHotKey(service, slot, epoch))
        return;

    const std::set<SlotId> inFlight = stopServing(service, assignment, batch);
    if (inFlight.empty()) {
        batch.released.push_back({slot, epoch});
        return;
    }
    LocalSlot &local = service.at(slot);
    if (!local.drain)
        local.drain.emplace();
    PendingDrain &drain = *local.drain;
    Epoch &requested = drain.requesters[from];
    requested = std::max(requested, epoch);
    if (drain.epoch >= epoch)
        return;
    drain.epoch = epoch;
    drain.remaining = inFlight;
    for (const SlotId id : inFlight)
        batch.toDrain.push_back({id, epoch});
}

bool ReleaseResponder::isOwnAssignment(const ServiceState &service, SlotId slot, Epoch epoch) const
{
    // The requester does not know the newer entry that makes this instance the owner again. It
    // learns it from the request for its own release, so serving need not be interrupted.
    const SlotEntry *known = service.table.entry(slot);
    const LocalSlot *local = service.find(slot);
    if (known->epoch < epoch || local == nullptr || !local->served || local->served->epoch >= epoch)
        return false;
    const auto live = firstLiveOwner(*known, m_directory);
    return live && known->owners[*live] == m_self;
}

bool ReleaseResponder::mayReleaseHotKey(const ServiceState &service, SlotId hotKey, Epoch epoch)
{
    if (service.isListed(hotKey))
        return true;
    // Without the base entry that lists the hot key, the base slot would still cover it.
    const SlotId base = service.baseSlotOf(hotKey);
    const SlotEntry *entry = service.table.entry(base);
    const LocalSlot *local = service.find(base);
    return entry != nullptr && entry->epoch >= epoch
           && (local == nullptr || !local->served || local->served->epoch >= epoch);
}

std::set<SlotId> ReleaseResponder::stopServing(ServiceState &service,
                                               const SlotAssignment &assignment, Batch &batch)
{
    const SlotId slot = assignment.slot;
    const Epoch epoch = assignment.entry.epoch;
    std::set<SlotId> inFlight;
    const auto stop = [&](SlotId id) {
        LocalSlot *local = service.find(id);
        if (local == nullptr)
            return;
        if (local->served && local->served->epoch < epoch) {
            local->served.reset();
            batch.stopped.push_back(id);
        }
        if (local->requestsUpTo != 0 && !local->served)
            inFlight.insert(id);
    };
    stop(slot);
    if (isHotKey(slot)) {
        // Requests for the hot key may have begun as requests of the base slot.
        const LocalSlot *base = service.find(service.baseSlotOf(slot));
        if (base != nullptr && base->splitOff.count(slot) != 0)
            inFlight.insert(slot);
        return inFlight;
    }
    const auto hotKeys = service.localHotKeys.find(slot);
    if (hotKeys == service.localHotKeys.end())
        return inFlight;
    // A hot key that the requested entry does not list belongs to the base slot again.
    const std::vector<SlotId> &listed = assignment.entry.hotKeys;
    for (const SlotId hotKey : hotKeys->second) {
        if (std::find(listed.begin(), listed.end(), hotKey) == listed.end())
            stop(hotKey);
    }
    return inFlight;
}

void ReleaseResponder::forgetSplitOff(ServiceState &service, const Messages::SlotEpoch &drained)
{
    LocalSlot *base = service.find(service.baseSlotOf(drained.slot));
    if (base == nullptr)
        return;
    for (auto hotKey = base->splitOff.begin(); hotKey != base->splitOff.end();) {
        const bool isCovered = !isHotKey(drained.slot) || hotKey->first == drained.slot;
        const bool isDrained = isCovered && hotKey->second < drained.epoch;
        hotKey = isDrained ? base->splitOff.erase(hotKey) : std::next(hotKey);
    }
}

void ReleaseResponder::onDrained(ServiceState &service,
                                 const std::vector<Messages::SlotEpoch> &slots,
                                 std::vector<SlotId> &stopped, Commands &out)
{
    std::map<Base::InstanceId, std::vector<Messages::SlotEpoch>> answers;
    for (const Messages::SlotEpoch &drained : slots) {
        LocalSlot *own = service.find(drained.slot);
        if (own != nullptr && !own->served && own->requestsUpTo < drained.epoch)
            own->requestsUpTo = 0;
        forgetSplitOff(service, drained);
        for (const SlotId id : {drained.slot, service.baseSlotOf(drained.slot)}) {
            LocalSlot *local = service.find(id);
            if (local == nullptr || !local->drain || local->drain->epoch > drained.epoch)
                continue;
            local->drain->remaining.erase(drained.slot);
            if (!local->drain->remaining.empty())
                continue;
            for (const auto &[requester, epoch] : local->drain->requesters)
                answers[requester].push_back({id, epoch});
            local->drain.reset();
            stopped.push_back(id);
        }
    }
    for (auto &[requester, released] : answers)
        out.push_back(SendMessage{
            requester, Messages::Released{service.table.service(), std::move(released)}});
}

} // namespace Medlar::Ownership
