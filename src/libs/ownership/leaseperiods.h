#pragma once

#include "ownershipengine.h"

namespace Medlar::Ownership {

namespace Internal {

inline Base::Duration driftOf(const LeaseTiming &timing)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, std::milli>(timing.leaseDuration) * timing.driftRate);
}

} // namespace Internal

/*!
    How long a holder uses a grant, from the time at which it sent the renewal. Both sides apply the
   drift rate, because either clock may have the error: a slow holder measures 1% too little and a
   fast grantor 1% too much.
*/
inline Base::Duration holderPeriod(const LeaseTiming &timing, const ProtocolRules &rules)
{
    const Base::Duration duration = timing.leaseDuration;
    return rules.driftMarginApplied ? duration - Internal::driftOf(timing) : duration;
}

/*! How long a grantor honours a grant, from the time at which it answers. */
inline Base::Duration grantorPeriod(const LeaseTiming &timing, const ProtocolRules &rules)
{
    const Base::Duration duration = timing.leaseDuration;
    return rules.driftMarginApplied ? duration + Internal::driftOf(timing) + timing.driftMargin
                                    : duration;
}

/*!
    Grants that hold the lease with \a witnessCount witnesses: the fewest that every quorum of
   promises overlaps. For odd counts this equals the quorum. With two witnesses one grant is enough,
   because a seal needs both promises, so a fleet of three survives the loss of any node.
*/
constexpr std::size_t leaseQuorumOf(std::size_t witnessCount)
{
    return witnessCount == 0 ? 0 : witnessCount + 1 - Cluster::quorumOf(witnessCount);
}

} // namespace Medlar::Ownership
