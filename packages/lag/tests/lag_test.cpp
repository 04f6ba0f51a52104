/*
    Which late turns make a process withdraw, for how long and how often.

    [SECTION] Process
    [SECTION] Loads
    [SECTION] Bounds
    [SECTION] Status
*/
#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

#include <foxwing/lag/lag.h>

namespace foxwing::lag {
namespace {

// [SECTION] Process

constexpr Milliseconds Interval { 20 };
constexpr Milliseconds Threshold { 25 };
constexpr Milliseconds NoDelay { 0 };
constexpr Milliseconds HighDelay { 70 };
const Time Start { Seconds(1000) };

// Which turns are late, by their due time since the start of the process.
struct Load
{
    Milliseconds delay { 0 };
    Milliseconds from { 0 };
    Milliseconds until { Seconds(3600) };

    // If set, only turns in the first part of each period are late.
    Milliseconds period { 0 };
    Milliseconds part { 0 };

    // Every n-th turn is late.
    int everyNth = 1;
};

Milliseconds delayOf(const Load &load, Milliseconds age, int turn)
{
    const bool inRange = age >= load.from && age < load.until;
    const bool inPart = load.period.count() == 0 || age % load.period < load.part;
    return inRange && inPart && turn % load.everyNth == 0 ? load.delay : Milliseconds(0);
}

struct Withdrawal
{
    Milliseconds from { 0 };
    Milliseconds until { 0 };
};

// A process with turns as late as the load specifies.
struct Process
{
    explicit Process(std::uint64_t seed = 1, Milliseconds above = Threshold)
    {
        LagSettings settings;
        settings.seed = seed;
        settings.withdrawAbove = above;
        lag = makeLag(settings);
        recordTurn(lag, now, now);
    }

    Milliseconds age() const { return std::chrono::duration_cast<Milliseconds>(now - Start); }

    void turn(const Load &load)
    {
        const Time dueAt = now + Interval;
        now = dueAt + delayOf(load, age() + Interval, ++turns);
        if (recordTurn(lag, dueAt, now) && isWithdrawn(lag))
            periods.push_back({ age(), age() });
        if (isWithdrawn(lag))
            periods.back().until = age();
        wasLagging = wasLagging || isLagging(lag);
    }

    void run(const Load &load, Milliseconds until)
    {
        while (age() < until)
            turn(load);
    }

    // Largest withdrawn part of any period of this length, in thousandths
    std::int64_t maxWithdrawnPart(Milliseconds length) const
    {
        Milliseconds maximum { 0 };
        for (const Withdrawal &first : periods) {
            Milliseconds total { 0 };
            for (const Withdrawal &other : periods) {
                const Milliseconds until = std::min(other.until, first.from + length);
                if (other.from >= first.from && until > other.from)
                    total += until - other.from;
            }
            maximum = std::max(maximum, total);
        }
        return maximum * 1000 / length;
    }

    Time now = Start;
    int turns = 0;
    LagState lag;
    std::vector<Withdrawal> periods;
    bool wasLagging = false;
};

Load alwaysLate(Milliseconds delay)
{
    Load load;
    load.delay = delay;
    return load;
}

Load lateBetween(Milliseconds from, Milliseconds until, Milliseconds delay)
{
    Load load = alwaysLate(delay);
    load.from = from;
    load.until = until;
    return load;
}

// Late in the first part of each period.
Load partlyLate(Milliseconds period, Milliseconds part, Milliseconds delay)
{
    Load load = alwaysLate(delay);
    load.period = period;
    load.part = part;
    return load;
}

// One long turn in each period.
Load longTurns(Milliseconds period, Milliseconds delay)
{
    return partlyLate(period, Interval, delay);
}

Load oneLateOf(int turns, Milliseconds delay)
{
    Load load = alwaysLate(delay);
    load.everyNth = turns;
    return load;
}

// [SECTION] Loads

struct LoadCase
{
    const char *name;
    Load load;
    Milliseconds duration;
    std::uint64_t minWithdrawals;
    std::uint64_t maxWithdrawals;

