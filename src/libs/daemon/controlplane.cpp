#include "controlplane.h"

#include "objectkeys.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace Medlar::Daemon {

using namespace std::chrono_literals;
using nlohmann::json;

std::uint64_t randomIncarnation()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

namespace {

constexpr std::chrono::milliseconds TrafficPollInterval = 100ms;
constexpr std::chrono::milliseconds LongestTimerInterval = 100ms;
constexpr std::chrono::milliseconds SeedAttemptInterval = 200ms;
// Requests of a slot that is handed over may run this long before they are given up.
constexpr std::chrono::milliseconds DrainDeadline = 2000ms;

// The clocks of the VMs need to agree within a second only; nothing but the balance depends on it.
PlannerReporterSettings reporterSettings()
{
    PlannerReporterSettings settings;
    const auto intoWindow
        = std::chrono::system_clock::now().time_since_epoch() % settings.loadInterval;
    settings.windowStart
        = std::chrono::steady_clock::now()
          - std::chrono::duration_cast<std::chrono::steady_clock::duration>(intoWindow);
    return settings;
}

} // namespace

ControlPlane::ControlPlane(boost::asio::io_context &context, const ControlSettings &settings,
                           Store::ObjectStore &store, TrafficPlane &traffic, BackendGrants &grants,
                           Base::LogSink &log, ConfigurationParser parser)
    : m_context(context)
    , m_settings(settings)
    , m_store(store)
    , m_traffic(traffic)
    , m_grants(grants)
    , m_log(log)
    , m_parser(std::move(parser))
    , m_timer(context)
    , m_self(settings.self)
    , m_queues(m_queueRegistry, log)
    , m_reporter(reporterSettings())
{
    m_recordWriter = std::make_unique<ObjectWriter>(
        std::string(Keys::Nodes) + m_self.instance.node, store, log,
        [this](Store::Version version, const std::string &value) {
            onStoreObject(std::string(Keys::Nodes) + m_self.instance.node, version, value);
        });
    m_statusWriter
        = std::make_unique<ObjectWriter>(std::string(Keys::Status) + m_self.availabilityZone, store,
                                         log, [](Store::Version, const std::string &) {});
}

ControlPlane::~ControlPlane() = default;

tl::expected<void, std::string> ControlPlane::start()
{
    Peer::PeerLinksSettings links;
    links.self = m_self.instance;
    links.listenAddress = m_self.address;
    links.listenPort = m_self.controlPort;
    links.credential = m_settings.credential;
    links.seed = m_settings.seed;
    Peer::PeerCallbacks callbacks;
    callbacks.resolve = [this](const Base::InstanceId &id) { return resolve(id); };
    callbacks.onMessage = [this](const Base::InstanceId &from, Messages::PeerMessage &&message) {
        onPeerMessage(from, std::move(message));
    };
    callbacks.onLinkUp = [this](const Base::InstanceId &peer) { onLinkUp(peer); };
    callbacks.onLinkDown = [this](const Base::InstanceId &peer, bool) {
        if (m_view->planner() == peer)
            m_reporter.repeatAll();
    };
    auto created = Peer::PeerLinks::create(m_context, links, callbacks, m_log);
    if (!created)
        return tl::unexpected(created.error().detail);
    m_links = std::move(*created);
    m_self.controlPort = m_links->port();

    m_view = std::make_unique<ControlView>(m_parser);
    m_watcher = std::make_unique<StoreWatcher>(m_context, m_store, m_log, m_settings.seed);
    startInstance();
    m_watcher->start(
        [this](const std::string &key, Store::Version version, std::optional<std::string> value) {
            onStoreObject(key, version, std::move(value));
        },
        [this] { publishNodeRecord(); });
    onTimer();
    return {};
}

