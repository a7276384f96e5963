#include "backlogmonitor.h"

namespace Medlar::Admission {

void BacklogMonitor::update(Base::TimePoint now, const std::string &name, const Backlog &backlog)
{
    Copied &copied = m_copied[name];
    if (!copied.backlog)
        copied.backlog = std::make_unique<ReportedBacklog>(m_registry, name);
    copied.backlog->report(now, backlog);
    copied.bounds = backlog.bounds;
    copied.isUpdated = true;
}

void BacklogMonitor::check(Base::TimePoint now)
{
    for (auto &[name, copied] : m_copied) {
        if (!copied.isUpdated)
            copied.backlog->report(now, {0, 0, {}, copied.bounds});
    }
    for (const Base::LogLine &line : m_registry.checkAlarms(now))
        m_log.write(line);

    for (auto it = m_copied.begin(); it != m_copied.end();) {
        const bool isDropped = !it->second.isUpdated && !m_registry.isAlarmed(it->first);
        it->second.isUpdated = false;
        it = isDropped ? m_copied.erase(it) : std::next(it);
    }
}

} // namespace Medlar::Admission
