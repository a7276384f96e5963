#pragma once

#include "leaseperiods.h"

#include <deque>
#include <map>

namespace Medlar::Ownership {

/*! Counts the grants of one term and derives until when the lease holds. */
class LeaseGrants
{
public:
    LeaseGrants(const LeaseTiming &timing, const ProtocolRules &rules);

    /*! Forgets all grants; only \a witnesses count from now on. */
    void reset(Base::TimePoint now, const std::vector<Base::InstanceId> &witnesses);
    /*! Starts a round of renewals sent at \a now and returns its sequence number. */
    std::uint64_t startRound(Base::TimePoint now);
    /*! Counts a grant received at \a now; unknown senders and forgotten rounds are ignored. */
    void accept(Base::TimePoint now, const Base::InstanceId &from, std::uint64_t sequence);
    /*! Records a sign of life of a witness that is not a grant. */
    void heard(Base::TimePoint now, const Base::InstanceId &from);

    /*! Until when a lease quorum has granted; the far future without witnesses. */
    Base::TimePoint validUntil() const;
    Base::TimePoint lastHeard(const Base::InstanceId &witness) const;

private:
    struct Round
    {
        std::uint64_t sequence = 0;
        Base::TimePoint sentAt;
    };
    struct Witness
    {
        Base::TimePoint lastHeard;
        Base::TimePoint validUntil = Base::TimePoint::min();
    };

    LeaseTiming m_timing;
    ProtocolRules m_rules;
    std::uint64_t m_sequence = 0;
    std::deque<Round> m_rounds;
    std::map<Base::InstanceId, Witness> m_witnesses;
};

} // namespace Medlar::Ownership