void ControlPlane::startInstance()
{
    m_engine = Ownership::OwnershipEngine::create({m_self, m_settings.timing, {}});
    const Spreading::SpreaderSettings spreading{m_self, 1000ms,
                                                m_settings.seed ^ m_self.instance.incarnation};
    auto spreader = std::make_unique<Spreading::Spreader>(spreading);
    PlannerSettings planner;
    planner.self = m_self.instance;
    m_planner = std::make_unique<PlannerRunner>(
        planner, m_store, m_log,
        [this](const std::string &key, Store::Version version, std::optional<std::string> value) {
            onStoreObject(key, version, std::move(value));
        });

    // What the earlier instance knew stays valid; only its own ownership ended.
    const std::unique_ptr<Spreading::Spreader> earlier = std::move(m_spreader);
    m_spreader = std::move(spreader);
    m_snapshots.reset();
    m_log.write(Base::LogLine("instance-started").add("instance", m_self.instance.toString()));
    if (earlier) {
        for (const auto &[key, held] : earlier->replica().objects())
            execute(m_spreader->onStoreObject(key, held.version, held.value));
    }
    updateMembers();
}

void ControlPlane::restartInstance(Messages::SealReason reason)
{
    const Base::InstanceId ended = m_self.instance;
    const std::unordered_set<Base::InstanceId> sealed = m_engine->sealedInstances();
    ++m_instanceRestarts;
    m_log.write(Base::LogLine("instance-ended")
                    .add("instance", ended.toString())
                    .add("reason", static_cast<int>(reason)));
    // The ended instance was withdrawn as Left with its witnesses; the new one starts without both.
    m_self.instance.incarnation = randomIncarnation();
    m_self.state = Cluster::NodeState::Active;
    m_self.term = 0;
    m_self.witnesses.clear();
    m_links->setSelf(m_self.instance);
    startInstance();
    for (const Base::InstanceId &instance : sealed)
        execute(m_spreader->learnSeal({instance, Messages::SealReason::LeaseExpired, false}));
    execute(m_spreader->propagateSeal({ended, reason, false}));
    publishNodeRecord();
}

std::optional<Peer::PeerAddress> ControlPlane::resolve(const Base::InstanceId &instance) const
{
    const auto found = m_view->nodes().find(instance.node);
    if (found == m_view->nodes().end() || found->second.instance != instance)
        return {};
    return Peer::PeerAddress{found->second.address, found->second.controlPort};
}

void ControlPlane::onLinkUp(const Base::InstanceId &peer)
{
    // Started during a store outage: the peer answers with every object that is missing here.
    if (!m_watcher->isListed())
        send(peer, Messages::DigestReply{m_spreader->replica().versions(), {}, false});
}

// A daemon that can't list the store learns the state from the peers named in its settings.
void ControlPlane::askSeedPeers(Base::TimePoint now)
{
    if (m_watcher->isListed() || m_watcher->isReachable() || now < m_nextSeedAttempt
        || m_settings.seedPeers.empty())
        return;
    m_nextSeedAttempt = now + SeedAttemptInterval;
    m_links->introduce(m_settings.seedPeers[m_nextSeed++ % m_settings.seedPeers.size()]);
}

void ControlPlane::send(const Base::InstanceId &to, const Messages::PeerMessage &message)
{
    // Lost messages are repeated by the protocols, so a link that is down needs no handling here.
    m_links->send(to, message);
}

void ControlPlane::onPeerMessage(const Base::InstanceId &from, Messages::PeerMessage &&message)
{
    if (onPlannerReport(message))
        return;
    execute(m_spreader->onMessage(from, message));
    execute(m_engine->onMessage(Clock::now(), from, message));
    publishIfChanged();
}

void ControlPlane::onStoreObject(const std::string &key, Store::Version version,
                                 std::optional<std::string> value)
{
    if (key == Keys::PlannerLease)
        m_planner->onLeaseObject(Clock::now(), version, value);
    if (key == std::string(Keys::Status) + m_self.availabilityZone)
        m_statusWriter->onSeen(version);
    if (key == std::string(Keys::Nodes) + m_self.instance.node)
        m_recordWriter->onSeen(version);
    if (!Keys::isPropagated(key))
        return;
    execute(m_spreader->onStoreObject(key, version, std::move(value)));
    publishIfChanged();
}

void ControlPlane::applyObject(const std::string &key)
{
    const Spreading::HeldObject *held = m_spreader->replica().find(key);
    if (!held)
        return;
    for (const ViewChange &change : m_view->apply(key, *held))
        applyChange(change);
}

