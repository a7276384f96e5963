#include "releaserequester.h"

#include <algorithm>

namespace Medlar::Ownership {

using namespace std::chrono_literals;

namespace {

/*! Longer than a round trip between regions plus a typical drain. */
constexpr Base::Duration FirstResendInterval = 100ms;
constexpr Base::Duration LongestResendInterval = 1s;
/*! About 100 bytes an assignment keep a batch well below the frame limit. */
constexpr std::size_t MaxAssignmentsPerMessage = 2000;

} // namespace

void ReleaseRequester::add(const Base::InstanceId &peer, const std::string &service,
                           Cluster::SlotId slot)
{
    Peer &entry = m_peers[peer];
    if (entry.unanswered[service].insert(slot).second)
        entry.unsent[service].insert(slot);
}

void ReleaseRequester::remove(const Base::InstanceId &peer, const std::string &service,
                              Cluster::SlotId slot)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    const auto erase = [&](Slots &slots) {
        const auto entry = slots.find(service);
        if (entry == slots.end())
            return;
        entry->second.erase(slot);
        if (entry->second.empty())
            slots.erase(entry);
    };
    erase(found->second.unanswered);
    erase(found->second.unsent);
    if (found->second.unanswered.empty())
        m_peers.erase(found);
}

void ReleaseRequester::flush(Base::TimePoint now, const Services &services, Commands &out)
{
    for (auto &[id, peer] : m_peers) {
        if (peer.interval == Base::Duration::zero()) {
            peer.interval = FirstResendInterval;
            peer.nextResend = now + peer.interval;
        } else if (now >= peer.nextResend) {
            peer.interval = std::min(2 * peer.interval, LongestResendInterval);
            peer.nextResend = now + peer.interval;
            peer.unsent = peer.unanswered;
        } else if (!peer.unsent.empty()) {
            peer.interval = FirstResendInterval;
            peer.nextResend = std::min(peer.nextResend, now + peer.interval);
        }
        send(id, peer.unsent, services, out);
        peer.unsent.clear();
    }
}

void ReleaseRequester::send(const Base::InstanceId &to, const Slots &slots,
                            const Services &services, Commands &out)
{
    for (const auto &[name, ids] : slots) {
        const ServiceState &service = services.at(name);
        Messages::ReleaseRequest request{name, {}};
        Messages::EntriesChanged bases{name, service.table.slotCount(), {}};
        for (const Cluster::SlotId slot : ids) {
            const Cluster::SlotEntry *entry = service.table.entry(slot);
            const Cluster::SlotId base = service.baseSlotOf(slot);
            const Cluster::SlotEntry *baseEntry = service.table.entry(base);
            if (entry != nullptr)
                request.assignments.push_back({slot, *entry});
            // The receiver releases a hot key only when it knows that the base slot lists it.
            if (base != slot && baseEntry != nullptr)
                bases.assignments.push_back({base, *baseEntry});
            if (request.assignments.size() < MaxAssignmentsPerMessage)
                continue;
            out.push_back(SendMessage{to, request});
            request.assignments.clear();
        }
        if (!bases.assignments.empty())
            out.push_back(SendMessage{to, bases});
        if (!request.assignments.empty())
            out.push_back(SendMessage{to, std::move(request)});
    }
}

Base::TimePoint ReleaseRequester::nextDeadline() const
{
    Base::TimePoint next = Base::TimePoint::max();
    for (const auto &[id, peer] : m_peers)
        next = std::min(next, peer.nextResend);
    return next;
}

} // namespace Medlar::Ownership
