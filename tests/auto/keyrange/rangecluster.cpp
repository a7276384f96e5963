#include "rangecluster.h"

#include <algorithm>

namespace Medlar::KeyRange {

using namespace std::chrono_literals;

namespace {

constexpr Base::Duration Step = 20ms;
// Distance of the keys that are checked; ranges start and end at multiples of 1024.
constexpr Key SampleDistance = 1024;

RangeTable initialTable(std::size_t nodes)
{
    std::vector<RangeRow> rows;
    for (std::size_t i = 0; i < nodes; ++i) {
        const auto first = static_cast<Key>(65536 * i / nodes / SampleDistance * SampleDistance);
        const auto end
            = static_cast<Key>(65536 * (i + 1) / nodes / SampleDistance * SampleDistance);
        rows.push_back(
            {{first, i + 1 == nodes ? LastKey : end - 1}, "n" + std::to_string(i), 1, {}, {}});
    }
    return *RangeTable::create(rows, 1);
}

} // namespace

bool FakeTableStore::write(TableVersion expected, const RangeTable &next)
{
    if (expected != version)
        return false;
    table = next;
    ++version;
    return true;
}

void FakeTableStore::runLateWrites(Base::TimePoint now)
{
    for (const LateWrite &late : lateWrites) {
        if (late.at <= now)
            write(late.expected, late.table);
    }
    lateWrites.erase(std::remove_if(lateWrites.begin(), lateWrites.end(),
                                    [now](const LateWrite &late) { return late.at <= now; }),
                     lateWrites.end());
}

void FakeHolder::expire(Base::TimePoint now)
{
    for (Hold &hold : holds) {
        if (hold.isWithdrawn && now >= hold.busyUntil)
            freed.push_back({hold.range, "handover"});
    }
    holds.erase(std::remove_if(holds.begin(), holds.end(),
                               [now](const Hold &hold) {
                                   return now >= hold.until
                                          || (hold.isWithdrawn && now >= hold.busyUntil);
                               }),
                holds.end());
}

HeldReport FakeHolder::report()
{
    HeldReport result{"backend", incarnation, ++sequence, {}, std::move(freed)};
    freed.clear();
    for (const Hold &hold : holds)
        result.held.push_back({hold.range, hold.token});
    return result;
}

void FakeHolder::take(Base::TimePoint sentAt, Base::TimePoint now, const HoldGrant &grant,
                      std::mt19937_64 &random)
{
    const auto length = std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, Base::Duration::period>(grant.hold) * clockRate);
    const Base::TimePoint until = sentAt + length;
    std::vector<Hold> next;
    for (const GrantedRange &range : grant.ranges) {
        if (until > now)
            next.push_back({range.range, range.token, until, {}, false});
    }
    for (Hold &hold : holds) {
        const bool isKept = std::any_of(next.begin(), next.end(), [&hold](const Hold &kept) {
            return kept.range.overlaps(hold.range);
        });
        if (isKept)
            continue;
        if (!hold.isWithdrawn) {
            hold.isWithdrawn = true;
            hold.busyUntil = now + std::chrono::milliseconds(random() % 300);
        }
        next.push_back(hold);
    }
    holds = std::move(next);
}

RangeCluster::RangeCluster(std::uint64_t seed, std::size_t nodes, const KeeperRules &rules)
    : m_random(seed)
    , m_rules(rules)
    , m_now(Base::TimePoint{} + 1h)
    , m_store{initialTable(nodes), 1, {}, false}
    , m_changes(rules.checksRowsOfChanges)
{
    for (std::size_t i = 0; i < nodes; ++i) {
        FakeRangeNode node;
        node.name = "n" + std::to_string(i);
        node.keeper = makeKeeper(node.name);
        node.holder.incarnation = 1000 * (i + 1);
        node.holder.clockRate = chance(0.5) ? 1.02 : 1.0;
        node.holder.nextBeat = m_now + between(0ms, 1s);
        m_nodes.push_back(std::move(node));
    }
}

std::unique_ptr<RangeKeeper> RangeCluster::makeKeeper(const std::string &name) const
{
    return std::make_unique<RangeKeeper>(name, m_now, KeeperTiming{}, m_rules);
}

bool RangeCluster::chance(double probability)
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < probability;
}

Base::Duration RangeCluster::between(Base::Duration least, Base::Duration most)
{
    return Base::Duration(
        std::uniform_int_distribution<Base::Duration::rep>(least.count(), most.count())(m_random));
}

