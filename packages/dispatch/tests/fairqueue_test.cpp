/*
    Tests of the fair queue: order of waiting jobs.

    [SECTION] Tests
*/
#include <foxwing/dispatch/fairqueue.h>

#include <gtest/gtest.h>

namespace foxwing::dispatch {
namespace {

constexpr Time StartTime { Milliseconds(1000) };

std::string next(const FairQueue &queue, Time now = StartTime)
{
    const std::string *key = nextJob(queue, now);
    return key ? *key : std::string();
}

// [SECTION] Tests

TEST(FairQueue, FewestRemainingGoFirstWithinATeam)
{
    FairQueue queue;
    pushJob(queue, "a", 1, "large", 50, StartTime);
    pushJob(queue, "a", 1, "small", 2, StartTime);
    EXPECT_EQ(next(queue), "small");
    setRemaining(queue, "large", 1);
    EXPECT_EQ(next(queue), "large");
    setRemaining(queue, "large", 0);
    setRemaining(queue, "small", 0);
    EXPECT_EQ(next(queue), "");
}

TEST(FairQueue, TheOldestJobGoesFirstAfterTheStarvationLimit)
{
    FairQueue queue;
    queue.settings.starvationLimit = Milliseconds(500);
    pushJob(queue, "a", 1, "large", 50, StartTime);
    pushJob(queue, "a", 1, "small", 1, StartTime + Milliseconds(400));
    EXPECT_EQ(next(queue, StartTime + Milliseconds(499)), "small");
    EXPECT_EQ(next(queue, StartTime + Milliseconds(500)), "large");
}

struct Weights
{
    double first;
    double second;
};

class WeightedShares : public testing::TestWithParam<Weights>
{ };

TEST_P(WeightedShares, FollowTheWeightsForAnyRunTimes)
{
    FairQueue queue;
    std::map<std::string, double> used { { "a", 0 }, { "b", 0 } };
    const std::map<std::string, Microseconds> runTimes { { "a", Milliseconds(10) },
                                                         { "b", Milliseconds(70) } };
    pushJob(queue, "a", GetParam().first, "a", 1000000, StartTime);
    pushJob(queue, "b", GetParam().second, "b", 1000000, StartTime);
    for (int i = 0; i < 5000; ++i) {
        const std::string team = next(queue);
        chargeTeam(queue, team, runTimes.at(team));
        used[team] += static_cast<double>(runTimes.at(team).count());
    }
    const double share = used["a"] / (used["a"] + used["b"]);
    EXPECT_NEAR(share, GetParam().first / (GetParam().first + GetParam().second), 0.01);
}

INSTANTIATE_TEST_SUITE_P(Table, WeightedShares,
                         testing::Values(Weights { 1, 1 }, Weights { 2, 1 }, Weights { 1, 9 }));

TEST(FairQueue, IdleTimeEarnsNoCredit)
{
    FairQueue queue;
    pushJob(queue, "busy", 1, "busy", 1000000, StartTime);
    for (int i = 0; i < 1000; ++i)
        chargeTeam(queue, "busy", Milliseconds(100));
    pushJob(queue, "late", 1, "late", 1000000, StartTime);
    int late = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string team = next(queue);
        late += team == "late" ? 1 : 0;
        chargeTeam(queue, team, Milliseconds(100));
    }
    EXPECT_NEAR(late, 50, 2);
}

TEST(FairQueue, ATeamAtItsQuotaIsSkipped)
{
    for (const QueueOrder order : { QueueOrder::FairFewestRemaining, QueueOrder::FirstCome }) {
        FairQueue queue;
        queue.settings.order = order;
        pushJob(queue, "a", 1, "first", 1, StartTime);
        pushJob(queue, "b", 1, "second", 1, StartTime);
        blockTeam(queue, "a", true);
        EXPECT_EQ(next(queue), "second");
        blockTeam(queue, "b", true);
        EXPECT_EQ(next(queue), "");
        blockTeam(queue, "a", false);
        EXPECT_EQ(next(queue), "first");
    }
}

} // namespace
} // namespace foxwing::dispatch