void ControlPlane::applyChange(const ViewChange &change)
{
    const Base::TimePoint now = Clock::now();
    if (const auto *announced = std::get_if<NodeAnnounced>(&change)) {
        execute(m_engine->onNodeRecord(now, announced->record));
        updateMembers();
        m_snapshots.invalidatePolicy();
    } else if (const auto *withdrawn = std::get_if<NodeWithdrawn>(&change)) {
        execute(m_engine->onNodeRemoved(now, withdrawn->node));
        updateMembers();
        m_snapshots.invalidatePolicy();
    } else if (const auto *entries = std::get_if<EntriesLearnt>(&change)) {
        execute(m_engine->onEntries(now, entries->chunk.service, entries->chunk.slotCount,
                                    entries->chunk.assignments));
        m_snapshots.invalidate(entries->chunk.service);
    } else if (const auto *sealed = std::get_if<InstanceSealed>(&change)) {
        execute(m_spreader->learnSeal(sealed->seal));
    } else if (const auto *rejected = std::get_if<ObjectRejected>(&change)) {
        m_log.write(Base::LogLine("object-rejected")
                        .add("key", rejected->key)
                        .add("detail", rejected->detail));
    } else {
        m_snapshots.invalidatePolicy();
    }
}

void ControlPlane::execute(const Ownership::Commands &commands)
{
    for (const Ownership::Command &command : commands)
        executeCommand(command);
}

void ControlPlane::executeCommand(const Ownership::Command &command)
{
    if (const auto *message = std::get_if<Ownership::SendMessage>(&command)) {
        send(message->to, message->message);
    } else if (const auto *seal = std::get_if<Ownership::PropagateSeal>(&command)) {
        execute(m_spreader->propagateSeal(seal->seal));
    } else if (const auto *publish = std::get_if<Ownership::PublishNodeRecord>(&command)) {
        m_self = publish->record;
        publishNodeRecord();
    } else if (const auto *drain = std::get_if<Ownership::DrainSlots>(&command)) {
        m_snapshots.invalidate(drain->service);
        publishIfChanged();
        m_traffic.drain(drain->service, drain->slots, Clock::now() + DrainDeadline,
                        [this, service = drain->service, slots = drain->slots,
                         instance = m_self.instance, alive = std::weak_ptr<bool>(m_alive)] {
                            if (alive.expired() || instance != m_self.instance)
                                return;
                            execute(m_engine->onDrained(Clock::now(), service, slots));
                            publishIfChanged();
                        });
    } else if (const auto *ended = std::get_if<Ownership::InstanceEnded>(&command)) {
        // The engine is still on the stack of this call, so it is replaced by a task of its own.
        boost::asio::post(m_context, [this, reason = ended->reason, instance = m_self.instance,
                                      alive = std::weak_ptr<bool>(m_alive)] {
            if (!alive.expired() && !m_isStopping && instance == m_self.instance)
                restartInstance(reason);
        });
    } else if (std::get_if<Ownership::ServingChanged>(&command)) {
        m_snapshots.invalidateAll();
    } else if (const auto *line = std::get_if<Base::LogLine>(&command)) {
        m_log.write(*line);
    }
}

void ControlPlane::execute(const Spreading::SpreadCommands &commands)
{
    for (const Spreading::SpreadCommand &command : commands) {
        if (const auto *message = std::get_if<Spreading::SendTo>(&command)) {
            send(message->to, message->message);
        } else if (const auto *applied = std::get_if<Spreading::ObjectApplied>(&command)) {
            applyObject(applied->key);
        } else if (const auto *learnt = std::get_if<Spreading::SealLearnt>(&command)) {
            sendToUnannounced(learnt->seal);
            execute(m_engine->onSealed(Clock::now(), learnt->seal));
            updateMembers();
            m_snapshots.invalidatePolicy();
        } else if (const auto *status = std::get_if<Spreading::WriteStatus>(&command)) {
            m_statusWriter->setValue(Spreading::encodeZoneStatus(status->status));
        }
    }
}

