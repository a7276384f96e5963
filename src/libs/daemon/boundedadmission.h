#pragma once

#include "admissionpolicy.h"

#include <list>

namespace Medlar::Daemon {

/*! Fixed concurrency, the BackendServer's slots, and one bounded queue in order of arrival. */
class BoundedAdmission : public AdmissionPolicy
{
public:
    AdmissionTicket offer(Base::TimePoint now, const AdmissionRequest &request,
                          Decide decide) override;
    void cancel(Base::TimePoint now, AdmissionTicket ticket) override;
    void onCompleted(Base::TimePoint now, AdmissionTicket ticket,
                     const Completion &completion) override;
    void onSnapshot(Base::TimePoint now, const TrafficSnapshot &snapshot) override;
    void onTime(Base::TimePoint now) override;

    std::optional<Base::TimePoint> nextDeadline() const override;
    std::size_t waiting() const override { return m_waiting.size(); }

private:
    struct Waiting
    {
        AdmissionTicket ticket = 0;
        Base::TimePoint deadline;
        Decide decide;
    };

    void admitWaiting(Base::TimePoint now);

    std::list<Waiting> m_waiting;
    AdmissionTicket m_lastTicket = 0;
    std::size_t m_limit = 1;
    std::size_t m_running = 0;
};

} // namespace Medlar::Daemon
