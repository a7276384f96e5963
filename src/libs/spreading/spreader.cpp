#include "spreader.h"

#include "base/keyhash.h"
#include "pushtree.h"

#include <algorithm>
#include <utility>

namespace Medlar::Spreading {

using Base::InstanceId;

namespace {

// Acknowledgements are repeated so that a new first watcher, or one that missed them, gets them.
constexpr int DigestsPerAcknowledgement = 5;

void append(SpreadCommands &commands, SpreadCommands more)
{
    std::move(more.begin(), more.end(), std::back_inserter(commands));
}

} // namespace

Spreader::Spreader(const SpreaderSettings &settings) : m_settings(settings), m_random(settings.seed)
{}

void Spreader::setMembers(std::vector<Cluster::NodeRecord> members)
{
    m_members = std::move(members);
    updateWatchers();
}

void Spreader::updateWatchers()
{
    std::vector<Cluster::NodeRecord> live;
    std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(live),
                 [this](const auto &member) { return m_seals.count(member.instance) == 0; });
    m_watchers = watchersOf(m_settings.self.availabilityZone, live);
}

bool Spreader::isWatcher() const
{
    return std::find(m_watchers.begin(), m_watchers.end(), m_settings.self.instance)
           != m_watchers.end();
}

bool Spreader::isFirstWatcher() const
{
    return !m_watchers.empty() && m_watchers.front() == m_settings.self.instance;
}

SpreadCommands Spreader::onStoreObject(const std::string &key, std::uint64_t version,
                                       std::optional<std::string> value)
{
    const HeldObject *held = m_replica.find(key);
    const HeldObject before = held ? *held : HeldObject();
    const std::optional<std::string> sent = value;
    SpreadCommands commands = onObject(key, version, std::move(value));
    if (commands.empty() || !isFirstWatcher())
        return commands;

    std::vector<InstanceId> receivers = zoneMembers();
    std::optional<std::string> delta;
    if (before.value && sent)
        delta = makeDelta(key, *before.value, *sent);
    if (delta)
        append(commands, pushTo(receivers, Messages::ObjectDelta{key, before.version, version,
                                                                 std::move(*delta)}));
    else
        append(commands, pushTo(receivers, Messages::ObjectChanged{key, version, sent}));
    return commands;
}

SpreadCommands Spreader::onMessage(const InstanceId &from, const Messages::PeerMessage &message)
{
    if (const auto *changed = std::get_if<Messages::ObjectChanged>(&message))
        return onObject(changed->key, changed->version, changed->value);
    if (const auto *delta = std::get_if<Messages::ObjectDelta>(&message))
        return onDelta(from, *delta);
    if (const auto *digest = std::get_if<Messages::Digest>(&message))
        return onDigest(from, *digest);
    if (const auto *reply = std::get_if<Messages::DigestReply>(&message))
        return onDigestReply(from, *reply);
    if (const auto *acknowledged = std::get_if<Messages::Acknowledged>(&message)) {
        const ZoneStatus before = m_writtenStatus.value_or(ZoneStatus());
        m_acknowledgements.acknowledge(acknowledged->instance, acknowledged->configurationVersion);
        SpreadCommands commands;
        const ZoneStatus now = m_acknowledgements.status(m_settings.self.availabilityZone,
                                                         m_settings.self.instance, zoneMembers());
        // Changes of the laggards alone wait for the timer, which bounds the writes for each
        // change.
        if (now.lowestVersion > before.lowestVersion)
            updateStatus(commands);
        return commands;
    }
    if (const auto *seal = std::get_if<Messages::Sealed>(&message)) {
        SpreadCommands commands = learnSeal(*seal);
        // Also when the seal is known: this daemon may have learnt it as a leaf of another origin's
        // tree.
        if (seal->relay)
            append(commands, pushSeal(from, {seal->instance, seal->reason, false}));
        return commands;
    }
    return {};
}

SpreadCommands Spreader::propagateSeal(const Messages::Sealed &seal)
{
    SpreadCommands commands = learnSeal(seal);
    append(commands, pushSeal(m_settings.self.instance, {seal.instance, seal.reason, true}));
    return commands;
}

SpreadCommands Spreader::pushSeal(const InstanceId &origin, const Messages::Sealed &seal) const
{
    // The tree is made of all announced nodes, because seals are learnt at different times and
    // every relay must compute the same tree. Children that are sealed are passed over in favour of
    // their children.
    std::vector<InstanceId> announced;
    for (const Cluster::NodeRecord &member : m_members)
        announced.push_back(member.instance);
    const std::size_t fanOut = twoLevelFanOut(announced.size());
    SpreadCommands commands;
    for (const InstanceId &child :
         childrenInTree(origin, m_settings.self.instance, announced, fanOut)) {
        if (m_seals.count(child) == 0) {
            append(commands, pushTo({child}, seal));
            continue;
        }
        append(commands, pushTo(childrenInTree(origin, child, announced, fanOut),
                                Messages::Sealed{seal.instance, seal.reason, false}));
    }
    return commands;
}

SpreadCommands Spreader::setVersionInForce(Base::TimePoint now, std::uint64_t version)
{
    // Called with every snapshot; what is unchanged is repeated by onTime() only.
    if (version == m_versionInForce)
        return {};
    m_versionInForce = version;
    m_acknowledgements.acknowledge(m_settings.self.instance, version);
    return acknowledge(now);
}

