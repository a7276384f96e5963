#include "store/connectionpool.h"
#include "store/httpobjectstore.h"
#include "store/storecodec.h"

#include "standins/objectstore/objectstoreserver.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <iostream>

namespace Medlar::Store {

using namespace std::chrono_literals;
using Standins::FaultMode;
using Standins::HttpSession;

namespace {

/*! Ends a test whose callback is never called. */
constexpr auto HangLimit = 20s;

/*! Calls the client and runs the context until the callback ran. */
class Caller
{
public:
    Caller(boost::asio::io_context &context, const HttpObjectStoreSettings &settings)
        : m_context(context), m_store(std::move(*HttpObjectStore::create(context, settings)))
    {}

    HttpObjectStore &store() { return *m_store; }

    template<typename T, typename Start>
    Result<T> await(const Start &start)
    {
        std::optional<Result<T>> result;
        start([&result](Result<T> r) { result = std::move(r); });
        EXPECT_FALSE(result) << "callback ran inside the call";
        const auto end = std::chrono::steady_clock::now() + HangLimit;
        m_context.restart();
        while (!result && m_context.run_one_until(end) != 0) {
        }
        if (!result)
            return tl::unexpected(StoreError{StoreErrorCode::InvalidAnswer, "no callback", 0});
        return *result;
    }

    Result<Version> put(const std::string &key, const std::string &value, Version expected)
    {
        return await<Version>([&](auto done) { m_store->put(key, value, expected, done); });
    }
    Result<Version> remove(const std::string &key, Version expected)
    {
        return await<Version>([&](auto done) { m_store->remove(key, expected, done); });
    }
    Result<StoredObject> get(const std::string &key)
    {
        return await<StoredObject>([&](auto done) { m_store->get(key, done); });
    }
    Result<std::vector<StoredObject>> list(const std::string &prefix)
    {
        return await<std::vector<StoredObject>>([&](auto done) { m_store->list(prefix, done); });
    }
    Result<std::vector<StoredObject>> listKeys(const std::string &prefix)
    {
        return await<std::vector<StoredObject>>(
            [&](auto done) { m_store->listKeys(prefix, done); });
    }
    Result<WatchResult> watch(const std::string &prefix, Version after,
                              std::chrono::milliseconds timeout)
    {
        return await<WatchResult>([&](auto done) { m_store->watch(prefix, after, timeout, done); });
    }

private:
    boost::asio::io_context &m_context;
    std::unique_ptr<HttpObjectStore> m_store;
};

HttpObjectStoreSettings settingsFor(std::uint16_t port)
{
    HttpObjectStoreSettings settings;
    settings.address = "127.0.0.1";
    settings.port = port;
    settings.keyPrefix = "medlar/";
    settings.callTimeout = 300ms;
    return settings;
}

template<typename T>
StoreErrorCode codeOf(const Result<T> &result)
{
    EXPECT_FALSE(result) << "success instead of an error";
    return result ? StoreErrorCode::InvalidAnswer : result.error().code;
}

class StoreTest : public testing::Test
{
protected:
    StoreTest()
    {
        Standins::ObjectStoreServerSettings settings;
        settings.limits.historyChanges = 4;
        m_server = std::move(*Standins::ObjectStoreServer::create(m_context, settings));
        std::cout << "port=" << m_server->port() << '\n';
    }

    std::uint64_t calls(const std::string &kind) const
    {
        const auto it = m_server->calls().find(kind);
        return it == m_server->calls().end() ? 0 : it->second;
    }

    boost::asio::io_context m_context{1};
    std::unique_ptr<Standins::ObjectStoreServer> m_server;
};

/*! Answers every request with what \a m_handler does; for answers that the stand-in never gives. */
class ScriptedStoreTest : public testing::Test
{
protected:
    ScriptedStoreTest()
        : m_server(std::move(*Standins::HttpServer::create(
            m_context, {},
            [this](const std::shared_ptr<HttpSession> &session) { m_handler(*session); })))
        , m_caller(m_context, settingsFor(m_server->port()))
    {
        std::cout << "port=" << m_server->port() << '\n';
    }

