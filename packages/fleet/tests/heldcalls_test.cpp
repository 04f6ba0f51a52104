/*
    Which calls are held until an entry knows its queues, and for how long.

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
    Milliseconds cameAfter;

    // After the call came
    Milliseconds knownAfter;
    bool held;
    bool released;
};

class Holds : public testing::TestWithParam<HoldCase>
{ };

// All processes come back after a loss of power; the queues are known a moment after the call.
TEST_P(Holds, AreShortAndOnlyAfterAStart)
{
    HeldCalls held;
    held.startedAt = Time(Seconds(100));
    const Time receivedAt = held.startedAt + GetParam().cameAfter;
    EXPECT_EQ(hold(held, makeCall(), receivedAt), GetParam().held);
    const std::vector<HeldCall> over = expired(held, receivedAt + GetParam().knownAfter);
    const std::vector<HeldCall> rest = release(held);
    EXPECT_EQ(rest.size(), GetParam().released ? 1U : 0U);
    EXPECT_EQ(over.size() + rest.size(), GetParam().held ? 1U : 0U);
    for (const HeldCall &call : rest)
        EXPECT_EQ(call.receivedAt, receivedAt);
    EXPECT_TRUE(held.calls.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Fleet, Holds,
        testing::Values(HoldCase { "AtOnce", Milliseconds(0), Milliseconds(120), true, true },
                        HoldCase { "Later", Milliseconds(900), Milliseconds(249), true, true },
                        HoldCase { "ForTooLong", Milliseconds(10), Milliseconds(250), true, false },
                        HoldCase { "ControlIsDownForLong", Milliseconds(1000), Milliseconds(10),
                                   false, false }),
        [](const auto &tested) { return tested.param.name; });

TEST(HeldCallsBound, RefusesWhatIsTooMany)
{
    HeldCalls held;
    held.startedAt = Time(Seconds(100));
    held.settings.mostCalls = 2;
    EXPECT_TRUE(hold(held, makeCall(), held.startedAt));
    EXPECT_TRUE(hold(held, makeCall(), held.startedAt));
    EXPECT_FALSE(hold(held, makeCall(), held.startedAt));
}

} // namespace
} // namespace foxwing::fleet
