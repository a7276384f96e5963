#include "placementexperiment.h"

#include "cluster/clustercodec.h"
#include "hashplacements.h"
#include "keypopulation.h"
#include "placement/loadtracker.h"
#include "placement/slotplanner.h"
#include "reporttraffic.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Medlar::Experiments {

using Cluster::SlotAssignment;
using Cluster::SlotId;
using nlohmann::json;

namespace {

constexpr std::size_t RingPointsPerNode = 100;
constexpr std::size_t MovedKeySamples = 100000;
constexpr std::size_t MaxPlanningRounds = 20;
constexpr std::size_t ReportedHotKeys = 256; // more than LoadTracker splits off

// What one event did to one way of placing keys.
struct Outcome
{
    double imbalance = 0.0;   // highest load over mean
    double movedRate = 0.0;   // requests/s whose owner changed
    double minimumRate = 0.0; // requests/s that had to move
    double planMilliseconds = 0.0;
    std::size_t rounds = 0;

    double movedRatio() const { return minimumRate > 0.0 ? movedRate / minimumRate : 0.0; }
};

json toJson(const std::string &event, const Outcome &outcome)
{
    return {{"event", event},
            {"imbalance", outcome.imbalance},
            {"moved_rate", outcome.movedRate},
            {"minimum_rate", outcome.minimumRate},
            {"moved_ratio", outcome.movedRatio()},
            {"plan_ms", outcome.planMilliseconds},
            {"rounds", outcome.rounds}};
}

struct FleetNode
{
    std::string name;
    std::string zone;
    bool accepts = true;
};

// Slots planned by the product's planner, as the daemon runs it.
class PlannedFleet
{
public:
    PlannedFleet(const PlacementOptions &options, const KeyPopulation &keys)
        : m_keys(keys), m_table(*Cluster::SlotTable::create("experiment", options.slots))
    {}

    Outcome plan(const std::vector<FleetNode> &nodes)
    {
        Placement::PlanInput input;
        input.table = &m_table;
        for (const FleetNode &node : nodes)
            input.nodes.push_back({{node.name, 1}, "region", node.zone, 1.0, node.accepts});
        for (const std::string &name : lost)
            input.sealed.insert({name, 1});
        input.limits.maxBalancingMoves = m_table.slotCount();

        const std::unordered_map<std::uint64_t, std::string> before = ownersOfKeys();
        Outcome outcome;
        for (; outcome.rounds < MaxPlanningRounds; ++outcome.rounds) {
            reportLoad(input, nodes.size());
            input.settled = m_settled;
            const auto start = std::chrono::steady_clock::now();
            const Placement::Plan plan = Placement::planSlots(input);
            const std::chrono::duration<double, std::milli> elapsed
                = std::chrono::steady_clock::now() - start;
            outcome.planMilliseconds = std::max(outcome.planMilliseconds, elapsed.count());
            if (plan.changed.empty())
                break;
            for (const SlotAssignment &assignment : plan.changed) {
                m_table.merge(assignment);
                m_settled[assignment.slot] = assignment.entry.epoch;
            }
        }
        measure(nodes, before, outcome);
        return outcome;
    }

    std::size_t stateBytes() const
    {
        std::size_t bytes = 0;
        for (std::uint32_t chunk = 0; chunk < m_table.chunkCount(); ++chunk)
            bytes += Cluster::encodeChunk({"experiment", m_table.slotCount(), m_table.chunk(chunk)})
                         .size();
        return bytes;
    }

    std::vector<std::string> lost;

private:
    // The first owner that is not lost, as the daemons see it.
    std::string ownerOf(std::uint64_t keyHash) const
    {
        const Cluster::SlotEntry *entry = m_table.entry(m_table.slotFor(keyHash));
        if (!entry)
            return {};
        for (const auto &owner : entry->owners) {
            if (std::find(lost.begin(), lost.end(), owner.node) == lost.end())
                return owner.node;
        }
        return {};
    }

    std::unordered_map<std::uint64_t, std::string> ownersOfKeys() const
    {
        std::unordered_map<std::uint64_t, std::string> result;
        for (const auto &key : m_keys.frequentKeys()) {
            const Cluster::SlotEntry *entry = m_table.entry(m_table.slotFor(key.hash));
            result[key.hash] = entry ? entry->owners.front().node : std::string();
        }
        for (SlotId slot = 0; slot < m_table.slotCount(); ++slot) {
            const Cluster::SlotEntry *entry = m_table.entry(slot);
            result[slot | Cluster::HotKeyBit] = entry ? entry->owners.front().node : std::string();
        }
        return result;
    }

