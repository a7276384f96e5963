#include "simulation.h"

#include <algorithm>

namespace Medlar::Scenario {

using namespace std::chrono_literals;
using namespace Ownership;

namespace {

constexpr TrueTime RepairInterval = 500ms;
constexpr TrueTime ExchangeInterval = 1s;
constexpr double StoreReadPercent = 30;
constexpr TrueTime SettledReportInterval = 250ms;
constexpr TrueTime PublishRetryInterval = 500ms;
constexpr TrueTime WarmUpTime = 1s;
constexpr TrueTime AssignmentTime = 500ms;
constexpr TrueTime ShortestPush = 1ms;

} // namespace

Simulation::Simulation(const SimulationOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_network(m_queue, m_random,
                [this](const auto &, const std::string &toNode, const auto &from, const auto &to,
                       const auto &message) { deliver(toNode, from, to, message); })
    , m_store(options.slotCount)
    , m_requests(m_store, m_random, options.longestDrain)
{
    for (const NodeOptions &node : options.nodes) {
        Cluster::NodeRecord record;
        record.instance = Base::InstanceId{node.name, 0};
        record.address = "127.0.0.1";
        record.region = node.location.region;
        record.availabilityZone = node.location.zone;
        record.services = {ServiceName};
        record.backendChecksFencing = node.backendChecksFencing;
        // Clocks start anywhere, so that mixing up two clocks shows at once.
        DriftingClock clock(0ns, Base::TimePoint(1h) + m_random.between(0ns, 1000h));
        clock.setDrift(0ns, node.drift);
        m_network.setLocation(node.name, node.location);
        auto execute
            = [this](auto &sender, const auto &command) { this->execute(sender, command); };
        auto observe = [this](auto &changed) {
            if (m_options.tracksRequests)
                m_requests.observe(now(), changed);
        };
        m_nodes.emplace(node.name,
                        std::make_unique<SimulatedNode>(m_queue, record, clock, execute, observe));
    }
    for (const auto &[name, node] : m_nodes)
        startProcess(*node, newInstance(name));
    if (options.repairs)
        schedulePeriodic(RepairInterval, [this] {
            plan(randomRunningNode(), [](FakePlanner &planner) { planner.repair(); });
        });
    if (options.antiEntropy)
        schedulePeriodic(ExchangeInterval, [this] { exchange(); });
    schedulePeriodic(SettledReportInterval, [this] { reportSettled(); });
}

void Simulation::schedulePeriodic(TrueTime interval, const std::function<void()> &action)
{
    m_queue.schedule(now() + interval, [this, interval, action] {
        action();
        schedulePeriodic(interval, action);
    });
}

void Simulation::runUntil(TrueTime end)
{
    while (m_queue.runNext(end)) {
        ++m_steps;
        if (m_stepHook)
            m_stepHook();
    }
    m_queue.advanceTo(end);
}

void Simulation::warmUp()
{
    runUntil(now() + WarmUpTime);
    plan(m_nodes.begin()->first, [](FakePlanner &planner) { planner.assignAll(); });
    runUntil(now() + AssignmentTime);
}

Base::InstanceId Simulation::newInstance(const std::string &node)
{
    return *m_instances.insert(Base::InstanceId{node, m_random.next()}).first;
}

void Simulation::startProcess(SimulatedNode &node, const Base::InstanceId &instance)
{
    node.records.clear();
    node.start(instance, m_options.timing, m_options.rules);
    loadFromStore(node);
}

void Simulation::loadFromStore(SimulatedNode &node)
{
    if (!m_store.isUp())
        return;
    for (const auto &[name, record] : m_store.records())
        learnRecord(node, {m_recordVersions[name], record});
    node.process([assignments = m_store.assignments(),
                  count = m_store.slotCount()](auto &engine, Base::TimePoint localNow) {
        return engine.onEntries(localNow, ServiceName, count, assignments);
    });
}

void Simulation::rejoin(SimulatedNode &node)
{
    // The process keeps what it knows; only the instance is new.
    const std::set<Base::InstanceId> seals = node.sortedSeals();
    std::vector<Cluster::SlotAssignment> assignments;
    if (const Cluster::SlotTable *table = node.engine().table(ServiceName)) {
        for (std::uint32_t chunk = 0; chunk < table->chunkCount(); ++chunk) {
            const auto part = table->chunk(chunk);
            assignments.insert(assignments.end(), part.begin(), part.end());
        }
    }
    const auto records = node.records;
    node.start(newInstance(node.name()), m_options.timing, m_options.rules);
    node.process([&](auto &engine, Base::TimePoint localNow) {
        Commands commands;
        const auto append = [&commands](Commands more) {
            commands.insert(commands.end(), more.begin(), more.end());
        };
        for (const Base::InstanceId &sealed : seals)
            append(engine.onSealed(localNow, {sealed, Messages::SealReason::LeaseExpired}));
        for (const auto &[name, record] : records)
            append(engine.onNodeRecord(localNow, record.record));
        append(engine.onEntries(localNow, ServiceName, m_store.slotCount(), assignments));
        return commands;
    });
}

void Simulation::resume(const std::string &node)
{
    at(node).resume(m_random.chance(50));
}

void Simulation::restart(const std::string &node)
{
    SimulatedNode &process = at(node);
    const Base::InstanceId former = process.instance();
    process.kill();
    startProcess(process, m_options.rules.newInstanceOnRestart ? newInstance(node) : former);
}

void Simulation::drain(const std::string &node)
{
    at(node).process(
        [](auto &engine, Base::TimePoint localNow) { return engine.startDraining(localNow); });
}

void Simulation::stop(const std::string &node)
{
    at(node).process([](auto &engine, Base::TimePoint localNow) { return engine.stop(localNow); });
}

void Simulation::confirmDead(const std::string &node)
{
    confirmDead(at(node).instance());
}

void Simulation::confirmDead(const Base::InstanceId &instance)
{
    const Messages::Sealed seal{instance, Messages::SealReason::ConfirmedDead};
    m_seals.insert(instance);
    for (const auto &[name, peer] : m_nodes)
        peer->process([seal](auto &engine, Base::TimePoint localNow) {
            return engine.onSealed(localNow, seal);
        });
}

void Simulation::confirmFormerInstancesDead()
{
    for (const Base::InstanceId &instance : m_instances) {
        const SimulatedNode &node = at(instance.node);
        if (!node.isAlive() || node.instance() != instance)
            confirmDead(instance);
    }
}

void Simulation::setStoreUp(bool up)
{
    m_store.setUp(up);
    if (!up)
        return;
    for (const auto &[name, node] : m_nodes) {
        if (node->isAlive())
            loadFromStore(*node);
    }
}

void Simulation::execute(SimulatedNode &node, const Command &command)
{
    if (const auto *send = std::get_if<SendMessage>(&command)) {
        m_network.send(node.name(), send->to.node, node.instance(), send->to, send->message);
    } else if (const auto *seal = std::get_if<PropagateSeal>(&command)) {
        propagateSeal(node, seal->seal);
    } else if (const auto *record = std::get_if<PublishNodeRecord>(&command)) {
        const VersionedRecord versioned{++m_publications, record->record};
        learnRecord(node, versioned);
        publish(node.name(), versioned);
    } else if (const auto *drain = std::get_if<DrainSlots>(&command)) {
        beginDrain(node, *drain);
    } else if (const auto *ended = std::get_if<InstanceEnded>(&command)) {
        if (ended->reason == Messages::SealReason::Stopped)
            node.kill();
        else
            rejoin(node);
    } else if (const auto *line = std::get_if<Base::LogLine>(&command)) {
        if (m_log)
            m_log("event=" + line->event() + " node=" + node.name() + " zone=" + node.zone()
                  + line->fields());
    }
}

void Simulation::propagateSeal(const SimulatedNode &node, const Messages::Sealed &seal)
{
    m_seals.insert(seal.instance);
    for (const auto &[name, peer] : m_nodes) {
        if (name != node.name())
            m_network.send(node.name(), name, node.instance(), {}, seal);
    }
}

void Simulation::publish(const std::string &node, const VersionedRecord &record)
{
    m_queue.schedule(now() + pushDelay(), [this, node, record] {
        if (record.record.instance != at(node).instance())
            return;
        if (!m_store.isUp()) {
            m_queue.schedule(now() + PublishRetryInterval,
                             [this, node, record] { publish(node, record); });
            return;
        }
        std::uint64_t &version = m_recordVersions[node];
        if (version >= record.version)
            return;
        version = record.version;
        m_store.putRecord(record.record);
        pushRecord(record);
    });
}

void Simulation::pushRecord(const VersionedRecord &record)
{
    for (const auto &[name, node] : m_nodes) {
        m_queue.schedule(now() + pushDelay(), [this, record, target = node.get()] {
            if (m_store.isUp())
                learnRecord(*target, record);
        });
    }
}

void Simulation::learnRecord(SimulatedNode &node, const VersionedRecord &record)
{
    if (!node.isAlive())
        return;
    VersionedRecord &known = node.records[record.record.instance.node];
    if (known.version >= record.version)
        return;
    known = record;
    node.process([record = record.record](auto &engine, Base::TimePoint localNow) {
        return engine.onNodeRecord(localNow, record);
    });
}

void Simulation::beginDrain(SimulatedNode &node, const DrainSlots &drain)
{
    const TrueTime end = m_requests.drainEnd(now(), node, drain.slots);
    m_queue.schedule(end, [drain, instance = node.instance(), target = &node] {
        if (target->instance() == instance)
            target->process([drain](auto &engine, Base::TimePoint localNow) {
                return engine.onDrained(localNow, drain.service, drain.slots);
            });
    });
}

void Simulation::deliver(const std::string &toNode, const Base::InstanceId &from,
                         const Base::InstanceId &to, const Messages::PeerMessage &message)
{
    const auto found = m_nodes.find(toNode);
    if (found == m_nodes.end() || (to.isValid() && to != found->second->instance()))
        return;
    found->second->process([from, message](auto &engine, Base::TimePoint localNow) {
        return engine.onMessage(localNow, from, message);
    });
}

void Simulation::plan(const std::string &host, const std::function<void(FakePlanner &)> &operation,
                      TrueTime writeDelay, bool loseResponse)
{
    if (!m_store.isUp() || !hasNode(host) || !at(host).isRunning())
        return;
    const PlannerView view{at(host).engine().sealedInstances(), m_settled};
    FakePlanner planner(m_store, view);
    operation(planner);
    if (planner.changes().empty())
        return;
    m_queue.schedule(now() + writeDelay, [this, version = planner.version(),
                                          changes = planner.changes(), loseResponse] {
        if (!m_store.write(version, changes))
            return;
        if (!loseResponse)
            m_acknowledged.push_back({changes});
        pushEntries(changes);
    });
}

void Simulation::pushEntries(const std::vector<Cluster::SlotAssignment> &assignments)
{
    for (const auto &[name, node] : m_nodes) {
        if (m_random.chance(m_options.pushLossPercent))
            continue;
        m_queue.schedule(now() + pushDelay(), [this, assignments, target = node.get()] {
            if (!m_store.isUp())
                return;
            target->process([this, assignments](auto &engine, Base::TimePoint localNow) {
                return engine.onEntries(localNow, ServiceName, m_store.slotCount(), assignments);
            });
        });
    }
}

void Simulation::exchange()
{
    if (m_nodes.size() < 2)
        return;
    for (const auto &[name, node] : m_nodes) {
        auto peer = std::next(m_nodes.begin(),
                              static_cast<std::ptrdiff_t>(m_random.below(m_nodes.size())));
        if (peer->first == name || !node->isRunning())
            continue;
        exchange(*node, peer->first);
        if (peer->second->isRunning())
            exchange(*peer->second, name);
        // The store is the fallback for changes that nobody received.
        if (m_random.chance(StoreReadPercent))
            loadFromStore(*node);
    }
}

void Simulation::exchange(const SimulatedNode &from, const std::string &to)
{
    if (m_network.isBlocked(from.name(), to))
        return;
    for (const Base::InstanceId &sealed : from.sortedSeals())
        m_network.send(from.name(), to, from.instance(), {},
                       Messages::Sealed{sealed, Messages::SealReason::LeaseExpired});
    if (const Cluster::SlotTable *table = from.engine().table(ServiceName))
        m_network.send(from.name(), to, from.instance(), {},
                       Messages::EntriesChanged{ServiceName, table->slotCount(), table->chunk(0)});
    m_queue.schedule(now() + pushDelay(), [this, to, records = from.records] {
        for (const auto &[name, record] : records)
            learnRecord(at(to), record);
    });
}

void Simulation::reportSettled()
{
    for (const auto &[name, node] : m_nodes) {
        if (!node->isRunning())
            continue;
        const auto served = node->engine().servedSlots(ServiceName);
        m_queue.schedule(now() + pushDelay(), [this, served] {
            for (const Ownership::ServedSlot &slot : served) {
                Cluster::Epoch &epoch = m_settled[slot.slot];
                epoch = std::max(epoch, slot.epoch);
            }
        });
    }
}

std::string Simulation::randomRunningNode()
{
    std::vector<std::string> running;
    for (const auto &[name, node] : m_nodes) {
        if (node->isRunning())
            running.push_back(name);
    }
    return running.empty() ? std::string() : running[m_random.below(running.size())];
}

TrueTime Simulation::pushDelay()
{
    return m_random.between(ShortestPush, m_options.longestPush);
}

} // namespace Medlar::Scenario
