#pragma once

#include "backendbalancer.h"
#include "balancing/replicaselector.h"

#include <list>
#include <map>
#include <memory>
#include <set>

namespace Medlar::Daemon {

/*! Chooses nodes with the latency-aware ReplicaSelector, one for each service. */
class SelectorBalancer : public BackendBalancer
{
public:
    /*! Nodes that are left as stragglers, and those that recover, are written to \a log. */
    SelectorBalancer(std::uint64_t seed, Base::LogSink &log) : m_seed(seed), m_log(log) {}

    void onCandidatesChanged() override;
    const Cluster::NodeRecord *choose(Base::TimePoint now, const std::string &service,
                                      const CandidateTiers &tiers,
                                      const std::vector<Base::InstanceId> &excluded) override;
    void onStarted(Base::TimePoint now, const std::string &service,
                   const Base::InstanceId &node) override;
    void onFinished(Base::TimePoint now, const std::string &service, const Base::InstanceId &node,
                    NodeResult result, Base::Duration latency) override;

private:
    using Nodes = std::vector<const Cluster::NodeRecord *>;

    // What was last seen of one route's candidates.
    struct Candidates
    {
        Nodes nodes;
        std::set<std::string> regions;
    };

    struct Service
    {
        std::unique_ptr<Balancing::ReplicaSelector> selector;
        std::map<Base::InstanceId, Balancing::Replica> replicas;
        std::map<const CandidateTiers *, Candidates> candidates; //!< of the present snapshot
        std::map<Base::InstanceId, std::list<Balancing::Choice>> running;
        std::optional<Balancing::Choice> latest; //!< chosen, but not yet started
    };

    Service &service(const std::string &name, const CandidateTiers &tiers);
    static bool refresh(Service &service, const CandidateTiers &tiers);
    static const Cluster::NodeRecord *find(const Nodes &nodes, const Base::InstanceId &instance);

    void writeLog(Service &service);

    std::uint64_t m_seed;
    Base::LogSink &m_log;
    std::map<std::string, Service> m_services;
};

} // namespace Medlar::Daemon