SpreadCommands Spreader::onTime(Base::TimePoint now)
{
    SpreadCommands commands;
    if (now < m_nextDigest)
        return commands;
    m_nextDigest = now + m_settings.digestInterval;

    // Half of the digests go to the own zone, where links are short; the others reach other zones.
    std::vector<InstanceId> candidates = m_random() % 2 == 0 ? zoneMembers() : allMembers();
    candidates.erase(std::remove(candidates.begin(), candidates.end(), m_settings.self.instance),
                     candidates.end());
    if (!candidates.empty())
        commands.push_back(SendTo{candidates[m_random() % candidates.size()],
                                  Messages::Digest{m_replica.hash(), m_sealsHash}});

    const bool watcherChanged = !m_watchers.empty() && m_acknowledgedTo.first != m_watchers.front();
    if (watcherChanged || now >= m_nextAcknowledge)
        append(commands, acknowledge(now));
    updateStatus(commands);
    return commands;
}

SpreadCommands Spreader::onObject(const std::string &key, std::uint64_t version,
                                  std::optional<std::string> value)
{
    if (!m_replica.update(key, version, std::move(value)))
        return {};
    return {ObjectApplied{key}};
}

SpreadCommands Spreader::onDelta(const InstanceId &from, const Messages::ObjectDelta &delta)
{
    if (m_replica.apply(delta))
        return {ObjectApplied{delta.key}};

    const HeldObject *held = m_replica.find(delta.key);
    if (held && held->version >= delta.version)
        return {};
    // The base version is missing here, so the sender is asked for what differs.
    return {SendTo{from, Messages::DigestReply{m_replica.versions(), {}, false}}};
}

SpreadCommands Spreader::onDigest(const InstanceId &from, const Messages::Digest &digest)
{
    if (digest.objectsHash == m_replica.hash() && digest.sealsHash == m_sealsHash)
        return {};
    std::vector<InstanceId> sealed;
    for (const auto &[instance, seal] : m_seals)
        sealed.push_back(instance);
    return {SendTo{from, Messages::DigestReply{m_replica.versions(), std::move(sealed), true}}};
}

SpreadCommands Spreader::onDigestReply(const InstanceId &from, const Messages::DigestReply &reply)
{
    SpreadCommands commands;
    bool isBehind = false;
    for (const auto &[key, held] : m_replica.objects()) {
        const auto theirs = reply.versions.find(key);
        if (theirs == reply.versions.end() || theirs->second < held.version)
            commands.push_back(
                SendTo{from, Messages::ObjectChanged{key, held.version, held.value}});
    }
    for (const auto &[key, version] : reply.versions) {
        const HeldObject *held = m_replica.find(key);
        isBehind = isBehind || !held || held->version < version;
    }

    const std::set<InstanceId> theirSeals(reply.sealed.begin(), reply.sealed.end());
    for (const auto &[instance, seal] : m_seals) {
        if (theirSeals.count(instance) == 0)
            commands.push_back(SendTo{from, seal});
    }
    std::vector<InstanceId> ownSeals;
    for (const auto &[instance, seal] : m_seals)
        ownSeals.push_back(instance);
    for (const InstanceId &instance : theirSeals)
        isBehind = isBehind || m_seals.count(instance) == 0;

    if (isBehind && reply.wantsReply)
        commands.push_back(
            SendTo{from, Messages::DigestReply{m_replica.versions(), std::move(ownSeals), false}});
    return commands;
}

SpreadCommands Spreader::learnSeal(const Messages::Sealed &seal)
{
    if (m_seals.count(seal.instance) != 0)
        return {};
    addSeal(seal);
    return {SealLearnt{seal}};
}

void Spreader::addSeal(const Messages::Sealed &seal)
{
    m_seals[seal.instance] = {seal.instance, seal.reason, false};
    m_sealsHash ^= Base::keyHash(seal.instance.toString());
    updateWatchers();
}

SpreadCommands Spreader::pushTo(const std::vector<InstanceId> &receivers,
                                const Messages::PeerMessage &message) const
{
    SpreadCommands commands;
    for (const InstanceId &receiver : receivers) {
        if (receiver != m_settings.self.instance)
            commands.push_back(SendTo{receiver, message});
    }
    return commands;
}

SpreadCommands Spreader::acknowledge(Base::TimePoint now)
{
    m_nextAcknowledge = now + m_settings.digestInterval * DigestsPerAcknowledgement;
    if (m_watchers.empty())
        return {};
    m_acknowledgedTo = {m_watchers.front(), m_versionInForce};
    SpreadCommands commands;
    if (isFirstWatcher())
        updateStatus(commands);
    else
        commands.push_back(
            SendTo{m_watchers.front(),
                   Messages::Acknowledged{m_settings.self.instance, m_versionInForce}});
    return commands;
}

void Spreader::updateStatus(SpreadCommands &commands)
{
    if (!isFirstWatcher())
        return;
    const ZoneStatus status = m_acknowledgements.status(m_settings.self.availabilityZone,
                                                        m_settings.self.instance, zoneMembers());
    if (m_writtenStatus == status)
        return;
    m_writtenStatus = status;
    commands.push_back(WriteStatus{status});
}

std::vector<InstanceId> Spreader::zoneMembers() const
{
    std::vector<InstanceId> result;
    for (const Cluster::NodeRecord &member : m_members) {
        if (member.availabilityZone == m_settings.self.availabilityZone
            && m_seals.count(member.instance) == 0)
            result.push_back(member.instance);
    }
    return result;
}

std::vector<InstanceId> Spreader::allMembers() const
{
    std::vector<InstanceId> result;
    for (const Cluster::NodeRecord &member : m_members) {
        if (m_seals.count(member.instance) == 0)
            result.push_back(member.instance);
    }
    return result;
}

} // namespace Medlar::Spreading
