#pragma once

#include "replicalist.h"

#include <unordered_map>

namespace Medlar::Balancing {

/*! Takes the eligible replica with the lowest reported utilisation, whatever the age of the report.
 */
class LeastLoadedSelector final : public ReplicaSelector
{
public:
    explicit LeastLoadedSelector(const SelectorSettings &settings);

    void setReplicas(Base::TimePoint now, const std::vector<Replica> &replicas) override;
    std::optional<Choice> choose(Base::TimePoint now, const ReplicaRequest &request) override;
    void onFinished(Base::TimePoint now, const Choice &choice, AttemptResult result) override;
    void onLoadReport(const Base::InstanceId &instance, const LoadReport &report) override;

private:
    ReplicaList m_replicas;
    std::unordered_map<Base::InstanceId, double> m_utilisation;
    std::uint64_t m_next = 0; //!< resolves ties in turn
};

} // namespace Medlar::Balancing
