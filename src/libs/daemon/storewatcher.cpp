#include "storewatcher.h"

#include "objectkeys.h"

#include <algorithm>

namespace Medlar::Daemon {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds FirstBackoff = 100ms;
constexpr std::chrono::milliseconds LongestBackoff = 5000ms;
constexpr std::chrono::milliseconds WatchTimeout = 20000ms;

} // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context &context, Store::ObjectStore &store,
                           Base::LogSink &log, std::uint64_t seed)
    : m_store(store), m_log(log), m_timer(context), m_random(seed), m_backoff(FirstBackoff)
{}

void StoreWatcher::start(ObjectHandler onObject, ListedHandler onListed)
{
    m_onObject = std::move(onObject);
    m_onListed = std::move(onListed);
    list();
}

void StoreWatcher::setWatching(bool watching)
{
    const bool starts = watching && !m_isWatching;
    m_isWatching = watching;
    // What changed while this daemon did not watch came from peers, so the list only closes gaps.
    if (starts && m_isListed && !m_isBusy)
        list();
}

void StoreWatcher::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void StoreWatcher::list()
{
    if (m_isStopped)
        return;
    m_isBusy = true;
    m_store.list(std::string(Keys::Root),
                 [this, alive = std::weak_ptr<bool>(m_alive)](auto result) {
                     if (!alive.expired())
                         onList(std::move(result));
                 });
}

void StoreWatcher::onList(Store::Result<std::vector<Store::StoredObject>> result)
{
    m_isBusy = false;
    if (m_isStopped)
        return;
    if (!result) {
        retry(&StoreWatcher::list, result.error());
        return;
    }
    setReachable(true, {});
    m_backoff = FirstBackoff;

    std::set<std::string> listed;
    for (const Store::StoredObject &object : *result) {
        listed.insert(object.key);
        m_revision = std::max(m_revision, object.version);
        m_onObject(object.key, object.version, object.value);
    }
    m_known.insert(m_unconfirmed.begin(), m_unconfirmed.end());
    m_unconfirmed.clear();
    for (const std::string &key : m_known) {
        if (listed.count(key) != 0)
            continue;
        m_unconfirmed.insert(key);
        m_onObject(key, m_revision, std::nullopt);
    }
    m_known = std::move(listed);

    const bool isFirst = !m_isListed;
    m_isListed = true;
    if (isFirst)
        m_onListed();
    if (m_isWatching && !m_isBusy)
        watch();
}

void StoreWatcher::watch()
{
    if (m_isStopped || !m_isWatching)
        return;
    m_isBusy = true;
    m_store.watch(std::string(Keys::Root), m_revision, WatchTimeout,
                  [this, alive = std::weak_ptr<bool>(m_alive)](auto result) {
                      if (!alive.expired())
                          onWatch(std::move(result));
                  });
}

void StoreWatcher::onWatch(Store::Result<Store::WatchResult> result)
{
    m_isBusy = false;
    if (m_isStopped)
        return;
    if (!result) {
        // The store answered that it no longer has the changes. They precede currentVersion, which
        // no listed object may reach when the latest changes were removals.
        if (result.error().code == Store::StoreErrorCode::NotFound)
            m_revision = std::max(m_revision, result.error().currentVersion);
        // After an error the list finds everything that the watch may have missed.
        retry(&StoreWatcher::list, result.error());
        return;
    }
    setReachable(true, {});
    m_backoff = FirstBackoff;
    m_unconfirmed.clear();
    m_revision = std::max(m_revision, result->revision);
    for (const Store::ObjectChange &change : result->changes) {
        if (change.value)
            m_known.insert(change.key);
        else
            m_known.erase(change.key);
        m_onObject(change.key, change.version, change.value);
    }
    watch();
}

void StoreWatcher::retry(void (StoreWatcher::*action)(), const Store::StoreError &error)
{
    if (error.code != Store::StoreErrorCode::NotFound)
        setReachable(false, error.detail);
    m_isBusy = true;
    std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(m_backoff.count() / 2,
                                                                         m_backoff.count());
    m_timer.expires_after(std::chrono::milliseconds(jitter(m_random)));
    m_timer.async_wait([this, action, alive = std::weak_ptr<bool>(m_alive)](
                           const boost::system::error_code &code) {
        if (alive.expired() || code)
            return;
        m_isBusy = false;
        (this->*action)();
    });
    m_backoff = std::min(m_backoff * 2, LongestBackoff);
}

void StoreWatcher::setReachable(bool reachable, const std::string &detail)
{
    if (m_isReachable == reachable)
        return;
    m_isReachable = reachable;
    Base::LogLine line(reachable ? "store-reachable" : "store-unreachable");
    if (!reachable)
        line.add("detail", detail);
    m_log.write(line);
}

} // namespace Medlar::Daemon
