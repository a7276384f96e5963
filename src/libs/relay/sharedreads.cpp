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
    m_readStates[key].callbacks.push_back(std::move(callback));
    schedule(key);
}

void SharedReads::schedule(const std::string &key)
{
    ReadState &state = m_readStates[key];
    if (state.isScheduled || state.callbacks.empty())
        return;
    state.isScheduled = true;
    m_timers.add(std::max(Base::steadyNow(), state.earliestStart), [this, key] { read(key); });
}

void SharedReads::read(const std::string &key)
{
    ReadState &state = m_readStates[key];
    state.earliestStart = Base::steadyNow() + m_interval;
    m_store.get(key, [this, key, callbacks = std::exchange(state.callbacks, {})](
                         const Store::Result<Store::StoredObject> &result) {
        m_readStates[key].isScheduled = false;
        schedule(key);
        for (const auto &callback : callbacks) {
            if (result)
                callback(result->version);
            else
                callback(tl::unexpected(result.error()));
        }
    });
}

} // namespace Medlar::Relay
