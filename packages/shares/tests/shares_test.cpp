/*
    Served share of queues, and when it is below the guaranteed share.

    [SECTION] Helpers
    [SECTION] Served
    [SECTION] Time
    [SECTION] Queues
*/
#include <gtest/gtest.h>
#include <vector>

#include <foxwing/shares/shares.h>

namespace foxwing::shares {
namespace {

// [SECTION] Helpers

constexpr Time Begin { Seconds(100) };

ShareState withFloor(std::uint32_t percent)
{
    ShareState shares;
    shares.settings.guaranteedPercent = percent;
    return shares;
}

// [SECTION] Served

struct ServedCase
{
    const char *name;
    std::vector<std::int64_t> asked;
    std::vector<std::int64_t> refused;
    std::uint32_t floor;
    std::uint32_t served;
    bool below;
};

std::ostream &operator<<(std::ostream &out, const ServedCase &tested)
{
    return out << tested.name;
}

class Served : public testing::TestWithParam<ServedCase>
{ };

TEST_P(Served, IsCountedByWork)
{
    ShareState shares = withFloor(GetParam().floor);
    for (const std::int64_t work : GetParam().asked)
        recordRequested(shares, "queue", work, Begin);
    for (const std::int64_t work : GetParam().refused)
        recordRefused(shares, "queue", work, Begin);
    EXPECT_EQ(servedPercent(shares, "queue", Begin), GetParam().served);
    EXPECT_EQ(isBelowGuarantee(shares, "queue", Begin), GetParam().below);
    EXPECT_EQ(servedPercent(shares, "other", Begin), 100U);
}

INSTANTIATE_TEST_SUITE_P(
        Shares, Served,
        testing::Values(ServedCase { "NothingAsked", {}, {}, 100, 100, false },
                        ServedCase { "AllServed", { 10, 10 }, {}, 100, 100, false },
                        ServedCase { "HalfRefused", { 10, 10 }, { 10 }, 60, 50, true },
                        ServedCase { "JustAtTheFloor", { 10, 10 }, { 10 }, 50, 50, false },
                        ServedCase { "NoFloor", { 10 }, { 10 }, 0, 0, false },
                        ServedCase { "WideJobsCountByTheirWork", { 90, 10 }, { 90 }, 50, 10, true },
                        ServedCase { "ManySmallRefusals", { 90, 5, 5 }, { 5, 5 }, 80, 90, false },
                        // Jobs requested before their queue was declared again
                        ServedCase { "MoreRefusedThanAsked", { 10 }, { 10, 10 }, 50, 0, true },
                        ServedCase { "OnlyRefused", {}, { 10 }, 50, 100, false },
                        ServedCase { "WorkOfNothing", { 0 }, { 0 }, 50, 100, false },
                        ServedCase { "WorkBelowNothing", { 10, -10 }, { -10 }, 50, 100, false }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Time

struct FadingCase
{
    const char *name;

    // From a refused job to a served one of the same size, and from there to the check
    Milliseconds between;
    Milliseconds after;
    bool below;
};

std::ostream &operator<<(std::ostream &out, const FadingCase &tested)
{
    return out << tested.name;
}

class Fading : public testing::TestWithParam<FadingCase>
{ };

TEST_P(Fading, ForgetsWhatIsOld)
{
    ShareState shares = withFloor(60);
    recordRequested(shares, "queue", 100, Begin);
    recordRefused(shares, "queue", 100, Begin);
    const Time second = Begin + GetParam().between;
    if (GetParam().between.count() > 0)
        recordRequested(shares, "queue", 100, second);
    EXPECT_EQ(isBelowGuarantee(shares, "queue", second + GetParam().after), GetParam().below);
}

INSTANTIATE_TEST_SUITE_P(
        Shares, Fading,
        testing::Values(FadingCase { "AtOnce", Milliseconds(0), Milliseconds(0), true },
                        FadingCase { "WithinTheSpan", Milliseconds(0), Milliseconds(1900), true },
                        FadingCase { "QuietForLong", Milliseconds(0), Milliseconds(6100), false },
                        FadingCase { "ServedAtOnce", Milliseconds(1), Milliseconds(0), true },
                        FadingCase { "ServedLater", Milliseconds(1500), Milliseconds(0), false }),
        [](const auto &tested) { return tested.param.name; });

// Timestamps from two clocks may arrive out of order; the sums' time must not go backwards.
TEST(Shares, StandAnEarlierTime)
{
    ShareState shares = withFloor(60);
    recordRequested(shares, "queue", 100, Begin + Seconds(1));
    recordRefused(shares, "queue", 100, Begin);
    EXPECT_EQ(servedPercent(shares, "queue", Begin), 0U);
    EXPECT_EQ(shares.queues.at("queue").at, Begin + Seconds(1));
}

// [SECTION] Queues

TEST(Shares, ForgetQueuesThatAreGone)
{
    ShareState shares = withFloor(60);
    for (const char *queue : { "kept", "gone" }) {
        recordRequested(shares, queue, 100, Begin);
        recordRefused(shares, queue, 100, Begin);
    }
    keepQueues(shares, { "kept", "new" });
    EXPECT_EQ(servedPercent(shares, "kept", Begin), 0U);
    EXPECT_EQ(servedPercent(shares, "gone", Begin), 100U);
    EXPECT_EQ(shares.queues.size(), 1U);
}

TEST(Shares, CountJobsThatNeverFade)
{
    ShareState shares = withFloor(60);
    recordRequested(shares, "queue", 100, Begin);
    recordRequested(shares, "queue", 100, Begin + Seconds(60));
    recordRefused(shares, "queue", 100, Begin + Seconds(120));
    EXPECT_EQ(shares.queues.at("queue").requestedJobs, 2U);
    EXPECT_EQ(shares.queues.at("queue").refusedJobs, 1U);
}

} // namespace
} // namespace foxwing::shares
