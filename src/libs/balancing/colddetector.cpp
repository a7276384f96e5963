#include "colddetector.h"

#include <algorithm>

namespace Medlar::Balancing {

namespace {

/*! Connections lost within this time count as one event. */
constexpr std::chrono::milliseconds LossWindow{200};

constexpr std::uint32_t LatencyWindow = 16; //!< answered requests
constexpr std::uint32_t FailureWindow = 20; //!< requests
/*! Times the usual mean. Exponentially distributed latencies exceed it in 1 of 5,000 windows. At 3,
 * a BackendServer that the concurrency limit slowed down in time was not recognised. */
constexpr double LatencyJump = 2.0;
constexpr double FailureJump = 0.1; //!< share above the usual one
constexpr double BaselineGain = 0.05;
constexpr std::uint32_t LearningWindows = 5;

/*! Failures show at once and slow answers only when they arrive, so the two need not share a
 * window. */
constexpr std::chrono::seconds TogetherWithin{2};

} // namespace

std::string_view toString(ColdReason reason)
{
    switch (reason) {
    case ColdReason::ConnectionsLost:
        return "connections-lost";
    case ColdReason::Reconnected:
        return "reconnected";
    case ColdReason::LatencyAndFailures:
        return "latency-and-failures";
    }
    return "unknown";
}

ColdDetector::ColdDetector(Base::Duration quietTime) : m_quietTime(quietTime) {}

std::optional<ColdReason> ColdDetector::onConnectionLost(Base::TimePoint now, std::size_t open)
{
    if (now - m_lostSince > LossWindow) {
        m_lost = 0;
        m_lostSince = now;
    }
    ++m_lost;
    // Some connections may already lead to the restarted BackendServer, so most is as good as all.
    const bool most = m_lost >= 2 && m_lost >= open;
    if (open == 0)
        m_allLost = true;
    if (open > 0 && !most)
        return std::nullopt;
    return ColdReason::ConnectionsLost;
}

std::optional<ColdReason> ColdDetector::onConnectionOpened(Base::TimePoint now)
{
    if (!m_allLost)
        return std::nullopt;
    m_allLost = false;
    m_reportedAt = now;
    return ColdReason::Reconnected;
}

std::optional<ColdReason> ColdDetector::onAnswered(Base::TimePoint now, Base::Duration latency)
{
    m_latencySum += std::chrono::duration<double>(latency).count();
    if (++m_answered >= LatencyWindow)
        endLatencyWindow(now);
    m_failedInARow = 0;
    countRequest(now, false);
    return check(now);
}

std::optional<ColdReason> ColdDetector::onFailed(Base::TimePoint now)
{
    ++m_failedInARow;
    countRequest(now, true);
    return check(now);
}

void ColdDetector::endLatencyWindow(Base::TimePoint now)
{
    const double mean = m_latencySum / m_answered;
    m_answered = 0;
    m_latencySum = 0.0;
    // The first answers are the fast ones, so the usual latency is known only after some windows.
    if (m_latencyWindows >= LearningWindows && mean >= LatencyJump * m_usualLatency)
        m_latencyJumpedAt = now;
    ++m_latencyWindows;
    m_usualLatency += std::max(BaselineGain, 1.0 / m_latencyWindows) * (mean - m_usualLatency);
}

void ColdDetector::countRequest(Base::TimePoint now, bool failed)
{
    m_failed += failed ? 1 : 0;
    if (++m_requests < FailureWindow)
        return;
    const double share = static_cast<double>(m_failed) / m_requests;
    m_requests = 0;
    m_failed = 0;
    if (!m_usualFailures) {
        m_usualFailures = share;
        return;
    }
    if (share >= *m_usualFailures + FailureJump)
        m_failuresJumpedAt = now;
    *m_usualFailures += BaselineGain * (share - *m_usualFailures);
}

std::optional<ColdReason> ColdDetector::check(Base::TimePoint now)
{
    // What was seen during a ramp is its reason or its effect. Remembered until its end, it began a
    // second ramp for a BackendServer that was warm by then.
    const auto isRecent = [this, now](const std::optional<Base::TimePoint> &time) {
        return time && now - *time <= TogetherWithin
               && (!m_reportedAt || *time > *m_reportedAt + m_quietTime);
    };
    // Without any answer there is no latency; that must not hide a BackendServer that fails
    // entirely.
    const bool failsEntirely
        = m_latencyWindows >= LearningWindows && m_failedInARow >= FailureWindow;
    const bool jumped = isRecent(m_latencyJumpedAt) && isRecent(m_failuresJumpedAt);
    if (!jumped && !failsEntirely)
        return std::nullopt;
    m_failedInARow = 0;
    if (m_reportedAt && now - *m_reportedAt < m_quietTime)
        return std::nullopt;
    m_reportedAt = now;
    return ColdReason::LatencyAndFailures;
}

} // namespace Medlar::Balancing
