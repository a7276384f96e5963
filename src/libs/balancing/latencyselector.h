#pragma once

#include "latencyquantiles.h"
#include "randomsequence.h"
#include "replicastatistics.h"

#include <array>
#include <unordered_map>

namespace Medlar::Balancing {

/*!
    Chooses by observed latency: the better of two random replicas of the own AvailabilityZone, else
   of the own region. Other home regions are used when nothing nearer is left, or when even the
   distance costs less than the latency observed near. Stragglers are left and probed, see
   StragglerDetector; replicas that reject receive less until they accept again.
*/
class LatencySelector final : public ReplicaSelector
{
public:
    explicit LatencySelector(const SelectorSettings &settings);

    void setReplicas(Base::TimePoint now, const std::vector<Replica> &replicas) override;
    std::optional<Choice> choose(Base::TimePoint now, const ReplicaRequest &request) override;
    void onFinished(Base::TimePoint now, const Choice &choice, AttemptResult result) override;
    void onLoadReport(const Base::InstanceId &instance, const LoadReport &report) override;
    std::vector<Base::LogLine> takeLogLines() override;

private:
    enum Tier : std::size_t { OwnZone, OwnRegion, OtherRegions, TierCount };

    struct Member
    {
        Member(std::uint64_t memberNumber, Replica memberReplica, const SelectorSettings &settings)
            : number(memberNumber)
            , replica(std::move(memberReplica))
            , statistics(settings)
            , detector(settings.straggler)
        {}

        std::uint64_t number;
        Replica replica;
        ReplicaStatistics statistics;
        StragglerDetector detector;
        bool isFar = false; //!< in another region
    };

    struct Candidate
    {
        Member *member = nullptr;
        double score = 0.0;
    };

    void rebuildTiers();
    Candidate pick(Base::TimePoint now, Tier tier, const ReplicaRequest &request,
                   bool ignoreWeight);
    Member *pickOne(Base::TimePoint now, Tier tier, const ReplicaRequest &request,
                    bool ignoreWeight, const Member *other);
    Member *betterElsewhere(Base::TimePoint now, const Member *near, const ReplicaRequest &request);
    Member *dueProbe(Base::TimePoint now, const ReplicaRequest &request);
    Choice chosen(Base::TimePoint now, Member &member, std::string_view reason);
    bool isEligible(const Member &member, const ReplicaRequest &request) const;
    void checkOverdue(Base::TimePoint now, Member &member);
    bool mayLeave() const;
    void onSlow(Base::TimePoint now, Member &member, double evidence, bool isProbe);
    void onFast(Base::TimePoint now, Member &member, const Choice &choice);
    void updateThresholds();
    Base::Duration slowThreshold(const Member &member) const;
    static Base::Duration distance(const Member &member);
    Base::Duration usualLatency(const Member &member) const;
    double score(Base::TimePoint now, const Member &member) const;

    SelectorSettings m_settings;
    RandomSequence m_random;
    std::uint64_t m_nextNumber = 1;
    std::unordered_map<std::uint64_t, std::unique_ptr<Member>> m_members; //!< by number
    std::unordered_map<Base::InstanceId, std::uint64_t> m_numbers;
    std::array<std::vector<Member *>, TierCount> m_tiers; //!< those that accept work
    std::vector<Member *> m_stragglers;
    double m_probeCredit = 0.0;

    LatencyQuantiles m_latencies; //!< of all replicas that are not stragglers
    std::uint32_t m_sinceUpdate = 0;
    std::optional<Base::Duration> m_slowExcess; //!< over the lowest latency of a replica
    Base::Duration m_usualLatency{std::chrono::milliseconds(1)};
    std::vector<Base::LogLine> m_lines;
};

} // namespace Medlar::Balancing
