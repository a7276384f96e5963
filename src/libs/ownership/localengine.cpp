#include "localengine.h"

namespace Medlar::Ownership {

using namespace Messages;

namespace {

/*! The instance whose lease, seal or slots \a message is about, if it is one of these. */
std::optional<Base::InstanceId> subjectOf(const Base::InstanceId &from, const PeerMessage &message)
{
    if (const auto *proposal = std::get_if<SealProposal>(&message))
        return proposal->instance;
    if (std::holds_alternative<RenewLease>(message) || std::holds_alternative<AdoptTerm>(message)
        || std::holds_alternative<ReleaseRequest>(message))
        return from;
    return {};
}

std::string_view nameOf(SealReason reason)
{
    switch (reason) {
    case SealReason::LeaseExpired:
        return "lease-expired";
    case SealReason::Stopped:
        return "stopped";
    case SealReason::ConfirmedDead:
        return "confirmed-dead";
    }
    return "unknown";
}

} // namespace

LocalEngine::LocalEngine(const Settings &settings)
    : m_self(settings.self)
    , m_timing(settings.timing)
    , m_holder(settings, m_directory)
    , m_grantor(settings, m_directory)
    , m_seals(settings, m_directory, m_grantor)
    , m_handover(settings, m_directory)
{
    m_self.term = 0;
    m_self.witnesses.clear();
}

Commands LocalEngine::begin(Base::TimePoint now)
{
    Commands out;
    if (!isEnded() && m_holder.isLost(now))
        end(now, SealReason::LeaseExpired, out);
    return out;
}

Commands LocalEngine::finish(Base::TimePoint now, Commands commands)
{
    if (!isEnded() && m_holder.takeRecordChange(now)) {
        m_self.term = m_holder.term();
        m_self.witnesses = m_holder.witnesses();
        commands.push_back(PublishNodeRecord{m_self});
    }
    if (now >= m_endDue) {
        m_endDue = Base::TimePoint::max();
        commands.push_back(InstanceEnded{*m_endReason});
    }
    return commands;
}

Commands LocalEngine::onTime(Base::TimePoint now)
{
    Commands out = begin(now);
    for (const Sealed &seal : m_seals.onTime(now, out))
        applySeal(now, seal, true, out);
    if (!isEnded()) {
        m_holder.onTime(now, out);
        m_handover.onTime(now, out);
    }
    return finish(now, std::move(out));
}

Commands LocalEngine::onMessage(Base::TimePoint now, const Base::InstanceId &from,
                                const PeerMessage &message)
{
    Commands out = begin(now);
    answerSealed(from, message, out);
    dispatch(now, from, message, out);
    return finish(now, std::move(out));
}

void LocalEngine::answerSealed(const Base::InstanceId &from, const PeerMessage &message,
                               Commands &out) const
{
    // The sender missed the seal; without it, it would wait or go on asking.
    const auto subject = subjectOf(from, message);
    const auto seal = subject ? m_directory.sealOf(*subject) : std::nullopt;
    if (seal)
        out.push_back(SendMessage{from, *seal});
    else if (isEnded() && std::holds_alternative<ReleaseRequest>(message))
        out.push_back(SendMessage{from, Sealed{m_self.instance, *m_endReason}});
}

void LocalEngine::dispatch(Base::TimePoint now, const Base::InstanceId &from,
                           const PeerMessage &message, Commands &out)
{
    if (const auto *renewal = std::get_if<RenewLease>(&message)) {
        m_grantor.onRenewLease(now, from, *renewal, out);
    } else if (const auto *adoption = std::get_if<AdoptTerm>(&message)) {
        m_grantor.onAdoptTerm(now, from, *adoption, out);
    } else if (const auto *proposal = std::get_if<SealProposal>(&message)) {
        m_seals.onProposal(now, from, *proposal, out);
    } else if (const auto *promise = std::get_if<SealPromise>(&message)) {
        if (const auto seal = m_seals.onPromise(now, from, *promise))
            applySeal(now, *seal, true, out);
    } else if (const auto *seal = std::get_if<Sealed>(&message)) {
        applySeal(now, *seal, false, out);
    } else if (isEnded()) {
        return;
    } else if (const auto *granted = std::get_if<LeaseGranted>(&message)) {
        m_holder.onGranted(now, from, *granted);
    } else if (const auto *refused = std::get_if<LeaseRefused>(&message)) {
        m_holder.onRefused(now, from, *refused, out);
    } else if (const auto *adopted = std::get_if<TermAdopted>(&message)) {
        m_holder.onTermAdopted(now, from, *adopted, out);
    } else if (const auto *request = std::get_if<ReleaseRequest>(&message)) {
        if (!m_directory.isSealed(from))
            m_handover.onReleaseRequest(now, from, *request, out);
    } else if (const auto *released = std::get_if<Released>(&message)) {
        m_handover.onReleased(now, from, *released, out);
    } else if (const auto *entries = std::get_if<EntriesChanged>(&message)) {
        m_handover.onEntries(now, entries->service, entries->slotCount, entries->assignments, out);
    }
}

Commands LocalEngine::onNodeRecord(Base::TimePoint now, const Cluster::NodeRecord &record)
{
    Commands out = begin(now);
    if (record.instance.node != m_self.instance.node && m_directory.setRecord(record))
        m_holder.onDirectoryChanged();
    return finish(now, std::move(out));
}

Commands LocalEngine::onNodeRemoved(Base::TimePoint now, const std::string &node)
{
    Commands out = begin(now);
    if (m_directory.removeNode(node))
        m_holder.onDirectoryChanged();
    return finish(now, std::move(out));
}

Commands LocalEngine::onEntries(Base::TimePoint now, const std::string &service,
                                std::uint32_t slotCount,
                                const std::vector<Cluster::SlotAssignment> &assignments)
{
    Commands out = begin(now);
    if (!isEnded())
        m_handover.onEntries(now, service, slotCount, assignments, out);
    return finish(now, std::move(out));
}

Commands LocalEngine::onSealed(Base::TimePoint now, const Sealed &seal)
{
    Commands out = begin(now);
    applySeal(now, seal, false, out);
    return finish(now, std::move(out));
}

void LocalEngine::applySeal(Base::TimePoint now, const Sealed &seal, bool decidedHere,
                            Commands &out)
{
    if (!m_directory.seal(now, seal))
        return;
    m_grantor.forget(seal.instance);
    m_seals.forget(seal.instance);
    m_holder.onDirectoryChanged();
    out.push_back(Base::LogLine("instance-sealed")
                      .add("instance", seal.instance.toString())
                      .add("reason", nameOf(seal.reason))
                      .add("decided_here", decidedHere));
    if (decidedHere)
        out.push_back(PropagateSeal{seal});
    if (seal.instance == m_self.instance)
        end(now, seal.reason, out);
    else if (!isEnded())
        m_handover.onSealed(now, seal.instance, out);
}

void LocalEngine::end(Base::TimePoint now, SealReason reason, Commands &out)
{
    if (isEnded())
        return;
    m_endReason = reason;
    m_handover.end(out);
    out.push_back(Base::LogLine("instance-ended").add("reason", nameOf(reason)));
    applySeal(now, Sealed{m_self.instance, reason}, true, out);
    // Two nodes that lose contact lose their leases together. As the only witness of the other this
    // instance is needed until its own grants have expired, slightly later than its lease.
    m_endDue = reason == SealReason::Stopped ? now : now + m_timing.leaseDuration;
}

Commands LocalEngine::onDrained(Base::TimePoint now, const std::string &service,
                                const std::vector<SlotEpoch> &slots)
{
    Commands out = begin(now);
    m_handover.onDrained(now, service, slots, out);
    return finish(now, std::move(out));
}

Commands LocalEngine::startDraining(Base::TimePoint now)
{
    Commands out = begin(now);
    if (!isEnded() && m_self.state == Cluster::NodeState::Active) {
        m_self.state = Cluster::NodeState::Draining;
        out.push_back(PublishNodeRecord{m_self});
    }
    return finish(now, std::move(out));
}

Commands LocalEngine::stop(Base::TimePoint now)
{
    Commands out = begin(now);
    if (!isEnded()) {
        m_self.state = Cluster::NodeState::Left;
        out.push_back(PublishNodeRecord{m_self});
        end(now, SealReason::Stopped, out);
    }
    return finish(now, std::move(out));
}

Base::TimePoint LocalEngine::nextDeadline() const
{
    const Base::TimePoint witnessDeadline = std::min(m_seals.nextDeadline(), m_endDue);
    if (isEnded())
        return witnessDeadline;
    return std::min({witnessDeadline, m_holder.nextDeadline(), m_handover.nextDeadline()});
}

tl::expected<ServePermit, ServeError>
LocalEngine::permit(Base::TimePoint now, const std::string &service, Cluster::SlotId slot) const
{
    auto result = m_handover.permit(service, slot);
    if (!result)
        return result;
    result->validUntil = m_holder.validUntil();
    if (now < result->validUntil)
        return result;
    return tl::unexpected(
        ServeError{NotServingReason::LeaseNotHeld, m_self.instance, result->epoch});
}

std::optional<OwnerView> LocalEngine::ownerOf(const std::string &service,
                                              Cluster::SlotId slot) const
{
    return m_handover.ownerOf(service, slot);
}

const Cluster::SlotTable *LocalEngine::table(const std::string &service) const
{
    return m_handover.table(service);
}

bool LocalEngine::isSealed(const Base::InstanceId &instance) const
{
    return m_directory.isSealed(instance);
}

const std::unordered_set<Base::InstanceId> &LocalEngine::sealedInstances() const
{
    return m_directory.sealed();
}

Base::TimePoint LocalEngine::leaseValidUntil() const
{
    return isEnded() ? Base::TimePoint::min() : m_holder.validUntil();
}

std::vector<ServedSlot> LocalEngine::servedSlots(const std::string &service) const
{
    return m_handover.servedSlots(service);
}

} // namespace Medlar::Ownership
