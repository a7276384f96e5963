#pragma once

#include "replicalist.h"

namespace Medlar::Balancing {

/*! Takes the eligible replicas in turn, without regard to how they respond. */
class RoundRobinSelector final : public ReplicaSelector
{
public:
    explicit RoundRobinSelector(const SelectorSettings &settings);

    void setReplicas(Base::TimePoint now, const std::vector<Replica> &replicas) override;
    std::optional<Choice> choose(Base::TimePoint now, const ReplicaRequest &request) override;
    void onFinished(Base::TimePoint now, const Choice &choice, AttemptResult result) override;
    void onLoadReport(const Base::InstanceId &instance, const LoadReport &report) override;

private:
    ReplicaList m_replicas;
    std::uint64_t m_next = 0;
};

} // namespace Medlar::Balancing
