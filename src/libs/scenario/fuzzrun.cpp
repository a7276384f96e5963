#include "fuzzrun.h"

#include "randomcluster.h"

namespace Medlar::Scenario {

using namespace std::chrono_literals;

namespace {

constexpr TrueTime FaultTime = 5s;
constexpr TrueTime RecoveryTime = 5s;
constexpr TrueTime LongestGap = 250ms;
constexpr TrueTime SampleInterval = 10ms;
constexpr int WitnessLossTurns = 6;

} // namespace

FuzzRun::FuzzRun(std::uint64_t seed, const Ownership::ProtocolRules &rules)
    : m_random(seed)
    , m_profile(randomProfile(m_random))
    , m_simulation(randomCluster(m_random, rules))
    , m_checker(m_simulation)
    , m_unavailability(m_simulation, SampleInterval)
{
    m_simulation.setStepHook([this] { m_checker.check(); });
}

void FuzzRun::setLogSink(const Simulation::LogSink &sink)
{
    m_log = [this, sink](const std::string &line) {
        sink(std::to_string(m_simulation.now().count() / 1000) + "us " + line);
    };
    m_simulation.setLogSink(m_log);
}

void FuzzRun::run()
{
    m_simulation.warmUp();
    const TrueTime faultEnd = m_simulation.now() + FaultTime;
    m_unavailability.start(faultEnd + RecoveryTime);
    while (m_simulation.now() < faultEnd) {
        m_simulation.runUntil(m_simulation.now() + randomTime(1ms, LongestGap));
        injectFault();
    }
    endFaults();
    m_simulation.runUntil(faultEnd + RecoveryTime);
    if (m_log) {
        for (const Violation &violation : violations())
            m_log("violation at " + std::to_string(violation.at.count() / 1000)
                  + "us: " + violation.description);
    }
}

FuzzRun::Profile FuzzRun::randomProfile(RandomSource &random)
{
    if (random.chance(50))
        return Profile::Mixed;
    return random.chance(50) ? Profile::HotKeys : Profile::Leases;
}

void FuzzRun::describeEntries(std::vector<std::string> &lines) const
{
    const auto list = [this](const std::vector<Base::InstanceId> &instances) {
        std::string text;
        for (const Base::InstanceId &instance : instances) {
            const SimulatedNode &node = *m_simulation.nodes().at(instance.node);
            const bool runs = node.isRunning() && node.instance() == instance;
            const bool sealed = m_simulation.seals().count(instance) != 0;
            text
                += ' ' + instance.toString() + (runs ? " running" : "") + (sealed ? " sealed" : "");
        }
        return text;
    };
    for (const auto &[unit, entry] : m_simulation.store().entries())
        lines.push_back("entry " + std::to_string(unit) + " epoch " + std::to_string(entry.epoch)
                        + " owners" + list(entry.owners) + " prior" + list(entry.prior));
}

void FuzzRun::injectFault()
{
    // Faults that occur more often than others are listed more than once.
    static constexpr Fault Mixed[] = {
        &FuzzRun::killNode,
        &FuzzRun::restartNode,
        &FuzzRun::restartNode,
        &FuzzRun::restartNode,
        &FuzzRun::pauseNode,
        &FuzzRun::pauseNode,
        &FuzzRun::partition,
        &FuzzRun::partitionOneWay,
        &FuzzRun::partitionOneWay,
        &FuzzRun::isolateOneWay,
        &FuzzRun::isolateOneWay,
        &FuzzRun::heal,
        &FuzzRun::heal,
        &FuzzRun::heal,
        &FuzzRun::heal,
        &FuzzRun::disturbLinks,
        &FuzzRun::delayLink,
        &FuzzRun::delayLink,
        &FuzzRun::loseStore,
        &FuzzRun::changeDrift,
        &FuzzRun::leave,
        &FuzzRun::confirmDead,
        &FuzzRun::movePlanned,
        &FuzzRun::movePlanned,
        &FuzzRun::movePlanned,
        &FuzzRun::movePlanned,
        &FuzzRun::movePlanned,
        &FuzzRun::splitPlanned,
        &FuzzRun::splitPlanned,
        &FuzzRun::mergePlanned,
        &FuzzRun::mergePlanned,
        &FuzzRun::racePlanners,
        &FuzzRun::alternateWitnessLoss,
    };
    static constexpr Fault HotKeys[] = {
        &FuzzRun::splitPlanned, &FuzzRun::splitPlanned, &FuzzRun::splitPlanned,
        &FuzzRun::splitPlanned, &FuzzRun::mergePlanned, &FuzzRun::mergePlanned,
        &FuzzRun::movePlanned,  &FuzzRun::movePlanned,  &FuzzRun::movePlanned,
        &FuzzRun::disturbLinks, &FuzzRun::delayLink,    &FuzzRun::restartNode,
        &FuzzRun::heal,
    };
    static constexpr Fault Leases[] = {
        &FuzzRun::alternateWitnessLoss,
        &FuzzRun::alternateWitnessLoss,
        &FuzzRun::partitionOneWay,
        &FuzzRun::delayLink,
        &FuzzRun::disturbLinks,
        &FuzzRun::restartNode,
        &FuzzRun::leave,
        &FuzzRun::heal,
        &FuzzRun::changeDrift,
        &FuzzRun::movePlanned,
    };
    const auto pick
        = [this](const auto &faults) { return faults[m_random.below(std::size(faults))]; };
    Fault fault = nullptr;
    switch (m_profile) {
    case Profile::Mixed:
        fault = pick(Mixed);
        break;
    case Profile::HotKeys:
        fault = pick(HotKeys);
        break;
    case Profile::Leases:
        fault = pick(Leases);
        break;
    }
    (this->*fault)();
}

void FuzzRun::endFaults()
{
    note("faults end");
    m_faultsEnded = true;
    m_simulation.network().heal();
    m_simulation.setStoreUp(true);
    m_simulation.setPushLoss(0);
    for (const auto &[name, node] : m_simulation.nodes()) {
        m_simulation.resume(name);
        if (!node->isAlive() || node->engine().self().state != Cluster::NodeState::Active)
            m_simulation.restart(name);
    }
    // Instances whose witnesses are gone too are only ended by an operator.
    m_simulation.confirmFormerInstancesDead();
    const TrueTime end = m_simulation.now() + RecoveryTime;
    for (TrueTime at = m_simulation.now(); at < end; at += 500ms) {
        m_simulation.queue().schedule(at, [this] {
            m_simulation.plan(randomNode(), [](FakePlanner &planner) { planner.repair(); });
        });
    }
}

void FuzzRun::note(const std::string &text)
{
    if (m_log)
        m_log("fault " + text);
}

std::string FuzzRun::randomNode()
{
    const auto &nodes = m_simulation.nodes();
    return std::next(nodes.begin(), static_cast<std::ptrdiff_t>(m_random.below(nodes.size())))
        ->first;
}

Cluster::SlotId FuzzRun::randomSlot()
{
    const auto units = ownershipUnits(m_simulation.store());
    return units.empty() ? 0 : units[m_random.below(units.size())];
}

void FuzzRun::killNode()
{
    const std::string node = randomNode();
    note("kill " + node);
    m_simulation.kill(node);
}

void FuzzRun::restartNode()
{
    const std::string node = randomNode();
    note("restart " + node);
    m_simulation.restart(node);
}

void FuzzRun::pauseNode()
{
    const std::string node = randomNode();
    const TrueTime length = randomTime(50ms, 1500ms);
    note("pause " + node + " for " + std::to_string(length.count() / 1000) + "us");
    m_simulation.pause(node);
    m_simulation.queue().schedule(m_simulation.now() + length,
                                  [this, node] { m_simulation.resume(node); });
}

void FuzzRun::partition()
{
    note("partition");
    std::set<std::string> left;
    for (const auto &[name, node] : m_simulation.nodes()) {
        if (m_random.chance(50))
            left.insert(name);
    }
    for (const auto &[from, node] : m_simulation.nodes()) {
        for (const auto &[to, other] : m_simulation.nodes()) {
            if (left.count(from) != left.count(to))
                m_simulation.network().block(from, to);
        }
    }
}

void FuzzRun::partitionOneWay()
{
    const std::string from = randomNode();
    const std::string to = randomNode();
    note("partition one-way " + from + " to " + to);
    m_simulation.network().block(from, to);
}

void FuzzRun::isolateOneWay()
{
    const std::string node = randomNode();
    const bool outgoing = m_random.chance(50);
    note(std::string("isolate ") + (outgoing ? "sender " : "receiver ") + node);
    for (const auto &[other, state] : m_simulation.nodes()) {
        if (outgoing)
            m_simulation.network().block(node, other);
        else
            m_simulation.network().block(other, node);
    }
}

void FuzzRun::heal()
{
    note("heal");
    m_simulation.network().heal();
}

void FuzzRun::disturbLinks()
{
    note("loss, duplicates and reordering");
    LinkFaults faults;
    faults.dropPercent = static_cast<double>(m_random.below(30));
    faults.duplicatePercent = static_cast<double>(m_random.below(50));
    faults.reorderPercent = static_cast<double>(m_random.below(50));
    m_simulation.network().setFaultsEverywhere(faults);
}

void FuzzRun::delayLink()
{
    LinkFaults faults;
    faults.extraDelay = randomTime(5ms, 600ms);
    const std::string from = randomNode();
    const std::string to = randomNode();
    note("delay " + from + " to " + to + " by " + std::to_string(faults.extraDelay.count() / 1000)
         + "us");
    m_simulation.network().setFaults(from, to, faults);
}

void FuzzRun::alternateWitnessLoss()
{
    // The lease is held by changing pairs of witnesses, while late proposals travel between them.
    const std::string node = randomNode();
    const SimulatedNode &holder = m_simulation.at(node);
    if (!holder.isAlive() || holder.engine().self().witnesses.size() < 2)
        return;
    const std::string first = holder.engine().self().witnesses[0].node;
    const std::string second = holder.engine().self().witnesses[1].node;
    note("lose renewals of " + node + " at " + first + " and " + second + " in turn");
    LinkFaults late;
    late.extraDelay = randomTime(0ms, 500ms);
    m_simulation.network().setFaults(first, second, late);
    m_simulation.network().setFaults(second, first, late);
    const TrueTime turn = randomTime(450ms, 700ms);
    for (int i = 0; i < WitnessLossTurns; ++i) {
        m_simulation.queue().schedule(
            m_simulation.now() + i * turn, [this, node, first, second, i] {
                if (m_faultsEnded)
                    return;
                LinkFaults lost;
                lost.dropPercent = 100;
                m_simulation.network().setFaults(node, i % 2 == 0 ? first : second, lost);
                m_simulation.network().setFaults(node, i % 2 == 0 ? second : first, {});
            });
    }
}

void FuzzRun::loseStore()
{
    note("store down");
    m_simulation.setStoreUp(false);
    m_simulation.queue().schedule(m_simulation.now() + randomTime(100ms, 2s),
                                  [this] { m_simulation.setStoreUp(true); });
}

void FuzzRun::changeDrift()
{
    const std::string node = randomNode();
    note("drift " + node);
    m_simulation.at(node).setDrift(randomDrift(m_random));
}

void FuzzRun::leave()
{
    const std::string node = randomNode();
    const bool stops = m_random.chance(50);
    note((stops ? "stop " : "drain ") + node);
    if (stops)
        m_simulation.stop(node);
    else
        m_simulation.drain(node);
}

void FuzzRun::confirmDead()
{
    const std::string node = randomNode();
    if (m_simulation.at(node).isAlive())
        return;
    m_simulation.confirmDead(node);
}

void FuzzRun::movePlanned()
{
    const Cluster::SlotId slot = randomSlot();
    const bool keepsOwner = m_random.chance(30);
    const std::uint64_t choice = m_random.next();
    note("move slot " + std::to_string(slot & ~Cluster::HotKeyBit)
         + (Cluster::isHotKey(slot) ? " (hot key)" : ""));
    m_simulation.plan(
        randomNode(),
        [&](FakePlanner &planner) {
            const auto nodes = planner.candidates();
            if (keepsOwner)
                planner.rewrite(slot);
            else if (!nodes.empty())
                planner.move(slot, nodes[choice % nodes.size()]);
        },
        randomTime(0ms, 50ms), m_random.chance(10));
}

void FuzzRun::splitPlanned()
{
    const Cluster::SlotId slot = m_random.below(FuzzSlotCount);
    const Cluster::SlotId hotKey = (slot + FuzzSlotCount * m_random.below(2)) | Cluster::HotKeyBit;
    const std::uint64_t choice = m_random.next();
    note("split hot key " + std::to_string(hotKey & ~Cluster::HotKeyBit));
    m_simulation.plan(
        randomNode(),
        [&](FakePlanner &planner) {
            const auto nodes = planner.candidates();
            if (!nodes.empty())
                planner.split(hotKey, nodes[choice % nodes.size()]);
        },
        randomTime(0ms, 50ms));
}

void FuzzRun::mergePlanned()
{
    note("merge hot keys back");
    m_simulation.plan(
        randomNode(),
        [this](FakePlanner &planner) {
            for (const Cluster::SlotId unit : ownershipUnits(m_simulation.store())) {
                if (Cluster::isHotKey(unit))
                    planner.mergeBack(unit);
            }
        },
        randomTime(0ms, 50ms));
}

void FuzzRun::racePlanners()
{
    movePlanned();
    movePlanned();
}

} // namespace Medlar::Scenario
