#include "deadlinequeue.h"

#include <boost/asio/steady_timer.hpp>

#include <map>

namespace Medlar::Http {

struct DeadlineQueue::State : std::enable_shared_from_this<State>
{
    explicit State(boost::asio::io_context &context) : timer(context) {}

    void arm(Base::TimePoint time);
    void onTimer();

    boost::asio::steady_timer timer;
    std::map<Handle, std::function<void()>> actions;
    std::uint64_t lastNumber = 0;
    Base::TimePoint armedFor = Base::TimePoint::max();
};

void DeadlineQueue::State::arm(Base::TimePoint time)
{
    armedFor = time;
    timer.expires_at(time);
    timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto state = weak.lock();
        if (!error && state)
            state->onTimer();
    });
}

void DeadlineQueue::State::onTimer()
{
    armedFor = Base::TimePoint::max();
    const Base::TimePoint now = std::chrono::steady_clock::now();
    while (!actions.empty() && actions.begin()->first.first <= now) {
        const auto action = std::move(actions.begin()->second);
        actions.erase(actions.begin());
        action();
    }
    if (!actions.empty() && actions.begin()->first.first < armedFor)
        arm(actions.begin()->first.first);
}

DeadlineQueue::DeadlineQueue(boost::asio::io_context &context)
    : m_state(std::make_shared<State>(context))
{}

DeadlineQueue::~DeadlineQueue()
{
    m_state->actions.clear();
}

DeadlineQueue::Handle DeadlineQueue::add(Base::TimePoint time, std::function<void()> action)
{
    const Handle handle{time, ++m_state->lastNumber};
    m_state->actions.emplace(handle, std::move(action));
    if (time < m_state->armedFor)
        m_state->arm(time);
    return handle;
}

void DeadlineQueue::cancel(const Handle &handle)
{
    m_state->actions.erase(handle);
}

std::size_t DeadlineQueue::size() const
{
    return m_state->actions.size();
}

} // namespace Medlar::Http
