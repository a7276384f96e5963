#include "relayedstore.h"

#include <utility>

namespace Medlar::Relay {

using Messages::StoreCall;
using Messages::StoreReply;
using Store::StoredObject;
using Store::StoreError;
using Store::StoreErrorCode;
using Store::Version;

namespace {

// After a failed direct call, calls are relayed without a direct attempt for this long, because
// refused calls are billed too.
constexpr std::chrono::milliseconds DirectRetryDelay{1500};
// Includes the store call of the peer and the round trip to the peer.
constexpr std::chrono::milliseconds RelayTimeout{1200};
// A shared read starts up to 1 s after the request.
constexpr std::chrono::milliseconds VersionTimeout{1700};

StoreError errorFromReply(const StoreReply &reply)
{
    return {static_cast<StoreErrorCode>(reply.error - 1), reply.detail, reply.version};
}

template<typename T>
bool setError(StoreReply &reply, const Store::Result<T> &result)
{
    if (result)
        return false;
    reply.error = static_cast<std::uint8_t>(1 + static_cast<int>(result.error().code));
    reply.detail = result.error().detail;
    reply.version = result.error().currentVersion;
    return true;
}

StoredObject toStoredObject(const Messages::ObjectChanged &object)
{
    return {object.key, object.value.value_or(std::string()), object.version, {}};
}

std::function<void(const StoreReply &)> versionReplyHandler(Store::Callback<Version> callback)
{
    return [callback = std::move(callback)](const StoreReply &reply) {
        if (reply.error != 0)
            callback(tl::unexpected(errorFromReply(reply)));
        else
            callback(reply.version);
    };
}

} // namespace

RelayedStore::RelayedStore(boost::asio::io_context &context, Store::ObjectStore &direct, Send send,
                           Base::LogSink &log)
    : m_direct(direct), m_send(std::move(send)), m_log(log), m_timers(context)
{}

RelayedStore::~RelayedStore() = default;

bool RelayedStore::mayTryDirect() const
{
    return m_isDirectlyReachable
           || std::chrono::steady_clock::now() - m_directFailedAt > DirectRetryDelay;
}

bool RelayedStore::shouldRelay(const StoreError *error)
{
    const bool isAnswered = !error || error->code == StoreErrorCode::NotFound
                            || error->code == StoreErrorCode::Conflict
                            || error->code == StoreErrorCode::TooLarge;
    if (isAnswered != m_isDirectlyReachable)
        m_log.write(Base::LogLine(isAnswered ? "store-direct" : "store-turned-away")
                        .add("detail", error ? error->detail : std::string()));
    m_isDirectlyReachable = isAnswered;
    if (!isAnswered)
        m_directFailedAt = std::chrono::steady_clock::now();
    return !isAnswered && error->code != StoreErrorCode::Indeterminate;
}

void RelayedStore::relay(StoreCall call, ReplyCallback done)
{
    relayTo({}, std::move(call), RelayTimeout, std::move(done));
}

void RelayedStore::relayTo(const std::string &node, StoreCall call,
                           std::chrono::milliseconds timeout, ReplyCallback done)
{
    call.callId = ++m_lastCallId;
    const std::uint64_t id = call.callId;
    const bool isChange = call.kind == StoreCall::Kind::Put || call.kind == StoreCall::Kind::Remove;
    m_pendingCalls[id] = std::move(done);
    const auto fail = [this, id](StoreErrorCode code, const char *detail) {
        StoreReply reply;
        reply.callId = id;
        reply.error = static_cast<std::uint8_t>(1 + static_cast<int>(code));
        reply.detail = detail;
        onReply(reply);
    };
    if (!m_send(node, call)) {
        // Deferred, because callbacks must not be called before the function returns.
        m_timers.add(std::chrono::steady_clock::now(), [fail] {
            fail(StoreErrorCode::Unavailable, "cannot relay store call: no peer available");
        });
        return;
    }
    m_timers.add(std::chrono::steady_clock::now() + timeout, [fail, isChange] {
        fail(isChange ? StoreErrorCode::Indeterminate : StoreErrorCode::Unavailable,
             "peer did not answer the relayed store call in time");
    });
}

void RelayedStore::requestVersion(const std::string &node, const std::string &key,
                                  Store::Callback<Version> callback)
{
    relayTo(node, {0, StoreCall::Kind::Version, key, {}, 0}, VersionTimeout,
            versionReplyHandler(std::move(callback)));
}

void RelayedStore::onReply(const StoreReply &reply)
{
    const auto found = m_pendingCalls.find(reply.callId);
    if (found == m_pendingCalls.end())
        return;
    const ReplyCallback done = std::move(found->second);
    m_pendingCalls.erase(found);
    done(reply);
}

void RelayedStore::get(const std::string &key, Store::Callback<StoredObject> callback)
{
    const auto relayCall = [this, key, callback] {
        relay({0, StoreCall::Kind::Get, key, {}, 0}, [callback](const StoreReply &reply) {
            if (reply.error != 0)
                callback(tl::unexpected(errorFromReply(reply)));
            else if (reply.objects.empty())
                callback(tl::unexpected(
                    StoreError{StoreErrorCode::InvalidAnswer,
                               "reply to the relayed store call contains no object", 0}));
            else
                callback(toStoredObject(reply.objects.front()));
        });
    };
    if (!mayTryDirect()) {
        relayCall();
        return;
    }
    m_direct.get(key, [this, relayCall, callback](const Store::Result<StoredObject> &result) {
        if (shouldRelay(result ? nullptr : &result.error()))
            relayCall();
        else
            callback(result);
    });
}

void RelayedStore::list(const std::string &prefix,
                        Store::Callback<std::vector<StoredObject>> callback)
{
    listAt(prefix, withoutRevision(std::move(callback)));
}

void RelayedStore::listAt(const std::string &prefix, Store::Callback<Store::ListResult> callback)
{
    const auto relayCall = [this, prefix, callback] {
        relay({0, StoreCall::Kind::List, prefix, {}, 0}, [callback](const StoreReply &reply) {
            if (reply.error != 0) {
                callback(tl::unexpected(errorFromReply(reply)));
                return;
            }
            Store::ListResult result;
            result.revision = reply.version;
            for (const Messages::ObjectChanged &object : reply.objects)
                result.objects.push_back(toStoredObject(object));
            callback(std::move(result));
        });
    };
    if (!mayTryDirect()) {
        relayCall();
        return;
    }
    m_direct.listAt(prefix, [this, relayCall, callback](const Store::Result<Store::ListResult> &r) {
        if (shouldRelay(r ? nullptr : &r.error()))
            relayCall();
        else
            callback(r);
    });
}

void RelayedStore::listStale(const std::string &prefix, Store::Callback<Store::ListResult> callback)
{
    m_direct.listStale(prefix, std::move(callback));
}

void RelayedStore::put(const std::string &key, const std::string &value, Version expected,
                       Store::Callback<Version> callback)
{
    const auto relayCall = [this, key, value, expected, callback] {
        relay({0, StoreCall::Kind::Put, key, value, expected}, versionReplyHandler(callback));
    };
    if (!mayTryDirect()) {
        relayCall();
        return;
    }
    m_direct.put(key, value, expected,
                 [this, relayCall, callback](const Store::Result<Version> &r) {
                     if (shouldRelay(r ? nullptr : &r.error()))
                         relayCall();
                     else
                         callback(r);
                 });
}

void RelayedStore::remove(const std::string &key, Version expected,
                          Store::Callback<Version> callback)
{
    const auto relayCall = [this, key, expected, callback] {
        relay({0, StoreCall::Kind::Remove, key, {}, expected}, versionReplyHandler(callback));
    };
    if (!mayTryDirect()) {
        relayCall();
        return;
    }
    m_direct.remove(key, expected, [this, relayCall, callback](const Store::Result<Version> &r) {
        if (shouldRelay(r ? nullptr : &r.error()))
            relayCall();
        else
            callback(r);
    });
}

void RelayedStore::watch(const std::string &prefix, Version after,
                         std::chrono::milliseconds timeout,
                         Store::Callback<Store::WatchResult> callback)
{
    m_direct.watch(prefix, after, timeout, std::move(callback));
}

void RelayedStore::serve(Store::ObjectStore &store, SharedReads &reads, const StoreCall &call,
                         const std::function<void(StoreReply)> &done)
{
    const auto onVersion = [done, id = call.callId](const Store::Result<Version> &result) {
        StoreReply reply;
        reply.callId = id;
        if (!setError(reply, result))
            reply.version = *result;
        done(std::move(reply));
    };
    switch (call.kind) {
    case StoreCall::Kind::Get:
        store.get(call.key, [done, id = call.callId](const Store::Result<StoredObject> &result) {
            StoreReply reply;
            reply.callId = id;
            if (!setError(reply, result))
                reply.objects.push_back({result->key, result->version, result->value});
            done(std::move(reply));
        });
        break;
    case StoreCall::Kind::List:
        store.listAt(
            call.key, [done, id = call.callId](const Store::Result<Store::ListResult> &result) {
                StoreReply reply;
                reply.callId = id;
                if (!setError(reply, result)) {
                    reply.version = result->revision;
                    for (const StoredObject &object : result->objects)
                        reply.objects.push_back({object.key, object.version, object.value});
                }
                done(std::move(reply));
            });
        break;
    case StoreCall::Kind::Put:
        store.put(call.key, call.value, call.expected, onVersion);
        break;
    case StoreCall::Kind::Remove:
        store.remove(call.key, call.expected, onVersion);
        break;
    case StoreCall::Kind::Version:
        reads.version(call.key, onVersion);
        break;
    }
}

} // namespace Medlar::Relay
