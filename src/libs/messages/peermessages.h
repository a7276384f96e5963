#pragma once

#include "base/instanceid.h"
#include "base/sharedbytes.h"
#include "cluster/slotentry.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Medlar::Messages {

// Lease and seal, see docs/design.md 3.2, 3.3 and 3.5.

/*! Asks a witness to take over \a term with this witness set for the sender. */
struct AdoptTerm
{
    Base::InstanceId holder;
    std::uint32_t term = 0;
    std::vector<Base::InstanceId> witnesses;
};

/*! Answers AdoptTerm. A witness that promised the seal of the holder, or knows a higher term,
 * refuses. */
struct TermAdopted
{
    Base::InstanceId holder;
    std::uint32_t term = 0;
    bool accepted = false;
};

struct RenewLease
{
    Base::InstanceId holder;
    std::uint32_t term = 0;
    std::uint64_t sequence = 0;
};

struct LeaseGranted
{
    Base::InstanceId holder;
    std::uint32_t term = 0;
    std::uint64_t sequence = 0;
};

/*! The witness knows another term for the holder, or promised its seal. */
struct LeaseRefused
{
    Base::InstanceId holder;
    std::uint32_t term = 0;
    std::uint64_t sequence = 0;
    bool sealPromised = false;
};

/*! Asks another witness of \a instance to promise its seal at \a term. */
struct SealProposal
{
    Base::InstanceId instance;
    std::uint32_t term = 0;
};

struct SealPromise
{
    Base::InstanceId instance;
    std::uint32_t term = 0;
    bool promised = false; //!< false while the witness's own grant is still valid
};

enum class SealReason : std::uint8_t { LeaseExpired = 0, Stopped = 1, ConfirmedDead = 2 };

/*! The instance never owns anything again. Propagated to all daemons. */
struct Sealed
{
    Base::InstanceId instance;
    SealReason reason = SealReason::LeaseExpired;
    bool relay = false; //!< the receiver passes it on to its children in the tree of the sender
};

// Planned moves, see 3.4.

struct SlotEpoch
{
    Cluster::SlotId slot = 0;
    Cluster::Epoch epoch = 0;
};

/*! Asks the receiver to release slots for the given epochs; carries the entries, so that it knows
 * them. */
struct ReleaseRequest
{
    std::string service;
    std::vector<Cluster::SlotAssignment> assignments;
};

/*! The sender serves none of these slots under a lower epoch, and never will. */
struct Released
{
    std::string service;
    std::vector<SlotEpoch> slots;
};

/*! Entries that the receiver needs to understand another message; merged by epoch. */
struct EntriesChanged
{
    std::string service;
    std::uint32_t slotCount = 0;
    std::vector<Cluster::SlotAssignment> assignments;
};

// Propagation, see 5 and 8.

struct ObjectChanged
{
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> value; //!< empty when the object was removed
};

/*! What changed in an object of the store since \a baseVersion. The form depends on the kind of
 * object. */
struct ObjectDelta
{
    std::string key;
    std::uint64_t baseVersion = 0;
    std::uint64_t version = 0;
    std::string delta;
};

/*! Summary of all objects and seals that the sender holds; equal summaries mean equal state. */
struct Digest
{
    std::uint64_t objectsHash = 0;
    std::uint64_t sealsHash = 0;
};

/*! Answers a Digest that differs: the versions of all objects and the seals that the sender holds.
 */
struct DigestReply
{
    std::map<std::string, std::uint64_t> versions;
    std::vector<Base::InstanceId> sealed;
    bool wantsReply = false; //!< asks for the versions of the receiver
};

struct Acknowledged
{
    Base::InstanceId instance;
    std::uint64_t configurationVersion = 0;
};

// Requests, see 7.

enum class RequestClass : std::uint8_t { FirstAnswer = 0, Normal = 1, Bulk = 2 };

/*! What a caller may conclude about a request that has no response. */
enum class Outcome : std::uint8_t { Answered = 0, NotRun = 1, Unknown = 2 };

using Headers = std::vector<std::pair<std::string, std::string>>;

