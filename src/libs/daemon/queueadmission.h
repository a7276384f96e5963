#pragma once

#include "admission/backlogregistry.h"
#include "admission/requestqueue.h"
#include "admissionpolicy.h"
#include "balancing/colddetector.h"
#include "balancing/concurrencylimit.h"
#include "balancing/ramp.h"

#include <map>
#include <memory>
#include <optional>

namespace Medlar::Daemon {

/*!
    Admission to the local BackendServer: a queue for each service ordered by class and deadline,
   one adaptive concurrency limit, and for each service a ramp that starts with the daemon and
   whenever the BackendServer returns or turns cold.
*/
class QueueAdmission : public AdmissionPolicy
{
public:
    /*! The queues are listed in \a registry, whose alarms the caller checks. */
    QueueAdmission(Base::LogSink &log, Admission::BacklogRegistry &registry)
        : m_log(log), m_registry(registry)
    {}

    AdmissionTicket offer(Base::TimePoint now, const AdmissionRequest &request,
                          Decide decide) override;
    void cancel(Base::TimePoint now, AdmissionTicket ticket) override;
    void onCompleted(Base::TimePoint now, AdmissionTicket ticket,
                     const Completion &completion) override;
    void onSnapshot(Base::TimePoint now, const TrafficSnapshot &snapshot) override;
    void onBackendReachable(Base::TimePoint now, bool isReachable) override;
    void onTime(Base::TimePoint now) override;

    std::optional<Base::TimePoint> nextDeadline() const override;
    std::size_t waiting() const override;

private:
    struct Waiting
    {
        AdmissionTicket ticket = 0;
        Decide decide;
    };

    struct Service
    {
        std::unique_ptr<Admission::RequestQueue> queue;
        std::unique_ptr<Balancing::Ramp> ramp;
        Balancing::RampSettings rampSettings;
        std::map<Admission::Ticket, Waiting> waiting;
    };

    struct Running
    {
        std::string service;
        Base::TimePoint startedAt;
    };

    Service &service(Base::TimePoint now, const Configuration::Route &route);
    void start(Base::TimePoint now, const std::string &service, AdmissionTicket ticket,
               const Decide &decide);
    void pump(Base::TimePoint now);
    bool dispatchOne(Base::TimePoint now, const std::string &name, Service &state);
    void rejectLate(Base::TimePoint now, Service &state);
    void startRamps(Base::TimePoint now, std::string_view reason);

    Base::LogSink &m_log;
    Admission::BacklogRegistry &m_registry;
    std::optional<Balancing::ConcurrencyLimit> m_limit;
    std::uint32_t m_slots = 0;
    std::optional<Balancing::ColdDetector> m_cold;
    std::map<std::string, Service> m_services;
    std::map<AdmissionTicket, Running> m_running;
    std::map<std::string, Balancing::RampSettings>
        m_rampSettings; //!< strictest of the routes of each service
    AdmissionTicket m_lastTicket = 0;
    Base::TimePoint m_nextToken
        = Base::TimePoint::max(); //!< when a ramp lets the next waiting request pass
    bool m_wasReachable = true;
    bool m_wasInService = true;
};

} // namespace Medlar::Daemon
