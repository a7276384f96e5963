#pragma once

#include "base/time.h"
#include "messages/peermessages.h"
#include "ownership/ownershipengine.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Medlar::Daemon {

struct PlannerReporterSettings
{
    /*! Hot keys have to move within a minute; shorter intervals cost the planner's node bytes for
     * each node. */
    std::chrono::milliseconds loadInterval{10000};
    /*! Windows end at this time plus multiples of the interval, on all nodes alike. A change of the
     * whole load would otherwise look like imbalance between nodes that report at different times.
     */
    Base::TimePoint windowStart;
    /*! At least between two reports of served slots, which are sent only when they changed. */
    std::chrono::milliseconds servedInterval{500};
    /*! Repeats everything, in case that a report was lost without a sign of it. In between only
     * changes are sent: whole reports of 410 nodes would cost the planner's node 20 KB/s. */
    std::chrono::milliseconds repeatInterval{180000};
};
/*! Decides what a node reports to the planner: the load of slots and keys whose rate changed, and
   the served slots when they changed.
 */
class PlannerReporter
{
public:
    using Served = std::map<std::string, std::vector<Ownership::ServedSlot>>;

    explicit PlannerReporter(const PlannerReporterSettings &settings = {}) : m_settings(settings) {}

    /*! Adds what was counted until \a now. The window of a report reaches from the last report, or
     * from the first request, to the next one, whether or not requests arrived all the time. */
    void addLoad(Base::TimePoint now, const std::vector<Messages::LoadSummary> &summaries);

    /*! A report was not delivered, or its link ended: everything is sent again. */
    void repeatAll() { m_mustRepeat = true; }

    /*! The messages that are due for \a planner. A planner that was not reported to gets
     * everything. */
    std::vector<Messages::PeerMessage> takeDue(Base::TimePoint now, const Base::InstanceId &self,
                                               const Base::InstanceId &planner,
                                               const Served &served);

private:
    using Counts = std::unordered_map<Cluster::SlotId, std::uint64_t>;
    using Rates = std::unordered_map<Cluster::SlotId, double>;

    struct Load
    {
        Base::TimePoint since; //!< begin of the window
        std::uint64_t requests = 0;
        Counts slots;
        Counts hotKeys;
    };

    /*! Rates that the planner was told of. */
    struct ReportedLoad
    {
        Rates slots;
        Rates hotKeys;
    };

    static Counts frequent(const Load &load);
    /*! Since when the slots of a table are served under their present epochs. */
    struct ServedSince
    {
        Cluster::Epoch epoch = 0;
        Base::TimePoint since;
    };
    using ServedTimes = std::unordered_map<Cluster::SlotId, ServedSince>;

    void rememberServed(Base::TimePoint now, const std::string &table,
                        const std::vector<Messages::SlotEpoch> &slots);
    bool isServedSince(const ServedTimes &times, Cluster::SlotId slot, Base::TimePoint begin) const;
    static std::vector<Messages::SlotWeight> changed(std::vector<Messages::SlotWeight> candidates,
                                                     const Counts &counts, double window,
                                                     Rates &reported);
    Base::TimePoint nextWindowEnd(Base::TimePoint now) const;
    void forgetReportedLoad();
    void appendLoad(Base::TimePoint now, const Base::InstanceId &self,
                    std::vector<Messages::PeerMessage> &messages);

    PlannerReporterSettings m_settings;
    std::map<std::string, Load> m_load;
    std::map<std::string, ReportedLoad> m_reportedLoad;
    std::map<std::string, ServedTimes> m_servedTimes;
    std::map<std::string, std::vector<Messages::SlotEpoch>> m_reported;
    std::optional<Base::InstanceId> m_planner;
    /*! Empty before the first request: a window of a few requests says nothing. */
    std::optional<Base::TimePoint> m_nextLoad;
    Base::TimePoint m_nextServed;
    Base::TimePoint m_nextRepeat;
    bool m_mustRepeat = false;
};

} // namespace Medlar::Daemon
