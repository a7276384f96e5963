#pragma once

#include "blockingstore.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Medlar::Cli {

/*!
    Fewest versions that a change leaves in the history: the current one and the one before it, so
   that a change can be rolled back.
*/
constexpr std::uint64_t MinKeptVersions = 2;

/*! Most objects that one change removes; bounds its calls to the store. */
constexpr std::size_t MaxPrunedPerChange = 20;

/*! The key of the object with \a version. */
std::string historyKey(std::uint64_t version);

/*!
    The objects out of \a listed that may be removed, oldest version first and at most
   MaxPrunedPerChange. \a current is a version that is or was current. It and the \a keep - 1
   versions before it are never returned, nor is a later one, which may be a pending change.
*/
std::vector<Store::StoredObject> prunableVersions(const std::vector<Store::StoredObject> &listed,
                                                  std::uint64_t current, std::uint64_t keep);

/*!
    Removes the versions of prunableVersions() and returns their number. Each removal is conditional
   on the listed object, and a version that somebody else removed counts as removed.
*/
Result<std::size_t> pruneHistory(BlockingStore &store, std::uint64_t current, std::uint64_t keep);

/*! The lowest version in the history, 1 when it is empty. */
Result<std::uint64_t> oldestVersion(BlockingStore &store);

} // namespace Medlar::Cli
