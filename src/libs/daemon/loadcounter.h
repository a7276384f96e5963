#pragma once

#include "base/time.h"
#include "messages/peermessages.h"

#include <map>
#include <unordered_map>

namespace Medlar::Daemon {

/*!
    Counts dispatched requests by slot, and finds the most frequent keys with a bounded number of
   counters (space saving: a new key takes over the lowest counter, so counts may be too high by at
   most that counter).
*/
class LoadCounter
{
public:
    explicit LoadCounter(Base::TimePoint now) : m_start(now) {}

    void add(const std::string &service, Cluster::SlotId slot, std::uint64_t keyHash);
    void addUnkeyed(const std::string &service) { ++m_services[service].requests; }

    /*! One summary for each service with requests since the last call; counting starts again. */
    std::vector<Messages::LoadSummary> take(Base::TimePoint now, const Base::InstanceId &self);

private:
    struct ServiceLoad
    {
        std::uint64_t requests = 0;
        std::unordered_map<Cluster::SlotId, std::uint64_t> slots;
        /*! Counters of single keys, and the place of each key among them. */
        std::vector<Messages::SlotWeight> keys;
        std::unordered_map<std::uint64_t, std::size_t> keyIndexes;

        void addKey(std::uint64_t keyHash);
    };

    std::map<std::string, ServiceLoad> m_services;
    Base::TimePoint m_start;
};

} // namespace Medlar::Daemon
