#pragma once

#include "acknowledgements.h"
#include "base/time.h"
#include "cluster/noderecord.h"
#include "objectreplica.h"

#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace Medlar::Spreading {

struct SpreaderSettings
{
    Cluster::NodeRecord self;
    std::chrono::milliseconds digestInterval{1000};
    std::uint64_t seed = 0;
};

struct SendTo
{
    Base::InstanceId to;
    Messages::PeerMessage message;
};

/*! An object changed in the replica; the daemon applies it. */
struct ObjectApplied
{
    std::string key;
};

/*! A seal that was not known before. */
struct SealLearnt
{
    Messages::Sealed seal;
};

/*! status/ZONE should be written. Only the first watcher of a zone asks for it. */
struct WriteStatus
{
    ZoneStatus status;
};

using SpreadCommand = std::variant<SendTo, ObjectApplied, SealLearnt, WriteStatus>;
using SpreadCommands = std::vector<SpreadCommand>;

/*!
    Propagates objects of the store and seals between daemons. Watchers push each change to the
   members of their zone as a delta; seals go through a tree of two levels; digests exchanged with
   random peers repair what was lost. Pure: time is an argument, messages are returned.
*/
class Spreader
{
public:
    explicit Spreader(const SpreaderSettings &settings);

    // Commands

    /*! The announced nodes, self included; sealed ones are sorted out here. */
    void setMembers(std::vector<Cluster::NodeRecord> members);
    /*! An object read from the store. Watchers push it to their zone. */
    SpreadCommands onStoreObject(const std::string &key, std::uint64_t version,
                                 std::optional<std::string> value);
    SpreadCommands onMessage(const Base::InstanceId &from, const Messages::PeerMessage &message);
    /*! A seal read from the store, which every daemon gets as an object. */
    SpreadCommands learnSeal(const Messages::Sealed &seal);
    /*! A seal decided by this daemon. */
    SpreadCommands propagateSeal(const Messages::Sealed &seal);
    /*! The configuration version that this daemon has put in force. */
    SpreadCommands setVersionInForce(Base::TimePoint now, std::uint64_t version);
    SpreadCommands onTime(Base::TimePoint now);

    // Queries
    const ObjectReplica &replica() const { return m_replica; }
    bool isWatcher() const;
    bool isFirstWatcher() const;
    Base::TimePoint nextDeadline() const { return m_nextDigest; }

private:
    SpreadCommands onObject(const std::string &key, std::uint64_t version,
                            std::optional<std::string> value);
    SpreadCommands onDelta(const Base::InstanceId &from, const Messages::ObjectDelta &delta);
    SpreadCommands onDigest(const Base::InstanceId &from, const Messages::Digest &digest);
    SpreadCommands onDigestReply(const Base::InstanceId &from, const Messages::DigestReply &reply);
    SpreadCommands pushTo(const std::vector<Base::InstanceId> &receivers,
                          const Messages::PeerMessage &message) const;
    SpreadCommands pushSeal(const Base::InstanceId &origin, const Messages::Sealed &seal) const;
    SpreadCommands acknowledge(Base::TimePoint now);
    void updateStatus(SpreadCommands &commands);
    std::vector<Base::InstanceId> zoneMembers() const;
    std::vector<Base::InstanceId> allMembers() const;
    void updateWatchers();
    void addSeal(const Messages::Sealed &seal);

    SpreaderSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<Cluster::NodeRecord> m_members;
    std::vector<Base::InstanceId> m_watchers;
    ObjectReplica m_replica;
    std::map<Base::InstanceId, Messages::Sealed> m_seals;
    std::uint64_t m_sealsHash = 0;
    Acknowledgements m_acknowledgements;
    std::optional<ZoneStatus> m_writtenStatus;
    std::uint64_t m_versionInForce = 0;
    std::pair<Base::InstanceId, std::uint64_t> m_acknowledgedTo;
    Base::TimePoint m_nextDigest;
    Base::TimePoint m_nextAcknowledge;
};

} // namespace Medlar::Spreading
