#include "sealcoordinator.h"

#include <algorithm>

namespace Medlar::Ownership {

using namespace std::chrono_literals;
using namespace Messages;

namespace {

/*! The grants of a set end within a few milliseconds of each other, so a refused proposal is soon
 * repeated; the interval then doubles, as the holder is then usually alive. */
constexpr Base::Duration FirstProposalInterval = 10ms;
constexpr Base::Duration LongestProposalInterval = 1s;

} // namespace

SealCoordinator::SealCoordinator(const Settings &settings, const InstanceDirectory &directory,
                                 LeaseGrantor &grantor)
    : m_self(settings.self.instance)
    , m_rules(settings.rules)
    , m_directory(directory)
    , m_grantor(grantor)
{}

std::vector<Sealed> SealCoordinator::onTime(Base::TimePoint now, Commands &out)
{
    std::vector<Sealed> decided;
    for (const auto &[holder, duty] : m_grantor.duties()) {
        if (now < duty.grantedUntil || !m_grantor.isMember(duty))
            continue;
        Attempt &attempt = attemptFor(holder, duty.term);
        // A renewal in between starts a new series of proposals.
        if (attempt.nextProposal < duty.grantedUntil)
            attempt.interval = FirstProposalInterval;
        if (isSealed(now, holder, duty))
            decided.push_back({holder, SealReason::LeaseExpired});
        else if (now >= attempt.nextProposal)
            propose(now, holder, duty, out);
    }
    return decided;
}

void SealCoordinator::propose(Base::TimePoint now, const Base::InstanceId &holder,
                              const WitnessDuty &duty, Commands &out)
{
    Attempt &attempt = attemptFor(holder, duty.term);
    attempt.nextProposal = now + attempt.interval;
    attempt.interval = std::min(2 * attempt.interval, LongestProposalInterval);
    for (const Base::InstanceId &witness : duty.witnesses) {
        if (witness != m_self && attempt.promises.count(witness) == 0)
            out.push_back(SendMessage{witness, SealProposal{holder, duty.term}});
    }
}

void SealCoordinator::onProposal(Base::TimePoint now, const Base::InstanceId &from,
                                 const SealProposal &message, Commands &out)
{
    if (m_directory.isSealed(message.instance))
        return;
    const WitnessDuty *duty = m_grantor.duty(message.instance);
    const bool isWitness = duty == nullptr
                           || std::find(duty->witnesses.begin(), duty->witnesses.end(), from)
                                  != duty->witnesses.end();
    const bool promised = isWitness && m_grantor.promise(now, message.instance, message.term);
    out.push_back(SendMessage{from, SealPromise{message.instance, message.term, promised}});
}

std::optional<Sealed> SealCoordinator::onPromise(Base::TimePoint now, const Base::InstanceId &from,
                                                 const SealPromise &message)
{
    const WitnessDuty *duty = m_grantor.duty(message.instance);
    if (!message.promised || duty == nullptr || duty->term != message.term
        || std::find(duty->witnesses.begin(), duty->witnesses.end(), from) == duty->witnesses.end())
        return {};
    attemptFor(message.instance, message.term).promises.insert(from);
    if (!isSealed(now, message.instance, *duty))
        return {};
    return Sealed{message.instance, SealReason::LeaseExpired};
}

bool SealCoordinator::isSealed(Base::TimePoint now, const Base::InstanceId &holder,
                               const WitnessDuty &duty)
{
    const std::size_t quorum
        = m_rules.takeoverNeedsPromises ? Cluster::quorumOf(duty.witnesses.size()) : 1;
    const std::size_t others = attemptFor(holder, duty.term).promises.size();
    if (others >= quorum)
        return true;
    return others + 1 >= quorum && m_grantor.promise(now, holder, duty.term);
}

SealCoordinator::Attempt &SealCoordinator::attemptFor(const Base::InstanceId &holder,
                                                      std::uint32_t term)
{
    Attempt &attempt = m_attempts[holder];
    if (attempt.term != term)
        attempt = Attempt{term, {}, {}, FirstProposalInterval};
    return attempt;
}

Base::TimePoint SealCoordinator::nextDeadline() const
{
    Base::TimePoint next = Base::TimePoint::max();
    for (const auto &[holder, duty] : m_grantor.duties()) {
        if (!m_grantor.isMember(duty))
            continue;
        Base::TimePoint due = duty.grantedUntil;
        const auto attempt = m_attempts.find(holder);
        if (attempt != m_attempts.end() && attempt->second.term == duty.term)
            due = std::max(due, attempt->second.nextProposal);
        next = std::min(next, due);
    }
    return next;
}

} // namespace Medlar::Ownership