    boost::asio::io_context m_context{1};
    std::function<void(HttpSession &)> m_handler;
    std::unique_ptr<Standins::HttpServer> m_server;
    Caller m_caller;
};

} // namespace

TEST_F(StoreTest, concurrentChangesDoNotOverwriteEachOther)
{
    Caller a(m_context, settingsFor(m_server->port()));
    Caller b(m_context, settingsFor(m_server->port()));
    const std::string key = "sealed/node-1#ab &%?/x";

    const auto created = a.put(key, "first", 0);
    ASSERT_TRUE(created);
    {
        SCOPED_TRACE("creating twice");
        const auto again = b.put(key, "second", 0);
        EXPECT_EQ(codeOf(again), StoreErrorCode::Conflict);
        EXPECT_EQ(again.error().currentVersion, *created);
    }
    const auto changed = b.put(key, "second", *created);
    ASSERT_TRUE(changed);
    {
        SCOPED_TRACE("changing and removing under an old version");
        EXPECT_EQ(codeOf(a.put(key, "third", *created)), StoreErrorCode::Conflict);
        EXPECT_EQ(codeOf(a.remove(key, *created)), StoreErrorCode::Conflict);
    }
    const auto read = a.get(key);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->key, key);
    EXPECT_EQ(read->value, "second");
    EXPECT_EQ(read->version, *changed);
    {
        SCOPED_TRACE("removing");
        ASSERT_TRUE(a.remove(key, *changed));
        EXPECT_EQ(codeOf(a.get(key)), StoreErrorCode::NotFound);
        EXPECT_EQ(codeOf(a.remove(key, *changed)), StoreErrorCode::Conflict);
    }
}

TEST_F(StoreTest, binaryValuesUpToTheLimitAreNotDamaged)
{
    // The test is about bytes: under a sanitizer beside load a megabyte takes longer than a call of
    // the other tests may.
    HttpObjectStoreSettings settings = settingsFor(m_server->port());
    settings.callTimeout = HangLimit / 2;
    Caller caller(m_context, settings);
    std::string largest(1000000, '\0');
    for (std::size_t i = 0; i < largest.size(); ++i)
        largest[i] = static_cast<char>(i * 31);
    for (const std::size_t size : {0, 1, 2, 3, 1000000}) {
        SCOPED_TRACE(size);
        const std::string key = "size/" + std::to_string(size);
        ASSERT_TRUE(caller.put(key, largest.substr(0, size), 0));
        EXPECT_EQ(caller.get(key)->value, largest.substr(0, size));
    }
    const auto listed = caller.list("size/");
    ASSERT_TRUE(listed);
    ASSERT_EQ(listed->size(), 5U);
    for (const auto &object : *listed)
        EXPECT_EQ("size/" + std::to_string(object.value.size()), object.key);
    EXPECT_EQ(codeOf(caller.put("larger", largest + "x", 0)), StoreErrorCode::TooLarge);
}

// Pruning a history must not need the values, which may exceed the limit of a list.
TEST_F(StoreTest, keysAreListedWhereTheValuesExceedTheLimit)
{
    auto settings = settingsFor(m_server->port());
    settings.maxListBytes = 4000;
    Caller caller(m_context, settings);
    std::vector<Version> versions;
    versions.reserve(4);
    for (int i = 0; i < 4; ++i)
        versions.push_back(
            caller.put("h/" + std::to_string(i), std::string(2000, 'x'), 0).value_or(0));
    EXPECT_FALSE(caller.list("h/")) << "the limit was not met";
    const auto listed = caller.listKeys("h/");
    ASSERT_TRUE(listed);
    ASSERT_EQ(listed->size(), versions.size());
    for (std::size_t i = 0; i < versions.size(); ++i) {
        EXPECT_EQ(listed->at(i).key, "h/" + std::to_string(i));
        EXPECT_EQ(listed->at(i).version, versions[i]);
    }
}

