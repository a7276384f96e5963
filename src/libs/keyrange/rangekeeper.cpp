#include "rangekeeper.h"

#include <algorithm>

namespace Medlar::KeyRange {

namespace {

// No heartbeat has a higher sequence: the release of ranges that were granted to another
// BackendServer cannot be concluded from the reports of the current one.
constexpr std::uint64_t MaxSequence = UINT64_MAX;

Base::Duration scaled(Base::Duration duration, double factor)
{
    return std::chrono::duration_cast<Base::Duration>(
        std::chrono::duration<double, Base::Duration::period>(duration) * factor);
}

// The latest time at which a lease ends that was granted at \a grantedAt or before.
Base::TimePoint longestLeaseEnd(Base::TimePoint grantedAt, const KeeperTiming &timing)
{
    return grantedAt + scaled(timing.maxLease, 1.0 + timing.drift) + timing.margin;
}

} // namespace

RangeKeeper::RangeKeeper(std::string self, Base::TimePoint startedAt, const KeeperTiming &timing,
                         const KeeperRules &rules)
    : m_self(std::move(self))
    , m_timing(timing)
    , m_rules(rules)
    , m_formerLeases(longestLeaseEnd(startedAt, timing))
{}

void RangeKeeper::onTable(Base::TimePoint now, TableVersion version, const RangeTable &table)
{
    if (version <= m_version)
        return;
    if (!m_inheritedEpoch)
        m_inheritedEpoch = table.lastEpoch();
    m_version = version;
    m_table = table;
    m_released.onTable(table);
    std::map<std::pair<Key, Epoch>, Base::TimePoint> successions;
    for (const RangeRow &row : m_table->rows()) {
        if (row.successor != m_self || row.owner == m_self)
            continue;
        const std::pair<Key, Epoch> id{row.range.first, row.epoch};
        const auto known = m_successions.find(id);
        successions[id] = known == m_successions.end() ? now : known->second;
    }
    m_successions = std::move(successions);
    const auto isSettled = [this](const FreedRange &freed) {
        return std::none_of(m_table->rows().begin(), m_table->rows().end(),
                            [&](const RangeRow &row) {
                                return row.owner == m_self && !row.successor.empty()
                                       && row.range.overlaps(freed.range);
                            });
    };
    m_freed.erase(std::remove_if(m_freed.begin(), m_freed.end(), isSettled), m_freed.end());
}

void RangeKeeper::onConfirmed(Base::TimePoint sentAt, TableVersion version)
{
    // A known version that is later than the one read was written after the read began, so the read
    // proves ownership for it as well. Rows of an unknown version may have successors.
    const bool isKnown = version <= m_version || !m_rules.confirmsKnownVersionsOnly;
    if (!isKnown)
        return;
    // The first known table may be older than this process if a peer sent it. The read began after
    // the start, so all epochs that a former process has granted under are in the known table.
    if (!m_confirmedAt && m_table && m_rules.inheritsConfirmedEpochs)
        m_inheritedEpoch = m_table->lastEpoch();
    if (!m_confirmedAt || *m_confirmedAt < sentAt)
        m_confirmedAt = sentAt;
}

Base::TimePoint RangeKeeper::authorityEnd() const
{
    return m_confirmedAt ? *m_confirmedAt + m_timing.ownershipValidity : Base::TimePoint::min();
}

FencingToken RangeKeeper::tokenOf(const RangeRow &row) const
{
    return row.epoch * IncarnationsPerEpoch + m_incarnationNumber;
}

bool RangeKeeper::isReported(const Range &range) const
{
    return std::any_of(m_held.begin(), m_held.end(),
                       [&range](const HeldRange &held) { return held.range.contains(range); });
}

// A former process of this node may have issued tokens of the epoch to another incarnation. A range
// that the BackendServer still holds under the epoch proves that its incarnation is the same. The
// latest report has to state this: a grant of the present process may have been the answer to an
// old heartbeat, which nobody received.
bool RangeKeeper::needsNewEpoch(const RangeRow &row) const
{
    const bool isHeldUnderEpoch
        = std::any_of(m_held.begin(), m_held.end(), [&row](const HeldRange &held) {
              return held.range.contains(row.range) && epochOf(held.token) == row.epoch;
          });
    const bool isInherited = m_inheritedEpoch && row.epoch <= *m_inheritedEpoch;
    return (m_rules.raisesEpochAfterRestart && isInherited && !isHeldUnderEpoch)
           || (m_rules.raisesEpochAfterRelease && m_released.overlap(row));
}

void RangeKeeper::applyReport(const HeldReport &report)
{
    const bool isSameIncarnation
        = m_hasBackend && report.backend == m_backend && report.incarnation == m_incarnation;
    if (!isSameIncarnation) {
        // A restart under the same id ends the former incarnation. A BackendServer with another id
        // may start while the former one still runs, so leases of the former one have to expire.
        if (m_hasBackend && report.backend == m_backend)
            m_grants.clear();
        for (Grant &grant : m_grants) {
            grant.isCurrent = false;
            grant.withdrawnAt = MaxSequence;
        }
        m_freed.clear();
        m_incarnationNumber += m_hasBackend ? 1 : 0;
        m_hasBackend = true;
        m_backend = report.backend;
        m_incarnation = report.incarnation;
    }
    m_held = report.held;
    m_freed.insert(m_freed.end(), report.freed.begin(), report.freed.end());
    if (!m_table)
        return;
    addReleases(report);
    for (const HeldRange &held : m_held) {
        const RangeRow &row = m_table->row(held.range.first);
        if (row.owner == m_self && epochOf(held.token) == row.epoch)
            m_incarnationNumber = std::max(m_incarnationNumber, held.token % IncarnationsPerEpoch);
    }
}

void RangeKeeper::addReleases(const HeldReport &report)
{
    for (const FreedRange &freed : report.freed) {
        for (const Range &part : notHeld(freed.range, report)) {
            // A release is reported until a heartbeat is acknowledged. One of a range that is not
            // granted was handled before.
            const bool wasGranted
                = std::any_of(m_grants.begin(), m_grants.end(),
                              [&part](const Grant &grant) { return grant.range.overlaps(part); });
            if (!wasGranted)
                continue;
            for (const RangeRow &row : m_table->rows()) {
                if (row.owner == m_self && row.range.overlaps(part))
                    m_released.add(intersection(row.range, part), row.epoch);
            }
        }
    }
}

// The BackendServer may hold ranges that were granted by a former process of this daemon. Later, a
// range that is not known as granted is only reported because requests outlast an expired lease, or
// because the heartbeat is old.
void RangeKeeper::addReportedLeases(Base::TimePoint now, const HeldReport &report)
{
    if (now >= m_formerLeases.end())
        return;
    std::vector<Range> known;
    known.reserve(m_grants.size());
    for (const Grant &grant : m_grants)
        known.push_back(grant.range);
    for (const HeldRange &held : m_held) {
        for (const Range &part : subtracted(held.range, known))
            m_grants.push_back({part, m_formerLeases.end(), false, report.sequence});
    }
}

void RangeKeeper::dropReleased(const HeldReport &report)
{
    const auto isReleased = [&report](const Grant &grant) {
        return !grant.isCurrent && report.sequence > grant.withdrawnAt
               && std::none_of(
                   report.held.begin(), report.held.end(),
                   [&grant](const HeldRange &held) { return held.range.overlaps(grant.range); });
    };
    m_grants.erase(std::remove_if(m_grants.begin(), m_grants.end(), isReleased), m_grants.end());
}

std::optional<LeaseGrant> RangeKeeper::onHeartbeat(Base::TimePoint now, const HeldReport &report)
{
    m_formerLeases.onReport(now, report, m_confirmedAt ? m_inheritedEpoch : std::nullopt);
    applyReport(report);
    dropReleased(report);
    m_grants.erase(std::remove_if(m_grants.begin(), m_grants.end(),
                                  [now](const Grant &grant) { return grant.expiresAt <= now; }),
                   m_grants.end());
    addReportedLeases(now, report);
    const Base::Duration remaining
        = scaled(authorityEnd() == Base::TimePoint::min() ? Base::Duration::zero()
                                                          : authorityEnd() - now - m_timing.margin,
                 1.0 / (1.0 + m_timing.drift));
    const Base::Duration hold = m_rules.limitsLeasesByOwnership
                                    ? std::min(m_timing.maxLease, remaining)
                                    : m_timing.maxLease;
    if (!m_table || hold < m_timing.minLease)
        return std::nullopt;

    LeaseGrant response;
    response.hold = hold;
    const Base::TimePoint expiresAt
        = now + scaled(hold, 1.0 + m_timing.drift) + m_timing.margin / 2;
    std::vector<Grant> grants;
    for (const RangeRow &row : m_table->rows()) {
        const bool isServed = row.successor.empty() || isServedUntilMove(now, row);
        if (row.owner != m_self || !isServed || needsNewEpoch(row) || !isFree(now, row.range))
            continue;
        response.ranges.push_back(
            {row.range, tokenOf(row), isReported(row.range) ? HandoverToken() : row.handover});
        grants.push_back({row.range, expiresAt, true, 0});
    }
    std::vector<Range> renewed;
    renewed.reserve(grants.size());
    for (const Grant &grant : grants)
        renewed.push_back(grant.range);
    for (const Grant &grant : m_grants) {
        for (const Range &part : subtracted(grant.range, renewed)) {
            Grant withdrawn = grant;
            withdrawn.range = part;
            if (grant.isCurrent) {
                withdrawn.isCurrent = false;
                withdrawn.withdrawnAt = report.sequence;
            }
            grants.push_back(withdrawn);
        }
    }
    m_grants = std::move(grants);
    return response;
}

// Whether no other BackendServer of this node can still hold keys of the range.
bool RangeKeeper::isFree(Base::TimePoint now, const Range &range) const
{
    return std::none_of(m_grants.begin(), m_grants.end(), [&](const Grant &grant) {
        return !grant.isCurrent && grant.range.overlaps(range) && grant.expiresAt > now
               && !isReported(grant.range);
    });
}

bool RangeKeeper::isHeld(Base::TimePoint now, Key key) const
{
    return std::any_of(m_grants.begin(), m_grants.end(), [now, key](const Grant &grant) {
        return grant.isCurrent && grant.range.contains(key) && now < grant.expiresAt;
    });
}

bool RangeKeeper::holdsFor(Base::TimePoint now, Base::Duration time) const
{
    // Expiry times of grants include allowances for clock drift and late wake-ups.
    const Base::Duration reserve
        = scaled(m_timing.maxLease, 2 * m_timing.drift) + 2 * m_timing.margin;
    return std::all_of(m_grants.begin(), m_grants.end(),
                       [&](const Grant &grant) { return grant.expiresAt > now + time + reserve; });
}

bool RangeKeeper::expectsRanges() const
{
    return !m_successions.empty();
}

bool RangeKeeper::mustRelease() const
{
    return m_table
           && std::any_of(m_table->rows().begin(), m_table->rows().end(),
                          [this](const RangeRow &row) {
                              return row.owner == m_self && !row.successor.empty();
                          });
}

// Splits a released row by the handover tokens under which the BackendServer freed its keys.
std::vector<RangeRow> RangeKeeper::rowsAfterHandover(const RangeRow &row) const
{
    RangeRow moved = row;
    moved.owner = row.successor;
    moved.successor.clear();
    moved.handover.clear();
    std::vector<RangeRow> pieces{moved};
    for (const FreedRange &freed : m_freed) {
        if (!freed.range.overlaps(row.range))
            continue;
        const Range common{std::max(freed.range.first, row.range.first),
                           std::min(freed.range.last, row.range.last)};
        const bool isWithinOnePiece
            = std::any_of(pieces.begin(), pieces.end(), [&common](const RangeRow &piece) {
                  return piece.range.contains(common);
              });
        if (isWithinOnePiece)
            pieces[isolate(pieces, common)].handover = freed.handover;
    }
    return pieces;
}

// Whether a lease that was granted by this process, or that was reported to it, is still running.
bool RangeKeeper::isGranted(Base::TimePoint now, const Range &range) const
{
    return std::any_of(m_grants.begin(), m_grants.end(), [&](const Grant &grant) {
        return grant.range.overlaps(range) && grant.expiresAt > now;
    });
}

bool RangeKeeper::mayBeHeld(Base::TimePoint now, const RangeRow &row) const
{
    return m_rules.waitsForRelease
           && (isGranted(now, row.range)
               || (m_rules.waitsForFormerLeases && m_formerLeases.mayCover(now, row)));
}

// A range that stays on this VM does not wait for leases of a former process, since the VM hosts
// one BackendServer. One that is to move is served again only if it has to wait for them.
bool RangeKeeper::mustRaiseEpoch(Base::TimePoint now, const RangeRow &row) const
{
    const bool isServed = row.successor.empty()
                          || (m_rules.waitsForFormerLeases && m_formerLeases.mayCover(now, row));
    return row.owner == m_self && m_hasBackend && isServed && needsNewEpoch(row)
           && !(m_rules.waitsForRelease && isGranted(now, row.range));
}

// While leases of a former process may cover a range that is to move, it is granted under an epoch
// of this process. Its keys are served meanwhile, and the next report proves which leases remain.
bool RangeKeeper::isServedUntilMove(Base::TimePoint now, const RangeRow &row) const
{
    return m_rules.waitsForFormerLeases && m_formerLeases.mayCover(now, row) && m_confirmedAt
           && row.epoch > *m_inheritedEpoch;
}

std::optional<RangeTable> RangeKeeper::wantedTable(Base::TimePoint now) const
{
    if (!m_table)
        return std::nullopt;
    const Epoch nextEpoch = m_table->lastEpoch() + 1;
    const Base::Duration takeoverDelay
        = scaled(m_timing.ownershipValidity, 1.0 + m_timing.drift) + m_timing.margin;
    bool isChanged = false;
    std::vector<RangeRow> rows;
    for (const RangeRow &row : m_table->rows()) {
        const bool isOwn = row.owner == m_self;
        const bool mayHandOver = isOwn && !row.successor.empty() && !mayBeHeld(now, row);
        const auto succession = m_successions.find({row.range.first, row.epoch});
        const bool mayTakeOver
            = succession != m_successions.end()
              && (now >= succession->second + takeoverDelay || !m_rules.waitsBeforeTakeover);
        if (mayHandOver) {
            for (RangeRow &piece : rowsAfterHandover(row)) {
                piece.epoch = nextEpoch;
                rows.push_back(std::move(piece));
            }
        } else if (mayTakeOver) {
            rows.push_back({row.range, m_self, nextEpoch, {}, {}});
        } else if (mustRaiseEpoch(now, row)) {
            rows.push_back({row.range, m_self, nextEpoch, row.successor, {}});
        } else {
            rows.push_back(row);
            continue;
        }
        isChanged = true;
    }
    if (!isChanged)
        return std::nullopt;
    auto table = RangeTable::create(std::move(rows), nextEpoch);
    return table ? std::optional<RangeTable>(std::move(*table)) : std::nullopt;
}

} // namespace Medlar::KeyRange
