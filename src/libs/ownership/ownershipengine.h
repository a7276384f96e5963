#pragma once

#include "base/logline.h"
#include "base/time.h"
#include "cluster/noderecord.h"
#include "cluster/slottable.h"
#include "messages/peermessages.h"

#include <tl/expected.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

namespace Medlar::Ownership {

/*! Timing of leases; the same on all daemons of a deployment. */
struct LeaseTiming
{
    std::chrono::milliseconds leaseDuration{500};
    std::chrono::milliseconds renewInterval{200};
    double driftRate = 0.01; //!< highest relative error of a clock
    std::chrono::milliseconds driftMargin{5};
    std::chrono::milliseconds witnessTimeout{2000}; //!< silence after which a witness is replaced
    std::chrono::milliseconds unfencedGuard{
        200}; //!< added before takeover from unfenced BackendServers
};

/*! Rules that a test may switch off to show that the checks notice. All are on in a daemon. */
struct ProtocolRules
{
    bool newInstanceOnRestart
        = true; //!< a restarted witness does not answer for its earlier instance
    bool leaseCountedFromSend = true;
    bool driftMarginApplied = true;
    bool takeoverNeedsPromises = true;
    bool activationNeedsReleases = true;
};

struct Settings
{
    Cluster::NodeRecord self; //!< without term and witnesses, which the engine chooses
    LeaseTiming timing;
    ProtocolRules rules;
};

/*! The engine asks its adapter to send a message to one instance. */
struct SendMessage
{
    Base::InstanceId to;
    Messages::PeerMessage message;
};

/*! The engine learnt or decided a seal that must be propagated to all daemons. */
struct PropagateSeal
{
    Messages::Sealed seal;
};

/*! The node record changed (term, witnesses, state) and should be written to the store. */
struct PublishNodeRecord
{
    Cluster::NodeRecord record;
};

/*!
    Requests of the slots that began under a lower epoch must be finished or given up; answer with
   OwnershipEngine::onDrained and the same slots. A hot key covers all requests for its key, also
   those that began as requests of the base slot.
*/
struct DrainSlots
{
    std::string service;
    std::vector<Messages::SlotEpoch> slots;
};

/*!
    This instance has ended (lease lost and sealed, or stopped); only a new instance may go on.
   After the loss of the lease the command follows 500 ms later: until then the engine serves
   nothing but still answers as a witness. The adapter hands the known seals to the engine of the
   new instance.
*/
struct InstanceEnded
{
    Messages::SealReason reason = Messages::SealReason::LeaseExpired;
};

/*! The set of slots that this instance serves changed; the adapter takes a new snapshot. */
struct ServingChanged
{};

using Command = std::variant<SendMessage, PropagateSeal, PublishNodeRecord, DrainSlots,
                             InstanceEnded, ServingChanged, Base::LogLine>;
using Commands = std::vector<Command>;

/*! Why this daemon must not serve a slot now. */
enum class NotServingReason { NotOwner, AwaitingRelease, LeaseNotHeld, UnknownSlot, Draining };

struct ServeError
{
    NotServingReason reason = NotServingReason::UnknownSlot;
    /*! The instance that should serve as far as this daemon knows. */
    std::optional<Base::InstanceId> owner;
    Cluster::Epoch epoch = 0;
};

/*! Permission to send a request to the local BackendServer until \a validUntil. */
struct ServePermit
{
    Cluster::FencingToken token = 0;
    Cluster::Epoch epoch = 0;
    Base::TimePoint validUntil;
};

/*! A slot that this instance serves, with the fencing token under which it does. */
struct ServedSlot
{
    Cluster::SlotId slot = 0;
    Cluster::Epoch epoch = 0;
    Cluster::FencingToken token = 0;
};

/*! Where to send a request for a slot. */
struct OwnerView
{
    Base::InstanceId owner;
    Cluster::Epoch epoch = 0;
    std::size_t ownerIndex = 0;
};

/*!
    Decides which slots this instance serves: node lease, witness duties, seals and hand-over. Pure:
   time is an argument, effects are returned as commands in the order in which they must be carried
   out.
*/
class OwnershipEngine
{
public:
    virtual ~OwnershipEngine() = default;

    static std::unique_ptr<OwnershipEngine> create(const Settings &settings);

    // Commands

    /*! Advances timers. Must be called at nextDeadline(), and may be called at any time. */
    virtual Commands onTime(Base::TimePoint now) = 0;
    virtual Commands onMessage(Base::TimePoint now, const Base::InstanceId &from,
                               const Messages::PeerMessage &message)
        = 0;
    virtual Commands onNodeRecord(Base::TimePoint now, const Cluster::NodeRecord &record) = 0;
    virtual Commands onNodeRemoved(Base::TimePoint now, const std::string &node) = 0;
    virtual Commands onEntries(Base::TimePoint now, const std::string &service,
                               std::uint32_t slotCount,
                               const std::vector<Cluster::SlotAssignment> &assignments)
        = 0;
    virtual Commands onSealed(Base::TimePoint now, const Messages::Sealed &seal) = 0;
    /*! The requests named by a DrainSlots command are finished or given up. */
    virtual Commands onDrained(Base::TimePoint now, const std::string &service,
                               const std::vector<Messages::SlotEpoch> &slots)
        = 0;
    /*! Marks this node as draining in its record, so that the planner moves its slots away. */
    virtual Commands startDraining(Base::TimePoint now) = 0;
    /*! Declares that this instance stopped; valid once no request is in flight. */
    virtual Commands stop(Base::TimePoint now) = 0;

    // Queries

    virtual Base::TimePoint nextDeadline() const = 0;
    virtual tl::expected<ServePermit, ServeError>
    permit(Base::TimePoint now, const std::string &service, Cluster::SlotId slot) const = 0;
    /*! The first owner in the entry's list that is not sealed, as far as this daemon knows. */
    virtual std::optional<OwnerView> ownerOf(const std::string &service,
                                             Cluster::SlotId slot) const = 0;
    virtual const Cluster::SlotTable *table(const std::string &service) const = 0;
    virtual bool isSealed(const Base::InstanceId &instance) const = 0;
    virtual const std::unordered_set<Base::InstanceId> &sealedInstances() const = 0;
    virtual const Cluster::NodeRecord &self() const = 0;
    /*! Until when the node lease holds; in the past when it does not. */
    virtual Base::TimePoint leaseValidUntil() const = 0;
    /*! Slots that this instance serves while its node lease holds. */
    virtual std::vector<ServedSlot> servedSlots(const std::string &service) const = 0;
};

} // namespace Medlar::Ownership
