#include "latencyselector.h"

#include "replicalist.h"

#include <algorithm>

namespace Medlar::Balancing {

namespace {

/*! A request is slow beyond this multiple of the common p95. For exponentially distributed
 * latencies that is 1 in 400. */
constexpr double SlowFactor = 2.0;

/*! A request beyond this multiple of the slow threshold counts as VerySlowEvidence. Not as full
 * evidence: a long tail of healthy latencies reaches it about once in 10,000 requests. */
constexpr int VerySlowFactor = 4;
constexpr double VerySlowEvidence = 2.0;

/*! A healthy replica loses against a hedge now and then, so this counts less than a slow response.
 */
constexpr double LostHedgeEvidence = 0.75;

/*! More stragglers than this share at once have a common cause that leaving them cannot cure. */
constexpr std::size_t StragglerShare = 3;

/*! Of all requests. At 0.01 two stragglers of a service with 100 requests/s shared one probe per
 * second. */
constexpr double ProbeShare = 0.02;
constexpr double ProbeBurst = 2.0;

/*! Another zone of the region must be better by this factor than the own one. */
constexpr double ZoneSpillFactor = 1.5;

/*! Other regions are not considered while the nearest choice is within this multiple of the usual
 * latency: bytes between regions are billed. */
constexpr double RegionSpillFactor = 2.0;

/*! Ratio of the nearest latency to that of the other region from which some, and all, requests go
 * there. Well below 1, because a queue that makes the mean that high delays some of its requests
 * far more than the distance would; a wide range, because narrower ones made the load oscillate. */
constexpr double FirstSpillRatio = 0.35;
constexpr double FullSpillRatio = 1.2;

/*! Assumed for a region that was not used yet: there and back between regions. */
constexpr std::chrono::milliseconds UnknownDistance{40};

/*! Scores closer than this are noise. Without the tolerance a replica that is slightly slower would
 * receive nothing while there are few requests, and one that recovered would not be tried. */
constexpr double SimilarFactor = 1.25;

constexpr int PickAttempts = 4;

/*! Latencies between two calculations of the quantiles. */
constexpr std::uint32_t UpdateInterval = 16;

} // namespace

LatencySelector::LatencySelector(const SelectorSettings &settings)
    : m_settings(settings), m_random(settings.seed)
{}

void LatencySelector::setReplicas(Base::TimePoint now, const std::vector<Replica> &replicas)
{
    const bool isFirst = m_members.empty();
    std::unordered_map<Base::InstanceId, std::uint64_t> numbers;
    for (const Replica &replica : replicas) {
        const auto known = m_numbers.find(replica.instance);
        if (known != m_numbers.end()) {
            Member &member = *m_members.at(known->second);
            // Others switch to it at the same moment; a gradual return avoids a rush.
            if (replica.acceptsWork && !member.replica.acceptsWork
                && member.detector.state(now) != ReplicaState::Straggling) {
                member.detector.startRecovery(now);
            }
            member.replica = replica;
            numbers.insert(*known);
            continue;
        }
        const std::uint64_t number = m_nextNumber++;
        auto member = std::make_unique<Member>(number, replica, m_settings);
        if (!isFirst)
            member->detector.startRecovery(now);
        m_members.emplace(number, std::move(member));
        numbers.emplace(replica.instance, number);
    }
    for (const auto &[instance, number] : m_numbers) {
        if (numbers.count(instance) == 0)
            m_members.erase(number);
    }
    m_numbers = std::move(numbers);
    rebuildTiers();
}

void LatencySelector::rebuildTiers()
{
    for (auto &tier : m_tiers)
        tier.clear();
    m_stragglers.clear();
    // In the order of numbers, so that the choice depends on the seed only.
    std::vector<std::uint64_t> ordered;
    for (const auto &[number, member] : m_members)
        ordered.push_back(number);
    std::sort(ordered.begin(), ordered.end());
    for (const std::uint64_t number : ordered) {
        Member &member = *m_members.at(number);
        if (!member.replica.acceptsWork)
            continue;
        const bool sameRegion = member.replica.region == m_settings.region;
        member.isFar = !sameRegion;
        const bool sameZone
            = sameRegion && member.replica.availabilityZone == m_settings.availabilityZone;
        m_tiers[sameZone ? OwnZone : sameRegion ? OwnRegion : OtherRegions].push_back(&member);
        if (member.detector.state({}) == ReplicaState::Straggling)
            m_stragglers.push_back(&member);
    }
}

std::optional<Choice> LatencySelector::choose(Base::TimePoint now, const ReplicaRequest &request)
{
    m_probeCredit = std::min(ProbeBurst, m_probeCredit + ProbeShare);
    if (Member *const straggler = dueProbe(now, request)) {
        if (!straggler->detector.wasLastProbeFast())
            m_probeCredit -= 1.0;
        straggler->detector.onProbeSent();
        Choice choice = chosen(now, *straggler, "probe");
        choice.isProbe = true;
        return choice;
    }

    const Candidate zone = pick(now, OwnZone, request, false);
    const Candidate region = pick(now, OwnRegion, request, false);
    const bool inZone
        = zone.member && (!region.member || zone.score <= ZoneSpillFactor * region.score);
    Member *const near = inZone ? zone.member : region.member;
    if (Member *const far = betterElsewhere(now, near, request))
        return chosen(now, *far, near ? "other-region-faster" : "other-region");
    if (near)
        return chosen(now, *near, inZone ? "own-zone" : "own-region");
    for (const Tier tier : {OwnZone, OwnRegion, OtherRegions}) {
        if (const Candidate any = pick(now, tier, request, true); any.member)
            return chosen(now, *any.member, "none-better");
    }
    for (Member *const straggler : m_stragglers) {
        if (isEligible(*straggler, request))
            return chosen(now, *straggler, "only-stragglers");
    }
    return std::nullopt;
}

/*! A replica of another region if \a near is missing, or so slow that the distance pays. */
LatencySelector::Member *LatencySelector::betterElsewhere(Base::TimePoint now, const Member *near,
                                                          const ReplicaRequest &request)
{
    const double usual = std::chrono::duration<double>(m_usualLatency).count();
    const double latency = near ? near->statistics.steadyLatency(now, usualLatency(*near)) : 0.0;
    if (near && latency < RegionSpillFactor * usual)
        return nullptr;
    Member *const far = pick(now, OtherRegions, request, false).member;
    if (!near || !far)
        return far;
    const double farLatency = far->statistics.steadyLatency(now, usualLatency(*far));
    // In proportion, so that the callers of a region do not all move at once and back.
    const double share
        = (latency / farLatency - FirstSpillRatio) / (FullSpillRatio - FirstSpillRatio);
    return m_random.share() < share ? far : nullptr;
}

Choice LatencySelector::chosen(Base::TimePoint now, Member &member, std::string_view reason)
{
    member.statistics.onSent(now);
    return {member.replica.instance, member.number, now, false, distance(member), reason};
}

bool LatencySelector::isEligible(const Member &member, const ReplicaRequest &request) const
{
    return allowsRegion(request, member.replica.region)
           && !wasTried(request, member.replica.instance);
}

/*! The better one of two random members of \a tier. */
LatencySelector::Candidate LatencySelector::pick(Base::TimePoint now, Tier tier,
                                                 const ReplicaRequest &request, bool ignoreWeight)
{
    Member *const first = pickOne(now, tier, request, ignoreWeight, nullptr);
    if (!first)
        return {};
    Member *const second = pickOne(now, tier, request, ignoreWeight, first);
    const Candidate a{first, score(now, *first)};
    if (!second)
        return a;
    const Candidate b{second, score(now, *second)};
    return b.score * SimilarFactor < a.score ? b : a;
}

LatencySelector::Member *LatencySelector::pickOne(Base::TimePoint now, Tier tier,
                                                  const ReplicaRequest &request, bool ignoreWeight,
                                                  const Member *other)
{
    const std::vector<Member *> &members = m_tiers[tier];
    if (members.empty())
        return nullptr;
    const std::uint64_t offset = m_random.next();
    const int attempts = ignoreWeight ? static_cast<int>(members.size()) : PickAttempts;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        const std::uint64_t index = ignoreWeight   ? offset + static_cast<std::uint64_t>(attempt)
                                    : attempt == 0 ? offset
                                                   : m_random.next();
        Member &member = *members[index % members.size()];
        if (&member == other || !isEligible(member, request))
            continue;
        checkOverdue(now, member);
        const double weight = member.detector.weight(now);
        if (weight <= 0.0)
            continue;
        if (ignoreWeight)
            return &member;
        const double share = weight * member.statistics.acceptance(now);
        if (share >= 1.0 || m_random.share() < share)
            return &member;
        // A second draw for the same comparison would multiply the share of a reduced replica. For
        // other regions it would send requests far away while the service rejects everywhere.
        if (other || tier == OtherRegions)
            return nullptr;
    }
    return nullptr;
}