    // Whether it lags at any time, withdrawn or not
    bool lagging;
};

class Loads : public testing::TestWithParam<LoadCase>
{ };

TEST_P(Loads, CauseExpectedWithdrawals)
{
    Process process;
    process.run(GetParam().load, GetParam().duration);
    EXPECT_GE(process.lag.withdrawals, GetParam().minWithdrawals);
    EXPECT_LE(process.lag.withdrawals, GetParam().maxWithdrawals);
    EXPECT_EQ(process.lag.withdrawals, process.periods.size());
    EXPECT_EQ(process.wasLagging, GetParam().lagging);
}

INSTANTIATE_TEST_SUITE_P(
        Lag, Loads,
        testing::Values(
                LoadCase { "Idle", alwaysLate(NoDelay), Seconds(60), 0, 0, false },
                LoadCase { "Busy", alwaysLate(Milliseconds(3)), Seconds(60), 0, 0, false },
                LoadCase { "BusyInPeriods",
                           partlyLate(Milliseconds(400), Milliseconds(100), Milliseconds(30)),
                           Seconds(60), 0, 0, false },
                LoadCase { "OneLongTurn",
                           lateBetween(Milliseconds(10000), Milliseconds(10020), Milliseconds(390)),
                           Seconds(60), 0, 0, false },
                LoadCase { "LongTurnEachSecond", longTurns(Milliseconds(1000), Milliseconds(390)),
                           Seconds(60), 0, 0, false },
                LoadCase { "EveryThirdTurnLate", oneLateOf(3, HighDelay), Seconds(60), 0, 0,
                           false },
                LoadCase { "EveryOtherTurnLate", oneLateOf(2, HighDelay), Seconds(60), 1, 1, true },
                LoadCase { "SuspendedForOneMinute",
                           lateBetween(Milliseconds(10000), Milliseconds(10020), Seconds(60)),
                           Seconds(100), 0, 0, false },
                LoadCase { "LateDuringStartup", lateBetween(NoDelay, Milliseconds(2900), HighDelay),
                           Seconds(60), 0, 0, true },
                LoadCase { "LateBriefly",
                           lateBetween(Milliseconds(10000), Milliseconds(10150), HighDelay),
                           Seconds(60), 0, 0, false },
                LoadCase { "LateForSeconds",
                           lateBetween(Milliseconds(10000), Milliseconds(16000), HighDelay),
                           Seconds(60), 1, 1, true },
                LoadCase { "Flapping", partlyLate(Milliseconds(1000), Milliseconds(500), HighDelay),
                           Seconds(60), 1, 2, true },
                LoadCase { "AlwaysLate", alwaysLate(HighDelay), Seconds(60), 1, 1, true }),
        [](const auto &tested) { return tested.param.name; });

TEST(LagLoad, OfOneSlowHostCausesABoundedWithdrawal)
{
    Process process;
    process.run(lateBetween(Milliseconds(10000), Milliseconds(16000), HighDelay), Seconds(60));
    ASSERT_EQ(process.periods.size(), 1U);
    EXPECT_GE(process.periods[0].from, Milliseconds(10000));
    EXPECT_LE(process.periods[0].from, Milliseconds(10500));
    const Milliseconds duration = process.periods[0].until - process.periods[0].from;
    EXPECT_GE(duration, process.lag.settings.minWithdrawal - HighDelay - Interval);
    EXPECT_LE(duration, process.lag.settings.maxWithdrawal + HighDelay + Interval);
    EXPECT_FALSE(process.lag.lagging);
    EXPECT_LT(process.lag.averageDelay, Milliseconds(1));
}

TEST(LagLoad, IsOnlyMeasuredWithoutAThreshold)
{
    Process process(1, Milliseconds(0));
    process.run(alwaysLate(HighDelay), Seconds(60));
    EXPECT_GT(process.lag.averageDelay, Milliseconds(60));
    EXPECT_EQ(process.lag.withdrawals, 0U);
    EXPECT_FALSE(process.wasLagging);
}

// [SECTION] Bounds

struct BoundCase
{
    const char *name;
    Load load;
};

class Bounds : public testing::TestWithParam<BoundCase>
{ };

// Under any load, a process is withdrawn for at most 1/8 of any period of 34 s or longer.
TEST_P(Bounds, LimitTheTimeWithdrawn)
{
    constexpr std::int64_t Eighth = 125;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Process process(seed);
        process.run(GetParam().load, Seconds(600));
        EXPECT_GE(process.lag.withdrawals, 1U);
        for (const Milliseconds length : { Seconds(34), Seconds(60), Seconds(100), Seconds(300) })
            EXPECT_LE(process.maxWithdrawnPart(length), Eighth) << length.count();
    }
}

INSTANTIATE_TEST_SUITE_P(Lag, Bounds,
                         testing::Values(BoundCase { "AlwaysLate", alwaysLate(HighDelay) },
                                         BoundCase { "VeryLate", alwaysLate(Milliseconds(390)) },
                                         BoundCase { "Flapping",
                                                     partlyLate(Milliseconds(1000),
                                                                Milliseconds(500), HighDelay) },
                                         BoundCase { "LateInPeriods",
                                                     partlyLate(Milliseconds(9000),
                                                                Milliseconds(3000), HighDelay) }),
                         [](const auto &tested) { return tested.param.name; });

// Processes that lag at the same time must not nearly all withdraw.
TEST(LagBounds, HoldWhenManyProcessesLag)
{
    constexpr std::size_t Processes = 200;
    std::vector<Process> all;
    for (std::size_t i = 0; i < Processes; ++i)
        all.emplace_back(i + 1);
    const Load load = lateBetween(Milliseconds(10000), Milliseconds(40000), HighDelay);
    std::size_t maximum = 0;
    for (Milliseconds age { 9000 }; age < Milliseconds(45000); age += Milliseconds(500)) {
        for (Process &process : all)
            process.run(load, age);
        const auto withdrawn = static_cast<std::size_t>(
                std::count_if(all.begin(), all.end(),
                              [](const Process &process) { return isWithdrawn(process.lag); }));
        maximum = std::max(maximum, withdrawn);
    }
    EXPECT_GE(maximum, Processes / 2);
    EXPECT_LE(maximum, Processes * 85 / 100);
}

struct InServiceCase
{
    const char *name;