struct ForwardRequest
{
    std::uint64_t streamId = 0; //!< unique on the link
    std::string requestId;
    std::string account;
    std::string route;
    std::string service;
    std::optional<std::string> key;
    Cluster::SlotId slot = 0;
    Cluster::Epoch epoch = 0; //!< of the entry from which the sender chose the receiver
    std::uint64_t configurationVersion = 0;
    std::chrono::microseconds deadlineLeft{0};
    RequestClass requestClass = RequestClass::Normal;
    bool idempotent = false;
    std::string method;
    std::string target;
    Headers headers;
    Base::SharedBytes body;
    std::uint32_t priority = 0;              //!< of the route, 0 is the most urgent
    std::chrono::milliseconds targetLeft{0}; //!< until the answer is late, though still wanted
    bool isRepeat = false;                   //!< an earlier attempt may have run and made its calls
};

struct ForwardResponse
{
    std::uint64_t streamId = 0;
    std::string requestId;
    Outcome outcome = Outcome::Unknown;
    std::uint16_t status = 0;
    std::string error;             //!< reason code when the outcome is not Answered
    Cluster::Epoch newerEpoch = 0; //!< set when the receiver is not the owner
    Headers headers;
    Base::SharedBytes body;
    std::uint32_t running = 0;               //!< requests at the BackendServer after this one
    std::uint32_t waiting = 0;               //!< for the BackendServer
    std::chrono::milliseconds retryAfter{0}; //!< when there may be room again, if it was declined
    bool isCall = false; //!< whether the receiver takes the route for one that BackendServers call
};

struct CancelRequest
{
    std::uint64_t streamId = 0;
    std::string requestId;
};

struct SlotWeight
{
    Cluster::SlotId slot = 0;
    std::uint64_t requests = 0;
};

/*! Load that a node saw since its last report; keys are hot key candidates. */
struct LoadSummary
{
    Base::InstanceId instance;
    std::string service;
    std::chrono::milliseconds window{0};
    std::vector<SlotWeight> slots;
    std::vector<SlotWeight> hotKeys;
    std::uint64_t requests = 0;
};

/*! Slots that a node serves, with the epochs of their entries. Tells the planner which moves have
 * ended. */
struct SlotsServed
{
    Base::InstanceId instance;
    std::string service;
    std::vector<SlotEpoch> slots;
};

// Back ends that hold key ranges themselves, see docs/platform.md.

/*! What the BackendServer of a node takes. */
enum class BackendState : std::uint8_t {
    Absent = 0, //!< none has announced itself, or its life is uncertain
    Ready = 1,
    Cold = 2, //!< takes little
    Draining = 3,
    Evacuated = 4 //!< operators took its AvailabilityZone out of service
};

/*! The state of the sender, sent on each change and on each new link. */
struct NodeStatus
{
    std::string region;
    std::string availabilityZone;
    std::string service;
    std::string backend; //!< id and start time of the BackendServer
    BackendState state = BackendState::Absent;
    std::uint32_t slots = 0;
    std::uint64_t configurationVersion = 0;
    std::uint64_t rangeVersion = 0;       //!< of the table of the sender's service
    std::uint64_t evacuationRevision = 0; //!< of the store, at which the next field was true
    std::string evacuatedZones;           //!< separated by commas
    bool reachesStore = false;
};

/*! Asks for an object of the store that the receiver knows in a newer version; answered by
    ObjectChanged. */
struct ObjectRequest
{
    std::string key;
};

/*! Load of the sender's BackendServer, sent now and then to nodes that send requests. */
struct NodeLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::chrono::microseconds serviceTime{0};      //!< recent mean
    std::chrono::microseconds usualServiceTime{0}; //!< mean over a longer time
};

/*! What the BackendServer of the sender has said about itself. Not sent as long as it has said
   nothing, since daemons of earlier builds end the link when they get it. */
struct NodeNotice
{
    std::string backend; //!< as in NodeStatus
    /*! The BackendServer leaves, which it does not take back. */
    bool isLeaving = false;
    /*! Requests that it takes in 1,000 seconds from all nodes together; 0: it has named no limit.
     */
    std::uint64_t limitThousandths = 0;
};

