/*
    Expected waits, and retry delays for refused callers.

    [SECTION] Input
    [SECTION] Wait
    [SECTION] Retry delay
*/
#include <gtest/gtest.h>

#include <foxwing/forecast/forecast.h>

namespace foxwing::forecast {
namespace {

constexpr Time Now { Seconds(100) };

AgentReport makeReport(std::int64_t free, std::uint32_t freedPerSecond,
                       const std::vector<jobs::PriorityBacklog> &waiting = {},
                       Milliseconds age = Milliseconds(0))
{
    return { free, waiting, freedPerSecond, Now - age };
}

ServiceLoad makeServiceLoad(const std::vector<AgentReport> &reports)
{
    ServiceLoad serviceLoad;
    for (const AgentReport &report : reports)
        addAgent(serviceLoad, report, Now);
    return serviceLoad;
}

// [SECTION] Input

TEST(ServiceLoad, SumsReportsByPriority)
{
    const ServiceLoad serviceLoad = makeServiceLoad(
            { makeReport(-500, 1000, { { 1, 300 }, { 3, 50 } }),
              makeReport(700, 2000, { { 0, 100 }, { 1, 200 } }) });
    ASSERT_EQ(serviceLoad.waiting.size(), 3U);
    EXPECT_EQ(serviceLoad.waiting[0].priority, 0U);
    EXPECT_EQ(serviceLoad.waiting[1].milliCores, 500);
    EXPECT_EQ(serviceLoad.waiting[2].priority, 3U);
    EXPECT_EQ(serviceLoad.freedPerSecond, 3000);
    EXPECT_EQ(serviceLoad.free, std::vector<std::int64_t> { 700 });
}

struct AgeCase
{
    const char *name;
    Milliseconds age;
    bool counts;
};

class ReportAges : public testing::TestWithParam<AgeCase>
{ };

TEST_P(ReportAges, DecideWhetherReportsCount)
{
    const ServiceLoad serviceLoad = makeServiceLoad(
            { makeReport(100, 1000, { { 0, 10 } }, GetParam().age) });
    EXPECT_EQ(serviceLoad.freedPerSecond, GetParam().counts ? 1000 : 0);
    EXPECT_EQ(serviceLoad.waiting.empty(), !GetParam().counts);
    EXPECT_EQ(serviceLoad.age, GetParam().counts ? GetParam().age : Milliseconds(0));
}

INSTANTIATE_TEST_SUITE_P(Forecast, ReportAges,
                         testing::Values(AgeCase { "Fresh", Milliseconds(0), true },
                                         AgeCase { "AtTheLimit", Milliseconds(500), true },
                                         AgeCase { "JustTooOld", Milliseconds(501), false },
                                         AgeCase { "FromBeforeASuspension", Milliseconds(60000),
                                                   false }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Wait

struct WaitCase
{
    const char *name;
    std::vector<AgentReport> reports;
    double share;
    JobDemand demand;
    std::optional<Milliseconds> wait;
};

class Waits : public testing::TestWithParam<WaitCase>
{ };

TEST_P(Waits, FollowTheBacklogAndTheFreedCapacity)
{
    ServiceLoad serviceLoad = makeServiceLoad(GetParam().reports);
    serviceLoad.share = GetParam().share;
    EXPECT_EQ(expectedWait(serviceLoad, GetParam().demand), GetParam().wait);
}

INSTANTIATE_TEST_SUITE_P(
        Forecast, Waits,
        testing::Values(
                WaitCase { "NoReports", {}, 1, { 1, 100, 100, 0 }, {} },
                WaitCase { "NoCapacityFreed", { makeReport(0, 0) }, 1, { 1, 100, 100, 0 }, {} },
                WaitCase { "EnoughCapacity",
                           { makeReport(250, 0) },
                           1,
                           { 1, 100, 200, 0 },
                           Milliseconds(0) },
                WaitCase { "FragmentsTooSmall",
                           { makeReport(90, 1000), makeReport(90, 0) },
                           1,
                           { 1, 100, 100, 0 },
                           Milliseconds(100) },
                WaitCase { "OwnTasksOnly",
                           { makeReport(0, 1000) },
                           1,
                           { 1, 100, 300, 0 },
                           Milliseconds(300) },
                WaitCase { "WorkQueuedAhead",
                           { makeReport(0, 1000) },
                           1,
                           { 1, 100, 100, 400 },
                           Milliseconds(500) },
                WaitCase { "MoreUrgentAtAgents",
                           { makeReport(-200, 1000, { { 0, 200 } }) },
                           1,
                           { 1, 100, 100, 0 },
                           Milliseconds(300) },
                WaitCase { "LessUrgentAtAgents",
                           { makeReport(-200, 1000, { { 2, 200 } }) },
                           1,
                           { 1, 100, 100, 0 },
                           Milliseconds(100) },
                WaitCase { "ShareOfOneFifth",
                           { makeReport(-200, 1000, { { 0, 200 } }) },
                           0.2,
                           { 1, 100, 100, 0 },
                           Milliseconds(700) },
                WaitCase { "AllReportsTooOld",
                           { makeReport(1000, 1000, {}, Milliseconds(600)) },
                           1,
                           { 1, 100, 100, 0 },
                           {} },
                WaitCase { "OneOfTwoReportsTooOld",
                           { makeReport(0, 1000), makeReport(0, 1000, {}, Milliseconds(600)) },
                           1,
                           { 1, 100, 500, 500 },
                           Milliseconds(1000) },
                WaitCase { "LimitedToMaxWait",
                           { makeReport(0, 1) },
                           0.001,
                           { 1, 100, 1000000000, 0 },
                           MaxWait }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Retry delay

struct RetryCase
{
    const char *name;
    std::uint32_t freedPerSecond;
    std::int64_t queuedAhead;
    double jitter;
    Milliseconds after;
};

class RetryDelays : public testing::TestWithParam<RetryCase>
{ };

TEST_P(RetryDelays, FollowTheWaitWithJitter)
{
    const ServiceLoad serviceLoad = makeServiceLoad({ makeReport(0, GetParam().freedPerSecond) });
    const JobDemand demand { 1, 100, 100, GetParam().queuedAhead };
    EXPECT_EQ(estimateRetryAfter(serviceLoad, demand, GetParam().jitter), GetParam().after);
}

INSTANTIATE_TEST_SUITE_P(
        Forecast, RetryDelays,
        testing::Values(RetryCase { "Minimum", 100000, 0, 0, MinRetryAfter },
                        RetryCase { "AfterTheWait", 1000, 400, 0, Milliseconds(500) },
                        RetryCase { "HalfJitter", 1000, 400, 0.5, Milliseconds(750) },
                        RetryCase { "FullJitter", 1000, 400, 1, Milliseconds(1000) },
                        RetryCase { "Maximum", 1000, 900000, 1, MaxRetryAfter },
                        RetryCase { "MaximumWithoutJitter", 1000, 900000, 0, MaxRetryAfter / 2 },
                        RetryCase { "UnknownWait", 0, 0, 0, MaxRetryAfter / 2 }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::forecast
