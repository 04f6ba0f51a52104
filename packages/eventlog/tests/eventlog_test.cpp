/*
    Tests that log lines are valid JSON, are limited per second, and never block.

    [SECTION] Lines
    [SECTION] Limits
*/
#include <fcntl.h>
#include <gtest/gtest.h>
#include <json/json.h>
#include <unistd.h>

#include <foxwing/base/codec.h>
#include <foxwing/eventlog/eventlog.h>

namespace foxwing::eventlog {
namespace {

struct Pipe
{
    Pipe() { EXPECT_EQ(::pipe(ends), 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    int ends[2] {};
};

// [SECTION] Lines

struct LineCase
{
    const char *name;
    std::string value;
};

class Lines : public testing::TestWithParam<LineCase>
{ };

TEST_P(Lines, AreValidJson)
{
    Pipe pipe;
    EventLog log("node-1", EventLogSettings(), pipe.ends[1]);
    writeEvent(log, Time(Seconds(5)), WallTime(Milliseconds(7)),
               Event("tried").with("value", GetParam().value).with("span_ms", Microseconds(1500)));
    Error reason;
    const auto json = parseJson(log.buffer, &reason);
    ASSERT_TRUE(json) << reason.message;
    EXPECT_EQ((*json)["value"].asString(), GetParam().value);
    EXPECT_EQ((*json)["node"].asString(), "node-1");
    EXPECT_EQ((*json)["event"].asString(), "tried");
    EXPECT_DOUBLE_EQ((*json)["span_ms"].asDouble(), 1.5);
}

INSTANTIATE_TEST_SUITE_P(EventLog, Lines,
                         testing::Values(LineCase { "Plain", "abc" },
                                         LineCase { "Quotes", "a\"b\\" },
                                         LineCase { "Control", "a\nb\x01" },
                                         LineCase { "Empty", "" }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Limits

TEST(EventLogLimits, ReportsDroppedLines)
{
    Pipe pipe;
    EventLogSettings settings;
    settings.requestLinesPerSecond = 3;
    EventLog log("node-1", settings, pipe.ends[1]);
    for (int i = 0; i < 10; ++i)
        writeEvent(log, Time(Seconds(5)), WallTime(), Event("answered"));
    writeEvent(log, Time(Seconds(5)), WallTime(), change("reloaded"));
    EXPECT_EQ(log.written, 4U);
    EXPECT_EQ(log.droppedTotal, 7U);
    writeEvent(log, Time(Seconds(6)), WallTime(), Event("answered"));
    EXPECT_NE(log.buffer.find("\"event\":\"lines-left-out\",\"answered\":7"), std::string::npos);
}

TEST(EventLogLimits, DoesNotBlockOnStalledReader)
{
    Pipe pipe;
    EventLogSettings settings;
    settings.requestLinesPerSecond = 1000000;
    EventLog log("node-1", settings, pipe.ends[1]);
    for (int i = 0; i < 20000; ++i) {
        writeEvent(log, Time(Seconds(5)), WallTime(), Event("answered"));
        flush(log);
    }
    EXPECT_GT(log.droppedTotal, 0U);
    EXPECT_LE(log.buffer.size(), settings.maxBufferedBytes + 1000);
}

} // namespace
} // namespace foxwing::eventlog
