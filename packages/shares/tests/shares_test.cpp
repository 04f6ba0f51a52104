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

ShareState withGuarantee(std::uint32_t percent)
{
    ShareState shares;
    shares.settings.guaranteedPercent = percent;
    return shares;
}

// [SECTION] Served

struct ServedCase
{
    const char *name;
    std::vector<std::int64_t> requested;
    std::vector<std::int64_t> refused;
    std::uint32_t guaranteed;
    std::uint32_t served;
    bool below;
};

std::ostream &operator<<(std::ostream &out, const ServedCase &tested)
{
    return out << tested.name;
}

class Served : public testing::TestWithParam<ServedCase>
{ };

TEST_P(Served, IsWeightedByWork)
{
    ShareState shares = withGuarantee(GetParam().guaranteed);
    for (const std::int64_t work : GetParam().requested)
        recordRequested(shares, "queue", work, Begin);
    for (const std::int64_t work : GetParam().refused)
        recordRefused(shares, "queue", work, Begin);
    EXPECT_EQ(servedPercent(shares, "queue", Begin), GetParam().served);
    EXPECT_EQ(isBelowGuarantee(shares, "queue", Begin), GetParam().below);
    EXPECT_EQ(servedPercent(shares, "other", Begin), 100U);
}

INSTANTIATE_TEST_SUITE_P(
        Shares, Served,
        testing::Values(ServedCase { "NoRequests", {}, {}, 100, 100, false },
                        ServedCase { "AllServed", { 10, 10 }, {}, 100, 100, false },
                        ServedCase { "HalfRefused", { 10, 10 }, { 10 }, 60, 50, true },
                        ServedCase { "JustAtTheGuarantee", { 10, 10 }, { 10 }, 50, 50, false },
                        ServedCase { "NoGuarantee", { 10 }, { 10 }, 0, 0, false },
                        ServedCase { "LargeJobsCountMore", { 90, 10 }, { 90 }, 50, 10, true },
                        ServedCase { "ManySmallRefusals", { 90, 5, 5 }, { 5, 5 }, 80, 90, false },
                        // Jobs requested before their queue was declared again
                        ServedCase { "MoreRefusedThanRequested", { 10 }, { 10, 10 }, 50, 0, true },
                        ServedCase { "OnlyRefused", {}, { 10 }, 50, 100, false },
                        ServedCase { "ZeroWork", { 0 }, { 0 }, 50, 100, false },
                        ServedCase { "NegativeWork", { 10, -10 }, { -10 }, 50, 100, false }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Time

struct DecayCase
{
    const char *name;

    // From a refused job to a served one of the same size, and from there to the check
    Milliseconds untilServed;
    Milliseconds untilCheck;
    bool below;
};

std::ostream &operator<<(std::ostream &out, const DecayCase &tested)
{
    return out << tested.name;
}

class Decay : public testing::TestWithParam<DecayCase>
{ };

TEST_P(Decay, ForgetsOldWork)
{
    ShareState shares = withGuarantee(60);
    recordRequested(shares, "queue", 100, Begin);
    recordRefused(shares, "queue", 100, Begin);
    const Time second = Begin + GetParam().untilServed;
    if (GetParam().untilServed.count() > 0)
        recordRequested(shares, "queue", 100, second);
    EXPECT_EQ(isBelowGuarantee(shares, "queue", second + GetParam().untilCheck), GetParam().below);
}

INSTANTIATE_TEST_SUITE_P(
        Shares, Decay,
        testing::Values(DecayCase { "Immediately", Milliseconds(0), Milliseconds(0), true },
                        DecayCase { "WithinTheWindow", Milliseconds(0), Milliseconds(1900), true },
                        DecayCase { "IdleForLong", Milliseconds(0), Milliseconds(6100), false },
                        DecayCase { "ServedAtOnce", Milliseconds(1), Milliseconds(0), true },
                        DecayCase { "ServedLater", Milliseconds(1500), Milliseconds(0), false }),
        [](const auto &tested) { return tested.param.name; });

// Timestamps from two clocks may arrive out of order; the sums' time must not go backwards.
TEST(Shares, AcceptEarlierTimestamps)
{
    ShareState shares = withGuarantee(60);
    recordRequested(shares, "queue", 100, Begin + Seconds(1));
    recordRefused(shares, "queue", 100, Begin);
    EXPECT_EQ(servedPercent(shares, "queue", Begin), 0U);
    EXPECT_EQ(shares.queues.at("queue").updatedAt, Begin + Seconds(1));
}

// [SECTION] Queues

TEST(Shares, RemoveUndeclaredQueues)
{
    ShareState shares = withGuarantee(60);
    for (const char *queue : { "kept", "gone" }) {
        recordRequested(shares, queue, 100, Begin);
        recordRefused(shares, queue, 100, Begin);
    }
    retainQueues(shares, { "kept", "new" });
    EXPECT_EQ(servedPercent(shares, "kept", Begin), 0U);
    EXPECT_EQ(servedPercent(shares, "gone", Begin), 100U);
    EXPECT_EQ(shares.queues.size(), 1U);
}

TEST(Shares, CountJobsWithoutDecay)
{
    ShareState shares = withGuarantee(60);
    recordRequested(shares, "queue", 100, Begin);
    recordRequested(shares, "queue", 100, Begin + Seconds(60));
    recordRefused(shares, "queue", 100, Begin + Seconds(120));
    EXPECT_EQ(shares.queues.at("queue").requestedJobs, 2U);
    EXPECT_EQ(shares.queues.at("queue").refusedJobs, 1U);
}

} // namespace
} // namespace foxwing::shares
