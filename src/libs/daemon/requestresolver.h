#pragma once

#include "callerrequest.h"
#include "candidateindex.h"

namespace Medlar::Daemon {

/*! Where a request goes, and why. */
struct Resolution
{
    const Cluster::NodeRecord *node = nullptr; //!< nullptr: nowhere for now
    bool isLocal = false;
    Cluster::SlotId slot = 0;
    Cluster::Epoch epoch = 0;
    /*! For the decision log; a reason code when \a node is nullptr. */
    const char *reason = "";
};

/*! Which slot of a keyed service this instance serves for a key, or why it does not. */
struct ServeState
{
    Cluster::SlotId slot = 0;
    const ServedSlot *served = nullptr;
    Cluster::Epoch knownEpoch = 0;
};
ServeState serveState(const TrafficSnapshot &snapshot, const std::string &service,
                      std::uint64_t keyHash);

/*! Chooses the node for a request from the control state: the owner of its key, or any node. */
class RequestResolver
{
public:
    explicit RequestResolver(BackendBalancer &balancer) : m_balancer(balancer) {}

    void setSnapshot(std::shared_ptr<const TrafficSnapshot> snapshot);

    /*! \a excluded are instances that the balancer must not choose again. */
    Resolution resolve(Base::TimePoint now, const CallerRequest &request,
                       const std::vector<Base::InstanceId> &excluded);

private:
    Resolution resolveOwner(const CallerRequest &request) const;
    Resolution resolveAny(Base::TimePoint now, const CallerRequest &request,
                          const std::vector<Base::InstanceId> &excluded);

    BackendBalancer &m_balancer;
    std::shared_ptr<const TrafficSnapshot> m_snapshot;
    CandidateIndex m_candidates;
};

} // namespace Medlar::Daemon
