#pragma once

#include "handoverstate.h"

namespace Medlar::Ownership {

/*! Answers release requests: stops serving, drains requests in flight and confirms the release. */
class ReleaseResponder
{
public:
    ReleaseResponder(const Base::InstanceId &self, const InstanceDirectory &directory);

    /*!
        Handles a request whose entries were merged into \a service before. Slots that stop being
       served are added to \a stopped.
    */
    void onRequest(const Base::InstanceId &from, ServiceState &service,
                   const std::vector<Cluster::SlotAssignment> &assignments,
                   std::vector<Cluster::SlotId> &stopped, Commands &out);
    void onDrained(ServiceState &service, const std::vector<Messages::SlotEpoch> &slots,
                   std::vector<Cluster::SlotId> &stopped, Commands &out);

private:
    struct Batch
    {
        std::vector<Messages::SlotEpoch> released;
        std::vector<Messages::SlotEpoch> toDrain;
        std::vector<Cluster::SlotId> stopped;
    };

    void release(const Base::InstanceId &from, ServiceState &service,
                 const Cluster::SlotAssignment &assignment, Batch &batch);
    bool isOwnAssignment(const ServiceState &service, Cluster::SlotId slot,
                         Cluster::Epoch epoch) const;
    static bool mayReleaseHotKey(const ServiceState &service, Cluster::SlotId hotKey,
                                 Cluster::Epoch epoch);
    static std::set<Cluster::SlotId>
    stopServing(ServiceState &service, const Cluster::SlotAssignment &assignment, Batch &batch);
    static void forgetSplitOff(ServiceState &service, const Messages::SlotEpoch &drained);

    Base::InstanceId m_self;
    const InstanceDirectory &m_directory;
};

} // namespace Medlar::Ownership
