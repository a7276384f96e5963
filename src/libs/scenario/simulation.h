#pragma once

#include "fakeplanner.h"
#include "requesttracker.h"

namespace Medlar::Scenario {

struct NodeOptions
{
    std::string name;
    Location location;
    bool backendChecksFencing = true;
    double drift = 0;
};

struct SimulationOptions
{
    std::uint64_t seed = 1;
    std::uint32_t slotCount = 8;
    std::vector<NodeOptions> nodes;
    Ownership::LeaseTiming timing;
    Ownership::ProtocolRules rules;
    bool repairs = true;     //!< a planner replaces sealed and draining owners every 500 ms
    bool antiEntropy = true; //!< random peers exchange entries, records and seals every second
    TrueTime longestDrain{5000000};
    TrueTime longestPush{10000000}; //!< delay of changes pushed by the store
    double pushLossPercent = 0;
    bool tracksRequests = true; //!< models requests in flight, for the invariant checks
};

/*! A planner's write that the store acknowledged. */
struct AcknowledgedWrite
{
    std::vector<Cluster::SlotAssignment> assignments;
};

/*!
    A cluster of engines over a virtual clock, a fake network and a fake store. Everything that
   happens is determined by the options and the calls, so a run can be repeated exactly.
*/
class Simulation
{
public:
    using LogSink = std::function<void(const std::string &line)>;

    explicit Simulation(const SimulationOptions &options);
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /*! Called after every step. */
    void setStepHook(std::function<void()> hook) { m_stepHook = std::move(hook); }
    void setLogSink(LogSink sink) { m_log = std::move(sink); }

    void runUntil(TrueTime end);
    /*! Lets the nodes obtain leases with witnesses and assigns all slots. */
    void warmUp();

    // Faults and operations on nodes
    void pause(const std::string &node) { at(node).pause(); }
    void resume(const std::string &node);
    void kill(const std::string &node) { at(node).kill(); }
    /*! Starts a dead node again, or kills and starts a live one. */
    void restart(const std::string &node);
    void drain(const std::string &node);
    void stop(const std::string &node);
    /*! An operator declares the present instance of \a node dead. */
    void confirmDead(const std::string &node);
    /*! An operator declares all instances dead that no longer run. */
    void confirmFormerInstancesDead();
    void setStoreUp(bool up);
    void setPushLoss(double percent) { m_options.pushLossPercent = percent; }

    /*!
        Lets a planner on \a host read the store, apply \a operation and write the result after
       \a writeDelay. With \a loseResponse the write counts as not acknowledged.
    */
    void plan(const std::string &host, const std::function<void(FakePlanner &)> &operation,
              TrueTime writeDelay = TrueTime(1000000), bool loseResponse = false);

    EventQueue &queue() { return m_queue; }
    FakeNetwork &network() { return m_network; }
    FakeStore &store() { return m_store; }
    const FakeStore &store() const { return m_store; }
    RandomSource &random() { return m_random; }
    TrueTime now() const { return m_queue.now(); }
    std::uint64_t steps() const { return m_steps; }

    SimulatedNode &at(const std::string &node) { return *m_nodes.at(node); }
    bool hasNode(const std::string &node) const { return m_nodes.count(node) != 0; }
    const std::map<std::string, std::unique_ptr<SimulatedNode>> &nodes() const { return m_nodes; }
    /*! Seals decided so far, whether or not anybody learnt them yet. */
    const std::set<Base::InstanceId> &seals() const { return m_seals; }
    const std::vector<AcknowledgedWrite> &acknowledgedWrites() const { return m_acknowledged; }

private:
    void confirmDead(const Base::InstanceId &instance);
    void startProcess(SimulatedNode &node, const Base::InstanceId &instance);
    Base::InstanceId newInstance(const std::string &node);
    void rejoin(SimulatedNode &node);
    void execute(SimulatedNode &node, const Ownership::Command &command);
    void propagateSeal(const SimulatedNode &node, const Messages::Sealed &seal);
    void publish(const std::string &node, const VersionedRecord &record);
    void beginDrain(SimulatedNode &node, const Ownership::DrainSlots &drain);
    void deliver(const std::string &toNode, const Base::InstanceId &from,
                 const Base::InstanceId &to, const Messages::PeerMessage &message);
    void pushRecord(const VersionedRecord &record);
    void pushEntries(const std::vector<Cluster::SlotAssignment> &assignments);
    void loadFromStore(SimulatedNode &node);
    void learnRecord(SimulatedNode &node, const VersionedRecord &record);
    void schedulePeriodic(TrueTime interval, const std::function<void()> &action);
    void exchange();
    void exchange(const SimulatedNode &from, const std::string &to);
    void reportSettled();
    std::string randomRunningNode();
    TrueTime pushDelay();

    SimulationOptions m_options;
    EventQueue m_queue;
    RandomSource m_random;
    FakeNetwork m_network;
    FakeStore m_store;
    RequestTracker m_requests;
    std::map<std::string, std::unique_ptr<SimulatedNode>> m_nodes;
    std::map<std::string, std::uint64_t> m_recordVersions;
    std::uint64_t m_publications = 0;
    std::set<Base::InstanceId> m_instances;
    std::set<Base::InstanceId> m_seals;
    std::map<Cluster::SlotId, Cluster::Epoch> m_settled;
    std::vector<AcknowledgedWrite> m_acknowledged;
    std::uint64_t m_steps = 0;
    std::function<void()> m_stepHook;
    LogSink m_log;
};

} // namespace Medlar::Scenario
