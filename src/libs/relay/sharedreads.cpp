#include "sharedreads.h"

#include "base/steadyclock.h"

#include <algorithm>
#include <utility>

namespace Medlar::Relay {

SharedReads::SharedReads(boost::asio::io_context &context, Store::ObjectStore &store,
                         std::chrono::milliseconds interval)
    : m_store(store), m_interval(interval), m_timers(context)
{}

void SharedReads::version(const std::string &key, Store::Callback<Store::Version> callback)
{
    m_readings[key].waiting.push_back(std::move(callback));
    plan(key);
}

void SharedReads::plan(const std::string &key)
{
    Reading &reading = m_readings[key];
    if (reading.isPlanned || reading.waiting.empty())
        return;
    reading.isPlanned = true;
    m_timers.add(std::max(Base::steadyNow(), reading.nextBegin), [this, key] { read(key); });
}

void SharedReads::read(const std::string &key)
{
    Reading &reading = m_readings[key];
    reading.nextBegin = Base::steadyNow() + m_interval;
    m_store.get(key, [this, key, waiting = std::exchange(reading.waiting, {})](
                         const Store::Result<Store::StoredObject> &result) {
        m_readings[key].isPlanned = false;
        plan(key);
        for (const auto &callback : waiting) {
            if (result)
                callback(result->version);
            else
                callback(tl::unexpected(result.error()));
        }
    });
}

} // namespace Medlar::Relay
