#pragma once

#include "handovercoordinator.h"
#include "leaseholder.h"
#include "sealcoordinator.h"

namespace Medlar::Ownership {

/*! The engine of one instance: routes events to the lease, seal and hand-over parts. */
class LocalEngine final : public OwnershipEngine
{
public:
    explicit LocalEngine(const Settings &settings);

    Commands onTime(Base::TimePoint now) override;
    Commands onMessage(Base::TimePoint now, const Base::InstanceId &from,
                       const Messages::PeerMessage &message) override;
    Commands onNodeRecord(Base::TimePoint now, const Cluster::NodeRecord &record) override;
    Commands onNodeRemoved(Base::TimePoint now, const std::string &node) override;
    Commands onEntries(Base::TimePoint now, const std::string &service, std::uint32_t slotCount,
                       const std::vector<Cluster::SlotAssignment> &assignments) override;
    Commands onSealed(Base::TimePoint now, const Messages::Sealed &seal) override;
    Commands onDrained(Base::TimePoint now, const std::string &service,
                       const std::vector<Messages::SlotEpoch> &slots) override;
    Commands startDraining(Base::TimePoint now) override;
    Commands stop(Base::TimePoint now) override;

    Base::TimePoint nextDeadline() const override;
    tl::expected<ServePermit, ServeError> permit(Base::TimePoint now, const std::string &service,
                                                 Cluster::SlotId slot) const override;
    std::optional<OwnerView> ownerOf(const std::string &service,
                                     Cluster::SlotId slot) const override;
    const Cluster::SlotTable *table(const std::string &service) const override;
    bool isSealed(const Base::InstanceId &instance) const override;
    const std::unordered_set<Base::InstanceId> &sealedInstances() const override;
    const Cluster::NodeRecord &self() const override { return m_self; }
    Base::TimePoint leaseValidUntil() const override;
    std::vector<ServedSlot> servedSlots(const std::string &service) const override;

private:
    /*! Detects the end of the lease before the event is handled. */
    Commands begin(Base::TimePoint now);
    Commands finish(Base::TimePoint now, Commands commands);
    void dispatch(Base::TimePoint now, const Base::InstanceId &from,
                  const Messages::PeerMessage &message, Commands &out);
    void answerSealed(const Base::InstanceId &from, const Messages::PeerMessage &message,
                      Commands &out) const;
    void applySeal(Base::TimePoint now, const Messages::Sealed &seal, bool decidedHere,
                   Commands &out);
    void end(Base::TimePoint now, Messages::SealReason reason, Commands &out);
    bool isEnded() const { return m_endReason.has_value(); }

    Cluster::NodeRecord m_self;
    LeaseTiming m_timing;
    InstanceDirectory m_directory;
    LeaseHolder m_holder;
    LeaseGrantor m_grantor;
    SealCoordinator m_seals;
    HandoverCoordinator m_handover;
    std::optional<Messages::SealReason> m_endReason;
    Base::TimePoint m_endDue = Base::TimePoint::max(); //!< when InstanceEnded is to be issued
};

} // namespace Medlar::Ownership
