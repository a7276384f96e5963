#include "leasegrants.h"

#include <algorithm>
#include <functional>

namespace Medlar::Ownership {

namespace {

/*! Rounds whose grants are still accepted. Older ones would give less than the lease left. */
constexpr std::size_t RememberedRounds = 16;

} // namespace

LeaseGrants::LeaseGrants(const LeaseTiming &timing, const ProtocolRules &rules)
    : m_timing(timing), m_rules(rules)
{}

void LeaseGrants::reset(Base::TimePoint now, const std::vector<Base::InstanceId> &witnesses)
{
    m_rounds.clear();
    m_witnesses.clear();
    for (const Base::InstanceId &witness : witnesses)
        m_witnesses[witness].lastHeard = now;
}

std::uint64_t LeaseGrants::startRound(Base::TimePoint now)
{
    m_rounds.push_back({++m_sequence, now});
    if (m_rounds.size() > RememberedRounds)
        m_rounds.pop_front();
    return m_sequence;
}

void LeaseGrants::accept(Base::TimePoint now, const Base::InstanceId &from, std::uint64_t sequence)
{
    const auto witness = m_witnesses.find(from);
    const auto round = std::find_if(m_rounds.begin(), m_rounds.end(),
                                    [sequence](const Round &r) { return r.sequence == sequence; });
    if (witness == m_witnesses.end() || round == m_rounds.end())
        return;
    witness->second.lastHeard = now;
    const Base::TimePoint start = m_rules.leaseCountedFromSend ? round->sentAt : now;
    witness->second.validUntil
        = std::max(witness->second.validUntil, start + holderPeriod(m_timing, m_rules));
}

void LeaseGrants::heard(Base::TimePoint now, const Base::InstanceId &from)
{
    const auto witness = m_witnesses.find(from);
    if (witness != m_witnesses.end())
        witness->second.lastHeard = now;
}

Base::TimePoint LeaseGrants::validUntil() const
{
    if (m_witnesses.empty())
        return Base::TimePoint::max();
    std::vector<Base::TimePoint> ends;
    ends.reserve(m_witnesses.size());
    for (const auto &[id, witness] : m_witnesses)
        ends.push_back(witness.validUntil);
    std::sort(ends.begin(), ends.end(), std::greater<>());
    return ends[leaseQuorumOf(ends.size()) - 1];
}

Base::TimePoint LeaseGrants::lastHeard(const Base::InstanceId &witness) const
{
    const auto found = m_witnesses.find(witness);
    return found == m_witnesses.end() ? Base::TimePoint::min() : found->second.lastHeard;
}

} // namespace Medlar::Ownership
