#include "stragglerdetector.h"

#include <algorithm>

namespace Medlar::Balancing {

namespace {

/*! Time between probes once one was fast. */
constexpr std::chrono::milliseconds FastProbeInterval{20};

/*! How long a probe waits for a request that can be hedged. */
constexpr std::chrono::seconds HedgeablePreference{2};

/*! A recovering replica has failed before and needs less evidence to be left again. */
constexpr double RecoveringShare = 2.0 / 3.0;

} // namespace

std::string_view toString(ReplicaState state)
{
    switch (state) {
    case ReplicaState::Healthy:
        return "healthy";
    case ReplicaState::Straggling:
        return "straggling";
    case ReplicaState::Recovering:
        return "recovering";
    }
    return "unknown";
}

StragglerDetector::StragglerDetector(const StragglerSettings &settings) : m_settings(settings) {}

bool StragglerDetector::onSlow(Base::TimePoint now, double evidence, bool isProbe, bool mayLeave)
{
    if (m_state == ReplicaState::Straggling) {
        // Requests sent before the replica was left add nothing new.
        if (!isProbe)
            return false;
        m_probeInFlight = false;
        m_fastProbes = 0;
        m_probeInterval = std::min(2 * m_probeInterval, m_settings.maxProbeInterval);
        m_nextProbe = now + m_probeInterval;
        return false;
    }
    m_evidence = std::min(m_evidence + evidence, m_settings.leaveEvidence);
    const double needed = state(now) == ReplicaState::Recovering
                              ? RecoveringShare * m_settings.leaveEvidence
                              : m_settings.leaveEvidence;
    if (m_evidence < needed || !mayLeave)
        return false;
    leave(now);
    return true;
}

void StragglerDetector::leave(Base::TimePoint now)
{
    const bool again = state(now) == ReplicaState::Recovering && m_probeInterval.count() > 0;
    m_probeInterval = again ? std::min(2 * m_probeInterval, m_settings.maxProbeInterval)
                            : m_settings.firstProbeInterval;
    m_state = ReplicaState::Straggling;
    m_nextProbe = now + m_probeInterval;
    m_probeInFlight = false;
    m_fastProbes = 0;
}

bool StragglerDetector::onFast(Base::TimePoint now, bool isProbe)
{
    if (m_state != ReplicaState::Straggling) {
        m_evidence = std::max(0.0, m_evidence - 1.0);
        return false;
    }
    if (!isProbe)
        return false;
    m_probeInFlight = false;
    if (++m_fastProbes < m_settings.probesToRecover) {
        m_nextProbe = now + FastProbeInterval;
        return false;
    }
    startRecovery(now);
    return true;
}

void StragglerDetector::startRecovery(Base::TimePoint now)
{
    m_state = ReplicaState::Recovering;
    m_recoveringSince = now;
    m_evidence = 0.0;
}

void StragglerDetector::onProbeSent()
{
    m_probeInFlight = true;
}

void StragglerDetector::onProbeWithoutResult(Base::TimePoint now)
{
    m_probeInFlight = false;
    m_nextProbe = now + m_probeInterval;
}

ReplicaState StragglerDetector::state(Base::TimePoint now) const
{
    const bool recovered
        = m_state == ReplicaState::Recovering && now - m_recoveringSince >= m_settings.recoveryTime;
    return recovered ? ReplicaState::Healthy : m_state;
}

double StragglerDetector::weight(Base::TimePoint now) const
{
    switch (state(now)) {
    case ReplicaState::Healthy:
        return 1.0;
    case ReplicaState::Straggling:
        return 0.0;
    case ReplicaState::Recovering:
        break;
    }
    const double progress = std::chrono::duration<double>(now - m_recoveringSince)
                            / std::chrono::duration<double>(m_settings.recoveryTime);
    return m_settings.firstWeight + (1.0 - m_settings.firstWeight) * progress;
}

bool StragglerDetector::isProbeDue(Base::TimePoint now, bool canBeHedged) const
{
    if (m_state != ReplicaState::Straggling || m_probeInFlight)
        return false;
    return now >= m_nextProbe + (canBeHedged ? Base::Duration{0} : HedgeablePreference);
}

} // namespace Medlar::Balancing