TEST_F(StoreTest, lostAnswerOfAChangeIsNotReportedAsFailure)
{
    Caller caller(m_context, settingsFor(m_server->port()));
    m_server->setFault({FaultMode::LoseAnswer, 0ms, 1});
    const auto created = caller.put("a", "1", 0);
    ASSERT_TRUE(created);
    EXPECT_EQ(*created, m_server->table().revision());
    EXPECT_EQ(calls("get"), 1U) << "the fault was not met";

    m_server->setFault({FaultMode::LoseAnswer, 0ms, 1});
    const auto removed = caller.remove("a", *created);
    ASSERT_TRUE(removed);
    EXPECT_EQ(*removed, m_server->table().revision());

    SCOPED_TRACE("a conflict whose answer is lost is no success");
    ASSERT_TRUE(caller.put("b", "1", 0));
    m_server->setFault({FaultMode::LoseAnswer, 0ms, 1});
    EXPECT_EQ(codeOf(caller.put("b", "2", 0)), StoreErrorCode::Indeterminate);
}

TEST_F(StoreTest, unknownOutcomeIsNotReportedAsCertain)
{
    Caller caller(m_context, settingsFor(m_server->port()));
    ASSERT_TRUE(caller.put("a", "1", 0));
    {
        SCOPED_TRACE("closed without effect, read-back shows it");
        m_server->setFault({FaultMode::Dead, 0ms, 1});
        EXPECT_EQ(codeOf(caller.put("a", "2", 1)), StoreErrorCode::Unavailable);
    }
    {
        SCOPED_TRACE("read-back fails too");
        m_server->setFault({FaultMode::Dead, 0ms, 0});
        EXPECT_EQ(codeOf(caller.put("a", "2", 1)), StoreErrorCode::Indeterminate);
        EXPECT_EQ(codeOf(caller.get("a")), StoreErrorCode::Unavailable);
    }
    {
        SCOPED_TRACE("a change that takes effect after its time-out and its read-back");
        m_server->setFault({FaultMode::Slow, 600ms, 1});
        EXPECT_EQ(codeOf(caller.put("a", "2", 1)), StoreErrorCode::Indeterminate);
        EXPECT_EQ(caller.watch("a", 1, 10s)->changes.size(), 1U);
    }
    m_server->setFault({});
    EXPECT_EQ(caller.get("a")->value, "2");
}

TEST_F(StoreTest, serverThatIsGoneIsUnavailableAndNotIndeterminate)
{
    Caller caller(m_context, settingsFor(m_server->port()));
    ASSERT_TRUE(caller.put("a", "1", 0));
    m_server.reset();
    // The first call meets the closed connection, later ones are refused.
    caller.get("a");
    EXPECT_EQ(codeOf(caller.put("a", "2", 1)), StoreErrorCode::Unavailable);
}

TEST_F(StoreTest, readIsRepeatedWhenItsIdleConnectionWasClosed)
{
    Caller caller(m_context, settingsFor(m_server->port()));
    ASSERT_TRUE(caller.put("a", "1", 0));
    m_server->setFault({FaultMode::Dead, 0ms, 1});
    EXPECT_TRUE(caller.get("a"));
    EXPECT_EQ(calls("get"), 2U);
}

TEST_F(StoreTest, slowAnswersDoNotBlockOtherCallsWithoutLimit)
{
    auto settings = settingsFor(m_server->port());
    settings.maxConnections = 1;
    settings.maxQueuedCalls = 2;
    Caller caller(m_context, settings);
    m_server->setFault({FaultMode::Slow, 10s, 0});
    std::vector<StoreErrorCode> codes;
    for (int i = 0; i < 3; ++i)
        caller.store().get("a", [&](const auto &r) { codes.push_back(codeOf(r)); });
    const auto overflow = caller.get("a");
    EXPECT_EQ(codeOf(overflow), StoreErrorCode::Unavailable);
    EXPECT_NE(overflow.error().detail.find("queue"), std::string::npos);
    EXPECT_EQ(caller.store().callQueue().waiting, 2U);
    const auto end = std::chrono::steady_clock::now() + HangLimit;
    while (codes.size() < 3 && m_context.run_one_until(end) != 0) {
    }
    EXPECT_EQ(codes, std::vector<StoreErrorCode>(3, StoreErrorCode::Unavailable));
}

