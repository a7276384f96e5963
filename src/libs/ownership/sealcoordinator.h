#pragma once

#include "leasegrantor.h"

#include <set>

namespace Medlar::Ownership {

/*!
    Collects promises to seal holders whose grants by this witness have expired. A witness promises
   only when its grant has expired, and its own promise as proposer is the last that it collects, so
   a single witness without contact to the holder makes no promise.
*/
class SealCoordinator
{
public:
    SealCoordinator(const Settings &settings, const InstanceDirectory &directory,
                    LeaseGrantor &grantor);

    /*! Proposes seals that are due; returns the seals that need no further promise. */
    std::vector<Messages::Sealed> onTime(Base::TimePoint now, Commands &out);
    void onProposal(Base::TimePoint now, const Base::InstanceId &from,
                    const Messages::SealProposal &message, Commands &out);
    /*! Counts a promise; returns the seal when it completes a quorum. */
    std::optional<Messages::Sealed> onPromise(Base::TimePoint now, const Base::InstanceId &from,
                                              const Messages::SealPromise &message);
    void forget(const Base::InstanceId &holder) { m_attempts.erase(holder); }

    Base::TimePoint nextDeadline() const;

private:
    struct Attempt
    {
        std::uint32_t term = 0;
        std::set<Base::InstanceId> promises; //!< of other witnesses, at term
        Base::TimePoint nextProposal;
        Base::Duration interval{0};
    };

    Attempt &attemptFor(const Base::InstanceId &holder, std::uint32_t term);
    bool isSealed(Base::TimePoint now, const Base::InstanceId &holder, const WitnessDuty &duty);
    void propose(Base::TimePoint now, const Base::InstanceId &holder, const WitnessDuty &duty,
                 Commands &out);

    Base::InstanceId m_self;
    ProtocolRules m_rules;
    const InstanceDirectory &m_directory;
    LeaseGrantor &m_grantor;
    std::map<Base::InstanceId, Attempt> m_attempts;
};

} // namespace Medlar::Ownership
