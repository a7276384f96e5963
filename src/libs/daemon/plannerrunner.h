#pragma once

#include "base/logline.h"
#include "base/time.h"
#include "controlview.h"
#include "placement/loadtracker.h"
#include "placement/slotplanner.h"
#include "sealcollector.h"
#include "spreading/objectreplica.h"
#include "store/objectstore.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace Medlar::Daemon {

struct PlannerSettings
{
    Base::InstanceId self;
    std::chrono::milliseconds renewInterval{2000};
    std::chrono::milliseconds takeoverAfter{6000}; //!< without a renewal of the present planner
    std::chrono::milliseconds planInterval{1000};
    std::size_t balancingMovesPerHour = 2000;
};

/*!
    Takes part in the election of the planner through a lease object in the store, and plans while
   it holds it. Two planners at once are harmless: each writes chunks by conditional update against
   the version from which it planned. Runs on the control thread.
*/
class PlannerRunner
{
public:
    /*! Called with each object that this planner wrote, so that it spreads without waiting for the
     * watch. */
    using WrittenHandler = std::function<void(const std::string &key, Store::Version version,
                                              std::optional<std::string> value)>;

    PlannerRunner(const PlannerSettings &settings, Store::ObjectStore &store, Base::LogSink &log,
                  WrittenHandler onWritten);

    /*! The lease object changed to \a version, as seen by a watch; without a value it was removed.
     */
    void onLeaseObject(Base::TimePoint now, Store::Version version,
                       const std::optional<std::string> &value);
    void onLoadSummary(Base::TimePoint now, const Messages::LoadSummary &summary);
    void onSlotsServed(Base::TimePoint now, const Messages::SlotsServed &served);
    /*! Renews or takes the lease and plans when due. Only candidates call it. */
    void onTime(Base::TimePoint now, const ControlView &view,
                const Spreading::ObjectReplica &replica,
                const std::unordered_set<Base::InstanceId> &sealed);
    /*! Gives the lease up, so that another candidate takes it at once. */
    void stop();

    bool isPlanner() const { return m_isPlanner; }

private:
    void renew(Base::TimePoint now);
    void onRenewed(Store::Result<Store::Version> result);
    void setPlanner(bool isPlanner, const std::string &reason);
    void announce(const Spreading::ObjectReplica &replica);
    void planTable(Base::TimePoint now, const Configuration::Route &route, const ControlView &view,
                   const Spreading::ObjectReplica &replica,
                   const std::unordered_set<Base::InstanceId> &sealed);
    std::vector<Placement::PlanNode>
    nodesFor(Base::TimePoint now, const Configuration::Route &route, const ControlView &view);
    double rampFactor(Base::TimePoint now, const Base::InstanceId &instance, bool accepts,
                      Base::Duration rampTime);
    void writeChunks(const std::string &table, const Cluster::SlotTable &slots,
                     const Placement::Plan &plan, const Spreading::ObjectReplica &replica);
    void removeSealedNodes(Base::TimePoint now, const ControlView &view,
                           const Spreading::ObjectReplica &replica,
                           const std::unordered_set<Base::InstanceId> &sealed);
    void remove(const std::string &key, const Spreading::ObjectReplica &replica);
    void put(const std::string &key, const std::string &value, Store::Version expected);
    void logPlan(const std::string &table, const Placement::Plan &plan) const;
    void rememberFormerNodes(const std::string &table, const Placement::PlanInput &input,
                             const Placement::Plan &plan);
    std::size_t takeMoveBudget(Base::TimePoint now);

    PlannerSettings m_settings;
    Store::ObjectStore &m_store;
    Base::LogSink &m_log;
    WrittenHandler m_onWritten;
    Placement::LoadTracker m_load;
    std::map<std::string, std::unordered_map<Cluster::SlotId, Cluster::Epoch>> m_settled;
    /*! Names of the nodes from which slots were taken by repairs, by table. */
    std::map<std::string, std::unordered_map<Cluster::SlotId, std::string>> m_formerNodes;
    std::set<std::string> m_pendingWrites;
    SealCollector m_seals;
    /*! Since when nodes accept slots; those of the first round count as warm. */
    std::unordered_map<Base::InstanceId, Base::TimePoint> m_acceptingSince;
    bool m_isFirstRound = true;
    Store::Version m_leaseVersion = 0; //!< last change of the lease object that was seen
    Base::TimePoint m_leaseSeen;
    bool m_leaseIsFree = false; //!< the object does not exist
    Base::TimePoint m_nextRenewal;
    Base::TimePoint m_nextPlan;
    Base::TimePoint m_budgetUpdated;
    double m_moveBudget = 0.0;
    bool m_isPlanner = false;
    bool m_isRenewing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Medlar::Daemon
