#include "loadtracker.h"

#include "ratechange.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Medlar::Placement {

namespace {

using Seconds = std::chrono::duration<double>;

// Averages below this rate are forgotten, which bounds the number of remembered keys.
constexpr double NegligibleRate = 0.01;

/*! A deviation that chance causes once in 16,000 comparisons. */
constexpr double SignificantDeviations = 4.0;

/*! After the first report, until all nodes have reported at least once, also those whose windows
 * end at other times. Slots that are still missing then are idle. */
constexpr std::chrono::milliseconds AllReported{11000};

/*! From the begin of serving until the planner has been told. Nodes leave out what they did not
 * serve for the whole window. */
constexpr std::chrono::milliseconds ReportDelay{1500};

/*! Windows end at the same time on all nodes; reports arrive within this time. */
constexpr std::chrono::milliseconds BatchTime{1000};

/*! From the planning of an entry until its owner serves under it. Afterwards the write counts as
 * failed. */
constexpr std::chrono::milliseconds LongestChange{5000};

} // namespace

LoadTracker::LoadTracker(const HotKeyPolicy &policy) : m_policy(policy) {}

bool LoadTracker::ServiceLoad::servedSince(Cluster::SlotId slot, const Base::InstanceId &instance,
                                           Base::TimePoint begin, Base::TimePoint now) const
{
    const auto found = servers.find(slot);
    if (found == servers.end())
        return true;
    const Server &server = found->second;
    const bool isChanging = server.epoch < server.planned && now - server.plannedAt < LongestChange;
    return !isChanging && server.instance == instance && server.since <= begin + ReportDelay;
}

bool LoadTracker::ServiceLoad::servesSlotOf(Cluster::SlotId key,
                                            const Base::InstanceId &instance) const
{
    if (slotCount == 0)
        return true;
    const auto found = servers.find((key & ~Cluster::HotKeyBit) % slotCount);
    return found == servers.end() || found->second.instance == instance;
}

void LoadTracker::ServiceLoad::splitKeys(Cluster::SlotId slot,
                                         const std::vector<Cluster::SlotId> &hotKeys)
{
    for (const Cluster::SlotId key : hotKeys) {
        const auto rate = keys.find(key);
        if (!split.insert(key).second || rate == keys.end())
            continue;
        slots[key] = rate->second;
        Average &rest = slots[slot];
        rest.rate = std::max(rest.rate - rate->second.rate, 0.0);
    }
}

void LoadTracker::ServiceLoad::mergeKeys(Cluster::SlotId slot,
                                         const std::vector<Cluster::SlotId> &hotKeys)
{
    for (auto it = split.begin(); it != split.end();) {
        const Cluster::SlotId key = *it;
        const bool isMerged = (key & ~Cluster::HotKeyBit) % slotCount == slot
                              && std::find(hotKeys.begin(), hotKeys.end(), key) == hotKeys.end();
        if (!isMerged) {
            ++it;
            continue;
        }
        slots[slot].rate += slots[key].rate;
        slots.erase(key);
        servers.erase(key);
        it = split.erase(it);
    }
}

void LoadTracker::onSummary(Base::TimePoint now, const Messages::LoadSummary &summary)
{
    const double window = Seconds(summary.window).count();
    if (window <= 0.0)
        return;

    ServiceLoad &load = m_services[summary.service];
    if (now - load.latest > BatchTime)
        load.batchStarted = now;
    load.latest = std::max(load.latest, now);
    if (load.started == Base::TimePoint())
        load.started = now;
    const Base::TimePoint begin = now - summary.window;
    for (const Messages::SlotWeight &slot : summary.slots) {
        if (load.servedSince(slot.slot, summary.instance, begin, now))
            update(load.slots[slot.slot], now, double(slot.requests) / window, window);
    }
    for (const Messages::SlotWeight &key : summary.hotKeys) {
        // The slot of a key without an entry of its own may have moved. What its present server
        // counted is enough to decide whether to split the key off; what the former one counted
        // would replace it by a lower rate.
        const bool hasEntry = load.split.count(key.slot) != 0;
        if (hasEntry ? load.servedSince(key.slot, summary.instance, begin, now)
                     : load.servesSlotOf(key.slot, summary.instance))
            update(load.keys[key.slot], now, double(key.requests) / window, window);
    }
}

