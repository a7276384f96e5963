#pragma once

#include "base/logline.h"
#include "base/time.h"
#include "store/objectstore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Medlar::Daemon {

/*!
    Keeps one object of the store at the latest wanted value by conditional updates. Only one write
   is in flight; values that were replaced meanwhile are skipped. A conflict is followed by a read,
   because the object has one rightful writer and the other version comes from an earlier instance
   of it.
*/
class ObjectWriter
{
public:
    using WrittenHandler = std::function<void(Store::Version version, const std::string &value)>;

    ObjectWriter(std::string key, Store::ObjectStore &store, Base::LogSink &log,
                 WrittenHandler onWritten);

    /*! The value that the object shall have. */
    void setValue(std::string value);
    /*! A version of the object that was seen elsewhere. */
    void onSeen(Store::Version version);
    /*! Repeats a failed write when it is due. */
    void onTime(Base::TimePoint now);
    /*! Removes the object and calls \a done in any case. */
    void remove(std::function<void()> done);

    Store::Version version() const { return m_version; }

private:
    void write();
    void onResult(Store::Result<Store::Version> result, const std::string &value);
    void readVersion();

    std::string m_key;
    Store::ObjectStore &m_store;
    Base::LogSink &m_log;
    WrittenHandler m_onWritten;
    std::optional<std::string> m_wanted; //!< not yet in the store
    Store::Version m_version = 0;
    Base::TimePoint m_retryAt;
    bool m_isBusy = false;
    bool m_isRetryDue = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Medlar::Daemon
