#pragma once

#include "base/time.h"

#include <cstdint>
#include <string_view>

namespace Medlar::Balancing {

struct StragglerSettings
{
    /*! Evidence after which a replica is left; a slow or failed request counts 1. */
    double leaveEvidence = 3.0;
    Base::Duration firstProbeInterval{std::chrono::milliseconds(200)};
    /*! Doubled up to this after each slow probe. At 2 s a replica that had recovered was still
     * avoided when the next ones became stragglers, and the rest was overloaded. */
    Base::Duration maxProbeInterval{std::chrono::milliseconds(500)};
    std::uint32_t probesToRecover = 3;                    //!< fast probes in a row
    Base::Duration recoveryTime{std::chrono::seconds(3)}; //!< from firstWeight to full weight
    double firstWeight = 0.1;
};

enum class ReplicaState { Healthy, Straggling, Recovering };

std::string_view toString(ReplicaState state);

/*!
    Decides from slow and fast requests whether one replica is a straggler. A straggler receives one
   probe at a time; after several fast ones its weight grows back gradually, so that callers do not
   return all at once.
*/
class StragglerDetector
{
public:
    explicit StragglerDetector(const StragglerSettings &settings);

    /*! A request was slow, failed or lost against its hedge. \a mayLeave is false while too many
     * replicas are stragglers already. Returns whether the replica became a straggler. */
    bool onSlow(Base::TimePoint now, double evidence, bool isProbe, bool mayLeave);

    /*! A request was not slow. Returns whether the replica began to recover. */
    bool onFast(Base::TimePoint now, bool isProbe);

    /*! Begins at the first weight, as a replica does that was unknown before. */
    void startRecovery(Base::TimePoint now);

    void onProbeSent();
    /*! The probe ended without telling anything; the next one may be sent after the interval. */
    void onProbeWithoutResult(Base::TimePoint now);

    /*! Whether it is a straggler whose last probe was fast: it has probably recovered. */
    bool wasLastProbeFast() const
    {
        return m_state == ReplicaState::Straggling && m_fastProbes > 0;
    }

    ReplicaState state(Base::TimePoint now) const;
    double evidence() const { return m_evidence; }

    /*! Share of the usual requests that the replica should receive: 0 while straggling, 1 when
     * healthy. */
    double weight(Base::TimePoint now) const;

    /*! Whether a probe should be sent. A request that cannot be hedged is used only when no other
     * has come for a while. */
    bool isProbeDue(Base::TimePoint now, bool canBeHedged) const;

private:
    void leave(Base::TimePoint now);

    StragglerSettings m_settings;
    ReplicaState m_state = ReplicaState::Healthy;
    double m_evidence = 0.0;
    Base::TimePoint m_recoveringSince;
    Base::Duration m_probeInterval{0};
    Base::TimePoint m_nextProbe;
    bool m_probeInFlight = false;
    std::uint32_t m_fastProbes = 0;
};

} // namespace Medlar::Balancing
