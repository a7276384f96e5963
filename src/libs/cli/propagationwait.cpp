#include "propagationwait.h"

#include "fleetview.h"

#include <algorithm>

namespace Medlar::Cli {

using std::chrono::milliseconds;

namespace {

// Bounds how long a node that joins or ends during the wait goes unnoticed.
constexpr milliseconds LongestWatch{1'000};

// Pause after a failed call, so that a store outage is not answered with a flood of calls.
constexpr milliseconds RetryPause{200};

struct Progress
{
    std::size_t zones = 0;
    std::vector<std::string> behind; //!< zones
    std::string text;
    Report report;
};

Progress progressOf(const FleetView &view, std::uint64_t version)
{
    Progress progress;
    progress.report.addTable("zones", {"zone", "lowest_version", "lagging"});
    std::string waiting;
    for (const std::string &zone : view.liveZones()) {
        ++progress.zones;
        const auto status = view.statuses.find(zone);
        const bool isKnown = status != view.statuses.end();
        const std::uint64_t lowest = isKnown ? status->second.lowestVersion : 0;
        std::vector<std::string> lagging;
        if (isKnown) {
            for (const Base::InstanceId &instance : status->second.lagging)
                lagging.push_back(instance.toString());
        }
        progress.report.addRow(
            {zone, isKnown ? nlohmann::ordered_json(lowest) : nlohmann::ordered_json(), lagging});
        if (lowest >= version)
            continue;
        progress.behind.push_back(zone);
        waiting += (waiting.empty() ? "" : ", ") + zone + " at "
                   + (isKnown ? std::to_string(lowest) : std::string("unknown"));
        for (const std::string &instance : lagging)
            waiting += " " + instance;
    }
    if (progress.zones == 0) {
        progress.text = "version " + std::to_string(version) + ": no zone has live nodes";
        return progress;
    }
    progress.text = "version " + std::to_string(version) + ": in force in "
                    + std::to_string(progress.zones - progress.behind.size()) + " of "
                    + std::to_string(progress.zones) + " zones"
                    + (waiting.empty() ? "" : "; waiting for " + waiting);
    return progress;
}

class Waiter
{
public:
    Waiter(CommandContext &context, std::uint64_t version)
        : m_context(context)
        , m_version(version)
        , m_deadline(context.environment.now()
                     + context.options.timeout.value_or(DefaultWaitTimeout))
    {}

    CommandResult run()
    {
        while (true) {
            const auto view = readFleet(*m_context.store);
            if (view) {
                m_progress = progressOf(*view, m_version);
                show(m_progress.text);
                if (m_progress.behind.empty())
                    return finished();
            } else {
                show(view.error().message);
            }
            const milliseconds left = remaining();
            if (left.count() <= 0)
                return view ? timedOut() : unknown(view.error());
            if (view)
                waitForStatus(view->statusRevision, std::min(left, LongestWatch));
            else
                m_context.environment.sleep(std::min(left, RetryPause));
        }
    }

private:
    milliseconds remaining() const
    {
        return std::chrono::duration_cast<milliseconds>(m_deadline - m_context.environment.now());
    }

    void waitForStatus(Store::Version after, milliseconds timeout)
    {
        const auto result
            = m_context.store->watch(StatusPrefix, std::max(after, m_watchFrom), timeout);
        if (result)
            return;
        // Changes that the store no longer has are seen by listing again.
        if (result.error().code == Store::StoreErrorCode::NotFound)
            m_watchFrom = result.error().currentVersion;
        m_context.environment.sleep(std::min(remaining(), RetryPause));
    }

    void show(const std::string &text)
    {
        if (text != m_shown)
            m_context.environment.err << text << '\n';
        m_shown = text;
    }

    Report finished() const
    {
        Report report = m_progress.report;
        report.add("version", m_version).add("in_force", true);
        return report;
    }

    CommandResult unknown(const CommandError &error) const
    {
        return fail(error.code,
                    "version " + std::to_string(m_version)
                        + " is applied, but where it is in force is unknown: " + error.message,
                    Report().add("version", m_version));
    }

    CommandResult timedOut() const
    {
        std::string zones;
        for (const std::string &zone : m_progress.behind)
            zones += (zones.empty() ? "" : ", ") + zone;
        Report report = m_progress.report;
        report.add("version", m_version).add("in_force", false);
        return fail(ExitCode::NotInForce,
                    "version " + std::to_string(m_version) + " is applied but not yet in force in "
                        + zones,
                    std::move(report));
    }

    CommandContext &m_context;
    std::uint64_t m_version;
    Base::TimePoint m_deadline;
    Store::Version m_watchFrom = 0;
    Progress m_progress;
    std::string m_shown;
};

} // namespace

CommandResult waitUntilInForce(CommandContext &context, std::uint64_t version)
{
    return Waiter(context, version).run();
}

} // namespace Medlar::Cli
