#pragma once

#include "backendbalancer.h"

#include <random>
#include <unordered_map>

namespace Medlar::Daemon {

/*! In the nearest tier that has a candidate, the one of two random ones with fewer requests in
 * flight. */
class TwoChoiceBalancer : public BackendBalancer
{
public:
    explicit TwoChoiceBalancer(std::uint64_t seed) : m_random(seed) {}

    const Cluster::NodeRecord *choose(Base::TimePoint now, const std::string &service,
                                      const CandidateTiers &tiers,
                                      const std::vector<Base::InstanceId> &excluded) override;
    void onStarted(Base::TimePoint now, const std::string &service,
                   const Base::InstanceId &node) override;
    void onFinished(Base::TimePoint now, const std::string &service, const Base::InstanceId &node,
                    NodeResult result, Base::Duration latency) override;

private:
    std::uint32_t inFlight(const Base::InstanceId &node) const;

    std::mt19937_64 m_random;
    std::unordered_map<Base::InstanceId, std::uint32_t> m_inFlight;
};

} // namespace Medlar::Daemon