    void reportLoad(Placement::PlanInput &input, std::size_t nodeCount)
    {
        Messages::LoadSummary summary{
            {"reporter", 1}, "experiment", std::chrono::seconds(1000), {}, {}, 0};
        // Rates times a window of 1,000 s, so that slow slots do not round to zero.
        constexpr double Window = 1000.0;
        const double rest = m_keys.restRate() / double(m_table.slotCount());
        std::vector<double> slots(m_table.slotCount(), rest);
        for (const auto &key : m_keys.frequentKeys())
            slots[m_table.baseSlot(key.hash)] += key.rate;
        for (SlotId slot = 0; slot < slots.size(); ++slot)
            summary.slots.push_back({slot, std::uint64_t(slots[slot] * Window)});
        for (std::size_t i = 0; i < std::min(ReportedHotKeys, m_keys.frequentKeys().size()); ++i) {
            const auto &key = m_keys.frequentKeys()[i];
            summary.hotKeys.push_back(
                {key.hash | Cluster::HotKeyBit, std::uint64_t(key.rate * Window)});
        }
        Placement::LoadTracker tracker;
        const Base::TimePoint now{std::chrono::hours(1)};
        tracker.onSummary(now, summary);
        tracker.updateHotKeys("experiment", nodeCount);
        input.hotKeys = tracker.hotKeys("experiment");
        input.slotWeights = tracker.slotWeights("experiment", now);
        // A slot's report covers the whole slot while its hot keys are not split off yet.
        for (const auto &[key, rate] : input.hotKeys) {
            const SlotId slot = m_table.baseSlot(key & ~Cluster::HotKeyBit);
            if (m_table.slotFor(key & ~Cluster::HotKeyBit) == key) {
                input.slotWeights[slot] -= rate;
                input.slotWeights[key] = rate;
            }
        }
    }

    void measure(const std::vector<FleetNode> &nodes,
                 const std::unordered_map<std::uint64_t, std::string> &before, Outcome &outcome)
    {
        std::map<std::string, double> load;
        for (const FleetNode &node : nodes) {
            if (node.accepts)
                load[node.name] = 0.0;
        }
        const auto account = [&](const std::string &old, const std::string &now, double rate) {
            load[now] += rate;
            if (old != now)
                outcome.movedRate += rate;
            const bool oldIsGone = !old.empty() && load.count(old) == 0;
            if (oldIsGone || old.empty())
                outcome.minimumRate += rate;
        };
        for (const auto &key : m_keys.frequentKeys())
            account(before.at(key.hash), ownerOf(key.hash), key.rate);
        const double rest = m_keys.restRate() / double(m_table.slotCount());
        for (SlotId slot = 0; slot < m_table.slotCount(); ++slot)
            account(before.at(slot | Cluster::HotKeyBit), m_table.entry(slot)->owners.front().node,
                    rest);
        const double mean = m_keys.totalRate() / double(load.size());
        for (const auto &[name, rate] : load)
            outcome.imbalance = std::max(outcome.imbalance, rate / mean);
    }

    const KeyPopulation &m_keys;
    Cluster::SlotTable m_table;
    std::unordered_map<SlotId, Cluster::Epoch> m_settled;
};

Outcome measureHash(HashPlacement &placement, const std::vector<FleetNode> &before,
                    const std::vector<FleetNode> &after, const KeyPopulation &keys,
                    std::uint64_t seed)
{
    const auto namesOf = [](const std::vector<FleetNode> &nodes) {
        std::vector<std::string> names;
        for (const FleetNode &node : nodes) {
            if (node.accepts)
                names.push_back(node.name);
        }
        return names;
    };
    std::mt19937_64 random(seed);
    std::vector<std::uint64_t> samples(MovedKeySamples);
    for (std::uint64_t &sample : samples)
        sample = random() >> 1U;

    placement.setNodes(namesOf(before));
    std::vector<std::string> owners;
    owners.reserve(samples.size());
    for (const std::uint64_t sample : samples)
        owners.push_back(placement.nodeOf(sample));

    const std::vector<std::string> names = namesOf(after);
    placement.setNodes(names);
    Outcome outcome;
    std::map<std::string, double> load;
    for (const std::string &name : names)
        load[name] = 0.0;
    const double perSample = keys.totalRate() / double(samples.size());
    const double restPerSample = keys.restRate() / double(samples.size());
    for (std::size_t i = 0; i < samples.size(); ++i) {
        const std::string &owner = placement.nodeOf(samples[i]);
        load[owner] += restPerSample;
        if (owner != owners[i])
            outcome.movedRate += perSample;
        if (load.count(owners[i]) == 0)
            outcome.minimumRate += perSample;
    }
    for (const auto &key : keys.frequentKeys())
        load[placement.nodeOf(key.hash)] += key.rate;
    const double mean = keys.totalRate() / double(names.size());
    for (const auto &[name, rate] : load)
        outcome.imbalance = std::max(outcome.imbalance, rate / mean);
    return outcome;
}

// Nodes that join must get their share, so that is the least that has to move to them.
void addJoinedShare(Outcome &outcome, const std::vector<FleetNode> &before,
                    const std::vector<FleetNode> &after, double totalRate)
{
    const auto accepting = [](const std::vector<FleetNode> &nodes) {
        return double(std::count_if(nodes.begin(), nodes.end(),
                                    [](const FleetNode &node) { return node.accepts; }));
    };
    const double joined = accepting(after) - accepting(before);
    if (joined > 0.0)
        outcome.minimumRate += totalRate * joined / accepting(after);
}

} // namespace

