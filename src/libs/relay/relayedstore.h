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
    The object store, reached through another daemon while it turns this one away. A call is made
   through a peer only if the direct one has certainly not been executed, so that no change is made
   twice. Watches and stale lists are never relayed; their news come from peers.
*/
class RelayedStore : public Store::ObjectStore
{
public:
    /*! Passes a call to \a node or, if that is empty, to some peer that reaches the store. Returns
     * false if it cannot be sent. */
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

    /*! Asks \a node for the version of an object, by a read of the store that begins after this
     * call. Fails with Unavailable if the node does not answer. */
    void versionThrough(const std::string &node, const std::string &key,
                        Store::Callback<Store::Version> callback);
    void onReply(const Messages::StoreReply &reply);
    /*! Whether the last direct call was answered. */
    bool isDirect() const { return m_isDirect; }

    /*! Makes \a call at \a store for a peer; versions are read by \a reads. */
    static void serve(Store::ObjectStore &store, SharedReads &reads,
                      const Messages::StoreCall &call,
                      const std::function<void(Messages::StoreReply)> &done);

private:
    using ReplyCallback = std::function<void(const Messages::StoreReply &)>;

    bool mayTryDirect() const;
    /*! Notes what a direct call says about the way to the store. Returns whether to relay. */
    bool shouldRelay(const Store::StoreError *error);
    void relay(Messages::StoreCall call, ReplyCallback done);
    void relayTo(const std::string &node, Messages::StoreCall call,
                 std::chrono::milliseconds timeout, ReplyCallback done);

    Store::ObjectStore &m_direct;
    Send m_send;
    Base::LogSink &m_log;
    Http::DeadlineQueue m_timers;
    std::unordered_map<std::uint64_t, ReplyCallback> m_calls;
    std::uint64_t m_lastCall = 0;
    bool m_isDirect = true;
    Base::TimePoint m_failedAt{};
};

} // namespace Medlar::Relay
