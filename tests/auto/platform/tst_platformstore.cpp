#include "platformstandin.h"

#include "platform/platformstore.h"

#include <gtest/gtest.h>

namespace Medlar::Platform {
namespace {

using namespace std::chrono_literals;
using Store::StoreErrorCode;

class CollectingLog : public Base::LogSink
{
public:
    void write(const Base::LogLine &line) override { lines.push_back(line.toString()); }
    std::vector<std::string> lines;
};

class PlatformStoreTest : public ::testing::Test
{
protected:
    PlatformStoreTest() : m_standin(m_context)
    {
        PlatformStoreSettings settings;
        settings.address = "127.0.0.1";
        settings.port = m_standin.port();
        settings.writerId = "writer";
        settings.callTimeout = 250ms;
        m_store = std::move(*PlatformStore::create(m_context, settings, m_log));
    }

    /*! Runs the event loop until \a result has a value, for at most 10 s. */
    template<typename T>
    Store::Result<T> await(std::optional<Store::Result<T>> &result)
    {
        const auto end = std::chrono::steady_clock::now() + 10s;
        while (!result && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(100ms);
        return result ? std::move(*result)
                      : tl::unexpected(Store::StoreError{StoreErrorCode::Indeterminate,
                                                         "no result within 10 s", 0});
    }

    Store::Result<Store::Version> put(const std::string &key, const std::string &value,
                                      Store::Version expected)
    {
        std::optional<Store::Result<Store::Version>> result;
        m_store->put(key, value, expected,
                     [&result](Store::Result<Store::Version> r) { result = std::move(r); });
        return await(result);
    }
    Store::Result<Store::StoredObject> get(const std::string &key)
    {
        std::optional<Store::Result<Store::StoredObject>> result;
        m_store->get(key,
                     [&result](Store::Result<Store::StoredObject> r) { result = std::move(r); });
        return await(result);
    }
    Store::Result<Store::ListResult> list(const std::string &prefix)
    {
        std::optional<Store::Result<Store::ListResult>> result;
        m_store->listAt(prefix,
                        [&result](Store::Result<Store::ListResult> r) { result = std::move(r); });
        return await(result);
    }
    Store::Result<Store::WatchResult> watch(const std::string &prefix, Store::Version after,
                                            std::chrono::milliseconds wait = 200ms)
    {
        std::optional<Store::Result<Store::WatchResult>> result;
        m_store->watch(prefix, after, wait,
                       [&result](Store::Result<Store::WatchResult> r) { result = std::move(r); });
        return await(result);
    }

    boost::asio::io_context m_context;
    CollectingLog m_log;
    PlatformStandin m_standin;
    std::unique_ptr<PlatformStore> m_store;
};

} // namespace

TEST_F(PlatformStoreTest, putSucceedsOnlyIfExpectedVersionMatches)
{
    const auto first = put("ranges/a", R"({"x":1})", 0);
    ASSERT_TRUE(first);
    EXPECT_EQ(get("ranges/a")->value, R"({"x":1})");
    EXPECT_EQ(get("ranges/a")->version, *first);
    EXPECT_EQ(put("ranges/a", "2", 0).error().code, StoreErrorCode::Conflict);
    EXPECT_EQ(put("ranges/a", "2", *first + 7).error().code, StoreErrorCode::Conflict);
    EXPECT_TRUE(put("ranges/a", "2", *first));
    EXPECT_EQ(get("ranges/b").error().code, StoreErrorCode::NotFound);
}

TEST_F(PlatformStoreTest, lostPutResponseIsResolvedByReadBack)
{
    m_standin.faults().losesAnswers = true;
    const auto written = put("ranges/a", "1", 0);
    ASSERT_TRUE(written) << "the stored object should contain the token of this write";
    EXPECT_EQ(get("ranges/a")->version, *written);
}

TEST_F(PlatformStoreTest, putPendingAfterTimeoutIsIndeterminate)
{
    const auto first = put("ranges/a", "1", 0);
    m_standin.faults().executesLate = true;
    const auto second = put("ranges/a", "2", *first);
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().code, StoreErrorCode::Indeterminate);
    m_standin.runLateChanges();
    EXPECT_EQ(get("ranges/a")->value, "2") << "the delayed write should have been applied";
}

TEST_F(PlatformStoreTest, refusedCallsAreUnavailableAndChangeNothing)
{
    for (const int status : {503, 429}) {
        m_standin.faults().refuseWith = status;
        EXPECT_EQ(put("ranges/a", "1", 0).error().code, StoreErrorCode::Unavailable);
        EXPECT_EQ(get("ranges/a").error().code, StoreErrorCode::Unavailable);
        EXPECT_EQ(list("ranges/").error().code, StoreErrorCode::Unavailable);
    }
    m_standin.faults().refuseWith = 0;
    EXPECT_EQ(get("ranges/a").error().code, StoreErrorCode::NotFound);
}

TEST_F(PlatformStoreTest, listReadsAllPagesAndSkipsInvalidObjects)
{
    for (int i = 0; i < 8; ++i)
        m_standin.put("nodes", "n" + std::to_string(i), {{"i", i}});
    m_standin.putRaw("nodes", "n3a", {{"metadata", "not an object"}});
    m_standin.putRaw("nodes", "n3b", 17);
    const auto all = list("nodes/");
    ASSERT_TRUE(all);
    EXPECT_EQ(all->objects.size(), 8U) << "invalid objects should be skipped";
    EXPECT_EQ(all->objects.front().key, "nodes/n0");
    EXPECT_FALSE(m_log.lines.empty()) << "skipped objects should be logged";
}

TEST_F(PlatformStoreTest, watchReportsChangesAndDroppedHistory)
{
    m_standin.put("config", "main", {{"version", 1}});
    const auto start = list("config/");
    ASSERT_TRUE(start);
    {
        SCOPED_TRACE("no change before the wait time expires");
        const auto noChanges = watch("config/", start->revision, 50ms);
        ASSERT_TRUE(noChanges);
        EXPECT_TRUE(noChanges->changes.empty());
    }
    {
        SCOPED_TRACE("an update and a removal");
        m_standin.put("config", "main", {{"version", 2}});
        m_standin.remove("config", "main");
        const auto changes = watch("config/", start->revision);
        ASSERT_TRUE(changes);
        ASSERT_EQ(changes->changes.size(), 2U);
        EXPECT_EQ(changes->changes[0].value, R"({"version":2})");
        EXPECT_FALSE(changes->changes[1].value);
        EXPECT_GT(changes->revision, start->revision);
    }
    {
        SCOPED_TRACE("the history after the requested revision was dropped");
        m_standin.put("config", "main", {{"version", 3}});
        m_standin.dropHistory();
        EXPECT_EQ(watch("config/", start->revision).error().code, StoreErrorCode::NotFound);
    }
}

} // namespace Medlar::Platform