    // Delay of the turn that ends the withdrawal
    Milliseconds delay;

    // Minimum time in service afterwards
    Milliseconds minInService;
};

class TimeInService : public testing::TestWithParam<InServiceCase>
{ };

// Time in which the host is suspended must not count as time withdrawn.
TEST_P(TimeInService, FollowsAWithdrawal)
{
    Process process;
    while (!isWithdrawn(process.lag))
        process.turn(alwaysLate(HighDelay));
    process.run(alwaysLate(HighDelay), process.age() + Seconds(3));
    process.turn(alwaysLate(GetParam().delay));
    process.run(alwaysLate(HighDelay), process.age() + Seconds(2));
    ASSERT_FALSE(isWithdrawn(process.lag));
    const Milliseconds ended = process.periods[0].until;
    while (process.periods.size() == 1 && process.age() < Seconds(10000))
        process.turn(alwaysLate(HighDelay));
    ASSERT_EQ(process.periods.size(), 2U);
    const Milliseconds inService = process.periods[1].from - ended - GetParam().delay;
    EXPECT_GE(inService, GetParam().minInService);
    EXPECT_LE(inService, GetParam().minInService + Seconds(9));
}

INSTANTIATE_TEST_SUITE_P(Lag, TimeInService,
                         testing::Values(InServiceCase { "SlowHost", HighDelay, Seconds(57) },
                                         InServiceCase { "SuspendedHost", Seconds(300),
                                                         Seconds(57) }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Status

// Between the two bounds the state doesn't change, so it does not flap.
TEST(LagStatus, HasHysteresis)
{
    constexpr Milliseconds Between { 15 };
    Process process;
    process.run(alwaysLate(Between), Seconds(6));
    EXPECT_FALSE(isLagging(process.lag));
    process.run(alwaysLate(HighDelay), Seconds(9));
    process.run(alwaysLate(Between), Seconds(15));
    EXPECT_TRUE(isLagging(process.lag));
    process.run(alwaysLate(NoDelay), Seconds(18));
    EXPECT_FALSE(isLagging(process.lag));
}

// A series of freezes must not count as lag for long after their backlog is done.
TEST(LagStatus, ClearsSoonAfterFreezes)
{
    Process process;
    process.run(alwaysLate(Seconds(30)), Seconds(100));
    EXPECT_LE(process.lag.averageDelay, process.lag.settings.maxDelay);
    process.run(alwaysLate(NoDelay), process.age() + Seconds(4));
    EXPECT_FALSE(isLagging(process.lag));
}

// Lag is reported even while the process may not withdraw.
TEST(LagStatus, IsReportedWhileItMayNotWithdraw)
{
    Process process;
    process.run(alwaysLate(HighDelay), Seconds(20));
    EXPECT_FALSE(isWithdrawn(process.lag));
    EXPECT_TRUE(isLagging(process.lag));
}

TEST(LagStatus, ClosesConnectionsOnceTheBalancerHasNoticed)
{
    Process process;
    Milliseconds first { 0 };
    while (process.age() < Seconds(30)) {
        process.turn(alwaysLate(HighDelay));
        if (closesConnections(process.lag) && first.count() == 0)
            first = process.age();
        EXPECT_LE(closesConnections(process.lag), isWithdrawn(process.lag));
    }
    ASSERT_EQ(process.periods.size(), 1U);
    const Milliseconds noticed = process.periods[0].from + process.lag.settings.closeAfter;
    EXPECT_GE(first, noticed);
    EXPECT_LE(first, noticed + HighDelay + Interval);
}

} // namespace
} // namespace foxwing::lag