// Daemons that started during a store outage are in nobody's member list; the tree does not reach
// them.
void ControlPlane::sendToUnannounced(const Messages::Sealed &seal)
{
    for (const Peer::LinkState &link : m_links->links()) {
        const auto record = m_view->nodes().find(link.peer.node);
        const bool isAnnounced
            = record != m_view->nodes().end() && record->second.instance == link.peer;
        if (link.isOpen && !isAnnounced)
            send(link.peer, Messages::Sealed{seal.instance, seal.reason, false});
    }
}

void ControlPlane::updateMembers()
{
    std::vector<Cluster::NodeRecord> members;
    for (const auto &[name, record] : m_view->nodes()) {
        const bool isSelf = name == m_self.instance.node;
        if (!isSelf && record.state != Cluster::NodeState::Left)
            members.push_back(record);
    }
    members.push_back(m_self);
    m_spreader->setMembers(std::move(members));
    m_watcher->setWatching(m_spreader->isWatcher());
}

void ControlPlane::onTimer()
{
    const Base::TimePoint now = Clock::now();
    execute(m_engine->onTime(now));
    execute(m_spreader->onTime(now));
    updateLease();
    askSeedPeers(now);
    m_recordWriter->onTime(now);
    m_statusWriter->onTime(now);
    if (m_spreader->isWatcher() && m_watcher->isListed() && !m_isStopping)
        m_planner->onTime(now, *m_view, m_spreader->replica(), m_engine->sealedInstances());
    if (now >= m_nextTrafficPoll) {
        m_nextTrafficPoll = now + TrafficPollInterval;
        m_traffic.report([this, alive = std::weak_ptr<bool>(m_alive)](const TrafficReport &report) {
            if (!alive.expired())
                onTrafficReport(report);
        });
    }
    if (m_isStopping)
        stopStep();
    publishIfChanged();
    scheduleTimer();
}

void ControlPlane::scheduleTimer()
{
    const Base::TimePoint latest = Clock::now() + LongestTimerInterval;
    m_timer.expires_at(std::min(m_engine->nextDeadline(), latest));
    m_timer.async_wait(
        [this, alive = std::weak_ptr<bool>(m_alive)](const boost::system::error_code &error) {
            if (!error && !alive.expired())
                onTimer();
        });
}

void ControlPlane::updateLease()
{
    const Base::TimePoint validUntil = m_engine->leaseValidUntil();
    if (validUntil == m_publishedLease)
        return;
    m_publishedLease = validUntil;
    m_traffic.setLeaseValidUntil(validUntil);
    if (validUntil > Clock::now() && m_self.backendChecksFencing)
        m_grants.grant(m_self.instance, validUntil);
}

void ControlPlane::publishIfChanged()
{
    if (!m_snapshots.isChanged())
        return;
    m_traffic.publish(m_snapshots.build(m_self, *m_view, *m_engine));
    if (m_view->routes())
        execute(m_spreader->setVersionInForce(Clock::now(), m_view->routes()->version));
}

void ControlPlane::publishNodeRecord()
{
    if (!m_watcher->isListed())
        return;
    Cluster::NodeRecord record = m_self;
    // A node without a live BackendServer routes and acts as a witness, but must not get slots.
    if (!m_backendIsUp && record.state == Cluster::NodeState::Active)
        record.state = Cluster::NodeState::Draining;
    m_recordWriter->setValue(Cluster::toJson(record).dump());
}

void ControlPlane::onTrafficReport(const TrafficReport &report)
{
    const Base::TimePoint now = Clock::now();
    if (report.backendReachable)
        m_backendSeen = now;
    const bool isUp
        = now - m_backendSeen < m_settings.backendTimeout && m_backendSeen != Base::TimePoint();
    if (isUp != m_backendIsUp)
        onBackendState(isUp);
    m_trafficQueues = report.queues;
    checkQueues(now);
    publishIfChanged(); // the served slots are reported as of the last snapshot
    reportToPlanner(report);
}

void ControlPlane::checkQueues(Base::TimePoint now)
{
    const Store::CallQueue calls = m_store.callQueue();
    m_queues.update(now, "store-calls", {calls.waiting, 0, {}, {calls.maxWaiting, 0}});
    for (const Peer::LinkState &link : m_links->links()) {
        if (link.bufferedBytes != 0)
            m_queues.update(now, "control-link/" + link.peer.node,
                            {0, link.bufferedBytes, {}, {0, m_links->sendBufferBytes()}});
    }
    m_queues.check(now);
}

