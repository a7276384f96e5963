#pragma once

#include "base/logline.h"
#include "store/objectstore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace Medlar::Daemon {

/*!
    Keeps a daemon in step with the store: lists all objects once, and watches for changes while the
   daemon is a watcher of its zone. Errors are retried with jittered backoff. Runs on one
   io_context.
*/
class StoreWatcher
{
public:
    using ObjectHandler = std::function<void(const std::string &key, Store::Version version,
                                             std::optional<std::string> value)>;
    using ListedHandler = std::function<void()>;

    StoreWatcher(boost::asio::io_context &context, Store::ObjectStore &store, Base::LogSink &log,
                 std::uint64_t seed);

    /*! Lists all objects; \a onListed is called after the first complete list. */
    void start(ObjectHandler onObject, ListedHandler onListed);
    /*! Whether to watch for changes from now on. */
    void setWatching(bool watching);
    void stop();

    bool isListed() const { return m_isListed; }
    /*! Whether the last call to the store succeeded. */
    bool isReachable() const { return m_isReachable; }

private:
    void list();
    void onList(Store::Result<std::vector<Store::StoredObject>> result);
    void watch();
    void onWatch(Store::Result<Store::WatchResult> result);
    void retry(void (StoreWatcher::*action)(), const Store::StoreError &error);
    void setReachable(bool reachable, const std::string &detail);

    Store::ObjectStore &m_store;
    Base::LogSink &m_log;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    ObjectHandler m_onObject;
    ListedHandler m_onListed;
    std::chrono::milliseconds m_backoff;
    std::set<std::string> m_known; //!< keys of the last list or watch, to find removed objects
    /*! Keys that a list found removed since the last watch that succeeded. Such a removal is
     * reported with m_revision, which may be too low to be taken, so the next list repeats it. */
    std::set<std::string> m_unconfirmed;
    Store::Version m_revision = 0;
    bool m_isListed = false;
    bool m_isWatching = false;
    bool m_isBusy = false;
    bool m_isStopped = false;
    bool m_isReachable = true;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Medlar::Daemon
