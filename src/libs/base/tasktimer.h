#pragma once

#include "logline.h"
#include "steadyclock.h"

#include <string_view>

namespace Medlar::Base {

/*!
    Logs a task of the event loop that took so long that requests had to wait for it. The time is
    that of the steady clock, so it includes time in which the processor was not available.
*/
class TaskTimer
{
public:
    /*! \a task names the task in the line "slow-task"; it must outlive the timer. */
    TaskTimer(LogSink &log, std::string_view task) : m_log(log), m_task(task), m_start(steadyNow())
    {}
    ~TaskTimer()
    {
        const auto elapsed
            = std::chrono::duration_cast<std::chrono::milliseconds>(steadyNow() - m_start);
        if (elapsed >= MinLoggedTime)
            m_log.write(LogLine("slow-task").add("task", m_task).add("duration_ms", elapsed));
    }
    TaskTimer(const TaskTimer &) = delete;
    TaskTimer &operator=(const TaskTimer &) = delete;

private:
    static constexpr std::chrono::milliseconds MinLoggedTime{50};

    LogSink &m_log;
    std::string_view m_task;
    TimePoint m_start;
};

} // namespace Medlar::Base
