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
    Reads the version of an object once for many daemons that want to know it at about the same
   time. Answers the load pattern "every daemon of a service asks for the same object again and
   again", where each call of the store is billed. A read that answers a question always begins
   after the question came, so the answer proves the version at any moment before it was asked.
*/
class SharedReads
{
public:
    /*! \a store must outlive the reads. Two reads of an object begin at least \a interval apart. */
    SharedReads(boost::asio::io_context &context, Store::ObjectStore &store,
                std::chrono::milliseconds interval);

    void version(const std::string &key, Store::Callback<Store::Version> callback);

private:
    struct Reading
    {
        std::vector<Store::Callback<Store::Version>> waiting; //!< for the next read
        Base::TimePoint nextBegin{};
        bool isPlanned = false; //!< the next read is timed or under way
    };

    void plan(const std::string &key);
    void read(const std::string &key);

    Store::ObjectStore &m_store;
    std::chrono::milliseconds m_interval;
    std::map<std::string, Reading> m_readings;
    Http::DeadlineQueue m_timers;
};

} // namespace Medlar::Relay
