#include "leasegrantor.h"

#include <algorithm>

namespace Medlar::Ownership {

using namespace Messages;

LeaseGrantor::LeaseGrantor(const Settings &settings, const InstanceDirectory &directory)
    : m_self(settings.self.instance)
    , m_rules(settings.rules)
    , m_period(grantorPeriod(settings.timing, settings.rules))
    , m_directory(directory)
{}

void LeaseGrantor::onAdoptTerm(Base::TimePoint now, const Base::InstanceId &from,
                               const AdoptTerm &message, Commands &out)
{
    if (from != message.holder)
        return;
    const bool accepted = adopt(now, message);
    out.push_back(SendMessage{from, TermAdopted{message.holder, message.term, accepted}});
}

bool LeaseGrantor::adopt(Base::TimePoint now, const AdoptTerm &message)
{
    if (m_directory.isSealed(message.holder))
        return false;
    WitnessDuty &duty = m_duties[message.holder];
    if (duty.promised || message.term < duty.term)
        return false;
    if (message.term == duty.term)
        return message.witnesses == duty.witnesses;
    duty.term = message.term;
    duty.witnesses = message.witnesses;
    // The holder may still use a lease of the former term that it requested before this message,
    // so the adoption counts as a grant.
    duty.grantedUntil = std::max(duty.grantedUntil, now + m_period);
    return true;
}

void LeaseGrantor::onRenewLease(Base::TimePoint now, const Base::InstanceId &from,
                                const RenewLease &message, Commands &out)
{
    if (from != message.holder)
        return;
    if (mayGrant(message)) {
        m_duties[from].grantedUntil = now + m_period;
        out.push_back(SendMessage{from, LeaseGranted{from, message.term, message.sequence}});
        return;
    }
    const WitnessDuty *known = duty(from);
    const bool promised = m_directory.isSealed(from) || (known != nullptr && known->promised);
    out.push_back(SendMessage{from, LeaseRefused{from, message.term, message.sequence, promised}});
}

bool LeaseGrantor::mayGrant(const RenewLease &message)
{
    if (m_directory.isSealed(message.holder))
        return false;
    const WitnessDuty *known = duty(message.holder);
    if (known == nullptr)
        return !m_rules.newInstanceOnRestart;
    if (known->promised)
        return false;
    // A holder that waits for other witnesses to adopt the next term still renews the former one.
    // The grant delays the own promise at the next term in the same way.
    return message.term == known->term || message.term + 1 == known->term;
}

bool LeaseGrantor::promise(Base::TimePoint now, const Base::InstanceId &holder, std::uint32_t term)
{
    const auto found = m_duties.find(holder);
    if (found == m_duties.end()) {
        // Without memory of its grants this witness cannot know whether one is still valid.
        return !m_rules.newInstanceOnRestart;
    }
    WitnessDuty &duty = found->second;
    if (duty.term != term || !isMember(duty))
        return false;
    if (!duty.promised && now < duty.grantedUntil)
        return false;
    duty.promised = true;
    return true;
}

const WitnessDuty *LeaseGrantor::duty(const Base::InstanceId &holder) const
{
    const auto found = m_duties.find(holder);
    return found == m_duties.end() ? nullptr : &found->second;
}

bool LeaseGrantor::isMember(const WitnessDuty &duty) const
{
    return std::find(duty.witnesses.begin(), duty.witnesses.end(), m_self) != duty.witnesses.end();
}

} // namespace Medlar::Ownership
