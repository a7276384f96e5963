#include "backendlife.h"

namespace Medlar::Relay {

namespace {

// One BackendServer at a time uses the address of a VM; more ids than this come from faulty
// reports.
constexpr std::size_t MaxRemembered = 64;

} // namespace

std::string BackendLife::incarnationOf(const std::string &backend, std::uint64_t life)
{
    return backend + '/' + std::to_string(life);
}

BackendLife::Report BackendLife::onHeartbeat(const BackendReport &report, bool isServiceConfigured)
{
    const bool isKnown = !m_incarnation.empty();
    const bool isNew = !isKnown || report.backend != m_last.backend || report.life != m_last.life;
    // An incarnation never changes its service.
    if (isNew ? !isServiceConfigured : report.service != m_last.service)
        return Report::Foreign;
    if (isKnown && (isNew ? report.life < m_last.life : report.sequence < m_last.sequence))
        return Report::Stale;
    m_last = report;
    if (!isNew)
        return Report::Known;
    m_incarnation = incarnationOf(report.backend, report.life);
    if (m_leftWithoutLife == report.backend)
        remember(m_incarnation);
    m_leftWithoutLife.clear();
    return Report::NewIncarnation;
}

void BackendLife::onLeave(const std::string &backend, std::uint64_t life)
{
    if (life != 0)
        remember(incarnationOf(backend, life));
    else if (backend == m_last.backend)
        remember(m_incarnation);
    else if (m_incarnation.empty())
        m_leftWithoutLife = backend;
}

void BackendLife::onLeaveReported(const std::string &incarnation)
{
    remember(incarnation);
}

void BackendLife::remember(const std::string &incarnation)
{
    if (!incarnation.empty() && m_left.size() < MaxRemembered)
        m_left.insert(incarnation);
}

} // namespace Medlar::Relay
