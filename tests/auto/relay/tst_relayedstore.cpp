#include "relay/relayedstore.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

namespace Medlar::Relay {
namespace {

using Messages::StoreCall;
using Messages::StoreReply;
using Store::StoredObject;
using Store::StoreErrorCode;

class NullLog : public Base::LogSink
{
public:
    void write(const Base::LogLine & /*line*/) override {}
};

/*! A store with one object. All calls except watch() fail with \a error if it is set. */
class FakeStore : public Store::ObjectStore
{
public:
    std::optional<StoreErrorCode> error;
    std::string value = "first";
    Store::Version version = 5;
    int calls = 0;

    void get(const std::string &key, Store::Callback<StoredObject> callback) override
    {
        ++calls;
        if (error)
            callback(tl::unexpected(Store::StoreError{*error, "fake", 0}));
        else
            callback(StoredObject{key, value, version, {}});
    }
    void list(const std::string &prefix,
              Store::Callback<std::vector<StoredObject>> callback) override
    {
        ++calls;
        if (error)
            callback(tl::unexpected(Store::StoreError{*error, "fake", 0}));
        else
            callback(std::vector<StoredObject>{{prefix + "a", value, version, {}}});
    }
    void put(const std::string & /*key*/, const std::string &newValue, Store::Version expected,
             Store::Callback<Store::Version> callback) override
    {
        ++calls;
        if (error) {
            callback(tl::unexpected(Store::StoreError{*error, "fake", 0}));
        } else if (expected != version) {
            callback(tl::unexpected(Store::StoreError{StoreErrorCode::Conflict, "fake", version}));
        } else {
            value = newValue;
            callback(++version);
        }
    }
    void remove(const std::string &key, Store::Version expected,
                Store::Callback<Store::Version> callback) override
    {
        put(key, {}, expected, std::move(callback));
    }
    void watch(const std::string & /*prefix*/, Store::Version /*after*/,
               std::chrono::milliseconds /*timeout*/,
               Store::Callback<Store::WatchResult> callback) override
    {
        callback(tl::unexpected(Store::StoreError{StoreErrorCode::Unavailable, "fake", 0}));
    }
};

class RelayedStoreTest : public ::testing::Test
{
protected:
    RelayedStoreTest()
        : m_store(
            m_context, m_directStore,
            [this](const std::string & /*node*/, const StoreCall &call) {
                if (!m_hasPeer)
                    return false;
                RelayedStore::serve(m_peerStore, m_reads, call,
                                    [this](const StoreReply &reply) { m_store.onReply(reply); });
                return true;
            },
            m_log)
    {}

    std::string read()
    {
        std::string result = "none";
        m_store.get("kind/a", [&result](const Store::Result<StoredObject> &object) {
            result = object ? object->value : "error: " + object.error().detail;
        });
        m_context.run_for(std::chrono::milliseconds(20));
        m_context.restart();
        return result;
    }

    boost::asio::io_context m_context;
    NullLog m_log;
    FakeStore m_directStore; //!< the store as accessed by this daemon
    FakeStore m_peerStore;   //!< the store as accessed by the peer
    SharedReads m_reads{m_context, m_peerStore, std::chrono::milliseconds(50)};
    bool m_hasPeer = true;
    RelayedStore m_store;
};

} // namespace

TEST_F(RelayedStoreTest, callsAreRelayedWhileTheStoreIsUnavailable)
{
    m_peerStore.value = "through peer";
    EXPECT_EQ(read(), "first");
    m_directStore.error = StoreErrorCode::Unavailable;
    EXPECT_EQ(read(), "through peer");
    {
        SCOPED_TRACE(
            "refused calls are billed, so the next calls are relayed without a direct attempt");
        const int calls = m_directStore.calls;
        EXPECT_EQ(read(), "through peer");
        EXPECT_EQ(m_directStore.calls, calls);
        EXPECT_FALSE(m_store.isDirectlyReachable());
    }
    {
        SCOPED_TRACE("the call fails if no peer is available");
        m_hasPeer = false;
        EXPECT_EQ(read(), "error: cannot relay store call: no peer available");
    }
}

TEST_F(RelayedStoreTest, changesWithIndeterminateOutcomeAreNotRelayed)
{
    m_directStore.error = StoreErrorCode::Indeterminate;
    std::optional<StoreErrorCode> code;
    m_store.put("kind/a", "next", 5, [&code](const Store::Result<Store::Version> &result) {
        if (!result)
            code = result.error().code;
    });
    EXPECT_EQ(code, StoreErrorCode::Indeterminate);
    EXPECT_EQ(m_peerStore.calls, 0);
}

TEST_F(RelayedStoreTest, conflictsAreReturnedToTheCaller)
{
    std::optional<StoreErrorCode> code;
    m_store.put("kind/a", "next", 4, [&code](const Store::Result<Store::Version> &result) {
        code = result.error().code;
    });
    EXPECT_EQ(code, StoreErrorCode::Conflict);
    EXPECT_EQ(m_peerStore.calls, 0);
    EXPECT_TRUE(m_store.isDirectlyReachable());

    SCOPED_TRACE("a relayed call also returns the conflict");
    m_directStore.error = StoreErrorCode::Unavailable;
    m_store.put("kind/a", "next", 4, [&code](const Store::Result<Store::Version> &result) {
        code = result.error().code;
    });
    EXPECT_EQ(code, StoreErrorCode::Conflict);
}

TEST_F(RelayedStoreTest, concurrentVersionRequestsShareAReadThatStartsAfterThem)
{
    std::vector<Store::Version> versions;
    const auto requestVersionOnce = [this, &versions] {
        m_store.requestVersion("reader", "kind/a",
                               [&versions](const Store::Result<Store::Version> &version) {
                                   versions.push_back(version.value_or(0));
                               });
    };
    const auto runFor = [this](std::chrono::milliseconds time) {
        m_context.restart();
        m_context.run_for(time);
    };
    requestVersionOnce();
    runFor(std::chrono::milliseconds(10));
    EXPECT_EQ(versions, std::vector<Store::Version>{5});
    {
        SCOPED_TRACE(
            "later requests wait for the next read, which includes all changes made before them");
        m_peerStore.version = 6;
        requestVersionOnce();
        requestVersionOnce();
        requestVersionOnce();
        runFor(std::chrono::milliseconds(10));
        EXPECT_EQ(versions.size(), 1U) << "answered by a read that started before the requests";
        runFor(std::chrono::milliseconds(100));
        EXPECT_EQ(versions, (std::vector<Store::Version>{5, 6, 6, 6}));
        EXPECT_EQ(m_peerStore.calls, 2) << "one more billed call for three requests";
    }
    {
        SCOPED_TRACE("errors of the store are passed to the callers");
        m_peerStore.error = StoreErrorCode::Unavailable;
        requestVersionOnce();
        runFor(std::chrono::milliseconds(100));
        ASSERT_EQ(versions.size(), 5U);
        EXPECT_EQ(versions.back(), 0U);
    }
}

} // namespace Medlar::Relay
