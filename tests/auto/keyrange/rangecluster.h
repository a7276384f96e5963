#pragma once

#include "keyrange/rangechanges.h"
#include "keyrange/rangekeeper.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Medlar::KeyRange {

/*! The store as far as ownership needs it: one object with versions and conditional writes, some of
    which are executed late or without an answer. */
struct FakeTableStore
{
    struct LateWrite
    {
        Base::TimePoint at;
        TableVersion expected = 0;
        RangeTable table;
    };

    RangeTable table;
    TableVersion version = 1;
    std::vector<LateWrite> lateWrites;
    bool isDown = false;

    bool write(TableVersion expected, const RangeTable &next);
    void runLateWrites(Base::TimePoint now);
};

/*! A BackendServer that keeps to its grants, on a clock of its own. */
struct FakeHolder
{
    struct Hold
    {
        Range range;
        FencingToken token = 0;
        Base::TimePoint until;     //!< true time
        Base::TimePoint busyUntil; //!< work that goes on after the range was withdrawn
        bool isWithdrawn = false;
    };

    std::uint64_t life = 1;
    std::uint64_t sequence = 0;
    double clockRate = 1.0; //!< true seconds that one of its seconds lasts
    std::vector<Hold> holds;
    std::vector<FreedRange> freed;
    Base::TimePoint nextBeat;

    void expire(Base::TimePoint now);
    HeldReport report();
    void take(Base::TimePoint sentAt, Base::TimePoint now, const HoldGrant &grant,
              std::mt19937_64 &random);
};

struct FakeRangeNode
{
    std::string name;
    std::unique_ptr<RangeKeeper> keeper; //!< empty while the daemon is down
    FakeHolder holder;
    Base::TimePoint downUntil;
    Base::TimePoint suspendedUntil; //!< the daemon does nothing, while its clock goes on
    Base::TimePoint cutUntil;       //!< from the store
    Base::TimePoint nextConfirm;
    /*! A read whose answer is on its way. */
    struct Read
    {
        Base::TimePoint sentAt;
        Base::TimePoint answeredAt;
        TableVersion version = 0;
    };
    std::optional<Read> read;
    bool mustReadTable = false; //!< a read showed a version that the daemon does not know
    Base::TimePoint deafUntil;  //!< its watch hears nothing
    Base::TimePoint nextWrite;
};

/*!
    Daemons with their BackendServers and one store under random faults: restarts of either,
   suspended VMs, cuts, a silent store, lost and late writes, slow clocks. After each step it checks
   that no key is held twice and that tokens rise.
*/
class RangeCluster
{
public:
    RangeCluster(std::uint64_t seed, std::size_t nodes, const KeeperRules &rules);

    /*! Runs for \a length; returns the first violation, or nothing. */
    std::optional<std::string> run(Base::Duration length);
    /*! Whether all keys are held, once faults have ended for \a calm. */
    bool recovers(Base::Duration calm);

private:
    void step();
    void disturb();
    void plan();
    void runNode(FakeRangeNode &node);
    void beat(FakeRangeNode &node);
    void writeWanted(FakeRangeNode &node);
    void runWriter();
    std::optional<std::string> violation();
    bool chance(double probability);
    Base::Duration between(Base::Duration least, Base::Duration most);
    std::unique_ptr<RangeKeeper> makeKeeper(const std::string &name) const;

    std::mt19937_64 m_random;
    KeeperRules m_rules;
    Base::TimePoint m_now;
    FakeTableStore m_store;
    /*! The node that writes what others ask for; their messages take a while. */
    struct Mail
    {
        Base::TimePoint at;
        RangeChange change;
    };
    RangeChanges m_changes;
    std::vector<Mail> m_mail;
    TableVersion m_writerVersion = 0;
    std::optional<RangeTable> m_writerTable;
    std::vector<FakeRangeNode> m_nodes;
    std::map<Key, std::pair<FencingToken, std::string>> m_highest; //!< by a sample of keys
    bool m_isDisturbed = true;
    Base::TimePoint m_storeDownUntil;
};

} // namespace Medlar::KeyRange
