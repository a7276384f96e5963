#pragma once

#include "admission/backlogmonitor.h"
#include "base/logline.h"
#include "controlreport.h"
#include "controlview.h"
#include "objectwriter.h"
#include "ownership/ownershipengine.h"
#include "peer/peerlinks.h"
#include "plannerreporter.h"
#include "plannerrunner.h"
#include "snapshotbuilder.h"
#include "spreading/spreader.h"
#include "store/objectstore.h"
#include "storewatcher.h"
#include "trafficplane.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Medlar::Daemon {

/*! Tells the local BackendServer until when this instance may use it. */
class BackendGrants
{
public:
    virtual ~BackendGrants() = default;
    /*! Sends a grant that ends at \a validUntil on the monotonic clock, which both share on one VM.
     */
    virtual void grant(const Base::InstanceId &instance, Base::TimePoint validUntil) = 0;
};

struct ControlSettings
{
    Cluster::NodeRecord self;
    std::vector<Peer::PeerAddress>
        seedPeers; //!< control ports asked for state when the store is out
    std::string credential;
    Ownership::LeaseTiming timing;
    std::chrono::milliseconds drainTimeout{10000};
    std::chrono::milliseconds backendTimeout{
        300}; //!< without a live BackendServer, then its slots are released
    std::uint64_t seed = 0;
};

/*! A number that no other instance of any node has. */
std::uint64_t randomIncarnation();

/*!
    The control side of a daemon: carries events between the store, the peers, the traffic side and
   the decision modules, and executes their commands. Runs on one thread.
*/
class ControlPlane
{
public:
    ControlPlane(boost::asio::io_context &context, const ControlSettings &settings,
                 Store::ObjectStore &store, TrafficPlane &traffic, BackendGrants &grants,
                 Base::LogSink &log, ConfigurationParser parser);
    ~ControlPlane();

    /*! Opens the control port and starts. The error says why the port can't be opened. */
    tl::expected<void, std::string> start();

    /*! Hands the slots over, finishes requests in flight, withdraws the node, then calls \a done.
     */
    void stopGracefully(std::function<void()> done);

    /*! Holds its node lease and has a configuration, so that requests can be routed. */
    bool isReady() const;
    /*! What operators and metrics may read; valid as long as the control plane, on its thread. */
    ControlReport report() const;

private:
    using Clock = std::chrono::steady_clock;

    void startInstance();
    void restartInstance(Messages::SealReason reason);
    void applyObject(const std::string &key);
    void applyChange(const ViewChange &change);
    void execute(const Ownership::Commands &commands);
    void execute(const Spreading::SpreadCommands &commands);
    void executeCommand(const Ownership::Command &command);
    void onPeerMessage(const Base::InstanceId &from, Messages::PeerMessage &&message);
    std::optional<Peer::PeerAddress> resolve(const Base::InstanceId &instance) const;
    void onLinkUp(const Base::InstanceId &peer);
    void askSeedPeers(Base::TimePoint now);
    void send(const Base::InstanceId &to, const Messages::PeerMessage &message);
    void onStoreObject(const std::string &key, Store::Version version,
                       std::optional<std::string> value);
    void onTimer();
    void scheduleTimer();
    void updateMembers();
    void sendToUnannounced(const Messages::Sealed &seal);
    void publishIfChanged();
    void updateLease();
    void publishNodeRecord();
    void onBackendState(bool isUp);
    void onTrafficReport(const TrafficReport &report);
    void checkQueues(Base::TimePoint now);
    void reportToPlanner(const TrafficReport &report);
    /*! Whether \a message was a report to the planner. */
    bool onPlannerReport(const Messages::PeerMessage &message);
    void stopStep();
    void finishStop();

    boost::asio::io_context &m_context;
    ControlSettings m_settings;
    Store::ObjectStore &m_store;
    TrafficPlane &m_traffic;
    BackendGrants &m_grants;
    Base::LogSink &m_log;
    ConfigurationParser m_parser;
    boost::asio::steady_timer m_timer;
    std::unique_ptr<Peer::PeerLinks> m_links;
    std::unique_ptr<ControlView> m_view;
    std::unique_ptr<Ownership::OwnershipEngine> m_engine;
    std::unique_ptr<Spreading::Spreader> m_spreader;
    std::unique_ptr<PlannerRunner> m_planner;
    std::unique_ptr<StoreWatcher> m_watcher;
    Cluster::NodeRecord m_self;
    SnapshotBuilder m_snapshots;
    std::unique_ptr<ObjectWriter> m_recordWriter;
    std::unique_ptr<ObjectWriter> m_statusWriter;
    Base::TimePoint m_publishedLease;
    Base::TimePoint m_nextSeedAttempt;
    std::size_t m_nextSeed = 0;
    std::vector<Admission::BacklogEntry> m_trafficQueues; //!< from the last report
    Admission::BacklogRegistry m_queueRegistry;           //!< of the control side
    Admission::BacklogMonitor m_queues;
    Base::TimePoint m_nextTrafficPoll;
    Base::TimePoint m_backendSeen;
    bool m_backendIsUp = false;
    PlannerReporter m_reporter;
    std::function<void()> m_stopDone;
    Base::TimePoint m_stopDeadline;
    bool m_isStopping = false;
    bool m_isDrainingAll = false;
    std::uint64_t m_instanceRestarts = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Medlar::Daemon
