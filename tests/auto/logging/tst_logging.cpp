#include "logging/bufferedlog.h"
#include "logging/consolelog.h"
#include "logging/decisionlog.h"

#include <gtest/gtest.h>

#include <future>

namespace Medlar::Logging {
namespace {

Decision decision(const std::string &requestId, std::uint64_t slot = 17)
{
    return {requestId, "shop", "items", "catalog", slot, "node-1", "owner", 5, 9};
}

/*! Keeps the writer of the log inside the first write until it is released. */
class BlockingSink : public Base::LogSink
{
public:
    void write(const Base::LogLine &line) override
    {
        if (lines.empty()) {
            started.set_value();
            released.get_future().wait();
        }
        lines.push_back(line.toString());
    }

    std::promise<void> started;
    std::promise<void> released;
    std::vector<std::string> lines;
};

class CollectingSink : public Base::LogSink
{
public:
    void write(const Base::LogLine &line) override { lines.push_back(line.toString()); }
    std::vector<std::string> lines;
};

} // namespace

TEST(ConsoleLog, everyLineStartsWithEventNodeZoneService)
{
    testing::internal::CaptureStdout();
    {
        const auto log = ConsoleLog::create({"node-1", "zone a", "catalog"});
        log->write(Base::LogLine("started").add("port", 80));
    }
    const std::string text = testing::internal::GetCapturedStdout();
    EXPECT_EQ(
        text.rfind("event=started node=node-1 zone=\"zone a\" service=catalog port=80 time=2", 0),
        0U)
        << text;
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
}

TEST(DecisionLog, lineNamesTheChosenServerTheReasonAndTheVersions)
{
    EXPECT_EQ(decision("r-1").toLine().toString(),
              "event=route request_id=r-1 account=shop route=items target_service=catalog slot=17 "
              "epoch=5 chosen=node-1 reason=owner configuration=9");
}

TEST(DecisionLog, slowConsoleDropsLinesAndReportsHowMany)
{
    BlockingSink sink;
    {
        DecisionLogSettings settings;
        settings.capacity = 4;
        settings.flushInterval = std::chrono::milliseconds(0);
        DecisionLog log(settings, sink);
        log.add(decision("r-0"));
        sink.started.get_future().wait();
        for (int i = 1; i < 10; ++i)
            log.add(decision("r-" + std::to_string(i)));
        EXPECT_EQ(log.droppedLines(), 5U);
        EXPECT_EQ(log.backlog(), 4U);
        sink.released.set_value();
    }
    ASSERT_EQ(sink.lines.size(), 6U);
    EXPECT_NE(sink.lines[0].find("request_id=r-0"), std::string::npos);
    EXPECT_EQ(sink.lines[1], "event=log-lines-dropped count=5");
    EXPECT_NE(sink.lines[2].find("request_id=r-6"), std::string::npos);
    EXPECT_NE(sink.lines[5].find("request_id=r-9"), std::string::npos);
}

TEST(DecisionLog, linesStillWaitingAtTheEndAreWritten)
{
    CollectingSink sink;
    {
        DecisionLog log({}, sink);
        for (int i = 0; i < 1000; ++i)
            log.add(decision("r-" + std::to_string(i)));
    }
    EXPECT_EQ(sink.lines.size(), 1000U);
}

TEST(DecisionLog, explainFindsOnlyTheWantedRequestOrSlotAmongTheLastDecisions)
{
    CollectingSink sink;
    DecisionLogSettings settings;
    settings.capacity = 8;
    settings.writesLines = false;
    DecisionLog log(settings, sink);
    for (std::uint64_t i = 0; i < 12; ++i)
        log.add(decision("r-" + std::to_string(i), i % 2));

    EXPECT_TRUE(log.findRequest("r-3").empty()) << "overwritten";
    ASSERT_EQ(log.findRequest("r-4").size(), 1U);
    EXPECT_TRUE(log.findSlot("other", 1, 10).empty());
    const auto found = log.findSlot("catalog", 1, 2);
    ASSERT_EQ(found.size(), 2U);
    EXPECT_EQ(found[0].requestId, "r-9");
    EXPECT_EQ(found[1].requestId, "r-11");
    EXPECT_EQ(log.droppedLines(), 0U);
}

TEST(BufferedLog, aSlowSinkNeverHoldsUpTheWriterAndLostLinesAreCounted)
{
    using namespace std::chrono_literals;
    BlockingSink sink;
    {
        BufferedLog log(sink, 2, 1ms);
        log.write(Base::LogLine("first"));
        sink.started.get_future().wait();
        for (int i = 0; i < 5; ++i)
            log.write(Base::LogLine("later"));
        EXPECT_EQ(log.droppedLines(), 3U);
        sink.released.set_value();
    }
    ASSERT_EQ(sink.lines.size(), 4U);
    EXPECT_EQ(sink.lines.back(), "event=log-lines-dropped count=3");
}

} // namespace Medlar::Logging
