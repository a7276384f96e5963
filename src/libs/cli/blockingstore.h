#pragma once

#include "commanderror.h"
#include "environment.h"

#include <optional>
#include <string>
#include <vector>

namespace Medlar::Cli {

/*! Waits for each call to the object store and translates its errors. */
class BlockingStore
{
public:
    explicit BlockingStore(StoreSession session) : m_session(std::move(session)) {}

    /*! Nothing when there is no such object. */
    Result<std::optional<Store::StoredObject>> get(const std::string &key);
    Result<std::vector<Store::StoredObject>> list(const std::string &prefix);
    /*! Keys and versions only. */
    Result<std::vector<Store::StoredObject>> listKeys(const std::string &prefix);
    /*! Fails with Store::StoreErrorCode::NotFound when the changes are no longer available. */
    Store::Result<Store::WatchResult> watch(const std::string &prefix, Store::Version after,
                                            std::chrono::milliseconds timeout);

    enum class PutOutcome { Written, AlreadyWritten, Conflict };

    /*!
        Writes under the condition that the version is \a expected. AlreadyWritten: the object had
       this value before the call. A write whose outcome
       is unknown is read back and repeated up to MaxAttempts times, which is safe because of the
       condition.
    */
    Result<PutOutcome> put(const std::string &key, const std::string &value,
                           Store::Version expected);

    /*!
        Removes the object under the condition that its version is \a expected. Returns false when
       it has another version; true when it is gone, whoever removed it. A removal whose outcome is
       unknown is repeated up to MaxAttempts times.
    */
    Result<bool> remove(const std::string &key, Store::Version expected);

    static constexpr int MaxAttempts = 3;

private:
    template<typename T, typename Start>
    Store::Result<T> call(Start start);

    StoreSession m_session;
};

/*! An error of the store as the error of a command. */
CommandError translated(const Store::StoreError &error, const std::string &action);

} // namespace Medlar::Cli
