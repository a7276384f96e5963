#pragma once

#include "instancedirectory.h"
#include "leaseperiods.h"

namespace Medlar::Ownership {

/*! What this instance knows as a witness of one holder. */
struct WitnessDuty
{
    std::uint32_t term = 0;
    std::vector<Base::InstanceId> witnesses;
    /*! End of the last grant, or of the first period after the adoption of a term. */
    Base::TimePoint grantedUntil;
    bool promised = false; //!< final: no grant and no later term afterwards
};

/*! The witness side of leases: adopts terms, grants renewals and keeps promises. */
class LeaseGrantor
{
public:
    LeaseGrantor(const Settings &settings, const InstanceDirectory &directory);

    void onAdoptTerm(Base::TimePoint now, const Base::InstanceId &from,
                     const Messages::AdoptTerm &message, Commands &out);
    void onRenewLease(Base::TimePoint now, const Base::InstanceId &from,
                      const Messages::RenewLease &message, Commands &out);
    /*!
        Promises the seal of \a holder at \a term if the own grant has expired; returns whether the
       promise is given, also when it was given before.
    */
    bool promise(Base::TimePoint now, const Base::InstanceId &holder, std::uint32_t term);
    /*! Ends the duty for a sealed holder. */
    void forget(const Base::InstanceId &holder) { m_duties.erase(holder); }

    const WitnessDuty *duty(const Base::InstanceId &holder) const;
    const std::map<Base::InstanceId, WitnessDuty> &duties() const { return m_duties; }
    /*! Whether this instance is in the witness set of \a duty. */
    bool isMember(const WitnessDuty &duty) const;

private:
    bool adopt(Base::TimePoint now, const Messages::AdoptTerm &message);
    bool mayGrant(const Messages::RenewLease &message);

    Base::InstanceId m_self;
    ProtocolRules m_rules;
    Base::Duration m_period;
    const InstanceDirectory &m_directory;
    std::map<Base::InstanceId, WitnessDuty> m_duties;
};

} // namespace Medlar::Ownership
