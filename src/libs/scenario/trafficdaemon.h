#pragma once

#include "admission/backlogregistry.h"
#include "daemon/admissionpolicy.h"
#include "daemon/backendbalancer.h"
#include "daemon/candidateindex.h"
#include "daemon/errorcodes.h"
#include "daemon/retrypolicy.h"
#include "fakebackend.h"
#include "trafficscenario.h"

namespace Medlar::Scenario {

constexpr char TrafficService[] = "checkout";

/*! The policies count from this moment, because a TimePoint() means "never" to some of them. */
constexpr Base::TimePoint TrafficEpoch{std::chrono::seconds(1000)};

/*! Prints the log lines of one daemon. */
class DaemonLog : public Base::LogSink
{
public:
    using Print = std::function<void(const std::string &line)>;

    DaemonLog(std::string node, Print print) : m_node(std::move(node)), m_print(std::move(print)) {}
    void write(const Base::LogLine &line) override
    {
        m_print("event=" + line.event() + " node=" + m_node + line.fields());
    }

private:
    std::string m_node;
    Print m_print;
};

/*!
    One daemon with its BackendServer: the real policies, called in the order in which
   LocalDispatcher and TrafficThread call them.
*/
class TrafficDaemon
{
public:
    /*! Identifies an attempt at a request. */
    using AttemptId = std::uint64_t;
    using Done = std::function<void(const Daemon::AttemptResult &result)>;

    struct Attempt
    {
        Messages::RequestClass requestClass = Messages::RequestClass::Normal;
        Base::TimePoint deadline;
        std::function<void()> started; //!< the BackendServer receives it
        Done done;                     //!< once; again for a late answer
    };

    TrafficDaemon(EventQueue &events, const TrafficOptions &options, Cluster::NodeRecord record,
                  const DaemonLog::Print &print);

    // Commands
    void setSnapshot(const std::shared_ptr<const Daemon::TrafficSnapshot> &snapshot);
    void run(AttemptId id, Attempt attempt);
    void cancel(AttemptId id);
    /*! Probes the BackendServer and checks the alarms; called several times a second. */
    void check();

    Daemon::BackendBalancer &balancer() { return *m_balancer; }
    Daemon::RetryPolicy &retry() { return *m_retry; }
    Daemon::CandidateIndex &index() { return m_index; }
    FakeBackend &backend() { return m_backend; }

    // Queries
    Base::TimePoint now() const { return TrafficEpoch + m_events.now(); }
    const Cluster::NodeRecord &record() const { return m_record; }
    const Configuration::Route &route() const { return m_snapshot->routes->routes.begin()->second; }
    std::size_t longestQueue() const { return m_longestQueue; }
    std::size_t waiting() const { return m_admission->waiting(); }
    bool isBroken(const std::string &rule) const { return m_brokenRules.count(rule) != 0; }

private:
    struct Entry
    {
        Attempt attempt;
        Daemon::AdmissionTicket ticket = 0;
        bool isRunning = false;
        Base::TimePoint sentAt;
    };

    void decided(AttemptId id, const Daemon::AdmissionDecision &decision);
    void onReply(AttemptId id, BackendReply reply, const Done &done);
    void finish(AttemptId id, const Daemon::AttemptResult &result,
                Daemon::CompletionResult completion);
    void armTimer();

    EventQueue &m_events;
    Cluster::NodeRecord m_record;
    std::set<std::string> m_brokenRules;
    DaemonLog m_log;
    Admission::BacklogRegistry m_registry;
    std::unique_ptr<Daemon::AdmissionPolicy> m_admission;
    std::unique_ptr<Daemon::BackendBalancer> m_balancer;
    std::unique_ptr<Daemon::RetryPolicy> m_retry;
    Daemon::CandidateIndex m_index;
    FakeBackend m_backend;
    std::shared_ptr<const Daemon::TrafficSnapshot> m_snapshot;
    std::map<AttemptId, Entry> m_entries;
    Base::TimePoint m_timer = Base::TimePoint::max();
    std::size_t m_longestQueue = 0;
};

} // namespace Medlar::Scenario