void RangeCluster::disturb()
{
    FakeRangeNode &node = m_nodes[m_random() % m_nodes.size()];
    switch (m_random() % 9) {
    case 8:
        node.deafUntil = m_now + between(1s, 30s);
        break;
    case 0: // the daemon restarts while its BackendServer keeps running
        node.keeper.reset();
        node.downUntil = m_now + between(100ms, 6s);
        break;
    case 1: // the BackendServer restarts under the same id
        node.holder.holds.clear();
        node.holder.freed.clear();
        node.holder.sequence = 0;
        ++node.holder.incarnation;
        node.holder.nextBeat = m_now + between(0ms, 3s);
        break;
    case 2:
        node.suspendedUntil = m_now + between(100ms, 20s);
        break;
    case 3:
        node.cutUntil = m_now + between(1s, 20s);
        break;
    case 4:
        m_storeDownUntil = m_now + between(1s, 15s);
        break;
    case 5: // heartbeats of the BackendServer are delayed
        node.holder.nextBeat = m_now + between(1s, 10s);
        break;
    case 6: // power loss of the VM
        node.keeper.reset();
        node.downUntil = m_now + between(500ms, 15s);
        node.holder.holds.clear();
        node.holder.freed.clear();
        node.holder.sequence = 0;
        ++node.holder.incarnation;
        node.holder.nextBeat = node.downUntil;
        break;
    default: // several daemons restart at the same time
        for (FakeRangeNode &each : m_nodes) {
            if (!chance(0.3))
                continue;
            each.keeper.reset();
            each.downUntil = m_now + between(500ms, 2s);
        }
    }
}

// Makes a random change that a planner may write, whether it is useful or not.
void RangeCluster::plan()
{
    std::vector<RangeRow> rows = m_store.table.rows();
    const auto first = static_cast<Key>(m_random() % 64 * SampleDistance);
    for (RangeRow &row : rows) {
        if (!row.successor.empty() && chance(0.1))
            row.successor.clear();
    }
    const auto found = std::find_if(rows.begin(), rows.end(), [first](const RangeRow &row) {
        return row.range.contains(first);
    });
    const Range part{first, std::min<Key>(found->range.last, first + SampleDistance - 1)};
    const std::string successor = "n" + std::to_string(m_random() % m_nodes.size());
    if (successor != found->owner)
        rows[isolate(rows, part)].successor = successor;
    m_store.write(m_store.version, *RangeTable::create(rows, m_store.table.lastEpoch()));
}

void RangeCluster::writeWanted(FakeRangeNode &node)
{
    const auto wanted = node.keeper->wantedTable(m_now);
    if (!wanted || m_now < node.nextWrite)
        return;
    node.nextWrite = m_now + 300ms;
    const TableVersion expected = node.keeper->version();
    if (chance(0.5)) {
        const std::string delta = wanted->deltaFrom(*node.keeper->table());
        const Base::Duration way = m_isDisturbed ? between(0ms, 8s) : 20ms;
        m_mail.push_back({m_now + way, {expected, delta}});
        return;
    }
    const bool isLate = m_isDisturbed && chance(0.1);
    if (isLate) {
        m_store.lateWrites.push_back({m_now + between(500ms, 6s), expected, *wanted});
        return;
    }
    if (!m_store.write(expected, *wanted) || (m_isDisturbed && chance(0.2)))
        return; // version conflict, or the response is lost
    node.keeper->onTable(m_now, m_store.version, m_store.table);
    node.keeper->onConfirmed(m_now, m_store.version);
}

// Observes most versions in sequence and writes the changes of other nodes while the store is up.
void RangeCluster::runWriter()
{
    if (m_store.version != m_writerVersion) {
        const bool isNext = m_store.version == m_writerVersion + 1 && m_writerTable;
        m_changes.onTable(m_store.version, isNext ? &*m_writerTable : nullptr, m_store.table);
        m_writerVersion = m_store.version;
        m_writerTable = m_store.table;
    }
    for (auto mail = m_mail.begin(); mail != m_mail.end();) {
        if (m_now < mail->at) {
            ++mail;
            continue;
        }
        m_changes.add(mail->change);
        mail = m_mail.erase(mail);
    }
    const auto next = m_changes.applied(m_store.table, m_store.version);
    if (!next)
        return;
    if (m_isDisturbed && chance(0.1))
        m_store.lateWrites.push_back({m_now + between(500ms, 6s), m_store.version, *next});
    else
        m_store.write(m_store.version, *next);
}