inline bool operator==(const NodeNotice &a, const NodeNotice &b)
{
    return a.backend == b.backend && a.isLeaving == b.isLeaving
           && a.limitThousandths == b.limitThousandths;
}

/*! A call to the object store that the receiver makes for the sender, which is turned away or
    shares its reads with others. */
struct StoreCall
{
    enum class Kind : std::uint8_t {
        Get = 0,
        List = 1,
        Put = 2,
        Remove = 3,
        Version = 4 //!< the version alone, by a read that begins after the call arrived
    };

    std::uint64_t callId = 0;
    Kind kind = Kind::Get;
    std::string key;
    std::string value;
    std::uint64_t expected = 0; //!< version, of changes
};

/*! Answers StoreCall. */
struct StoreReply
{
    std::uint64_t callId = 0;
    std::uint8_t error = 0; //!< 0: none; otherwise 1 + Store::StoreErrorCode
    std::string detail;
    std::uint64_t version = 0; //!< of a change, or the current one after a conflict
    std::vector<ObjectChanged> objects;
};

/*! Busy time of the BackendServer for the keys from \a first to \a last. */
struct KeyRangeLoad
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint32_t load = 0; //!< thousandths of a busy slot
};

/*! What the ranges of the sender cost it; to the node that plans the moves of \a service. */
struct KeyRangeLoads
{
    std::string service;
    std::vector<KeyRangeLoad> ranges;
};

/*! Asks the node that plans the moves of a service to change rows of its table; see
    KeyRange::RangeChanges. */
struct RangeChange
{
    std::string key;
    std::uint64_t baseVersion = 0; //!< of the table from which the sender decided
    std::string delta;
};

// Rate limits of ClientAccounts over all nodes, see docs/design/client-accounts.md.

/*! What a node knows of one account; counts are since its last report. */
struct RateDemand
{
    std::string account;
    std::uint32_t used = 0;      //!< credits that admitted a request
    std::uint32_t returned = 0;  //!< credits that the node gives up
    std::uint32_t unneeded = 0;  //!< grants whose waiting request had ended
    std::uint32_t overdrawn = 0; //!< requests admitted without a credit
    std::uint32_t waiting = 0;   //!< requests that are held until the answer
    std::uint32_t wanted = 0;    //!< credits that cover the demand for a short time
    std::uint32_t held = 0;      //!< credits that the node has now
    /*! Tokens that a former coordinator reported, with the refill since; UnknownLevel: none. */
    std::uint32_t level = UINT32_MAX;

    static constexpr std::uint32_t UnknownLevel = UINT32_MAX;
};

/*! To the coordinator of the rate limits; answered by RateAllotment. */
struct RateReport
{
    std::uint64_t sequence = 0;
    bool isFirst = false; //!< first report of this process to this coordinator
    std::vector<RateDemand> accounts;
};

struct RateGrant
{
    std::string account;
    std::uint32_t granted = 0; //!< waiting requests that are admitted
    std::uint32_t refused = 0; //!< the other waiting requests
    std::uint32_t credits = 0; //!< additional credits for later requests
    std::uint32_t level = 0;   //!< tokens left at the coordinator
    /*! Nonzero if the account is over its limit: delay before the node asks again. */
    std::chrono::milliseconds askAfter{0};
    std::chrono::milliseconds retryAfter{0}; //!< for callers whose requests are refused
};

struct RateAllotment
{
    std::uint64_t sequence = 0; //!< of the report
    std::vector<RateGrant> accounts;
};

using PeerMessage
    = std::variant<AdoptTerm, TermAdopted, RenewLease, LeaseGranted, LeaseRefused, SealProposal,
                   SealPromise, Sealed, ReleaseRequest, Released, EntriesChanged, ObjectDelta,
                   ObjectChanged, Digest, DigestReply, Acknowledged, ForwardRequest,
                   ForwardResponse, CancelRequest, LoadSummary, SlotsServed, NodeStatus, NodeLoad,
                   StoreCall, StoreReply, KeyRangeLoads, ObjectRequest, RangeChange, NodeNotice,
                   RateReport, RateAllotment>;

} // namespace Medlar::Messages
