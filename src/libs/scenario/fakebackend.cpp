#include "fakebackend.h"

#include <algorithm>
#include <utility>

namespace Medlar::Scenario {

using namespace std::chrono_literals;

namespace {

constexpr TrueTime ReplyDelay = 200us; // of a refusal or of a lost connection
constexpr double ColdSlowdown = 3.0;   // of the service time when wholly cold

} // namespace

bool FakeBackend::send(std::uint64_t request, Done done)
{
    const TrueTime now = m_events.now();
    if (!isReachable()) {
        replyLater(done, BackendReply::Refused);
        return false;
    }
    const double usable = m_slots * (1 - coldness());
    const auto usableSlots = std::max<std::size_t>(static_cast<std::size_t>(usable), 1);
    if (now < m_shedsUntil || m_running.size() >= usableSlots) {
        ++m_shed;
        replyLater(done, BackendReply::Shed);
        return false;
    }
    if (now < m_losesUntil)
        replyLater(done, BackendReply::CutOff);
    m_running[request] = std::move(done);
    const double slowdown = (1 + coldness() * (ColdSlowdown - 1))
                            * static_cast<double>(now < m_slowUntil ? m_slowFactor : 1);
    const auto time = m_random.between(m_serviceTime / 2, m_serviceTime * 3 / 2).count();
    finishLater(request,
                now + TrueTime(static_cast<TrueTime::rep>(static_cast<double>(time) * slowdown)));
    return true;
}

void FakeBackend::cancel(std::uint64_t request)
{
    m_running.erase(request);
}

void FakeBackend::slowDown(std::uint64_t factor, TrueTime end)
{
    m_slowFactor = factor;
    m_slowUntil = end;
}

void FakeBackend::restart(TrueTime down)
{
    refuseUntil(m_events.now() + down);
    for (const auto &[request, done] : std::exchange(m_running, {}))
        replyLater(done, BackendReply::CutOff);
}

void FakeBackend::becomeCold(TrueTime duration)
{
    m_coldSince = std::max(m_events.now(), m_refusesUntil);
    m_coldUntil = m_coldSince + duration;
}

// From 1 directly after the start to 0 when warm.
double FakeBackend::coldness() const
{
    const TrueTime now = m_events.now();
    if (now >= m_coldUntil)
        return 0;
    return static_cast<double>((m_coldUntil - now).count())
           / static_cast<double>((m_coldUntil - m_coldSince).count());
}

void FakeBackend::finishLater(std::uint64_t request, TrueTime at)
{
    m_events.schedule(at, [this, request] {
        if (m_events.now() < m_stalledUntil) {
            finishLater(request, m_stalledUntil);
            return;
        }
        auto node = m_running.extract(request);
        if (!node.empty())
            node.mapped()(BackendReply::Answered);
    });
}

void FakeBackend::replyLater(const Done &done, BackendReply reply)
{
    m_events.schedule(m_events.now() + ReplyDelay, [done, reply] { done(reply); });
}

} // namespace Medlar::Scenario
