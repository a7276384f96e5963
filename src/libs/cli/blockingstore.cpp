#include "blockingstore.h"

namespace Medlar::Cli {

using Store::StoreErrorCode;

CommandError translated(const Store::StoreError &error, const std::string &action)
{
    const bool isUnreachable
        = error.code == StoreErrorCode::Unavailable || error.code == StoreErrorCode::Indeterminate;
    const std::string outcome = error.code == StoreErrorCode::Indeterminate
                                    ? "the outcome is unknown, run the command again to find out: "
                                    : "";
    return {isUnreachable ? ExitCode::Unreachable : ExitCode::Failed,
            "cannot " + action + ": " + outcome + error.detail,
            {}};
}

template<typename T, typename Start>
Store::Result<T> BlockingStore::call(Start start)
{
    const auto answer = std::make_shared<std::optional<Store::Result<T>>>();
    start([answer](Store::Result<T> result) { *answer = std::move(result); });
    while (!*answer)
        m_session.runOne();
    return std::move(**answer);
}

Result<std::optional<Store::StoredObject>> BlockingStore::get(const std::string &key)
{
    auto result = call<Store::StoredObject>(
        [&](auto callback) { m_session.store->get(key, std::move(callback)); });
    if (result)
        return std::optional<Store::StoredObject>(std::move(*result));
    if (result.error().code == StoreErrorCode::NotFound)
        return std::optional<Store::StoredObject>();
    return tl::unexpected(translated(result.error(), "read " + key));
}

Result<std::vector<Store::StoredObject>> BlockingStore::list(const std::string &prefix)
{
    auto result = call<std::vector<Store::StoredObject>>(
        [&](auto callback) { m_session.store->list(prefix, std::move(callback)); });
    if (!result)
        return tl::unexpected(translated(result.error(), "list " + prefix));
    return std::move(*result);
}

Result<std::vector<Store::StoredObject>> BlockingStore::listKeys(const std::string &prefix)
{
    auto result = call<std::vector<Store::StoredObject>>(
        [&](auto callback) { m_session.store->listKeys(prefix, std::move(callback)); });
    if (!result)
        return tl::unexpected(translated(result.error(), "list " + prefix));
    return std::move(*result);
}

Store::Result<Store::WatchResult> BlockingStore::watch(const std::string &prefix,
                                                       Store::Version after,
                                                       std::chrono::milliseconds timeout)
{
    return call<Store::WatchResult>([&](auto callback) {
        m_session.store->watch(prefix, after, timeout, std::move(callback));
    });
}

Result<BlockingStore::PutOutcome>
BlockingStore::put(const std::string &key, const std::string &value, Store::Version expected)
{
    for (int attempt = 1;; ++attempt) {
        const auto result = call<Store::Version>([&](auto callback) {
            m_session.store->put(key, value, expected, std::move(callback));
        });
        if (result)
            return PutOutcome::Written;
        const StoreErrorCode code = result.error().code;
        if (code != StoreErrorCode::Conflict && code != StoreErrorCode::Indeterminate)
            return tl::unexpected(translated(result.error(), "write " + key));

        const auto found = get(key);
        if (!found)
            return tl::unexpected(code == StoreErrorCode::Conflict
                                      ? found.error()
                                      : translated(result.error(), "write " + key));
        if (*found && (*found)->value == value)
            return code == StoreErrorCode::Indeterminate || attempt > 1
                       ? PutOutcome::Written
                       : PutOutcome::AlreadyWritten;
        const Store::Version version = *found ? (*found)->version : 0;
        if (code == StoreErrorCode::Conflict || version != expected)
            return PutOutcome::Conflict;
        if (attempt == MaxAttempts)
            return tl::unexpected(translated(result.error(), "write " + key));
    }
}

Result<bool> BlockingStore::remove(const std::string &key, Store::Version expected)
{
    for (int attempt = 1;; ++attempt) {
        const auto result = call<Store::Version>(
            [&](auto callback) { m_session.store->remove(key, expected, std::move(callback)); });
        if (result || result.error().code == StoreErrorCode::NotFound)
            return true;
        if (result.error().code == StoreErrorCode::Conflict)
            return result.error().currentVersion == 0;
        if (result.error().code != StoreErrorCode::Indeterminate || attempt == MaxAttempts)
            // No hint to run the command again: that would not repeat the removal.
            return fail(ExitCode::Unreachable,
                        "cannot remove " + key + ": " + result.error().detail);
    }
}

} // namespace Medlar::Cli
