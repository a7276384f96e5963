#pragma once

#include "http/backendclient.h"
#include "http/deadlinequeue.h"

namespace Medlar::Daemon {

/*!
    Asks the BackendServer for GET /health at a fixed interval. It counts as unreachable while
   connections to it are refused; a slow or failing answer is a matter of admission.
*/
class BackendProbe
{
public:
    BackendProbe(Http::DeadlineQueue &deadlines, Http::BackendClient &backend,
                 std::chrono::milliseconds interval);

    void start() { probe(); }
    bool isReachable() const { return m_isReachable; }

private:
    void probe();
    void onResult(const Http::BackendResult &result);

    Http::DeadlineQueue &m_deadlines;
    Http::BackendClient &m_backend;
    std::chrono::milliseconds m_interval;
    Base::TimePoint m_started;
    bool m_isReachable = false;
};

} // namespace Medlar::Daemon
