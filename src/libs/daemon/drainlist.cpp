#include "drainlist.h"

#include <algorithm>

namespace Medlar::Daemon {

using Cluster::HotKeyBit;

DrainScope::DrainScope(std::string service, const std::vector<Messages::SlotEpoch> &slots)
    : m_service(std::move(service))
{
    for (const Messages::SlotEpoch &slot : slots) {
        Cluster::Epoch &epoch = m_epochs[slot.slot];
        epoch = std::max(epoch, slot.epoch);
    }
}

bool DrainScope::covers(const RunningKey &request) const
{
    if (request.service != m_service)
        return false;
    for (const Cluster::SlotId slot : {request.baseSlot, request.keyHash | HotKeyBit}) {
        const auto found = m_epochs.find(slot);
        if (found != m_epochs.end() && request.epoch < found->second)
            return true;
    }
    return false;
}

DrainList::DrainList(Http::DeadlineQueue &deadlines, Count count, GiveUp giveUp)
    : m_deadlines(deadlines), m_count(std::move(count)), m_giveUp(std::move(giveUp))
{}

void DrainList::add(DrainScope scope, Base::TimePoint deadline, std::function<void()> done)
{
    if (m_count(scope) == 0) {
        done();
        return;
    }
    const std::uint64_t id = ++m_lastId;
    const auto handle = m_deadlines.add(deadline, [this, id] { onDeadline(id); });
    m_drains.push_back({id, std::move(scope), handle, std::move(done)});
}

void DrainList::onEnded(const RunningKey &request)
{
    for (auto it = m_drains.begin(); it != m_drains.end();) {
        const auto next = std::next(it);
        if (it->scope.covers(request) && m_count(it->scope) == 0) {
            m_deadlines.cancel(it->deadline);
            it->done();
            m_drains.erase(it);
        }
        it = next;
    }
}

void DrainList::onDeadline(std::uint64_t id)
{
    const auto found = std::find_if(m_drains.begin(), m_drains.end(),
                                    [id](const Drain &drain) { return drain.id == id; });
    if (found == m_drains.end())
        return;
    const DrainScope scope = found->scope;
    m_giveUp(scope); // ends the drain through onEnded()
}

} // namespace Medlar::Daemon
