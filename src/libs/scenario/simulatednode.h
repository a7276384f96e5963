#pragma once

#include "driftingclock.h"
#include "fakenetwork.h"
#include "ownership/ownershipengine.h"

#include <deque>

namespace Medlar::Scenario {

/*! A node record with the order of its publication, which the store's revision would give. */
struct VersionedRecord
{
    std::uint64_t version = 0;
    Cluster::NodeRecord record;
};

/*! One daemon: an engine with its clock and the inputs that wait while the process is paused. */
class SimulatedNode
{
public:
    using Input = std::function<Ownership::Commands(Ownership::OwnershipEngine &, Base::TimePoint)>;
    using Execute = std::function<void(SimulatedNode &, const Ownership::Command &)>;
    using Observe = std::function<void(SimulatedNode &)>;
    enum class State { Running, Paused, Dead };

    SimulatedNode(EventQueue &queue, Cluster::NodeRecord record, DriftingClock clock,
                  Execute execute, Observe observe);

    /*! Starts a new process or, after a loss of the lease, a new instance in the same process. */
    void start(const Base::InstanceId &instance, const Ownership::LeaseTiming &timing,
               const Ownership::ProtocolRules &rules);
    /*! Hands \a input to the engine, or keeps it until the process runs again. */
    void process(const Input &input);
    void kill();
    void pause();
    /*! Continues a paused process: timers first or waiting input first. */
    void resume(bool timersFirst);

    const std::string &name() const { return m_record.instance.node; }
    const std::string &zone() const { return m_record.availabilityZone; }
    const Base::InstanceId &instance() const { return m_record.instance; }
    State state() const { return m_state; }
    bool isAlive() const { return m_state != State::Dead; }
    bool isRunning() const { return m_state == State::Running; }
    const Ownership::OwnershipEngine &engine() const { return *m_engine; }
    /*! Known seals; golden files must not depend on the order of a hash table. */
    std::set<Base::InstanceId> sortedSeals() const;
    Base::TimePoint localTime() const { return m_clock.local(m_queue.now()); }
    void setDrift(double drift);
    /*! Timers that were due again at once, which would make a real process spin. */
    std::uint64_t stuckTimers() const { return m_stuckTimers; }
    /*! Counts the inputs that the engine handled. */
    std::uint64_t inputs() const { return m_inputs; }

    /*! What the process of the node remembers outside the engine. */
    std::map<std::string, VersionedRecord> records;
    /*! Slots and hot keys that the node was permitted to serve after its last input. */
    std::set<Cluster::SlotId> permitted;
    /*! When the last request ends that was in flight as the permission ended. */
    std::map<Cluster::SlotId, TrueTime> requestsEnd;

private:
    void run(const Input &input);
    void scheduleTimer(bool afterTimer);
    void onTimer();

    EventQueue &m_queue;
    Cluster::NodeRecord m_record;
    DriftingClock m_clock;
    Execute m_execute;
    Observe m_observe; //!< called when the engine handled an input, before its commands
    State m_state = State::Dead;
    std::unique_ptr<Ownership::OwnershipEngine> m_engine;
    std::deque<Input> m_waiting;
    TrueTime m_timerAt = TrueTime::max();
    std::uint64_t m_stuckTimers = 0;
    std::uint64_t m_inputs = 0;
};

} // namespace Medlar::Scenario
