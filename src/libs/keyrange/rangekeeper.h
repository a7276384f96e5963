#pragma once

#include "base/time.h"
#include "rangetable.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Medlar::KeyRange {

/*! Given to the BackendServer with each range; it refuses ranges with lower tokens. */
using FencingToken = std::uint64_t;

/*! Version of the table's object in the store. */
using TableVersion = std::uint64_t;

/*! Chain of validity: a BackendServer's hold ends before the authority of its daemon, and that ends
    before a successor takes over. All are measured on a clock that runs while the VM is suspended.
 */
struct KeeperTiming
{
    /*! For how long a read of the store proves that no other node may own our ranges. It has to
     * outlast outages of the store, and delays take-over from a lost VM. */
    Base::Duration authority = std::chrono::seconds(10);
    /*! Longest hold of the BackendServer. It has to outlast a restart of the daemon, and delays
     * release from a BackendServer that is silent. */
    Base::Duration hold = std::chrono::seconds(4);
    /*! A shorter hold is not granted. */
    Base::Duration minHold = std::chrono::milliseconds(300);
    /*! Between the ends of two links of the chain, for wake-ups that come late. */
    Base::Duration margin = std::chrono::milliseconds(250);
    /*! The clock of a BackendServer may run this much slower. */
    double drift = 0.02;
};

/*! The safety rules, each of which a test may break to show that it is needed. */
struct KeeperRules
{
    bool waitsBeforeTakeover = true;       //!< until the owner's authority and holds have ended
    bool limitsHoldsByAuthority = true;    //!< no hold outlasts the proof of ownership
    bool waitsForRelease = true;           //!< a range moves when its holder no longer reports it
    bool raisesEpochAfterRestart = true;   //!< another life never gets the tokens of a former one
    bool keepsOwnRestartsApart = true;     //!< a new process waits for what the former one granted
    bool confirmsKnownVersionsOnly = true; //!< a read proves nothing about rows that are not known
    /*! Of RangeChanges: only rows that nobody changed since are changed. */
    bool checksRowsOfChanges = true;
};

/*! A range that the BackendServer holds, as it says itself. */
struct HeldRange
{
    Range range;
    FencingToken token = 0;
};

struct FreedRange
{
    Range range;
    HandoverToken handover;
};

/*! What a BackendServer says in a heartbeat about itself and its keys. */
struct HeldReport
{
    std::string backend;    //!< id of the BackendServer
    std::uint64_t life = 0; //!< differs for each start of the BackendServer
    std::uint64_t sequence = 0;
    std::vector<HeldRange> held;
    std::vector<FreedRange> freed; //!< since its last acknowledged heartbeat
};

struct GrantedRange
{
    Range range;
    FencingToken token = 0;
    HandoverToken handover;
};

/*! What the BackendServer is to hold from now on. It releases everything else. */
struct HoldGrant
{
    std::vector<GrantedRange> ranges;
    Base::Duration hold{0};
};

/*!
    Decides in one daemon which ranges its BackendServer holds, and which changes of the table
   follow from it. Answers the load pattern "owners change while requests keep coming": a range
   changes hands only after its holder released it or can no longer believe in it.
*/
class RangeKeeper
{
public:
    /*! \a self is how the table names this node; \a startedAt is when its process started. */
    RangeKeeper(std::string self, Base::TimePoint startedAt, const KeeperTiming &timing = {},
                const KeeperRules &rules = {});

    // Commands

    /*! The store's table is known, through a read, a watch or a peer. Older versions are ignored.
     */
    void onTable(Base::TimePoint now, TableVersion version, const RangeTable &table);
    /*! A read of the store that began at \a sentAt returned \a version. While the table changes all
     * the time, the known version is often later than that. */
    void onConfirmed(Base::TimePoint sentAt, TableVersion version);
    /*! Returns what to grant, or nothing when nothing may be renewed. */
    std::optional<HoldGrant> onHeartbeat(Base::TimePoint now, const HeldReport &report);

    // Queries

    bool hasTable() const { return m_table.has_value(); }
    TableVersion version() const { return m_version; }
    const std::optional<RangeTable> &table() const { return m_table; }
    /*! Until when the last read of the store is good. */
    Base::TimePoint authorityEnd() const;
    /*! Whether the BackendServer holds \a key. */
    bool isHeld(Base::TimePoint now, Key key) const;
    /*! Whether what the BackendServer holds lasts for another \a time without renewal. */
    bool holdsFor(Base::TimePoint now, Base::Duration time) const;
    /*! Whether a range is about to arrive, so that the answer to a heartbeat should wait for it. */
    bool expectsRanges() const;
    /*! Whether the owner has to let go a range. */
    bool mustRelease() const;
    /*! The table that should replace the known version, if this node has to change it. */
    std::optional<RangeTable> wantedTable(Base::TimePoint now) const;

private:
    struct Grant
    {
        Range range;
        Base::TimePoint until;        //!< the BackendServer may believe in it until then
        bool isOffered = true;        //!< part of the last answer
        std::uint64_t withheldAt = 0; //!< sequence of the heartbeat whose answer left it out
    };

    FencingToken tokenOf(const RangeRow &row) const;
    bool isFree(Base::TimePoint now, const Range &range) const;
    bool isReported(const Range &range) const;
    bool mayBeHeld(Base::TimePoint now, const Range &range) const;
    bool needsNewEpoch(const RangeRow &row) const;
    void adoptReport(const HeldReport &report);
    void dropReleased(const HeldReport &report);
    std::vector<RangeRow> handedOver(const RangeRow &row) const;

    std::string m_self;
    Base::TimePoint m_startedAt;
    KeeperTiming m_timing;
    KeeperRules m_rules;
    std::optional<RangeTable> m_table;
    TableVersion m_version = 0;
    std::optional<Base::TimePoint> m_confirmedAt;
    /*! Highest epoch at the start of this process. An earlier process of this node may have granted
     * ranges under it to a life of the BackendServer that is over. */
    std::optional<Epoch> m_inheritedEpoch;
    std::string m_backend;
    std::uint64_t m_life = 0;
    bool m_hasBackend = false;
    std::uint64_t m_lifeNumber = 0; //!< lowest part of the tokens of the present life
    std::vector<HeldRange> m_held;  //!< of the last report
    std::vector<FreedRange> m_freed;
    std::vector<Grant> m_grants;
    /*! When this node first saw that it succeeds the owner of a row; by its first key and epoch. */
    std::map<std::pair<Key, Epoch>, Base::TimePoint> m_successions;
};

} // namespace Medlar::KeyRange
