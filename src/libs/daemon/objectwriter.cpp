#include "objectwriter.h"

#include <algorithm>
#include <utility>

namespace Medlar::Daemon {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds RetryInterval = 1000ms;

} // namespace

ObjectWriter::ObjectWriter(std::string key, Store::ObjectStore &store, Base::LogSink &log,
                           WrittenHandler onWritten)
    : m_key(std::move(key)), m_store(store), m_log(log), m_onWritten(std::move(onWritten))
{}

void ObjectWriter::setValue(std::string value)
{
    m_wanted = std::move(value);
    if (!m_isBusy && !m_isRetryDue)
        write();
}

void ObjectWriter::onSeen(Store::Version version)
{
    m_version = std::max(m_version, version);
}

void ObjectWriter::onTime(Base::TimePoint now)
{
    if (!m_isRetryDue || m_isBusy)
        return;
    if (m_retryAt == Base::TimePoint())
        m_retryAt = now + RetryInterval;
    if (now < m_retryAt)
        return;
    m_isRetryDue = false;
    m_retryAt = {};
    if (m_wanted)
        write();
}

void ObjectWriter::write()
{
    m_isBusy = true;
    const std::string value = *m_wanted;
    m_store.put(m_key, value, m_version,
                [this, value, alive = std::weak_ptr<bool>(m_alive)](auto result) {
                    if (!alive.expired())
                        onResult(std::move(result), value);
                });
}

void ObjectWriter::onResult(Store::Result<Store::Version> result, const std::string &value)
{
    m_isBusy = false;
    if (result) {
        m_version = std::max(m_version, *result);
        const bool isLatest = m_wanted == value;
        if (isLatest)
            m_wanted.reset();
        m_onWritten(*result, value);
        if (!isLatest && !m_isBusy)
            write();
        return;
    }
    m_log.write(Base::LogLine("object-write-failed")
                    .add("key", m_key)
                    .add("detail", result.error().detail)
                    .add("current_version", result.error().currentVersion));
    if (result.error().code == Store::StoreErrorCode::Conflict)
        readVersion();
    else
        m_isRetryDue = true;
}

void ObjectWriter::readVersion()
{
    m_isBusy = true;
    m_store.get(m_key, [this, alive = std::weak_ptr<bool>(m_alive)](auto object) {
        if (alive.expired())
            return;
        m_isBusy = false;
        const bool isGone = !object && object.error().code == Store::StoreErrorCode::NotFound;
        if (!object && !isGone) {
            m_isRetryDue = true;
            return;
        }
        m_version = object ? object->version : 0;
        if (m_wanted)
            write();
    });
}

void ObjectWriter::remove(std::function<void()> done)
{
    m_wanted.reset();
    if (m_version == 0) {
        done();
        return;
    }
    m_isBusy = true;
    m_store.remove(m_key, m_version, [done = std::move(done)](auto) { done(); });
}

} // namespace Medlar::Daemon