json runPlacementExperiment(const PlacementOptions &options)
{
    KeyPopulation keys(options.keys, options.zipfExponent, options.requestsPerSecond, options.seed);
    PlannedFleet planned(options, keys);
    const auto modulo = HashPlacement::createModulo();
    const auto ring = HashPlacement::createRing(RingPointsPerNode);

    std::vector<FleetNode> nodes;
    for (std::size_t i = 0; i < options.nodes; ++i)
        nodes.push_back({"node-" + std::to_string(i), "zone-" + std::to_string(i % options.zones)});

    json events = json::array();
    json moduloEvents = json::array();
    json ringEvents = json::array();
    Outcome worst;
    Outcome worstModulo;
    Outcome worstRing;
    const auto keepWorst = [](Outcome &kept, const Outcome &outcome) {
        kept.imbalance = std::max(kept.imbalance, outcome.imbalance);
        kept.planMilliseconds = std::max(kept.planMilliseconds, outcome.planMilliseconds);
        if (outcome.movedRatio() > kept.movedRatio()) {
            kept.movedRate = outcome.movedRate;
            kept.minimumRate = outcome.minimumRate;
        }
    };

    std::vector<FleetNode> before = nodes;
    const auto run
        = [&](const std::string &name, const std::function<void()> &change, bool countsMoves) {
              before = nodes;
              change();
              Outcome outcome = planned.plan(nodes);
              Outcome byModulo = measureHash(*modulo, before, nodes, keys, options.seed);
              Outcome byRing = measureHash(*ring, before, nodes, keys, options.seed);
              for (Outcome *each : {&outcome, &byModulo, &byRing}) {
                  addJoinedShare(*each, before, nodes, keys.totalRate());
                  if (!countsMoves)
                      each->movedRate = each->minimumRate = 0.0;
              }
              events.push_back(toJson(name, outcome));
              moduloEvents.push_back(toJson(name, byModulo));
              ringEvents.push_back(toJson(name, byRing));
              keepWorst(worst, outcome);
              keepWorst(worstModulo, byModulo);
              keepWorst(worstRing, byRing);
          };

    run(
        "first_assignment", [] {}, false);
    run(
        "join",
        [&] {
            nodes.push_back({"node-joined", "zone-0"});
        },
        true);
    run(
        "loss",
        [&] {
            planned.lost.push_back(nodes[7].name);
            nodes.erase(nodes.begin() + 7);
        },
        true);
    const auto setZone = [&](bool accepts) {
        for (FleetNode &node : nodes) {
            if (node.zone == "zone-1")
                node.accepts = accepts;
        }
    };
    run(
        "zone_out", [&] { setZone(false); }, true);
    run(
        "zone_back", [&] { setZone(true); }, true);
    // Moves of the keys themselves are wanted here, so only balance and planning time count.
    run(
        "hottest_keys_change", [&] { keys.replaceHottest(options.hottestKeys, options.seed + 1); },
        false);

    const ReportTraffic traffic = measureReportTraffic(
        {options.nodes, options.slots / options.nodes, options.requestsPerSecond, options.seed});
    return {{"experiment", "placement"},
            {"seed", options.seed},
            {"nodes", options.nodes},
            {"slots", options.slots},
            {"zipf", options.zipfExponent},
            {"imbalance_max_over_mean", worst.imbalance},
            {"hottest_key_over_mean",
             keys.frequentKeys().front().rate * double(options.nodes) / keys.totalRate()},
            {"moved_ratio_to_minimum", worst.movedRatio()},
            {"plan_ms", worst.planMilliseconds},
            {"state_bytes", planned.stateBytes()},
            {"planner_in_bytes_per_s", traffic.changedBytesPerSecond},
            {"planner_in_bytes_per_s_whole", traffic.wholeBytesPerSecond},
            {"modulo_imbalance", worstModulo.imbalance},
            {"modulo_moved_ratio", worstModulo.movedRatio()},
            {"ring_imbalance", worstRing.imbalance},
            {"ring_moved_ratio", worstRing.movedRatio()},
            {"events", events},
            {"modulo_events", moduloEvents},
            {"ring_events", ringEvents}};
}

} // namespace Medlar::Experiments
