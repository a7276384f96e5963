#pragma once

#include "version.h"

#include <tl/expected.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Medlar::Store {

struct StoredObject
{
    std::string key;
    std::string value;
    Version version = 0;
    std::string writerToken;
};

/*! A change seen by a watch. \a value is empty when the object was removed. */
struct ObjectChange
{
    std::string key;
    std::optional<std::string> value;
    Version version = 0;
};

struct WatchResult
{
    std::vector<ObjectChange> changes;
    Version revision = 0; //!< pass as \a after to the next watch
};

/*! Objects as they were at \a revision, from which a watch can go on. */
struct ListResult
{
    std::vector<StoredObject> objects;
    Version revision = 0;
};

/*! Calls that wait for a connection to the store. */
struct CallQueue
{
    std::size_t waiting = 0;
    std::size_t maxWaiting = 0;
};

enum class StoreErrorCode {
    NotFound,
    Conflict,      //!< the condition failed; currentVersion tells the version that is there
    Unavailable,   //!< certain that nothing was changed
    Indeterminate, //!< the change may have taken effect
    InvalidAnswer,
    TooLarge
};

struct StoreError
{
    StoreErrorCode code = StoreErrorCode::Unavailable;
    std::string detail;
    Version currentVersion = 0;
};

template<typename T>
using Result = tl::expected<T, StoreError>;

template<typename T>
using Callback = std::function<void(Result<T>)>;

/*!
    The platform's object store. Calls return at once; callbacks run on the thread of the
   implementation's executor and exactly once. \a expected of a change is the version that must be
   there, 0 for none.
*/
class ObjectStore
{
public:
    virtual ~ObjectStore() = default;

    virtual void get(const std::string &key, Callback<StoredObject> callback) = 0;
    virtual void list(const std::string &prefix, Callback<std::vector<StoredObject>> callback) = 0;
    /*! Lists and tells from which revision to watch. */
    virtual void listAt(const std::string &prefix, Callback<ListResult> callback)
    {
        list(prefix, [callback = std::move(callback)](Result<std::vector<StoredObject>> objects) {
            if (!objects) {
                callback(tl::unexpected(objects.error()));
                return;
            }
            Version revision = 0;
            for (const StoredObject &object : *objects)
                revision = std::max(revision, object.version);
            callback(ListResult{std::move(*objects), revision});
        });
    }
    /*! Like listAt(), but the result may be some seconds old, for which the store charges less. */
    virtual void listStale(const std::string &prefix, Callback<ListResult> callback)
    {
        listAt(prefix, std::move(callback));
    }
    /*! Lists keys and versions; values may be empty. Implementations that can list without values
     * override it. */
    virtual void listKeys(const std::string &prefix, Callback<std::vector<StoredObject>> callback)
    {
        list(prefix, std::move(callback));
    }

    /*! Writes under the condition; an indeterminate outcome is resolved by reading back the writer
     * token. */
    virtual void put(const std::string &key, const std::string &value, Version expected,
                     Callback<Version> callback)
        = 0;
    virtual void remove(const std::string &key, Version expected, Callback<Version> callback) = 0;

    /*! Waits up to \a timeout for changes below \a prefix after revision \a after. Fails with
     * NotFound when the store no longer has these changes; watch from currentVersion after listing
     * again. */
    virtual void watch(const std::string &prefix, Version after, std::chrono::milliseconds timeout,
                       Callback<WatchResult> callback)
        = 0;

    /*! Empty when the implementation has no queue. */
    virtual CallQueue callQueue() const { return {}; }

protected:
    /*! For implementations whose list() is their listAt() without the revision. */
    static Callback<ListResult> withoutRevision(Callback<std::vector<StoredObject>> callback)
    {
        return [callback = std::move(callback)](Result<ListResult> result) {
            if (result)
                callback(std::move(result->objects));
            else
                callback(tl::unexpected(result.error()));
        };
    }
};

} // namespace Medlar::Store
