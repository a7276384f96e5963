#include "leaseholder.h"

#include <algorithm>

namespace Medlar::Ownership {

using namespace std::chrono_literals;
using namespace Messages;

namespace {

/*! Longer than a round trip between regions (40 ms), so that probes are seldom repeated. */
constexpr Base::Duration ResendInterval = 100ms;
constexpr Base::Duration ProbeTimeout = 300ms;
constexpr Base::Duration AdoptionTimeout = 1s;
/*! How long a candidate that did not answer probes is left out. */
constexpr Base::Duration UnreachableTime = 5s;
/*! Interval at which a set that could be larger is reviewed without other cause. */
constexpr Base::Duration ReviewInterval = 5s;

/*! A review ranks all nodes, and when a fleet starts, records arrive by the hundred. */
constexpr Base::Duration ShortestReviewInterval = 100ms;

} // namespace

LeaseHolder::LeaseHolder(const Settings &settings, const InstanceDirectory &directory)
    : m_self(settings.self)
    , m_timing(settings.timing)
    , m_rules(settings.rules)
    , m_directory(directory)
    , m_grants(settings.timing, settings.rules)
{}

void LeaseHolder::onTime(Base::TimePoint now, Commands &out)
{
    if (m_term != 0 && now >= m_nextRenewal)
        renew(now, out);
    if (m_change && now >= m_change->nextSend)
        advanceChange(now, out);
    if (!m_change && now >= reviewTime())
        review(now, out);
}

void LeaseHolder::renew(Base::TimePoint now, Commands &out)
{
    m_nextRenewal = now + m_timing.renewInterval;
    std::vector<Base::InstanceId> adopted;
    for (const Base::InstanceId &witness : m_witnesses) {
        if (m_adopted.count(witness) != 0)
            adopted.push_back(witness);
        else if (m_refusing.count(witness) == 0)
            out.push_back(SendMessage{witness, AdoptTerm{m_self.instance, m_term, m_witnesses}});
        m_reviewDue = m_reviewDue || !isUsable(now, witness);
    }
    sendRenewals(now, adopted, out);
}

void LeaseHolder::sendRenewals(Base::TimePoint now, const std::vector<Base::InstanceId> &to,
                               Commands &out)
{
    if (to.empty())
        return;
    const std::uint64_t sequence = m_grants.startRound(now);
    for (const Base::InstanceId &witness : to)
        out.push_back(SendMessage{witness, RenewLease{m_self.instance, m_term, sequence}});
}

bool LeaseHolder::isUsable(Base::TimePoint now, const Base::InstanceId &witness) const
{
    if (m_refusing.count(witness) != 0 || !m_directory.isActive(witness))
        return false;
    return !isWitness(witness) || now < m_grants.lastHeard(witness) + m_timing.witnessTimeout;
}

std::unordered_set<Base::InstanceId> LeaseHolder::excludedCandidates(Base::TimePoint now) const
{
    std::unordered_set<Base::InstanceId> excluded(m_refusing.begin(), m_refusing.end());
    for (const Base::InstanceId &witness : m_witnesses) {
        if (!isUsable(now, witness))
            excluded.insert(witness);
    }
    for (const auto &[candidate, until] : m_unreachableUntil) {
        if (now < until)
            excluded.insert(candidate);
    }
    return excluded;
}

void LeaseHolder::review(Base::TimePoint now, Commands &out)
{
    m_reviewDue = false;
    m_nextReview = now + ReviewInterval;
    m_earliestReview = now + ShortestReviewInterval;
    const WitnessChoice choice(m_self, m_directory, m_witnesses);
    const auto chosen = choice.choose(excludedCandidates(now));
    const bool isFirst = m_term == 0;
    const bool allUsable = std::all_of(m_witnesses.begin(), m_witnesses.end(),
                                       [&](const auto &w) { return isUsable(now, w); });
    const bool isBetter = choice.qualityOf(m_witnesses) < choice.qualityOf(chosen);
    if (!isFirst && ((allUsable && !isBetter) || chosen == m_witnesses || !mayReplaceWith(chosen)))
        return;
    m_change = Change{Phase::Probe, ++m_highestTerm, chosen, {}, now, now};
    advanceChange(now, out);
}

Base::TimePoint LeaseHolder::reviewTime() const
{
    return m_reviewDue ? std::min(m_earliestReview, m_nextReview) : m_nextReview;
}

bool LeaseHolder::mayReplaceWith(const std::vector<Base::InstanceId> &chosen) const
{
    if (chosen.empty()) {
        // Candidates that do not answer may only be cut off; without them there is no other side
        // that could seal this instance, but no recovery from its loss either.
        return std::none_of(m_directory.records().begin(), m_directory.records().end(),
                            [this](const auto &item) {
                                return item.first != m_self.instance.node
                                       && m_directory.isActive(item.second.instance);
                            });
    }
    // Old witnesses adopt the next term before it is in force and could promise at that term. Each
    // quorum of them must overlap each set of grants of the former term.
    return Cluster::quorumOf(chosen.size()) + leaseQuorumOf(m_witnesses.size())
           > m_witnesses.size();
}

void LeaseHolder::advanceChange(Base::TimePoint now, Commands &out)
{
    m_change->nextSend = now + ResendInterval;
    if (m_change->phase == Phase::Probe)
        advanceProbe(now, out);
    else
        advanceAdoption(now, out);
}

void LeaseHolder::advanceProbe(Base::TimePoint now, Commands &out)
{
    std::vector<Base::InstanceId> silent;
    for (const Base::InstanceId &candidate : m_change->witnesses) {
        if (!isWitness(candidate) && m_change->answered.count(candidate) == 0)
            silent.push_back(candidate);
    }
    if (silent.empty()) {
        m_change->phase = Phase::AdoptOld;
        m_change->answered.clear();
        m_change->startedAt = now;
        advanceAdoption(now, out);
        return;
    }
    if (now >= m_change->startedAt + ProbeTimeout) {
        for (const Base::InstanceId &candidate : silent)
            m_unreachableUntil[candidate] = now + UnreachableTime;
        m_change.reset();
        review(now, out);
        return;
    }
    // A renewal of an unknown term is refused by a live candidate without any effect on it.
    for (const Base::InstanceId &candidate : silent)
        out.push_back(SendMessage{candidate, RenewLease{m_self.instance, m_change->term, 0}});
}

void LeaseHolder::advanceAdoption(Base::TimePoint now, Commands &out)
{
    if (m_change->answered.size() >= leaseQuorumOf(m_witnesses.size())) {
        install(now, out);
        return;
    }
    if (now >= m_change->startedAt + AdoptionTimeout) {
        m_change.reset();
        m_reviewDue = true;
        return;
    }
    for (const Base::InstanceId &witness : m_witnesses) {
        if (m_change->answered.count(witness) == 0 && m_refusing.count(witness) == 0)
            out.push_back(SendMessage{
                witness, AdoptTerm{m_self.instance, m_change->term, m_change->witnesses}});
    }
}

void LeaseHolder::install(Base::TimePoint now, Commands &out)
{
    if (m_term != 0)
        m_formerLeaseUntil = std::min(validUntil(), now + holderPeriod(m_timing, m_rules));
    m_term = m_change->term;
    m_witnesses = m_change->witnesses;
    m_adopted = m_change->answered;
    m_change.reset();
    m_grants.reset(now, m_witnesses);
    m_installedAt = now;
    m_recordChanged = true;
    m_wasHeld = m_wasHeld || m_witnesses.empty();
    out.push_back(Base::LogLine("witnesses-changed")
                      .add("term", m_term)
                      .add("witnesses", m_witnesses.size()));
    renew(now, out);
}

void LeaseHolder::onGranted(Base::TimePoint now, const Base::InstanceId &from,
                            const LeaseGranted &message)
{
    if (message.holder != m_self.instance)
        return;
    if (m_change && m_change->phase == Phase::Probe && message.term == m_change->term)
        m_change->answered.insert(from);
    if (message.term != m_term)
        return;
    m_grants.accept(now, from, message.sequence);
    m_wasHeld = m_wasHeld || isHeld(now);
}

void LeaseHolder::onRefused(Base::TimePoint now, const Base::InstanceId &from,
                            const LeaseRefused &message, Commands &out)
{
    if (message.holder != m_self.instance)
        return;
    if (message.sealPromised) {
        m_refusing.insert(from);
        m_reviewDue = true;
    }
    if (m_change && m_change->phase == Phase::Probe && message.term == m_change->term) {
        m_change->answered.insert(from);
        advanceChange(now, out);
        return;
    }
    if (message.term == m_term) {
        m_grants.heard(now, from);
        m_adopted.erase(from);
    }
}

void LeaseHolder::onTermAdopted(Base::TimePoint now, const Base::InstanceId &from,
                                const TermAdopted &message, Commands &out)
{
    if (message.holder != m_self.instance)
        return;
    const bool isNext
        = m_change && m_change->phase == Phase::AdoptOld && message.term == m_change->term;
    // A refusal may be a late answer to a repeated message. A witness that promised the seal says
    // so when it refuses a renewal or a probe.
    if (!message.accepted)
        return;
    if (isNext && isWitness(from)) {
        m_change->answered.insert(from);
        if (m_change->answered.size() >= leaseQuorumOf(m_witnesses.size()))
            install(now, out);
        return;
    }
    if (message.term != m_term || !isWitness(from) || !m_adopted.insert(from).second)
        return;
    m_grants.heard(now, from);
    sendRenewals(now, {from}, out);
}

bool LeaseHolder::isWitness(const Base::InstanceId &id) const
{
    return std::find(m_witnesses.begin(), m_witnesses.end(), id) != m_witnesses.end();
}

bool LeaseHolder::takeRecordChange(Base::TimePoint now)
{
    if (!m_recordChanged || !isHeld(now))
        return false;
    m_recordChanged = false;
    return true;
}

Base::TimePoint LeaseHolder::validUntil() const
{
    if (m_term == 0)
        return Base::TimePoint::min();
    return std::max(m_formerLeaseUntil, m_grants.validUntil());
}

bool LeaseHolder::isLost(Base::TimePoint now) const
{
    if (m_wasHeld)
        return !isHeld(now);
    return m_term != 0 && now >= m_installedAt + m_timing.witnessTimeout;
}

Base::TimePoint LeaseHolder::nextDeadline() const
{
    const Base::TimePoint next = m_change ? m_change->nextSend : reviewTime();
    if (m_term == 0)
        return next;
    return std::min(
        {next, m_nextRenewal, m_wasHeld ? validUntil() : m_installedAt + m_timing.witnessTimeout});
}

} // namespace Medlar::Ownership