void ControlPlane::onBackendState(bool isUp)
{
    m_backendIsUp = isUp;
    m_log.write(Base::LogLine(isUp ? "backend-up" : "backend-down"));
    if (isUp || m_isStopping) {
        publishNodeRecord();
        return;
    }
    // Successors take over at once when this instance declares that it stopped.
    execute(m_engine->stop(Clock::now()));
}

void ControlPlane::reportToPlanner(const TrafficReport &report)
{
    m_reporter.addLoad(Clock::now(), report.load);
    const std::optional<Base::InstanceId> &planner = m_view->planner();
    if (!planner)
        return;
    const Base::TimePoint now = Clock::now();
    for (const auto &message :
         m_reporter.takeDue(now, m_self.instance, *planner, m_snapshots.served())) {
        if (*planner == m_self.instance)
            onPlannerReport(message);
        else if (const auto result = m_links->send(*planner, message);
                 result != Peer::SendResult::Accepted && result != Peer::SendResult::Queued)
            m_reporter.repeatAll();
    }
}

bool ControlPlane::onPlannerReport(const Messages::PeerMessage &message)
{
    if (const auto *load = std::get_if<Messages::LoadSummary>(&message)) {
        m_planner->onLoadSummary(Clock::now(), *load);
        return true;
    }
    if (const auto *served = std::get_if<Messages::SlotsServed>(&message)) {
        m_planner->onSlotsServed(Clock::now(), *served);
        return true;
    }
    return false;
}

void ControlPlane::stopGracefully(std::function<void()> done)
{
    if (m_isStopping)
        return;
    m_isStopping = true;
    m_stopDone = std::move(done);
    m_stopDeadline = Clock::now() + m_settings.drainTimeout;
    m_log.write(Base::LogLine("stopping"));
    m_planner->stop();
    execute(m_engine->startDraining(Clock::now()));
}

void ControlPlane::stopStep()
{
    if (m_isDrainingAll)
        return;
    publishIfChanged();
    const auto &served = m_snapshots.served();
    const bool ownsSlots = std::any_of(served.begin(), served.end(),
                                       [](const auto &table) { return !table.second.empty(); });
    const Base::TimePoint now = Clock::now();
    // While the store is out nobody can plan the hand-over; successors take over after the stop
    // instead.
    if (ownsSlots && now < m_stopDeadline && m_watcher->isReachable())
        return;
    m_isDrainingAll = true;
    m_traffic.drainAll(std::max(m_stopDeadline, now + DrainDeadline),
                       [this, alive = std::weak_ptr<bool>(m_alive)] {
                           if (!alive.expired())
                               finishStop();
                       });
}

void ControlPlane::finishStop()
{
    execute(m_engine->stop(Clock::now()));
    m_log.write(Base::LogLine("stopped").add("instance", m_self.instance.toString()));
    const auto done = [this, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.expired() || !m_stopDone)
            return;
        m_watcher->stop();
        m_timer.cancel();
        std::exchange(m_stopDone, nullptr)();
    };
    if (m_watcher->isReachable())
        m_recordWriter->remove(done);
    else
        boost::asio::post(m_context, done);
}

bool ControlPlane::isReady() const
{
    return m_view && m_view->routes() && m_engine->leaseValidUntil() > Clock::now()
           && !m_isStopping;
}

ControlReport ControlPlane::report() const
{
    ControlReport report;
    report.self = &m_self;
    report.view = m_view.get();
    report.engine = m_engine.get();
    report.snapshots = &m_snapshots;
    report.links = m_links->total();
    report.linkCount = m_links->links().size();
    report.isReady = isReady();
    report.isWatcher = m_spreader->isWatcher();
    report.isPlanner = m_planner->isPlanner();
    report.isStoreReachable = m_watcher->isReachable();
    report.isBackendUp = m_backendIsUp;
    report.instanceRestarts = m_instanceRestarts;
    report.queues = m_queues.list(Clock::now());
    report.queues.insert(report.queues.end(), m_trafficQueues.begin(), m_trafficQueues.end());
    return report;
}

} // namespace Medlar::Daemon
