#pragma once

#include "base/instanceid.h"
#include "base/time.h"
#include "spreading/objectreplica.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Medlar::Daemon {

/*! Seal objects that the planner should write and remove. */
struct SealChanges
{
    std::vector<Base::InstanceId> record;
    std::vector<Base::InstanceId> remove;
};

/*!
    All instances that an assignment entry (as owner or prior) or a node record (as itself or as
   witness) in \a replica names. Nothing when an object cannot be read, because it may name any.
*/
std::optional<std::set<Base::InstanceId>> namedInstances(const Spreading::ObjectReplica &replica);

/*!
    Decides which seals the store must hold: those of instances that are named, and others until
   nothing has named them for MinUnnamedTime. See docs/store-growth.md. Pure; the time for which an
   instance was not named is counted from the first check of this collector.
*/
class SealCollector
{
public:
    /*! Four times the longest partition that is expected between regions. */
    static constexpr std::chrono::hours MinUnnamedTime{4};
    /*! Reading all chunks takes 38 ms at the target size, so it is not done in each round. */
    static constexpr std::chrono::minutes CheckInterval{1};
    /*! Most removals of one check; bounds the calls to the store. */
    static constexpr std::size_t MaxRemovedPerCheck = 32;

    /*! \a sealed are the instances that are known to be sealed. Without changes unless a check is
     * due or further instances were sealed. */
    SealChanges decide(Base::TimePoint now, const Spreading::ObjectReplica &replica,
                       const std::unordered_set<Base::InstanceId> &sealed);

private:
    std::unordered_map<Base::InstanceId, Base::TimePoint> m_unnamedSince; //!< with a seal object
    Base::TimePoint m_nextCheck;
    std::size_t m_sealedCount = 0;
};

} // namespace Medlar::Daemon
