#include "simulatednode.h"

namespace Medlar::Scenario {

using namespace std::chrono_literals;

SimulatedNode::SimulatedNode(EventQueue &queue, Cluster::NodeRecord record, DriftingClock clock,
                             Execute execute, Observe observe)
    : m_queue(queue)
    , m_record(std::move(record))
    , m_clock(clock)
    , m_execute(std::move(execute))
    , m_observe(std::move(observe))
{}

void SimulatedNode::start(const Base::InstanceId &instance, const Ownership::LeaseTiming &timing,
                          const Ownership::ProtocolRules &rules)
{
    m_record.instance = instance;
    m_engine = Ownership::OwnershipEngine::create({m_record, timing, rules});
    m_state = State::Running;
    m_waiting.clear();
    permitted.clear();
    requestsEnd.clear();
    m_timerAt = TrueTime::max();
    scheduleTimer(false);
}

void SimulatedNode::process(const Input &input)
{
    if (m_state == State::Paused)
        m_waiting.push_back(input);
    else if (m_state == State::Running)
        run(input);
}

void SimulatedNode::run(const Input &input)
{
    // A command may replace the engine, so the commands are kept apart from it.
    ++m_inputs;
    const Ownership::Commands commands = input(*m_engine, localTime());
    m_observe(*this);
    for (const Ownership::Command &command : commands)
        m_execute(*this, command);
    if (m_state == State::Running)
        scheduleTimer(false);
}

void SimulatedNode::scheduleTimer(bool afterTimer)
{
    const Base::TimePoint deadline = m_engine->nextDeadline();
    if (deadline == Base::TimePoint::max())
        return;
    TrueTime at = deadline <= localTime() ? m_queue.now() : m_clock.trueTimeOf(deadline);
    if (afterTimer && at <= m_queue.now()) {
        ++m_stuckTimers;
        at = m_queue.now() + 1ms;
    }
    if (at >= m_timerAt)
        return;
    m_timerAt = at;
    m_queue.schedule(at, [this, at] {
        if (m_timerAt == at && m_state == State::Running)
            onTimer();
    });
}

void SimulatedNode::onTimer()
{
    m_timerAt = TrueTime::max();
    if (m_engine->nextDeadline() > localTime()) {
        scheduleTimer(false);
        return;
    }
    const Base::InstanceId handledBy = instance();
    run([](auto &engine, Base::TimePoint now) { return engine.onTime(now); });
    const bool isDueAgain = m_state == State::Running && handledBy == instance()
                            && m_engine->nextDeadline() <= localTime();
    if (!isDueAgain)
        return;
    // run() scheduled the next timer for the present time.
    m_timerAt = TrueTime::max();
    scheduleTimer(true);
}

void SimulatedNode::kill()
{
    m_state = State::Dead;
    m_waiting.clear();
    permitted.clear();
    requestsEnd.clear();
    m_timerAt = TrueTime::max();
}

void SimulatedNode::pause()
{
    if (m_state == State::Running)
        m_state = State::Paused;
}

void SimulatedNode::resume(bool timersFirst)
{
    if (m_state != State::Paused)
        return;
    m_state = State::Running;
    m_timerAt = TrueTime::max();
    const auto timers = [](auto &engine, Base::TimePoint now) { return engine.onTime(now); };
    if (timersFirst)
        run(timers);
    std::deque<Input> waiting;
    waiting.swap(m_waiting);
    for (const Input &input : waiting)
        process(input);
    if (!timersFirst)
        process(timers);
}

std::set<Base::InstanceId> SimulatedNode::sortedSeals() const
{
    const auto &sealed = m_engine->sealedInstances();
    return {sealed.begin(), sealed.end()};
}

void SimulatedNode::setDrift(double drift)
{
    m_clock.setDrift(m_queue.now(), drift);
    m_timerAt = TrueTime::max();
    if (m_state == State::Running)
        scheduleTimer(false);
}

} // namespace Medlar::Scenario
