#pragma once

#include "base/time.h"
#include "http/deadlinequeue.h"
#include "store/objectstore.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace Medlar::Relay {

/*!
    Combines concurrent requests for the version of an object into one read of the store.

    All daemons of a service request the version of the same object repeatedly, and each call of
    the store is billed. A request is only answered by a read that starts after the request
    arrived, so the result includes every change made before the request.
*/
class SharedReads
{
public:
    /*! \a store must outlive this object. Reads of one key start at least \a interval apart. */
    SharedReads(boost::asio::io_context &context, Store::ObjectStore &store,
                std::chrono::milliseconds interval);

    void version(const std::string &key, Store::Callback<Store::Version> callback);

private:
    struct ReadState
    {
        std::vector<Store::Callback<Store::Version>> callbacks; //!< called after the next read
        Base::TimePoint earliestStart{};
        bool isScheduled = false; //!< a read is scheduled or in progress
    };

    void schedule(const std::string &key);
    void read(const std::string &key);

    Store::ObjectStore &m_store;
    std::chrono::milliseconds m_interval;
    std::map<std::string, ReadState> m_readStates;
    Http::DeadlineQueue m_timers;
};

} // namespace Medlar::Relay