LatencySelector::Member *LatencySelector::dueProbe(Base::TimePoint now,
                                                   const ReplicaRequest &request)
{
    for (Member *const straggler : m_stragglers) {
        // A probe after a fast one is most likely fast too. Charged to the credit, the probes that
        // confirm a recovery took 1.4 to 3.6 s at 100 requests/s.
        const bool isAllowed = m_probeCredit >= 1.0 || straggler->detector.wasLastProbeFast();
        if (isAllowed && straggler->detector.isProbeDue(now, request.canBeHedged)
            && isEligible(*straggler, request)) {
            return straggler;
        }
    }
    return nullptr;
}

void LatencySelector::checkOverdue(Base::TimePoint now, Member &member)
{
    const Base::Duration threshold = slowThreshold(member);
    if (member.statistics.oldestAge(now) <= threshold
        || member.detector.state(now) == ReplicaState::Straggling) {
        return;
    }
    const double needed = m_settings.straggler.leaveEvidence;
    const auto slow = static_cast<double>(member.statistics.overdue(now, threshold));
    const auto verySlow
        = static_cast<double>(member.statistics.overdue(now, VerySlowFactor * threshold));
    const double outstanding = slow + (VerySlowEvidence - 1.0) * verySlow;
    if (member.detector.evidence() + outstanding >= needed)
        onSlow(now, member, needed, false);
}

