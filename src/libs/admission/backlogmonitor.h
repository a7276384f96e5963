#pragma once

#include "backlogregistry.h"
#include "base/logline.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Medlar::Admission {

/*!
    Watches all queues of one thread: those that register themselves, and those of the libraries
   below, whose state is copied here. Alarms are raised also while no request arrives.
*/
class BacklogMonitor
{
public:
    /*! Both must outlive the monitor. */
    BacklogMonitor(BacklogRegistry &registry, Base::LogSink &log) : m_registry(registry), m_log(log)
    {}

    /*! Sets the state of the queue \a name, which is listed from now on. */
    void update(Base::TimePoint now, const std::string &name, const Backlog &backlog);

    /*!
        Logs each alarm that began or ended. A queue without an update since the last check counts
       as empty, and is no longer listed once its alarm is over.
    */
    void check(Base::TimePoint now);

    /*! All queues, the one closest to a limit first. */
    std::vector<BacklogEntry> list(Base::TimePoint now) const { return m_registry.list(now); }

private:
    struct Copied
    {
        std::unique_ptr<ReportedBacklog> backlog;
        BacklogBounds bounds;
        bool isUpdated = false;
    };

    BacklogRegistry &m_registry;
    Base::LogSink &m_log;
    std::map<std::string, Copied> m_copied;
};

} // namespace Medlar::Admission