void LoadTracker::onServed(Base::TimePoint now, const Messages::SlotsServed &served)
{
    ServiceLoad &load = m_services[served.service];
    for (const Messages::SlotEpoch &slot : served.slots) {
        const auto [known, isFirst] = load.servers.try_emplace(slot.slot);
        Server &server = known->second;
        if (isFirst) {
            // A planner that has just started; nothing tells that the slot moved recently.
            server.since = Base::TimePoint::min();
            if ((slot.slot & Cluster::HotKeyBit) != 0)
                load.split.insert(slot.slot);
        } else if (slot.epoch < server.epoch
                   || (server.instance == served.instance && server.epoch == slot.epoch)) {
            continue;
        } else {
            server.since = now;
        }
        server.instance = served.instance;
        server.epoch = slot.epoch;
    }
}

void LoadTracker::onPlanned(Base::TimePoint now, const std::string &service,
                            std::uint32_t slotCount,
                            const std::vector<Cluster::SlotAssignment> &changed)
{
    ServiceLoad &load = m_services[service];
    load.slotCount = slotCount;
    for (const Cluster::SlotAssignment &assignment : changed) {
        Server &server = load.servers[assignment.slot];
        server.planned = assignment.entry.epoch;
        server.plannedAt = now;
        if ((assignment.slot & Cluster::HotKeyBit) != 0)
            continue;
        load.mergeKeys(assignment.slot, assignment.entry.hotKeys);
        load.splitKeys(assignment.slot, assignment.entry.hotKeys);
    }
}

void LoadTracker::updateHotKeys(const std::string &service, std::size_t nodeCount)
{
    ServiceLoad &load = m_services[service];
    double total = 0.0;
    for (const auto &[slot, average] : load.slots)
        total += faded(average, load.latest);
    const double nodeShare = nodeCount == 0 ? 0.0 : total / double(nodeCount);

    std::vector<std::pair<double, Cluster::SlotId>> candidates;
    for (auto key = load.keys.begin(); key != load.keys.end();) {
        const double rate = faded(key->second, load.latest);
        if (rate < NegligibleRate) {
            key = load.keys.erase(key);
            continue;
        }
        const bool wasHot = load.hot.count(key->first) != 0;
        const double share = wasHot ? m_policy.mergeShare : m_policy.splitShare;
        const double minimum = m_policy.minimumRate * share / m_policy.splitShare;
        if (rate >= std::max(nodeShare * share, minimum))
            candidates.emplace_back(rate, key->first);
        ++key;
    }
    std::sort(candidates.rbegin(), candidates.rend());
    if (candidates.size() > m_policy.maxHotKeys)
        candidates.resize(m_policy.maxHotKeys);

    load.hot.clear();
    for (const auto &[rate, key] : candidates)
        load.hot.insert(key);
}

bool LoadTracker::isReceiving(const std::string &service, Base::TimePoint now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end() && now - found->second.batchStarted < BatchTime;
}

std::unordered_map<Cluster::SlotId, double> LoadTracker::slotWeights(const std::string &service,
                                                                     Base::TimePoint now) const
{
    std::unordered_map<Cluster::SlotId, double> result;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return result;
    const ServiceLoad &load = found->second;
    if (load.started != Base::TimePoint() && now - load.started >= AllReported) {
        for (const auto &[slot, server] : load.servers)
            result.emplace(slot, m_policy.minimumSlotRate);
    }
    for (const auto &[slot, average] : load.slots)
        result[slot] = std::max(m_policy.minimumSlotRate, faded(average, load.latest));
    return result;
}

std::unordered_map<Cluster::SlotId, double> LoadTracker::hotKeys(const std::string &service) const
{
    std::unordered_map<Cluster::SlotId, double> result;
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return result;
    for (const Cluster::SlotId key : found->second.hot) {
        const auto average = found->second.keys.find(key);
        if (average != found->second.keys.end())
            result[key] = faded(average->second, found->second.latest);
    }
    return result;
}

void LoadTracker::update(Average &average, Base::TimePoint now, double rate, double window) const
{
    // A change beyond what chance explains is taken over at once, so that a key that becomes hot is
    // not averaged with its past.
    const bool isNew = average.updated == Base::TimePoint();
    const bool hasChanged = isSignificantChange(average.rate, rate, window, SignificantDeviations);
    const double kept
        = isNew || hasChanged ? 0.0 : std::exp2(-window / Seconds(m_policy.halfLife).count());
    average = {kept * average.rate + (1.0 - kept) * rate, now};
}

double LoadTracker::faded(const Average &average, Base::TimePoint now) const
{
    const Base::TimePoint stale = average.updated + m_policy.staleAfter;
    if (now <= stale)
        return average.rate;
    const double halfLives = Seconds(now - stale).count() / Seconds(m_policy.halfLife).count();
    return average.rate * std::exp2(-halfLives);
}

} // namespace Medlar::Placement