// Guards against a burst of calls that each open a connection to a slow server just to time out.
// The deadlines are given here because calls that share a time-out differ by the time between them.
TEST_F(StoreTest, queuedCallsWithoutTimeForAnAnswerAreNotSent)
{
    const auto pool = std::make_shared<ConnectionPool>(
        m_context,
        boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                       m_server->port()),
        1, 2);
    m_server->setFault({FaultMode::Slow, 10s, 0});
    const auto start = std::chrono::steady_clock::now();
    std::vector<CallFailureKind> failures;
    for (const auto &deadline : {start + 1s, start + 1s + 5ms, start + 900ms}) {
        HttpRequest request{boost::beast::http::verb::get, "/v1/objects/medlar/a", 11};
        pool->submit({std::move(request), deadline, 1024, [&](const CallResult &result) {
                          ASSERT_FALSE(result);
                          failures.push_back(result.error().kind);
                      }});
    }
    EXPECT_EQ(pool->queuedCalls(), 2U);
    while (failures.size() < 3 && m_context.run_one_until(start + HangLimit) != 0) {
    }
    EXPECT_EQ(failures,
              (std::vector<CallFailureKind>{CallFailureKind::TimedOut, CallFailureKind::NotSent,
                                            CallFailureKind::NotSent}));
    EXPECT_EQ(calls("get"), 1U);
    pool->shutDown();
}

TEST_F(StoreTest, watchMissesNoChange)
{
    Caller caller(m_context, settingsFor(m_server->port()));
    ASSERT_TRUE(caller.put("nodes/a", "1", 0));
    ASSERT_TRUE(caller.put("other", "1", 0));
    {
        SCOPED_TRACE("changes before the watch");
        const auto result = caller.watch("nodes/", 0, 10s);
        ASSERT_TRUE(result);
        EXPECT_EQ(result->revision, 2U);
        ASSERT_EQ(result->changes.size(), 1U);
        EXPECT_EQ(result->changes[0].key, "nodes/a");
        EXPECT_EQ(result->changes[0].value, "1");
    }
    {
        SCOPED_TRACE("a removal during the watch, and a change outside the prefix");
        const auto result = caller.await<WatchResult>([&](auto done) {
            caller.store().watch("nodes/", 2, 10s, done);
            caller.store().put("other", "2", 2, [](const auto &r) { EXPECT_TRUE(r); });
            caller.store().remove("nodes/a", 1, [](const auto &r) { EXPECT_TRUE(r); });
        });
        ASSERT_TRUE(result);
        ASSERT_EQ(result->changes.size(), 1U);
        EXPECT_FALSE(result->changes[0].value);
        EXPECT_EQ(result->revision, result->changes[0].version);
    }
    {
        SCOPED_TRACE("time-out without a change");
        const auto result = caller.watch("nodes/", 4, 20ms);
        ASSERT_TRUE(result);
        EXPECT_TRUE(result->changes.empty());
        EXPECT_EQ(result->revision, 4U);
    }
}

TEST_F(StoreTest, watchBeyondTheHistoryIsNotTakenForNoChange)
{
    Caller caller(m_context, settingsFor(m_server->port()));
    for (Version version = 0; version < 6; ++version)
        ASSERT_TRUE(caller.put("a", "x", version));
    const auto old = caller.watch("", 1, 10s);
    EXPECT_EQ(codeOf(old), StoreErrorCode::NotFound);
    EXPECT_EQ(old.error().currentVersion, 6U);
    EXPECT_TRUE(caller.watch("", 2, 10s));
    EXPECT_EQ(codeOf(caller.watch("", 7, 10s)), StoreErrorCode::NotFound) << "store was reset";
}

TEST_F(StoreTest, outageEndsPendingWatches)
{
    Caller caller(m_context, settingsFor(m_server->port()));
    const auto result = caller.await<WatchResult>([&](auto done) {
        caller.store().watch("", 0, 10s, done);
        caller.store().get("a", [this](const auto &) { m_server->setFault({FaultMode::Dead}); });
    });
    EXPECT_EQ(codeOf(result), StoreErrorCode::Unavailable);
}

