/*
    Tests of the fair queue: order of waiting jobs.

    [SECTION] Tests
*/
#include <foxwing/dispatch/fairqueue.h>

#include <gtest/gtest.h>

namespace foxwing::dispatch {
namespace {

constexpr Time Begin { Milliseconds(1000) };

std::string next(const FairQueue &queue, Time now = Begin)
{
    const std::string *key = nextJob(queue, now);
    return key ? *key : std::string();
}

// [SECTION] Tests

TEST(FairQueue, FewestRemainingGoFirstWithinATeam)
{
    FairQueue queue;
    pushJob(queue, "a", 1, "large", 50, Begin);
    pushJob(queue, "a", 1, "small", 2, Begin);
    EXPECT_EQ(next(queue), "small");
    setRemaining(queue, "large", 1);
    EXPECT_EQ(next(queue), "large");
    setRemaining(queue, "large", 0);
    setRemaining(queue, "small", 0);
    EXPECT_EQ(next(queue), "");
}

TEST(FairQueue, NoJobIsPassedOverForLongerThanItsBound)
{
    FairQueue queue;
    queue.settings.starvationLimit = Milliseconds(500);
    pushJob(queue, "a", 1, "large", 50, Begin);
    pushJob(queue, "a", 1, "small", 1, Begin + Milliseconds(400));
    EXPECT_EQ(next(queue, Begin + Milliseconds(499)), "small");
    EXPECT_EQ(next(queue, Begin + Milliseconds(500)), "large");
}

struct Weights
{
    double first;
    double second;
};

class Shares : public testing::TestWithParam<Weights>
{ };

TEST_P(Shares, FollowTheWeightsWhateverTheTasksLast)
{
    FairQueue queue;
    std::map<std::string, double> used { { "a", 0 }, { "b", 0 } };
    const std::map<std::string, Microseconds> lasts { { "a", Milliseconds(10) },
                                                      { "b", Milliseconds(70) } };
    pushJob(queue, "a", GetParam().first, "a", 1000000, Begin);
    pushJob(queue, "b", GetParam().second, "b", 1000000, Begin);
    for (int i = 0; i < 5000; ++i) {
        const std::string team = next(queue);
        chargeTeam(queue, team, lasts.at(team));
        used[team] += static_cast<double>(lasts.at(team).count());
    }
    const double share = used["a"] / (used["a"] + used["b"]);
    EXPECT_NEAR(share, GetParam().first / (GetParam().first + GetParam().second), 0.01);
}

INSTANTIATE_TEST_SUITE_P(Table, Shares,
                         testing::Values(Weights { 1, 1 }, Weights { 2, 1 }, Weights { 1, 9 }));

TEST(FairQueue, IdlingEarnsNoCredit)
{
    FairQueue queue;
    pushJob(queue, "busy", 1, "busy", 1000000, Begin);
    for (int i = 0; i < 1000; ++i)
        chargeTeam(queue, "busy", Milliseconds(100));
    pushJob(queue, "late", 1, "late", 1000000, Begin);
    int late = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string team = next(queue);
        late += team == "late" ? 1 : 0;
        chargeTeam(queue, team, Milliseconds(100));
    }
    EXPECT_NEAR(late, 50, 2);
}

TEST(FairQueue, ATeamAtItsQuotaIsPassedOver)
{
    for (const QueueOrder order : { QueueOrder::FairFewestRemaining, QueueOrder::FirstCome }) {
        FairQueue queue;
        queue.settings.order = order;
        pushJob(queue, "a", 1, "first", 1, Begin);
        pushJob(queue, "b", 1, "second", 1, Begin);
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
