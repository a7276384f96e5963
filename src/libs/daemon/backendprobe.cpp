#include "backendprobe.h"

#include <algorithm>

namespace Medlar::Daemon {

namespace {

constexpr std::chrono::milliseconds ProbeTimeout{500};

} // namespace

BackendProbe::BackendProbe(Http::DeadlineQueue &deadlines, Http::BackendClient &backend,
                           std::chrono::milliseconds interval)
    : m_deadlines(deadlines), m_backend(backend), m_interval(interval)
{}

void BackendProbe::probe()
{
    m_started = std::chrono::steady_clock::now();
    Http::BackendRequest request;
    request.request = {"GET", "/health", {}, {}, false};
    request.deadline = m_started + ProbeTimeout;
    request.done = [this](const Http::BackendResult &result) { onResult(result); };
    m_backend.send(std::move(request));
}

void BackendProbe::onResult(const Http::BackendResult &result)
{
    if (result)
        m_isReachable = true;
    else if (result.error().code == Http::BackendErrorCode::Refused)
        m_isReachable = false;
    const Base::TimePoint next = std::max(m_started + m_interval, std::chrono::steady_clock::now());
    m_deadlines.add(next, [this] { probe(); });
}

} // namespace Medlar::Daemon
