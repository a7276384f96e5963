#pragma once

#include "releaserequester.h"
#include "releaseresponder.h"

namespace Medlar::Ownership {

/*!
    Decides which slots this instance serves, apart from its node lease. Every change is driven by
   an event that names the slots concerned; an index by instance finds the slots that a seal
   concerns, so no message causes a scan of the table.
*/
class HandoverCoordinator
{
public:
    HandoverCoordinator(const Settings &settings, const InstanceDirectory &directory);

    void onTime(Base::TimePoint now, Commands &out);
    void onEntries(Base::TimePoint now, const std::string &service, std::uint32_t slotCount,
                   const std::vector<Cluster::SlotAssignment> &assignments, Commands &out);
    void onReleaseRequest(Base::TimePoint now, const Base::InstanceId &from,
                          const Messages::ReleaseRequest &request, Commands &out);
    void onReleased(Base::TimePoint now, const Base::InstanceId &from,
                    const Messages::Released &message, Commands &out);
    void onDrained(Base::TimePoint now, const std::string &service,
                   const std::vector<Messages::SlotEpoch> &slots, Commands &out);
    /*! \a instance is sealed in the directory. */
    void onSealed(Base::TimePoint now, const Base::InstanceId &instance, Commands &out);
    /*! Stops serving everything for ever. */
    void end(Commands &out);

    Base::TimePoint nextDeadline() const;
    const Cluster::SlotTable *table(const std::string &service) const;
    /*! The token and epoch of a served slot, without regard to the lease. */
    tl::expected<ServePermit, ServeError> permit(const std::string &service,
                                                 Cluster::SlotId slot) const;
    std::optional<OwnerView> ownerOf(const std::string &service, Cluster::SlotId slot) const;
    std::vector<Messages::SlotEpoch> servedSlots(const std::string &service) const;

private:
    using SlotKey = std::pair<std::string, Cluster::SlotId>;

    ServiceState *stateFor(const std::string &service, std::uint32_t slotCount, Commands &out);
    void merge(Base::TimePoint now, ServiceState &service,
               const std::vector<Cluster::SlotAssignment> &assignments, Commands &out);
    void mergeOne(ServiceState &service, const Cluster::SlotAssignment &assignment);
    void evaluate(Base::TimePoint now, ServiceState &service, Cluster::SlotId slot, Commands &out);
    /*! Whether the hand-over conditions of the newest entry hold; registers what it waits for. */
    bool isActivatable(Base::TimePoint now, ServiceState &service, Cluster::SlotId slot,
                       const Cluster::SlotEntry &entry, std::size_t ownerIndex);
    bool hasEarlierLiveOwner(const ServiceState &service, Cluster::SlotId slot,
                             const Cluster::SlotEntry &entry, std::size_t ownerIndex);
    std::set<Base::InstanceId> missingReleases(const Cluster::SlotEntry &entry,
                                               const LocalSlot &local) const;
    void updateRequests(const ServiceState &service, Cluster::SlotId slot, LocalSlot &local,
                        Cluster::Epoch epoch, const std::set<Base::InstanceId> &missing);
    Base::TimePoint guardEnd(const Cluster::SlotEntry &entry, std::size_t ownerIndex,
                             const LocalSlot &local) const;
    static bool isSuperseded(const ServiceState &service, Cluster::SlotId slot,
                             const Cluster::SlotEntry &entry);
    void activate(ServiceState &service, Cluster::SlotId slot, const Cluster::SlotEntry &entry,
                  std::size_t ownerIndex, Commands &out);
    void tidy(ServiceState &service, Cluster::SlotId slot);
    void finish(Base::TimePoint now, Commands &out);

    Base::InstanceId m_self;
    LeaseTiming m_timing;
    ProtocolRules m_rules;
    const InstanceDirectory &m_directory;
    Services m_services;
    ReleaseRequester m_requester;
    ReleaseResponder m_responder;
    /*! Slots whose activation may depend on the seal of an instance. */
    std::unordered_map<Base::InstanceId, std::set<SlotKey>> m_dependents;
    std::multimap<Base::TimePoint, SlotKey> m_guards;
    bool m_servingChanged = false;
    bool m_ended = false;
};

} // namespace Medlar::Ownership