void LatencySelector::onFinished(Base::TimePoint now, const Choice &choice, AttemptResult result)
{
    const auto found = m_members.find(choice.replica);
    if (found == m_members.end())
        return;
    Member &member = *found->second;
    member.statistics.onEnded(choice.chosenAt);
    const Base::Duration latency = now - choice.chosenAt;
    const Base::Duration threshold = slowThreshold(member);
    const bool isSlow = latency > threshold;
    const double slowEvidence = latency > VerySlowFactor * threshold ? VerySlowEvidence : 1.0;
    switch (result) {
    case AttemptResult::Answered:
        member.statistics.addLatency(now, latency, usualLatency(member));
        if (member.detector.state(now) != ReplicaState::Straggling) {
            m_latencies.add(latency - distance(member));
            updateThresholds();
        }
        if (isSlow)
            onSlow(now, member, slowEvidence, choice.isProbe);
        else
            onFast(now, member, choice);
        return;
    case AttemptResult::LostHedge:
        // Without these the common p95 would fall with every hedge that wins.
        if (member.detector.state(now) != ReplicaState::Straggling)
            m_latencies.add(latency - distance(member));
        member.statistics.addLatencyBound(now, latency, usualLatency(member));
        onSlow(now, member, isSlow ? slowEvidence : LostHedgeEvidence, choice.isProbe);
        return;
    case AttemptResult::Failed:
        onSlow(now, member, 1.0, choice.isProbe);
        return;
    case AttemptResult::Rejected:
        member.statistics.onRejected(now);
        break;
    case AttemptResult::Cancelled:
        if (isSlow) {
            onSlow(now, member, slowEvidence, choice.isProbe);
            return;
        }
        break;
    }
    if (choice.isProbe)
        member.detector.onProbeWithoutResult(now);
}

bool LatencySelector::mayLeave() const
{
    std::size_t accepting = 0;
    for (const auto &tier : m_tiers)
        accepting += tier.size();
    return accepting >= 2
           && m_stragglers.size() < std::max<std::size_t>(1, accepting / StragglerShare);
}

void LatencySelector::onSlow(Base::TimePoint now, Member &member, double evidence, bool isProbe)
{
    if (!member.detector.onSlow(now, evidence, isProbe, mayLeave()))
        return;
    m_stragglers.push_back(&member);
    m_lines.emplace_back("replica-left");
    m_lines.back()
        .add("backend", member.replica.instance.toString())
        .add("reason", "straggler")
        .add("slow_ms",
             std::chrono::duration_cast<std::chrono::milliseconds>(slowThreshold(member)))
        .add("outstanding", member.statistics.overdue(now, Base::Duration{0}))
        .add("oldest_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              member.statistics.oldestAge(now)));
}

void LatencySelector::onFast(Base::TimePoint now, Member &member, const Choice &choice)
{
    if (!member.detector.onFast(now, choice.isProbe))
        return;
    member.statistics.resetLatency(now, now - choice.chosenAt);
    m_stragglers.erase(std::remove(m_stragglers.begin(), m_stragglers.end(), &member),
                       m_stragglers.end());
    m_lines.emplace_back("replica-recovering");
    m_lines.back().add("backend", member.replica.instance.toString());
}

void LatencySelector::onLoadReport(const Base::InstanceId &instance, const LoadReport &report)
{
    const auto found = m_numbers.find(instance);
    if (found != m_numbers.end())
        m_members.at(found->second)->statistics.setReport(report);
}

std::vector<Base::LogLine> LatencySelector::takeLogLines()
{
    return std::exchange(m_lines, {});
}

void LatencySelector::updateThresholds()
{
    if (++m_sinceUpdate < UpdateInterval)
        return;
    m_sinceUpdate = 0;
    if (const auto p50 = m_latencies.quantile(0.5))
        m_usualLatency = *p50;
    if (const auto p95 = m_latencies.quantile(0.95))
        m_slowExcess = std::chrono::duration_cast<Base::Duration>(SlowFactor * *p95);
}

Base::Duration LatencySelector::slowThreshold(const Member &member) const
{
    // Before enough latencies are known nothing counts as slow.
    return m_slowExcess ? member.statistics.lowestLatency() + *m_slowExcess
                        : Base::Duration::max() / (2 * VerySlowFactor);
}

/*! Lowest latency of a replica in another region; nearer ones are told apart by their latency only.
 */
Base::Duration LatencySelector::distance(const Member &member)
{
    if (!member.isFar)
        return Base::Duration{0};
    return member.statistics.hasLatency() ? member.statistics.lowestLatency()
                                          : Base::Duration{UnknownDistance};
}

Base::Duration LatencySelector::usualLatency(const Member &member) const
{
    return m_usualLatency + distance(member);
}

double LatencySelector::score(Base::TimePoint now, const Member &member) const
{
    return member.statistics.score(now, usualLatency(member));
}

} // namespace Medlar::Balancing