TEST_F(StoreTest, callbacksAreNotCalledAfterDestruction)
{
    auto store = std::move(*HttpObjectStore::create(m_context, settingsFor(m_server->port())));
    store->watch("", 0, 10s, [](const auto &) { ADD_FAILURE(); });
    store->get("a", [&store](const auto &) { store.reset(); });
    m_context.run_for(100ms);
    EXPECT_FALSE(store);
}

TEST_F(ScriptedStoreTest, malformedAnswersAreErrorsAndNotData)
{
    std::string body;
    m_handler
        = [&body](HttpSession &session) { session.respond(Standins::Http::status::ok, body); };
    EXPECT_EQ(codeOf(m_caller.get("a")), StoreErrorCode::InvalidAnswer) << "no version";
    for (const char *text :
         {"", "[]", "{", R"({"objects":{}})", R"({"objects":[1]})",
          R"({"objects":[{"key":"other/a","version":1,"value_base64":""}]})",
          R"({"objects":[{"key":"medlar/a","version":-1,"value_base64":""}]})",
          R"({"objects":[{"key":"medlar/a","version":1,"value_base64":"?"}]})",
          R"({"objects":[{"key":"medlar/a","version":1,"value_base64":"????"}]})",
          R"({"revision":1,"changes":[{"key":"medlar/a","version":1}]})", R"({"changes":[]})"}) {
        SCOPED_TRACE(text);
        body = text;
        EXPECT_EQ(codeOf(m_caller.list("")), StoreErrorCode::InvalidAnswer);
        EXPECT_EQ(codeOf(m_caller.watch("", 0, 10ms)), StoreErrorCode::InvalidAnswer);
    }
}

TEST_F(ScriptedStoreTest, answersBeyondTheLimitAreRejected)
{
    m_handler = [](HttpSession &session) {
        Standins::HttpResponse response(Standins::Http::status::ok, 11);
        response.set(Standins::Http::field::etag, "\"1\"");
        response.body() = std::string(1000001, 'x');
        session.respond(std::move(response));
    };
    EXPECT_EQ(codeOf(m_caller.get("a")), StoreErrorCode::InvalidAnswer);
    // The put may have taken effect, and the read-back shows another writer.
    EXPECT_EQ(codeOf(m_caller.put("a", "", 0)), StoreErrorCode::Indeterminate);
}

TEST_F(ScriptedStoreTest, serverErrorsAreReadBackUnlessTheyAreRefusals)
{
    auto status = Standins::Http::status::service_unavailable;
    int reads = 0;
    m_handler = [&](HttpSession &session) {
        const bool isRead = session.request().method() == Standins::Http::verb::get;
        reads += isRead ? 1 : 0;
        session.respond(isRead ? Standins::Http::status::not_found : status);
    };
    EXPECT_EQ(codeOf(m_caller.put("a", "", 0)), StoreErrorCode::Unavailable);
    EXPECT_EQ(reads, 0);
    status = Standins::Http::status::internal_server_error;
    EXPECT_EQ(codeOf(m_caller.put("a", "", 0)), StoreErrorCode::Unavailable);
    EXPECT_EQ(reads, 1);
    status = Standins::Http::status::gateway_timeout;
    EXPECT_EQ(codeOf(m_caller.put("a", "", 0)), StoreErrorCode::Indeterminate);
}

TEST(StoreSettings, invalidAddressesAreReportedInsteadOfResolved)
{
    boost::asio::io_context context;
    for (const char *text : {"", "localhost", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                             "127.0.0.1:70000", "127.0.0.1:8x"}) {
        SCOPED_TRACE(text);
        EXPECT_FALSE(HttpObjectStoreSettings::fromHostAndPort(text));
    }
    EXPECT_FALSE(HttpObjectStore::create(
        context, *HttpObjectStoreSettings::fromHostAndPort("store.example:80")));
    EXPECT_EQ(HttpObjectStoreSettings::fromHostAndPort("[::1]:80")->address, "::1");
}

} // namespace Medlar::Store
