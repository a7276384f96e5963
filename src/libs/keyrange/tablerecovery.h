#pragma once

#include "base/time.h"
#include "rangetable.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>

namespace Medlar::KeyRange {

/*! Owner of ranges whose holder nobody can name after the store was restored. No node has this
    name, so the successor takes them over when every lease of the former era has run out. */
constexpr char UnknownOwner[] = "unknown";

/*!
    Writes the range table again after the store came back from an earlier copy.

   The table that the store has then is older than what nodes have acted on: reading it proves
   nothing, and a change of it would give ranges away that others hold. Nodes act on a table only
   if its last epoch was given out in the present era of the store. Until one exists, owners keep
   what they hold as long as their proof of the former era lasts, and nobody changes an owner.

   One node writes the latest table that a live node of the service knows into the new era. The
   rows of an owner that knows this version and still had a valid proof of the former era after that
   had ended stay as they were: nobody else can have got them. All other rows get UnknownOwner, and
   are served again after the time for which the former era may have proved ownership.

   A node makes its statement only after it has ignored later tables of the former era for good,
   since it could get ranges from them that the new table leaves to others.
*/
class TableRecovery
{
public:
    /*! Tables of the former era that were sent before the restore have arrived by then. */
    static constexpr std::chrono::milliseconds SettlingTime{200};
    /*! The writing node waits no longer for the statements of the others. */
    static constexpr std::chrono::milliseconds StatementTimeout{1000};
    /*! If the first node in the order of names does not write the table, the next one does. */
    static constexpr std::chrono::milliseconds WriterTimeout{2000};

    /*! Nodes of the service, by their ids in the table. */
    struct Nodes
    {
        std::set<std::string> linked;
        /*! Those among them that stated that they know formerVersion() and had a valid proof of
         * ownership after they had noticed the restore. */
        std::set<std::string> confirming;
        std::set<std::string> taking; //!< those among them that can take ranges
    };

    /*! A table to write in place of the one that came back. */
    struct Replacement
    {
        TableVersion expected = 0; //!< version of the table that came back, 0 if none did
        RangeTable table;
    };

    // Commands

    /*! The store was restored, possibly once more. \a firstEpoch is the first epoch of its new era.
     */
    void start(Base::TimePoint now, Epoch firstEpoch);
    /*! A table of the new era was written. */
    void finish() { m_startedAt.reset(); }
    /*! The store was read. It returned a table of a former era, or none. */
    void onRestoredTable(TableVersion version, std::optional<RangeTable> table);
    /*! The replacement was sent to the store. Another one needs another read. */
    void onReplacementSent() { m_isRestoredRead = false; }
    /*! This node or a peer knew \a table as \a version in a former era. */
    void onFormerTable(TableVersion version, const RangeTable &table);

    // Queries

    bool isActive() const { return m_startedAt.has_value(); }
    /*! Whether this node must ignore further tables of the former era. */
    bool isSettled(Base::TimePoint now) const { return m_startedAt && now >= m_settledAt; }
    /*! Whether it is the turn of the node that is number \a rank in the order of names. */
    bool isWriter(Base::TimePoint now, std::size_t rank) const
    {
        return m_startedAt && now >= *m_startedAt + rank * WriterTimeout;
    }
    /*! Version of the latest known table of a former era, 0 if none is known. */
    TableVersion formerVersion() const { return m_formerVersion; }
    /*! Returns the table to write, or nothing as long as others may still be heard. */
    std::optional<Replacement> replacement(Base::TimePoint now, const Nodes &nodes) const;

private:
    bool mayComplete(const RangeTable &former, const Nodes &nodes) const;

    std::optional<Base::TimePoint> m_startedAt;
    Base::TimePoint m_settledAt{};
    Epoch m_firstEpoch = 0;
    bool m_isRestoredRead = false;
    TableVersion m_restoredVersion = 0;
    std::optional<RangeTable> m_restored;
    TableVersion m_formerVersion = 0;
    std::optional<RangeTable> m_former;
};

/*! Whether \a table was written in the era of the store that begins with \a firstEpoch, or in a
    later one. */
bool isOfEra(const RangeTable &table, Epoch firstEpoch);
/*! Returns \a table with a last epoch of at least \a firstEpoch. */
RangeTable markedForEra(const RangeTable &table, Epoch firstEpoch);
/*! Returns \a table, whose ranges were never granted, with all epochs raised to \a firstEpoch. */
RangeTable raisedToEra(const RangeTable &table, Epoch firstEpoch);

} // namespace Medlar::KeyRange
