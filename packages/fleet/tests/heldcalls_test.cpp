/*
    Which calls are held until the entry receives the catalog, and for how long.

    [SECTION] Calls
*/
#include <gtest/gtest.h>

#include "../src/heldcalls.h"

namespace foxwing::fleet {
namespace {

// [SECTION] Calls

fabric::ExchangePtr makeCall()
{
    return std::make_shared<fabric::Exchange>(fabric::Request(),
                                              std::weak_ptr<fabric::HttpConnection>());
}

struct HoldCase
{
    const char *name;

    // After the entry's start
    Milliseconds arrivesAfter;

    // After the arrival of the call
    Milliseconds catalogAfter;
    bool held;
    bool released;
};

class CallHolds : public testing::TestWithParam<HoldCase>
{ };

// After a power failure the catalog arrives shortly after the first calls.
TEST_P(CallHolds, AreBoundedAndOnlyAfterStartup)
{
    HeldCalls held;
    held.startedAt = Time(Seconds(100));
    const Time receivedAt = held.startedAt + GetParam().arrivesAfter;
    EXPECT_EQ(hold(held, makeCall(), receivedAt), GetParam().held);
    const std::vector<HeldCall> expired = takeExpired(held, receivedAt + GetParam().catalogAfter);
    const std::vector<HeldCall> rest = takeAll(held);
    EXPECT_EQ(rest.size(), GetParam().released ? 1U : 0U);
    EXPECT_EQ(expired.size() + rest.size(), GetParam().held ? 1U : 0U);
    for (const HeldCall &call : rest)
        EXPECT_EQ(call.receivedAt, receivedAt);
    EXPECT_TRUE(held.calls.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Fleet, CallHolds,
        testing::Values(HoldCase { "AtOnce", Milliseconds(0), Milliseconds(120), true, true },
                        HoldCase { "Later", Milliseconds(900), Milliseconds(249), true, true },
                        HoldCase { "Expired", Milliseconds(10), Milliseconds(250), true, false },
                        HoldCase { "AfterStartupGrace", Milliseconds(1000), Milliseconds(10), false,
                                   false }),
        [](const auto &given) { return given.param.name; });

TEST(HeldCallsLimit, RefusesCallsBeyondIt)
{
    HeldCalls held;
    held.startedAt = Time(Seconds(100));
    held.settings.maxCalls = 2;
    EXPECT_TRUE(hold(held, makeCall(), held.startedAt));
    EXPECT_TRUE(hold(held, makeCall(), held.startedAt));
    EXPECT_FALSE(hold(held, makeCall(), held.startedAt));
}

} // namespace
} // namespace foxwing::fleet
