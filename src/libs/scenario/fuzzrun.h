#pragma once

#include "fuzzer.h"
#include "unavailability.h"

namespace Medlar::Scenario {

/*! One run of the fuzzer: a random cluster and a random series of faults. */
class FuzzRun
{
public:
    FuzzRun(std::uint64_t seed, const Ownership::ProtocolRules &rules);

    void setLogSink(const Simulation::LogSink &sink);
    void run();

    const std::vector<Violation> &violations() const { return m_checker.violations(); }
    std::uint64_t steps() const { return m_simulation.steps(); }
    TrueTime worstUnavailable() const { return m_unavailability.worst(); }
    /*! Appends the entries of the store and which of their instances are sealed or running. */
    void describeEntries(std::vector<std::string> &lines) const;
    bool hasRecovered() const { return m_unavailability.unservedCount() == 0; }

private:
    using Fault = void (FuzzRun::*)();

    /*! Which faults a run concentrates on; most sequences that matter need several of a kind. */
    enum class Profile { Mixed, HotKeys, Leases };

    static Profile randomProfile(RandomSource &random);
    void injectFault();
    void endFaults();
    void note(const std::string &text);
    std::string randomNode();
    Cluster::SlotId randomSlot();
    TrueTime randomTime(TrueTime low, TrueTime high) { return m_random.between(low, high); }

    void killNode();
    void restartNode();
    void pauseNode();
    void partition();
    void partitionOneWay();
    void isolateOneWay();
    void heal();
    void disturbLinks();
    void delayLink();
    void alternateWitnessLoss();
    void loseStore();
    void changeDrift();
    void leave();
    void confirmDead();
    void movePlanned();
    void splitPlanned();
    void mergePlanned();
    void racePlanners();

    RandomSource m_random;
    Profile m_profile;
    Simulation m_simulation;
    InvariantChecker m_checker;
    Unavailability m_unavailability;
    Simulation::LogSink m_log;
    bool m_faultsEnded = false;
};

} // namespace Medlar::Scenario
