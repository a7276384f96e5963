#pragma once

#include "leasegrants.h"
#include "witnesschoice.h"

#include <set>

namespace Medlar::Ownership {

/*!
    The holder side of the node lease: renews it at the witnesses of the current term and replaces
   witnesses that are silent, ended or badly placed.

    A change of the witness set has three phases. Probe: the candidates must answer, so that no
   change leads to a set without contact. AdoptOld: a lease quorum of the former set adopts the next
   term, after which no quorum of promises for the former term is possible. Then the next term is
   installed: renewals of the former term end, and the new witnesses adopt the term. Witnesses that
   are asked last count a full lease from their adoption, which covers the rest of the former lease.
*/
class LeaseHolder
{
public:
    LeaseHolder(const Settings &settings, const InstanceDirectory &directory);

    void onTime(Base::TimePoint now, Commands &out);
    void onGranted(Base::TimePoint now, const Base::InstanceId &from,
                   const Messages::LeaseGranted &message);
    void onRefused(Base::TimePoint now, const Base::InstanceId &from,
                   const Messages::LeaseRefused &message, Commands &out);
    void onTermAdopted(Base::TimePoint now, const Base::InstanceId &from,
                       const Messages::TermAdopted &message, Commands &out);
    /*! Nodes were announced, removed or sealed: the choice of witnesses is due for a review. */
    void onDirectoryChanged() { m_reviewDue = true; }
    /*! Returns once for each change of term or witnesses, when the lease is held. */
    bool takeRecordChange(Base::TimePoint now);

    Base::TimePoint validUntil() const;
    bool isHeld(Base::TimePoint now) const { return now < validUntil(); }
    /*! Whether the lease was held and expired, or could not be obtained in time. */
    bool isLost(Base::TimePoint now) const;
    Base::TimePoint nextDeadline() const;
    std::uint32_t term() const { return m_term; }
    const std::vector<Base::InstanceId> &witnesses() const { return m_witnesses; }

private:
    enum class Phase { Probe, AdoptOld };

    struct Change
    {
        Phase phase = Phase::Probe;
        std::uint32_t term = 0;
        std::vector<Base::InstanceId> witnesses;
        std::set<Base::InstanceId> answered; //!< probed candidates or adopting old witnesses
        Base::TimePoint startedAt;
        Base::TimePoint nextSend;
    };

    void renew(Base::TimePoint now, Commands &out);
    void sendRenewals(Base::TimePoint now, const std::vector<Base::InstanceId> &to, Commands &out);
    void review(Base::TimePoint now, Commands &out);
    Base::TimePoint reviewTime() const;
    bool isUsable(Base::TimePoint now, const Base::InstanceId &witness) const;
    bool mayReplaceWith(const std::vector<Base::InstanceId> &chosen) const;
    std::unordered_set<Base::InstanceId> excludedCandidates(Base::TimePoint now) const;
    void advanceChange(Base::TimePoint now, Commands &out);
    void advanceProbe(Base::TimePoint now, Commands &out);
    void advanceAdoption(Base::TimePoint now, Commands &out);
    void install(Base::TimePoint now, Commands &out);
    bool isWitness(const Base::InstanceId &id) const;

    Cluster::NodeRecord m_self;
    LeaseTiming m_timing;
    ProtocolRules m_rules;
    const InstanceDirectory &m_directory;

    std::uint32_t m_term = 0;
    std::uint32_t m_highestTerm = 0; //!< terms are never used twice, also not after a failed change
    std::vector<Base::InstanceId> m_witnesses;
    std::set<Base::InstanceId> m_adopted; //!< witnesses known to have adopted the current term
    LeaseGrants m_grants;
    Base::TimePoint m_formerLeaseUntil = Base::TimePoint::min();
    Base::TimePoint m_installedAt;
    Base::TimePoint m_nextRenewal;
    bool m_wasHeld = false;
    bool m_recordChanged = false;

    bool m_reviewDue = true;
    Base::TimePoint m_earliestReview = Base::TimePoint::min();
    Base::TimePoint m_nextReview = Base::TimePoint::min();
    std::optional<Change> m_change;
    std::set<Base::InstanceId> m_refusing; //!< promised the seal of this instance
    std::map<Base::InstanceId, Base::TimePoint> m_unreachableUntil;
};

} // namespace Medlar::Ownership
