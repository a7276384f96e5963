#pragma once

#include "daemon/admissionpolicy.h"
#include "daemon/backendbalancer.h"
#include "daemon/retrypolicy.h"

#include <map>

namespace Medlar::Scenario {

/*! Deliberately wrong admission: an unbounded queue in the order of arrival, without regard to
 * deadlines, classes, ramps and the reactions of the BackendServer. */
class UnboundedAdmission : public Daemon::AdmissionPolicy
{
public:
    explicit UnboundedAdmission(std::uint32_t slots) : m_slots(slots) {}

    Daemon::AdmissionTicket offer(Base::TimePoint now, const Daemon::AdmissionRequest &request,
                                  Decide decide) override;
    void cancel(Base::TimePoint, Daemon::AdmissionTicket ticket) override
    {
        m_waiting.erase(ticket);
    }
    void onCompleted(Base::TimePoint now, Daemon::AdmissionTicket ticket,
                     const Daemon::Completion &completion) override;
    void onSnapshot(Base::TimePoint, const Daemon::TrafficSnapshot &) override {}
    void onTime(Base::TimePoint) override {}
    std::optional<Base::TimePoint> nextDeadline() const override { return std::nullopt; }
    std::size_t waiting() const override { return m_waiting.size(); }

private:
    void pump(Base::TimePoint now);

    std::uint32_t m_slots;
    std::uint32_t m_running = 0;
    Daemon::AdmissionTicket m_lastTicket = 0;
    std::map<Daemon::AdmissionTicket, Decide> m_waiting;
};

/*! Deliberately wrong choice: each node in turn, whatever happened there. */
class BlindBalancer : public Daemon::BackendBalancer
{
public:
    const Cluster::NodeRecord *choose(Base::TimePoint now, const std::string &service,
                                      const Daemon::CandidateTiers &tiers,
                                      const std::vector<Base::InstanceId> &excluded) override;
    void onStarted(Base::TimePoint, const std::string &, const Base::InstanceId &) override {}
    void onFinished(Base::TimePoint, const std::string &, const Base::InstanceId &,
                    Daemon::NodeResult, Base::Duration) override
    {}

private:
    std::size_t m_next = 0;
};

/*! Deliberately wrong choice: the node with the last name only. */
class LastNodeBalancer : public BlindBalancer
{
public:
    const Cluster::NodeRecord *choose(Base::TimePoint now, const std::string &service,
                                      const Daemon::CandidateTiers &tiers,
                                      const std::vector<Base::InstanceId> &excluded) override;
};

/*! Deliberately wrong retries and hedges: without budgets, also under overload. */
class UnlimitedRetry : public Daemon::RetryPolicy
{
public:
    void onRequest(Base::TimePoint, const std::string &) override {}
    bool takeRetry(Base::TimePoint now, const Daemon::FailedAttempt &attempt) override;
    std::optional<Base::Duration> hedgeDelay(const std::string &service) const override;
    bool takeHedge(Base::TimePoint, const std::string &, Base::TimePoint) override { return true; }
};

/*! Deliberately wrong: neither retries nor hedges. */
class NoRetry : public Daemon::RetryPolicy
{
public:
    void onRequest(Base::TimePoint, const std::string &) override {}
    bool takeRetry(Base::TimePoint, const Daemon::FailedAttempt &) override { return false; }
};

} // namespace Medlar::Scenario
