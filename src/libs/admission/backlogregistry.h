#pragma once

#include "base/logline.h"
#include "base/time.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Medlar::Admission {

/*! Upper bounds of a queue; an entry that would exceed either of them is not accepted. */
struct BacklogBounds
{
    std::size_t maxEntries = 256;
    std::size_t maxBytes = std::size_t{16} << 20U;
};

/*! The state of one queue at one moment. */
struct Backlog
{
    std::size_t depth = 0; //!< entries
    std::size_t bytes = 0;
    Base::Duration oldestAge{0}; //!< of the entry that has waited longest, 0 when empty
    BacklogBounds bounds;
};

/*! When a queue is reported as a problem. */
struct BacklogAlarmLimits
{
    std::chrono::milliseconds maxAge{500}; //!< of the oldest entry
    double maxFill = 0.8;                  //!< share of either bound in use
    /*! How long a limit must be exceeded before the alarm is raised, and respected before it ends.
     */
    std::chrono::milliseconds holdTime{1000};
};

class BacklogRegistry;

/*!
    Base of every queue. Construction registers it and destruction removes it, so that no queue
   exists that the registry does not list. The registry must outlive all its sources.
*/
class BacklogSource
{
public:
    BacklogSource(const BacklogSource &) = delete;
    BacklogSource &operator=(const BacklogSource &) = delete;

    virtual Backlog backlog(Base::TimePoint now) const = 0;

    /*! The requested name, with a number appended if another source had that name already. */
    const std::string &name() const { return m_name; }

protected:
    BacklogSource(BacklogRegistry &registry, const std::string &name,
                  const BacklogAlarmLimits &limits);
    virtual ~BacklogSource();

private:
    BacklogRegistry &m_registry;
    std::string m_name;
};

/*! One line of the listing. */
struct BacklogEntry
{
    std::string name;
    Backlog backlog;
    double severity = 0.0; //!< highest used share of a limit; 1 means that a limit is reached
    bool alarmed = false;
};

/*!
    Lists all queues of one thread and raises alarms for those that stay above their limits. Not
   synchronised: queues of other threads are represented by a ReportedBacklog.
*/
class BacklogRegistry
{
public:
    BacklogRegistry() = default;
    BacklogRegistry(const BacklogRegistry &) = delete;
    BacklogRegistry &operator=(const BacklogRegistry &) = delete;

    /*! All queues, the one with the highest severity first. */
    std::vector<BacklogEntry> list(Base::TimePoint now) const;

    std::size_t size() const { return m_records.size(); }

    /*! Whether an alarm of the queue \a name is raised. */
    bool isAlarmed(const std::string &name) const;

    /*!
        Updates the alarms and returns a line for each that began or ended. A limit counts as
       exceeded for as long as every call finds it exceeded, so this should be called several times
       in each hold time.
    */
    std::vector<Base::LogLine> checkAlarms(Base::TimePoint now);

private:
    friend class BacklogSource;

    struct Record
    {
        const BacklogSource *source = nullptr;
        BacklogAlarmLimits limits;
        bool alarmed = false;
        /*! Since when the condition has been the opposite of \c alarmed. */
        std::optional<Base::TimePoint> changedSince;
        Base::TimePoint alarmedAt;
    };

    std::string add(const BacklogSource *source, const std::string &name,
                    const BacklogAlarmLimits &limits);
    void remove(const BacklogSource *source);
    bool hasName(const std::string &name) const;

    std::vector<Record> m_records;
};

/*! Registry entry of a queue in another thread or library, which reports its state from time to
 * time. */
class ReportedBacklog final : public BacklogSource
{
public:
    ReportedBacklog(BacklogRegistry &registry, const std::string &name,
                    const BacklogAlarmLimits &limits = {});

    void report(Base::TimePoint now, const Backlog &backlog);

    /*! The reported state; the age of the oldest entry grows until the next report. */
    Backlog backlog(Base::TimePoint now) const override;

private:
    Backlog m_backlog;
    Base::TimePoint m_reportedAt;
};

} // namespace Medlar::Admission
