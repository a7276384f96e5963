#include "plannerrunner.h"

#include "objectkeys.h"

#include <algorithm>
#include <utility>

namespace Medlar::Daemon {

using nlohmann::json;

namespace {

constexpr double LeastRampFactor = 0.1;

std::string leaseValue(const Base::InstanceId &holder)
{
    return json{{"holder", holder.toString()}}.dump();
}

} // namespace

PlannerRunner::PlannerRunner(const PlannerSettings &settings, Store::ObjectStore &store,
                             Base::LogSink &log, WrittenHandler onWritten)
    : m_settings(settings), m_store(store), m_log(log), m_onWritten(std::move(onWritten))
{}

void PlannerRunner::onLeaseObject(Base::TimePoint now, Store::Version version,
                                  const std::optional<std::string> &value)
{
    if (version <= m_leaseVersion)
        return;
    m_leaseVersion = version;
    m_leaseSeen = now;
    m_leaseIsFree = !value;
    if (m_isPlanner && value != leaseValue(m_settings.self))
        setPlanner(false, "lease-taken-over");
}

void PlannerRunner::onLoadSummary(Base::TimePoint now, const Messages::LoadSummary &summary)
{
    m_load.onSummary(now, summary);
}

void PlannerRunner::onSlotsServed(Base::TimePoint now, const Messages::SlotsServed &served)
{
    m_load.onServed(now, served);
    auto &settled = m_settled[served.service];
    for (const Messages::SlotEpoch &slot : served.slots)
        settled[slot.slot] = std::max(settled[slot.slot], slot.epoch);
}

void PlannerRunner::onTime(Base::TimePoint now, const ControlView &view,
                           const Spreading::ObjectReplica &replica,
                           const std::unordered_set<Base::InstanceId> &sealed)
{
    if (m_leaseSeen == Base::TimePoint())
        m_leaseSeen = now;
    const bool leaseIsFree = m_leaseIsFree || m_leaseVersion == 0;
    const bool leaseExpired = now - m_leaseSeen >= m_settings.takeoverAfter;
    if (m_isPlanner ? now >= m_nextRenewal : leaseIsFree || leaseExpired)
        renew(now);

    if (!m_isPlanner || now < m_nextPlan || !view.routes())
        return;
    m_nextPlan = now + m_settings.planInterval;
    announce(replica);
    removeSealedNodes(now, view, replica, sealed);

    std::set<std::string> planned;
    for (const auto &[name, route] : view.routes()->routes) {
        if (route.keyed && planned.insert(Configuration::tableName(route)).second)
            planTable(now, route, view, replica, sealed);
    }
    m_isFirstRound = false;
}

void PlannerRunner::stop()
{
    if (!m_isPlanner)
        return;
    setPlanner(false, "stopping");
    m_store.remove(std::string(Keys::PlannerLease), m_leaseVersion, [](auto) {});
}

void PlannerRunner::renew(Base::TimePoint now)
{
    if (m_isRenewing)
        return;
    m_isRenewing = true;
    m_nextRenewal = now + m_settings.renewInterval;
    m_store.put(std::string(Keys::PlannerLease), leaseValue(m_settings.self),
                m_leaseIsFree ? 0 : m_leaseVersion,
                [this, now, alive = std::weak_ptr<bool>(m_alive)](auto result) {
                    if (alive.expired())
                        return;
                    m_leaseSeen = now;
                    onRenewed(std::move(result));
                });
}

void PlannerRunner::onRenewed(Store::Result<Store::Version> result)
{
    m_isRenewing = false;
    if (result) {
        m_leaseVersion = std::max(m_leaseVersion, *result);
        m_leaseIsFree = false;
        if (!m_isPlanner)
            setPlanner(true, "lease-acquired");
        return;
    }
    if (result.error().code == Store::StoreErrorCode::Conflict) {
        m_leaseVersion = std::max(m_leaseVersion, result.error().currentVersion);
        m_leaseIsFree = result.error().currentVersion == 0;
        setPlanner(false, "lease-conflict");
    }
}

void PlannerRunner::setPlanner(bool isPlanner, const std::string &reason)
{
    if (m_isPlanner == isPlanner)
        return;
    m_isPlanner = isPlanner;
    m_log.write(Base::LogLine(isPlanner ? "planner-started" : "planner-stopped")
                    .add("reason", reason)
                    .add("lease_version", m_leaseVersion));
}

void PlannerRunner::announce(const Spreading::ObjectReplica &replica)
{
    const std::string key(Keys::PlannerCurrent);
    const Spreading::HeldObject *held = replica.find(key);
    const std::string value = leaseValue(m_settings.self);
    if (!held || held->value != value)
        put(key, value, held && held->value ? held->version : 0);
}

// The part of its share that a node gets while its BackendServer is ramped. A node that came back
// with its whole share at once would have to refuse most of it.
double PlannerRunner::rampFactor(Base::TimePoint now, const Base::InstanceId &instance,
                                 bool accepts, Base::Duration rampTime)
{
    if (!accepts) {
        m_acceptingSince.erase(instance);
        return 1.0;
    }
    const Base::TimePoint warmSince = now - std::chrono::hours(24);
    const auto since
        = m_acceptingSince.try_emplace(instance, m_isFirstRound ? warmSince : now).first->second;
    if (now - since >= rampTime)
        return 1.0;
    const double progress = std::chrono::duration<double>(now - since).count()
                            / std::chrono::duration<double>(rampTime).count();
    return std::max(LeastRampFactor, progress);
}

std::vector<Placement::PlanNode> PlannerRunner::nodesFor(Base::TimePoint now,
                                                         const Configuration::Route &route,
                                                         const ControlView &view)
{
    std::vector<Placement::PlanNode> result;
    for (const auto &[name, record] : view.nodes()) {
        const bool offers = std::find(record.services.begin(), record.services.end(), route.service)
                            != record.services.end();
        if (!offers || !route.allowsRegion(record.region)
            || record.state == Cluster::NodeState::Left)
            continue;
        const bool accepts = record.state == Cluster::NodeState::Active
                             && view.zonesOut().count(record.availabilityZone) == 0
                             && view.nodesOut().count(name) == 0;
        const double capacity = std::max<std::uint32_t>(record.backendSlots, 1)
                                * rampFactor(now, record.instance, accepts, route.rampTime);
        result.push_back(
            {record.instance, record.region, record.availabilityZone, capacity, accepts});
    }
    return result;
}

void PlannerRunner::planTable(Base::TimePoint now, const Configuration::Route &route,
                              const ControlView &view, const Spreading::ObjectReplica &replica,
                              const std::unordered_set<Base::InstanceId> &sealed)
{
    const std::string table = Configuration::tableName(route);
    auto slots = Cluster::SlotTable::create(table, route.slotCount);
    if (!slots)
        return;
    // Planned from the stored chunks alone, because they are what the conditional update is checked
    // against.
    for (std::uint32_t index = 0; index < slots->chunkCount(); ++index) {
        const Spreading::HeldObject *held = replica.find(Keys::chunkKey(table, index));
        if (!held || !held->value)
            continue;
        const auto chunk = Cluster::decodeChunk(*held->value);
        if (!chunk || chunk->slotCount != route.slotCount)
            return;
        for (const auto &assignment : chunk->assignments)
            slots->merge(assignment);
    }

    Placement::PlanInput input;
    input.table = &*slots;
    input.nodes = nodesFor(now, route, view);
    input.sealed = sealed;
    input.settled = m_settled[table];
    m_load.updateHotKeys(table, input.nodes.size());
    input.slotWeights = m_load.slotWeights(table, now);
    input.hotKeys = m_load.hotKeys(table);
    input.formerNodes = m_formerNodes[table];
    const std::size_t moveBudget = takeMoveBudget(now);
    input.limits.maxBalancingMoves = m_load.isReceiving(table, now) ? 0 : moveBudget;
    const Placement::Plan plan = Placement::planSlots(input);
    if (plan.changed.empty())
        return;
    m_moveBudget -= double(plan.balancingMoves);
    m_load.onPlanned(now, table, route.slotCount, plan.changed);
    rememberFormerNodes(table, input, plan);
    logPlan(table, plan);
    writeChunks(table, *slots, plan, replica);
}

void PlannerRunner::rememberFormerNodes(const std::string &table, const Placement::PlanInput &input,
                                        const Placement::Plan &plan)
{
    const auto mayServe = [&input](const Base::InstanceId &owner) {
        return input.sealed.count(owner) == 0
               && std::any_of(input.nodes.begin(), input.nodes.end(), [&owner](const auto &node) {
                      return node.acceptsSlots && node.instance == owner;
                  });
    };
    auto &formerNodes = m_formerNodes[table];
    for (const Cluster::SlotAssignment &assignment : plan.changed) {
        const Cluster::SlotEntry *earlier = input.table->entry(assignment.slot);
        if (!earlier)
            continue;
        const Base::InstanceId &from = earlier->owners.front();
        const Base::InstanceId &to = assignment.entry.owners.front();
        if (from == to)
            continue;
        // A move for balance is meant to last.
        if (mayServe(from))
            formerNodes.erase(assignment.slot);
        else
            formerNodes.try_emplace(assignment.slot, from.node);
    }
}

std::size_t PlannerRunner::takeMoveBudget(Base::TimePoint now)
{
    using Hours = std::chrono::duration<double, std::ratio<3600>>;
    const double perHour = double(m_settings.balancingMovesPerHour);
    if (m_budgetUpdated == Base::TimePoint())
        m_moveBudget = perHour;
    else
        m_moveBudget
            = std::min(perHour, m_moveBudget + perHour * Hours(now - m_budgetUpdated).count());
    m_budgetUpdated = now;
    return m_moveBudget <= 0.0 ? 0 : std::size_t(m_moveBudget);
}

void PlannerRunner::writeChunks(const std::string &table, const Cluster::SlotTable &slots,
                                const Placement::Plan &plan,
                                const Spreading::ObjectReplica &replica)
{
    Cluster::SlotTable next = slots;
    std::set<std::uint32_t> chunks;
    for (const auto &assignment : plan.changed) {
        next.merge(assignment);
        chunks.insert(next.chunkOf(assignment.slot));
    }
    for (const std::uint32_t index : chunks) {
        const std::string key = Keys::chunkKey(table, index);
        const Spreading::HeldObject *held = replica.find(key);
        put(key, Cluster::encodeChunk({table, slots.slotCount(), next.chunk(index)}),
            held && held->value ? held->version : 0);
    }
}

void PlannerRunner::removeSealedNodes(Base::TimePoint now, const ControlView &view,
                                      const Spreading::ObjectReplica &replica,
                                      const std::unordered_set<Base::InstanceId> &sealed)
{
    // The seal is recorded before the node record goes, so that daemons that start later learn of
    // it.
    const SealChanges seals = m_seals.decide(now, replica, sealed);
    for (const Base::InstanceId &instance : seals.record)
        put(Keys::sealKey(instance), "{}", 0);
    for (const Base::InstanceId &instance : seals.remove)
        remove(Keys::sealKey(instance), replica);
    for (const auto &[name, record] : view.nodes()) {
        const Spreading::HeldObject *seal = replica.find(Keys::sealKey(record.instance));
        if (sealed.count(record.instance) != 0 && seal && seal->value)
            remove(std::string(Keys::Nodes) + name, replica);
    }
}

void PlannerRunner::remove(const std::string &key, const Spreading::ObjectReplica &replica)
{
    const Spreading::HeldObject *held = replica.find(key);
    if (!held || !held->value || !m_pendingWrites.insert(key).second)
        return;
    m_store.remove(key, held->version,
                   [this, key, alive = std::weak_ptr<bool>(m_alive)](auto result) {
                       if (alive.expired())
                           return;
                       m_pendingWrites.erase(key);
                       if (result)
                           m_onWritten(key, *result, std::nullopt);
                   });
}

void PlannerRunner::put(const std::string &key, const std::string &value, Store::Version expected)
{
    if (!m_pendingWrites.insert(key).second)
        return;
    m_store.put(key, value, expected,
                [this, key, value, alive = std::weak_ptr<bool>(m_alive)](auto result) {
                    if (alive.expired())
                        return;
                    m_pendingWrites.erase(key);
                    if (result) {
                        m_onWritten(key, *result, value);
                        return;
                    }
                    m_log.write(Base::LogLine("planner-write-failed")
                                    .add("key", key)
                                    .add("detail", result.error().detail)
                                    .add("current_version", result.error().currentVersion));
                });
}

void PlannerRunner::logPlan(const std::string &table, const Placement::Plan &plan) const
{
    m_log.write(Base::LogLine("assignment-planned")
                    .add("table", table)
                    .add("changed", plan.changed.size())
                    .add("repaired", plan.repaired)
                    .add("balancing_moves", plan.balancingMoves)
                    .add("hot_key_changes", plan.hotKeyChanges)
                    .add("deferred", plan.deferred)
                    .add("imbalance_before", plan.imbalanceBefore)
                    .add("imbalance_after", plan.imbalanceAfter));
}

} // namespace Medlar::Daemon
