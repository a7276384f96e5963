#pragma once

#include "base/logline.h"
#include "base/time.h"
#include "http/deadlinequeue.h"
#include "messages/peermessages.h"
#include "sharedreads.h"
#include "store/objectstore.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Medlar::Relay {

/*!
    Object store that relays calls through another daemon while it cannot be reached directly.

    A call is relayed only if the direct call was certainly not executed, so that no change is
    made twice. Watches and stale lists are never relayed; peers send the changes instead.
*/
class RelayedStore : public Store::ObjectStore
{
public:
    /*! Sends a call to \a node or, if \a node is empty, to any peer that can reach the store.
     * Returns false if the call cannot be sent. */
    using Send = std::function<bool(const std::string &node, const Messages::StoreCall &)>;

    RelayedStore(boost::asio::io_context &context, Store::ObjectStore &direct, Send send,
                 Base::LogSink &log);
    ~RelayedStore() override;

    void get(const std::string &key, Store::Callback<Store::StoredObject> callback) override;
    void list(const std::string &prefix,
              Store::Callback<std::vector<Store::StoredObject>> callback) override;
    void listAt(const std::string &prefix, Store::Callback<Store::ListResult> callback) override;
    void listStale(const std::string &prefix, Store::Callback<Store::ListResult> callback) override;
    void put(const std::string &key, const std::string &value, Store::Version expected,
             Store::Callback<Store::Version> callback) override;
    void remove(const std::string &key, Store::Version expected,
                Store::Callback<Store::Version> callback) override;
    void watch(const std::string &prefix, Store::Version after, std::chrono::milliseconds timeout,
               Store::Callback<Store::WatchResult> callback) override;

    /*! Requests the version of an object from \a node, which reads it from the store after this
     * call. Fails with Unavailable if the node does not respond. */
    void requestVersion(const std::string &node, const std::string &key,
                        Store::Callback<Store::Version> callback);
    void onReply(const Messages::StoreReply &reply);
    /*! Returns whether the store answered the last direct call. */
    bool isDirectlyReachable() const { return m_isDirectlyReachable; }

    /*! Executes \a call of a peer on \a store; versions are read through \a reads. */
    static void serve(Store::ObjectStore &store, SharedReads &reads,
                      const Messages::StoreCall &call,
                      const std::function<void(Messages::StoreReply)> &done);

private:
    using ReplyCallback = std::function<void(const Messages::StoreReply &)>;

    bool mayTryDirect() const;
    /*! Updates isDirectlyReachable() after a direct call and returns whether to relay the call. */
    bool shouldRelay(const Store::StoreError *error);
    void relay(Messages::StoreCall call, ReplyCallback done);
    void relayTo(const std::string &node, Messages::StoreCall call,
                 std::chrono::milliseconds timeout, ReplyCallback done);

    Store::ObjectStore &m_direct;
    Send m_send;
    Base::LogSink &m_log;
    Http::DeadlineQueue m_timers;
    std::unordered_map<std::uint64_t, ReplyCallback> m_pendingCalls;
    std::uint64_t m_lastCallId = 0;
    bool m_isDirectlyReachable = true;
    Base::TimePoint m_directFailedAt{};
};

} // namespace Medlar::Relay
