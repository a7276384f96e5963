#include "backlogregistry.h"

#include <algorithm>

namespace Medlar::Admission {

namespace {

double share(std::size_t used, std::size_t bound)
{
    return bound == 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(bound);
}

double severityOf(const Backlog &backlog, const BacklogAlarmLimits &limits)
{
    const double age = std::chrono::duration<double>(backlog.oldestAge).count()
                       / std::chrono::duration<double>(limits.maxAge).count();
    const double fill = std::max(share(backlog.depth, backlog.bounds.maxEntries),
                                 share(backlog.bytes, backlog.bounds.maxBytes));
    return std::max(age, fill / limits.maxFill);
}

std::chrono::milliseconds inMilliseconds(Base::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

BacklogSource::BacklogSource(BacklogRegistry &registry, const std::string &name,
                             const BacklogAlarmLimits &limits)
    : m_registry(registry), m_name(registry.add(this, name, limits))
{}

BacklogSource::~BacklogSource()
{
    m_registry.remove(this);
}

std::string BacklogRegistry::add(const BacklogSource *source, const std::string &name,
                                 const BacklogAlarmLimits &limits)
{
    std::string unique = name;
    for (int number = 2; hasName(unique); ++number)
        unique = name + '-' + std::to_string(number);
    m_records.push_back({source, limits, false, std::nullopt, {}});
    return unique;
}

void BacklogRegistry::remove(const BacklogSource *source)
{
    m_records.erase(std::remove_if(m_records.begin(), m_records.end(),
                                   [source](const Record &r) { return r.source == source; }),
                    m_records.end());
}

bool BacklogRegistry::hasName(const std::string &name) const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [&name](const Record &r) { return r.source->name() == name; });
}

bool BacklogRegistry::isAlarmed(const std::string &name) const
{
    return std::any_of(m_records.begin(), m_records.end(),
                       [&name](const Record &r) { return r.alarmed && r.source->name() == name; });
}

std::vector<BacklogEntry> BacklogRegistry::list(Base::TimePoint now) const
{
    std::vector<BacklogEntry> entries;
    entries.reserve(m_records.size());
    for (const Record &record : m_records) {
        const Backlog backlog = record.source->backlog(now);
        entries.push_back(
            {record.source->name(), backlog, severityOf(backlog, record.limits), record.alarmed});
    }
    std::stable_sort(
        entries.begin(), entries.end(),
        [](const BacklogEntry &a, const BacklogEntry &b) { return a.severity > b.severity; });
    return entries;
}

std::vector<Base::LogLine> BacklogRegistry::checkAlarms(Base::TimePoint now)
{
    std::vector<Base::LogLine> lines;
    for (Record &record : m_records) {
        const Backlog backlog = record.source->backlog(now);
        const bool exceeded = severityOf(backlog, record.limits) >= 1.0;
        if (exceeded == record.alarmed) {
            record.changedSince.reset();
            continue;
        }
        if (!record.changedSince)
            record.changedSince = now;
        if (now - *record.changedSince < record.limits.holdTime)
            continue;

        record.changedSince.reset();
        record.alarmed = exceeded;
        Base::LogLine line(exceeded ? "backlog-alarm" : "backlog-alarm-over");
        line.add("queue", record.source->name())
            .add("depth", backlog.depth)
            .add("max_depth", backlog.bounds.maxEntries)
            .add("bytes", backlog.bytes)
            .add("max_bytes", backlog.bounds.maxBytes)
            .add("oldest_ms", inMilliseconds(backlog.oldestAge));
        if (exceeded)
            record.alarmedAt = now;
        else
            line.add("lasted_ms", inMilliseconds(now - record.alarmedAt));
        lines.push_back(std::move(line));
    }
    return lines;
}

ReportedBacklog::ReportedBacklog(BacklogRegistry &registry, const std::string &name,
                                 const BacklogAlarmLimits &limits)
    : BacklogSource(registry, name, limits)
{}

void ReportedBacklog::report(Base::TimePoint now, const Backlog &backlog)
{
    m_backlog = backlog;
    m_reportedAt = now;
}

Backlog ReportedBacklog::backlog(Base::TimePoint now) const
{
    Backlog current = m_backlog;
    if (current.depth > 0)
        current.oldestAge += now - m_reportedAt;
    return current;
}

} // namespace Medlar::Admission
