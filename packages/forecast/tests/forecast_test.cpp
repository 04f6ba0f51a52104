/*
    Expected waits, and retry delays for refused callers.

    [SECTION] Picture
    [SECTION] Wait
    [SECTION] Coming back
*/
#include <gtest/gtest.h>

#include <foxwing/forecast/forecast.h>

namespace foxwing::forecast {
namespace {

constexpr Time Now { Seconds(100) };

AgentNews newsOf(std::int64_t free, std::uint32_t freedPerSecond,
                 const std::vector<jobs::PriorityBacklog> &waiting = {},
                 Milliseconds age = Milliseconds(0))
{
    return { free, waiting, freedPerSecond, Now - age };
}

ServiceLoad pictureOf(const std::vector<AgentNews> &all)
{
    ServiceLoad serviceLoad;
    for (const AgentNews &news : all)
        addAgent(serviceLoad, news, Now);
    return serviceLoad;
}

// [SECTION] Picture

TEST(ServiceLoad, AddsUpWhatAgentsTellByPriority)
{
    const ServiceLoad serviceLoad = pictureOf({ newsOf(-500, 1000, { { 1, 300 }, { 3, 50 } }),
                                                newsOf(700, 2000, { { 0, 100 }, { 1, 200 } }) });
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

class NewsAges : public testing::TestWithParam<AgeCase>
{ };

TEST_P(NewsAges, DecideWhetherAnAgentCounts)
{
    const ServiceLoad serviceLoad = pictureOf({ newsOf(100, 1000, { { 0, 10 } }, GetParam().age) });
    EXPECT_EQ(serviceLoad.freedPerSecond, GetParam().counts ? 1000 : 0);
    EXPECT_EQ(serviceLoad.waiting.empty(), !GetParam().counts);
    EXPECT_EQ(serviceLoad.age, GetParam().counts ? GetParam().age : Milliseconds(0));
}

INSTANTIATE_TEST_SUITE_P(Forecast, NewsAges,
                         testing::Values(AgeCase { "Fresh", Milliseconds(0), true },
                                         AgeCase { "AtTheBound", Milliseconds(500), true },
                                         AgeCase { "CutOff", Milliseconds(501), false },
                                         AgeCase { "FromBeforeAFreeze", Milliseconds(60000),
                                                   false }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Wait

struct WaitCase
{
    const char *name;
    std::vector<AgentNews> news;
    double share;
    JobDemand wanted;
    std::optional<Milliseconds> wait;
};

class Waits : public testing::TestWithParam<WaitCase>
{ };

TEST_P(Waits, FollowWhatGoesBeforeAndTheRoomThatComesFree)
{
    ServiceLoad serviceLoad = pictureOf(GetParam().news);
    serviceLoad.share = GetParam().share;
    EXPECT_EQ(expectedWait(serviceLoad, GetParam().wanted), GetParam().wait);
}

INSTANTIATE_TEST_SUITE_P(
        Forecast, Waits,
        testing::Values(
                WaitCase { "NothingIsKnown", {}, 1, { 1, 100, 100, 0 }, {} },
                WaitCase { "NothingCameFree", { newsOf(0, 0) }, 1, { 1, 100, 100, 0 }, {} },
                WaitCase {
                        "RoomForAll", { newsOf(250, 0) }, 1, { 1, 100, 200, 0 }, Milliseconds(0) },
                WaitCase { "PiecesTooSmall",
                           { newsOf(90, 1000), newsOf(90, 0) },
                           1,
                           { 1, 100, 100, 0 },
                           Milliseconds(100) },
                WaitCase { "ItsOwnTasks",
                           { newsOf(0, 1000) },
                           1,
                           { 1, 100, 300, 0 },
                           Milliseconds(300) },
                WaitCase { "WorkBeforeIt",
                           { newsOf(0, 1000) },
                           1,
                           { 1, 100, 100, 400 },
                           Milliseconds(500) },
                WaitCase { "MoreUrgentAtAgents",
                           { newsOf(-200, 1000, { { 0, 200 } }) },
                           1,
                           { 1, 100, 100, 0 },
                           Milliseconds(300) },
                WaitCase { "LessUrgentAtAgents",
                           { newsOf(-200, 1000, { { 2, 200 } }) },
                           1,
                           { 1, 100, 100, 0 },
                           Milliseconds(100) },
                WaitCase { "AFifthComesHere",
                           { newsOf(-200, 1000, { { 0, 200 } }) },
                           0.2,
                           { 1, 100, 100, 0 },
                           Milliseconds(700) },
                WaitCase { "AllAgentsAreCutOff",
                           { newsOf(1000, 1000, {}, Milliseconds(600)) },
                           1,
                           { 1, 100, 100, 0 },
                           {} },
                WaitCase { "HalfOfThemIsSeen",
                           { newsOf(0, 1000), newsOf(0, 1000, {}, Milliseconds(600)) },
                           1,
                           { 1, 100, 500, 500 },
                           Milliseconds(1000) },
                WaitCase { "BeyondAnyWait",
                           { newsOf(0, 1) },
                           0.001,
                           { 1, 100, 1000000000, 0 },
                           LongestWait }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Coming back

struct ComeBackCase
{
    const char *name;
    std::uint32_t freedPerSecond;
    std::int64_t queuedAhead;
    double chance;
    Milliseconds after;
};

class ComingBack : public testing::TestWithParam<ComeBackCase>
{ };

TEST_P(ComingBack, FollowsTheWaitAndIsSpread)
{
    const ServiceLoad serviceLoad = pictureOf({ newsOf(0, GetParam().freedPerSecond) });
    const JobDemand wanted { 1, 100, 100, GetParam().queuedAhead };
    EXPECT_EQ(estimateRetryAfter(serviceLoad, wanted, GetParam().chance), GetParam().after);
}

INSTANTIATE_TEST_SUITE_P(
        Forecast, ComingBack,
        testing::Values(ComeBackCase { "SoonAtTheLeast", 100000, 0, 0, MinRetryAfter },
                        ComeBackCase { "AfterTheWait", 1000, 400, 0, Milliseconds(500) },
                        ComeBackCase { "LaterByChance", 1000, 400, 0.5, Milliseconds(750) },
                        ComeBackCase { "TwiceAtTheMost", 1000, 400, 1, Milliseconds(1000) },
                        ComeBackCase { "Bounded", 1000, 900000, 1, MaxRetryAfter },
                        ComeBackCase { "SpreadAtTheBoundToo", 1000, 900000, 0, MaxRetryAfter / 2 },
                        ComeBackCase { "NothingIsKnown", 0, 0, 0, MaxRetryAfter / 2 }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::forecast
