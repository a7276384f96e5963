#include "plannerreporter.h"

#include "placement/ratechange.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace Medlar::Daemon {

namespace {

constexpr std::size_t MaxReportedHotKeys = 32;

/*! Of a node's requests. Keys with less are far from being split off, and which of them are among
 * the most frequent ones changes with every report. */
constexpr double MinimumHotKeyShare = 0.01;

/*! Two counts of the same rate differ by more than this once in about 700 comparisons. With 3
 * nearly every report of 40 slots had a change. */
constexpr double ReportedDeviations = 4.5;

bool isSame(const std::vector<Messages::SlotEpoch> &a, const std::vector<Messages::SlotEpoch> &b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const auto &x, const auto &y) {
        return x.slot == y.slot && x.epoch == y.epoch;
    });
}

std::vector<Messages::SlotWeight>
heaviest(const std::unordered_map<Cluster::SlotId, std::uint64_t> &counts, std::size_t limit)
{
    std::vector<Messages::SlotWeight> result;
    result.reserve(counts.size());
    for (const auto &[slot, requests] : counts)
        result.push_back({slot, requests});
    std::sort(result.begin(), result.end(), [](const auto &a, const auto &b) {
        return a.requests != b.requests ? a.requests > b.requests : a.slot < b.slot;
    });
    if (result.size() > limit)
        result.resize(limit);
    return result;
}

} // namespace

Base::TimePoint PlannerReporter::nextWindowEnd(Base::TimePoint now) const
{
    const Base::Duration interval = m_settings.loadInterval;
    return now + interval - (now - m_settings.windowStart) % interval;
}

void PlannerReporter::addLoad(Base::TimePoint now,
                              const std::vector<Messages::LoadSummary> &summaries)
{
    if (!m_nextLoad && !summaries.empty())
        m_nextLoad = nextWindowEnd(now);
    for (const Messages::LoadSummary &summary : summaries) {
        Load &load = m_load.try_emplace(summary.service, Load{now - summary.window, 0, {}, {}})
                         .first->second;
        load.requests += summary.requests;
        for (const Messages::SlotWeight &slot : summary.slots)
            load.slots[slot.slot] += slot.requests;
        for (const Messages::SlotWeight &key : summary.hotKeys)
            load.hotKeys[key.slot] += key.requests;
    }
}

std::vector<Messages::PeerMessage> PlannerReporter::takeDue(Base::TimePoint now,
                                                            const Base::InstanceId &self,
                                                            const Base::InstanceId &planner,
                                                            const Served &served)
{
    std::vector<Messages::PeerMessage> messages;
    // While the planner can't be reached, repeats are not due more often than other reports.
    const bool isRepeated = (m_mustRepeat && now >= m_nextServed) || now >= m_nextRepeat;
    if (m_planner != planner || isRepeated) {
        m_reported.clear();
        forgetReportedLoad();
        m_mustRepeat = false;
        m_nextServed = now;
        m_nextRepeat = now + m_settings.repeatInterval;
        m_planner = planner;
    }
    if (m_nextLoad && now >= *m_nextLoad) {
        m_nextLoad = nextWindowEnd(now);
        appendLoad(now, self, messages);
    }
    if (now < m_nextServed)
        return messages;
    for (const auto &[table, slots] : served) {
        Messages::SlotsServed report{self, table, {}};
        for (const Ownership::ServedSlot &slot : slots)
            report.slots.push_back({slot.slot, slot.epoch});
        std::vector<Messages::SlotEpoch> &reported = m_reported[table];
        if (isSame(reported, report.slots))
            continue;
        rememberServed(now, table, report.slots);
        reported = report.slots;
        m_nextServed = now + m_settings.servedInterval;
        messages.emplace_back(std::move(report));
    }
    return messages;
}