void RangeCluster::beat(FakeRangeNode &node)
{
    if (m_now < node.holder.nextBeat)
        return;
    node.holder.nextBeat = m_now + (node.holder.holds.empty() ? 1s : 900ms);
    const bool isReleasing
        = std::any_of(node.holder.holds.begin(), node.holder.holds.end(),
                      [](const FakeHolder::Hold &hold) { return hold.isWithdrawn; });
    if (isReleasing)
        node.holder.nextBeat = m_now + 100ms;
    const HeldReport report = node.holder.report();
    const auto grant = node.keeper->onHeartbeat(m_now, report);
    const bool isLost = m_isDisturbed && chance(0.1);
    if (grant && !isLost)
        node.holder.take(m_now, m_now, *grant, m_random);
}

void RangeCluster::runNode(FakeRangeNode &node)
{
    node.holder.expire(m_now);
    if (!node.keeper && m_now >= node.downUntil) {
        node.keeper = makeKeeper(node.name);
        node.read.reset();
        node.nextConfirm = m_now;
    }
    if (!node.keeper || m_now < node.suspendedUntil)
        return;
    const bool reachesStore = m_now >= node.cutUntil && m_now >= m_storeDownUntil;
    if (reachesStore && m_now >= node.nextConfirm) {
        node.nextConfirm = m_now + 2500ms;
        if (node.mustReadTable || (m_now >= node.deafUntil && chance(0.5))) {
            node.mustReadTable = false;
            node.keeper->onTable(m_now, m_store.version, m_store.table);
            node.keeper->onConfirmed(m_now, m_store.version);
        } else {
            // Only the version is read, through another node.
            node.read = {m_now, m_now + between(0ms, 2s), m_store.version};
        }
    } else if (reachesStore && m_now >= node.deafUntil && chance(0.1)) {
        node.keeper->onTable(m_now, m_store.version, m_store.table); // watch event
    }
    if (node.read && m_now >= node.read->answeredAt) {
        if (node.read->version > node.keeper->version() && m_rules.confirmsKnownVersionsOnly) {
            node.mustReadTable = true;
            node.nextConfirm = m_now;
        }
        node.keeper->onConfirmed(node.read->sentAt, node.read->version);
        node.read.reset();
    }
    beat(node);
    if (reachesStore)
        writeWanted(node);
}

std::optional<std::string> RangeCluster::violation()
{
    for (Key key = 0; key <= LastKey; key += SampleDistance) {
        const FakeRangeNode *holder = nullptr;
        for (const FakeRangeNode &node : m_nodes) {
            for (const FakeHolder::Hold &hold : node.holder.holds) {
                if (!hold.range.contains(key) || m_now >= hold.until)
                    continue;
                const std::string incarnation
                    = node.name + '#' + std::to_string(node.holder.incarnation);
                if (holder && holder != &node)
                    return "key " + std::to_string(key) + " is held by " + holder->name + " and "
                           + node.name;
                holder = &node;
                auto &highest = m_highest[key];
                if (highest.second != incarnation && hold.token <= highest.first
                    && !highest.second.empty())
                    return "key " + std::to_string(key) + " was granted to " + incarnation
                           + " with token " + std::to_string(hold.token)
                           + ", which does not exceed the token of " + highest.second;
                if (hold.token >= highest.first)
                    highest = {hold.token, incarnation};
            }
        }
    }
    return std::nullopt;
}

void RangeCluster::step()
{
    m_now += Step;
    if (m_isDisturbed && chance(0.01))
        disturb();
    if (m_now >= m_storeDownUntil) {
        m_store.runLateWrites(m_now);
        if (m_isDisturbed && chance(0.02))
            plan();
        runWriter();
    }
    for (FakeRangeNode &node : m_nodes)
        runNode(node);
}

std::optional<std::string> RangeCluster::run(Base::Duration length)
{
    const Base::TimePoint end = m_now + length;
    while (m_now < end) {
        step();
        if (auto found = violation())
            return found;
    }
    return std::nullopt;
}

bool RangeCluster::recovers(Base::Duration calm)
{
    m_isDisturbed = false;
    const Base::TimePoint end = m_now + calm;
    while (m_now < end)
        step();
    for (Key key = 0; key <= LastKey; key += SampleDistance) {
        const bool isHeld = std::any_of(m_nodes.begin(), m_nodes.end(), [key](const auto &node) {
            return std::any_of(
                node.holder.holds.begin(), node.holder.holds.end(),
                [key](const FakeHolder::Hold &hold) { return hold.range.contains(key); });
        });
        if (!isHeld)
            return false;
    }
    return true;
}

} // namespace Medlar::KeyRange
