#pragma once

#include "base/time.h"
#include "formerleases.h"
#include "heldreport.h"
#include "rangetable.h"
#include "releasedranges.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Medlar::KeyRange {

/*! Time limits of range ownership. The lease of a BackendServer expires before the ownership of its
    daemon, and that expires before a successor takes over. All times are measured on a clock that
    keeps running while the VM is suspended. */
struct KeeperTiming
{
    /*! How long a store read proves that no other node may own the ranges of this node. Has to
     * exceed the length of store outages; delays the take-over from a lost VM. */
    Base::Duration ownershipValidity = std::chrono::seconds(10);
    /*! Longest lease of a BackendServer. Has to exceed the restart time of the daemon; delays the
     * release of ranges from a BackendServer that does not respond. */
    Base::Duration maxLease = std::chrono::seconds(4);
    /*! Shorter leases are not granted. */
    Base::Duration minLease = std::chrono::milliseconds(300);
    /*! Allowance for late wake-ups between the expiry of a lease, the expiry of ownership and the
     * take-over. */
    Base::Duration margin = std::chrono::milliseconds(250);
    /*! Fraction by which the clock of a BackendServer may run slower. */
    double drift = 0.02;
};

/*! Safety rules. Tests disable them one at a time to show that each is needed. */
struct KeeperRules
{
    bool waitsBeforeTakeover = true;       //!< until the owner's proof and leases expire
    bool limitsLeasesByOwnership = true;   //!< no lease outlasts the proof of ownership
    bool waitsForRelease = true;           //!< a range moves only after its holder released it
    bool raisesEpochAfterRestart = true;   //!< incarnations never share tokens
    bool waitsForFormerLeases = true;      //!< after a restart, leases of the former process count
    bool inheritsConfirmedEpochs = true;   //!< also those that are not in the first known table
    bool raisesEpochAfterRelease = true;   //!< no epoch is granted again after a release under it
    bool confirmsKnownVersionsOnly = true; //!< reads prove ownership of known rows only
    /*! For RangeChanges: a change is dropped if its rows have changed since it was decided. */
    bool checksRowsOfChanges = true;
};

struct GrantedRange
{
    Range range;
    FencingToken token = 0;
    HandoverToken handover;
};

/*! All ranges that the BackendServer may hold from now on; it releases any others. */
struct LeaseGrant
{
    std::vector<GrantedRange> ranges;
    Base::Duration hold{0};
};

/*!
    Decides which ranges the BackendServer of one daemon holds, and which table changes result.
   Owners change while requests keep arriving, so a range is handed over only after its holder has
   released it or the lease of the holder has expired.
*/
class RangeKeeper
{
public:
    /*! \a self is the id of this node in the table; \a startedAt is the start of its process. */
    RangeKeeper(std::string self, Base::TimePoint startedAt, const KeeperTiming &timing = {},
                const KeeperRules &rules = {});

    // Commands

    /*! Updates the known table from a read, a watch or a peer. Older versions are ignored. */
    void onTable(Base::TimePoint now, TableVersion version, const RangeTable &table);
    /*! Renews the proof of ownership after a store read that was sent at \a sentAt returned
     * \a version. While the table changes frequently, the known version is often newer. */
    void onConfirmed(Base::TimePoint sentAt, TableVersion version);
    /*! Returns the ranges to grant, or nothing if no lease may be renewed. */
    std::optional<LeaseGrant> onHeartbeat(Base::TimePoint now, const HeldReport &report);

    // Queries

    bool hasTable() const { return m_table.has_value(); }
    TableVersion version() const { return m_version; }
    const std::optional<RangeTable> &table() const { return m_table; }
    /*! The time until which the last store read proves ownership. */
    Base::TimePoint authorityEnd() const;
    /*! Whether the BackendServer has an unexpired lease on \a key. */
    bool isHeld(Base::TimePoint now, Key key) const;
    /*! Whether all leases of the BackendServer last for another \a time without renewal. */
    bool holdsFor(Base::TimePoint now, Base::Duration time) const;
    /*! Whether a range is about to be handed over to this node. The response to a heartbeat should
     * be delayed until then. */
    bool expectsRanges() const;
    /*! Whether this node owns a range that it has to hand over. */
    bool mustRelease() const;
    /*! The table that this node has to write to replace the known version, if a change is due. */
    std::optional<RangeTable> wantedTable(Base::TimePoint now) const;

private:
    struct Grant
    {
        Range range;
        Base::TimePoint expiresAt;     //!< latest expiry of the lease
        bool isCurrent = true;         //!< part of the last response
        std::uint64_t withdrawnAt = 0; //!< sequence of the heartbeat whose response omitted it
    };

    FencingToken tokenOf(const RangeRow &row) const;
    bool isFree(Base::TimePoint now, const Range &range) const;
    bool isReported(const Range &range) const;
    bool isGranted(Base::TimePoint now, const Range &range) const;
    bool mayBeHeld(Base::TimePoint now, const RangeRow &row) const;
    bool needsNewEpoch(const RangeRow &row) const;
    bool mustRaiseEpoch(Base::TimePoint now, const RangeRow &row) const;
    bool isServedUntilMove(Base::TimePoint now, const RangeRow &row) const;
    void applyReport(const HeldReport &report);
    void addReleases(const HeldReport &report);
    void addReportedLeases(Base::TimePoint now, const HeldReport &report);
    void dropReleased(const HeldReport &report);
    std::vector<RangeRow> rowsAfterHandover(const RangeRow &row) const;

    std::string m_self;
    KeeperTiming m_timing;
    KeeperRules m_rules;
    FormerLeases m_formerLeases;
    ReleasedRanges m_released;
    std::optional<RangeTable> m_table;
    TableVersion m_version = 0;
    std::optional<Base::TimePoint> m_confirmedAt;
    /*! Highest epoch in the table at the first proof of ownership of this process. A former process
     * of this node may have granted ranges under this epoch to an earlier incarnation of the
     * BackendServer. */
    std::optional<Epoch> m_inheritedEpoch;
    std::string m_backend;
    std::uint64_t m_incarnation = 0;
    bool m_hasBackend = false;
    std::uint64_t m_incarnationNumber = 0; //!< low part of current fencing tokens
    std::vector<HeldRange> m_held;         //!< from the last report
    std::vector<FreedRange> m_freed;
    std::vector<Grant> m_grants;
    /*! When this node first saw itself as successor in a row, by the row's first key and epoch. */
    std::map<std::pair<Key, Epoch>, Base::TimePoint> m_successions;
};

} // namespace Medlar::KeyRange