void PlannerReporter::appendLoad(Base::TimePoint now, const Base::InstanceId &self,
                                 std::vector<Messages::PeerMessage> &messages)
{
    for (auto &[service, load] : m_load) {
        const auto window = std::chrono::duration_cast<std::chrono::milliseconds>(now - load.since);
        if (window < m_settings.loadInterval / 2) {
            // The service began in the middle of a window; a short one says little.
            load = {now, 0, {}, {}};
            continue;
        }
        const double seconds = std::chrono::duration<double>(window).count();
        // The planner does not use the rate of a slot that moved inside the window. It must not
        // count as reported either, or the whole rate would be missing until the next repeat.
        const ServedTimes &times = m_servedTimes[service];
        for (Counts *counts : {&load.slots, &load.hotKeys}) {
            for (auto it = counts->begin(); it != counts->end();)
                it = isServedSince(times, it->first, load.since) ? std::next(it)
                                                                 : counts->erase(it);
        }
        ReportedLoad &reported = m_reportedLoad[service];
        Messages::LoadSummary summary{
            self,
            service,
            window,
            changed(heaviest(load.slots, load.slots.size()), load.slots, seconds, reported.slots),
            changed(heaviest(frequent(load), MaxReportedHotKeys), load.hotKeys, seconds,
                    reported.hotKeys),
            load.requests};
        if (!summary.slots.empty() || !summary.hotKeys.empty())
            messages.emplace_back(std::move(summary));
        load = {now, 0, {}, {}};
    }
}

void PlannerReporter::rememberServed(Base::TimePoint now, const std::string &table,
                                     const std::vector<Messages::SlotEpoch> &slots)
{
    const ServedTimes earlier = std::exchange(m_servedTimes[table], {});
    for (const Messages::SlotEpoch &slot : slots) {
        const auto known = earlier.find(slot.slot);
        const bool isSame = known != earlier.end() && known->second.epoch == slot.epoch;
        m_servedTimes[table][slot.slot] = {slot.epoch, isSame ? known->second.since : now};
    }
}

// Slots that were never reported as served, and keys without an entry of their own, are not known.
bool PlannerReporter::isServedSince(const ServedTimes &times, Cluster::SlotId slot,
                                    Base::TimePoint begin) const
{
    const auto found = times.find(slot);
    return found == times.end() || found->second.since <= begin + m_settings.servedInterval;
}

PlannerReporter::Counts PlannerReporter::frequent(const Load &load)
{
    Counts result;
    for (const auto &[key, requests] : load.hotKeys) {
        if (double(requests) >= MinimumHotKeyShare * double(load.requests))
            result.emplace(key, requests);
    }
    return result;
}

// The candidates, and all that were reported before, as far as their rate changed.
std::vector<Messages::SlotWeight>
PlannerReporter::changed(std::vector<Messages::SlotWeight> candidates, const Counts &counts,
                         double window, Rates &reported)
{
    std::unordered_set<Cluster::SlotId> listed;
    for (const Messages::SlotWeight &weight : candidates)
        listed.insert(weight.slot);
    for (const auto &[slot, rate] : reported) {
        if (listed.count(slot) != 0)
            continue;
        const auto count = counts.find(slot);
        candidates.push_back({slot, count == counts.end() ? 0 : count->second});
    }

    std::vector<Messages::SlotWeight> result;
    for (const Messages::SlotWeight &weight : candidates) {
        const double rate = double(weight.requests) / window;
        const auto [known, isNew] = reported.try_emplace(weight.slot, rate);
        // A negative rate marks one that is to be repeated.
        const bool isChanged
            = isNew || known->second < 0.0
              || Placement::isSignificantChange(known->second, rate, window, ReportedDeviations);
        if (!isChanged)
            continue;
        known->second = rate;
        result.push_back(weight);
        if (weight.requests == 0)
            reported.erase(known);
    }
    return result;
}

// Rates that are no longer counted have to be reported once more, as zero.
void PlannerReporter::forgetReportedLoad()
{
    for (auto &[service, load] : m_reportedLoad) {
        for (auto &[slot, rate] : load.slots)
            rate = -1.0;
        for (auto &[key, rate] : load.hotKeys)
            rate = -1.0;
    }
}

} // namespace Medlar::Daemon
