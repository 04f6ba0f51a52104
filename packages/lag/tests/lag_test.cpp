/*
    Which late turns make a process withdraw, for how long and how often.

    [SECTION] Process
    [SECTION] Loads
    [SECTION] Bounds
    [SECTION] Calls
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
constexpr Milliseconds Rest { 0 };
constexpr Milliseconds Slow { 70 };
const Time Start { Seconds(1000) };

// Which turns are late, by their due time since the start of the process.
struct Load
{
    Milliseconds late { 0 };
    Milliseconds from { 0 };
    Milliseconds until { Seconds(3600) };

    // If set, only turns in the first part of each period are late.
    Milliseconds period { 0 };
    Milliseconds part { 0 };

    // Every n-th turn is late.
    int oneOf = 1;
};

Milliseconds lateness(const Load &load, Milliseconds age, int turn)
{
    const bool inSpan = age >= load.from && age < load.until;
    const bool inPart = load.period.count() == 0 || age % load.period < load.part;
    return inSpan && inPart && turn % load.oneOf == 0 ? load.late : Milliseconds(0);
}

struct Pause
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
        now = dueAt + lateness(load, age() + Interval, ++turns);
        if (recordTurn(lag, dueAt, now) && isWithdrawn(lag))
            pauses.push_back({ age(), age() });
        if (isWithdrawn(lag))
            pauses.back().until = age();
        wasBehind = wasBehind || isLagging(lag);
    }

    void live(const Load &load, Milliseconds until)
    {
        while (age() < until)
            turn(load);
    }

    // Largest withdrawn part of any period of this length, in thousandths
    std::int64_t mostPartBack(Milliseconds stretch) const
    {
        Milliseconds most { 0 };
        for (const Pause &first : pauses) {
            Milliseconds back { 0 };
            for (const Pause &pause : pauses) {
                const Milliseconds until = std::min(pause.until, first.from + stretch);
                if (pause.from >= first.from && until > pause.from)
                    back += until - pause.from;
            }
            most = std::max(most, back);
        }
        return most * 1000 / stretch;
    }

    Time now = Start;
    int turns = 0;
    LagState lag;
    std::vector<Pause> pauses;
    bool wasBehind = false;
};

Load always(Milliseconds late)
{
    Load load;
    load.late = late;
    return load;
}

Load between(Milliseconds from, Milliseconds until, Milliseconds late)
{
    Load load = always(late);
    load.from = from;
    load.until = until;
    return load;
}

// Late in the first part of each period.
Load flapping(Milliseconds period, Milliseconds part, Milliseconds late)
{
    Load load = always(late);
    load.period = period;
    load.part = part;
    return load;
}

// One long turn in each period.
Load longTurns(Milliseconds period, Milliseconds late)
{
    return flapping(period, Interval, late);
}

Load eachOf(int turns, Milliseconds late)
{
    Load load = always(late);
    load.oneOf = turns;
    return load;
}

// [SECTION] Loads

struct LoadCase
{
    const char *name;
    Load load;
    Milliseconds span;
    std::uint64_t leastPauses;
    std::uint64_t mostPauses;

    // Whether it lags at any time, withdrawn or not
    bool lagging;
};

class Loads : public testing::TestWithParam<LoadCase>
{ };

TEST_P(Loads, MakeItStandBackOrNot)
{
    Process process;
    process.live(GetParam().load, GetParam().span);
    EXPECT_GE(process.lag.withdrawals, GetParam().leastPauses);
    EXPECT_LE(process.lag.withdrawals, GetParam().mostPauses);
    EXPECT_EQ(process.lag.withdrawals, process.pauses.size());
    EXPECT_EQ(process.wasBehind, GetParam().lagging);
}

INSTANTIATE_TEST_SUITE_P(
        Lag, Loads,
        testing::Values(
                LoadCase { "AtRest", always(Rest), Seconds(60), 0, 0, false },
                LoadCase { "Busy", always(Milliseconds(3)), Seconds(60), 0, 0, false },
                LoadCase { "BusyInWaves",
                           flapping(Milliseconds(400), Milliseconds(100), Milliseconds(30)),
                           Seconds(60), 0, 0, false },
                LoadCase { "OneLongTurn",
                           between(Milliseconds(10000), Milliseconds(10020), Milliseconds(390)),
                           Seconds(60), 0, 0, false },
                LoadCase { "ALongTurnEachSecond", longTurns(Milliseconds(1000), Milliseconds(390)),
                           Seconds(60), 0, 0, false },
                LoadCase { "EveryThirdTurnLate", eachOf(3, Slow), Seconds(60), 0, 0, false },
                LoadCase { "EveryOtherTurnLate", eachOf(2, Slow), Seconds(60), 1, 1, true },
                LoadCase { "SuspendedForAMinute",
                           between(Milliseconds(10000), Milliseconds(10020), Seconds(60)),
                           Seconds(100), 0, 0, false },
                LoadCase { "LateOnlyAfterItsStart", between(Rest, Milliseconds(2900), Slow),
                           Seconds(60), 0, 0, true },
                LoadCase { "SlowForAMoment",
                           between(Milliseconds(10000), Milliseconds(10150), Slow), Seconds(60), 0,
                           0, false },
                LoadCase { "SlowForSeconds",
                           between(Milliseconds(10000), Milliseconds(16000), Slow), Seconds(60), 1,
                           1, true },
                LoadCase { "Flapping", flapping(Milliseconds(1000), Milliseconds(500), Slow),
                           Seconds(60), 1, 2, true },
                LoadCase { "AlwaysWeak", always(Slow), Seconds(60), 1, 1, true }),
        [](const auto &tested) { return tested.param.name; });

TEST(LagLoad, OfOneSlowHostEndsWithinItsBounds)
{
    Process process;
    process.live(between(Milliseconds(10000), Milliseconds(16000), Slow), Seconds(60));
    ASSERT_EQ(process.pauses.size(), 1U);
    EXPECT_GE(process.pauses[0].from, Milliseconds(10000));
    EXPECT_LE(process.pauses[0].from, Milliseconds(10500));
    const Milliseconds took = process.pauses[0].until - process.pauses[0].from;
    EXPECT_GE(took, process.lag.settings.leastPause - Slow - Interval);
    EXPECT_LE(took, process.lag.settings.mostPause + Slow + Interval);
    EXPECT_FALSE(process.lag.slow);
    EXPECT_LT(process.lag.averageDelay, Milliseconds(1));
}

TEST(LagLoad, IsMeasuredButNotActedOnWithoutABound)
{
    Process process(1, Milliseconds(0));
    process.live(always(Slow), Seconds(60));
    EXPECT_GT(process.lag.averageDelay, Milliseconds(60));
    EXPECT_EQ(process.lag.withdrawals, 0U);
    EXPECT_FALSE(process.wasBehind);
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
TEST_P(Bounds, KeepItReady)
{
    constexpr std::int64_t Eighth = 125;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Process process(seed);
        process.live(GetParam().load, Seconds(600));
        EXPECT_GE(process.lag.withdrawals, 1U);
        for (const Milliseconds stretch : { Seconds(34), Seconds(60), Seconds(100), Seconds(300) })
            EXPECT_LE(process.mostPartBack(stretch), Eighth) << stretch.count();
    }
}

INSTANTIATE_TEST_SUITE_P(
        Lag, Bounds,
        testing::Values(BoundCase { "AlwaysWeak", always(Slow) },
                        BoundCase { "HardlyRuns", always(Milliseconds(390)) },
                        BoundCase { "Flapping",
                                    flapping(Milliseconds(1000), Milliseconds(500), Slow) },
                        BoundCase { "SlowBySpells",
                                    flapping(Milliseconds(9000), Milliseconds(3000), Slow) }),
        [](const auto &tested) { return tested.param.name; });

// Processes that lag at the same time must not nearly all withdraw.
TEST(LagBounds, HoldOverProcessesThatAreSlowAtOnce)
{
    constexpr std::size_t Processes = 200;
    std::vector<Process> all;
    for (std::size_t i = 0; i < Processes; ++i)
        all.emplace_back(i + 1);
    const Load load = between(Milliseconds(10000), Milliseconds(40000), Slow);
    std::size_t most = 0;
    for (Milliseconds age { 9000 }; age < Milliseconds(45000); age += Milliseconds(500)) {
        for (Process &process : all)
            process.live(load, age);
        const auto back = static_cast<std::size_t>(
                std::count_if(all.begin(), all.end(),
                              [](const Process &process) { return isWithdrawn(process.lag); }));
        most = std::max(most, back);
    }
    EXPECT_GE(most, Processes / 2);
    EXPECT_LE(most, Processes * 85 / 100);
}

struct PauseCase
{
    const char *name;

    // Lateness of the turn that ends the withdrawal
    Milliseconds late;

    // Minimum time in service afterwards
    Milliseconds works;
};

class PausesOf : public testing::TestWithParam<PauseCase>
{ };

// Time in which the host is suspended must not count as time withdrawn.
TEST_P(PausesOf, AreFollowedByWork)
{
    Process process;
    while (!isWithdrawn(process.lag))
        process.turn(always(Slow));
    process.live(always(Slow), process.age() + Seconds(3));
    process.turn(always(GetParam().late));
    process.live(always(Slow), process.age() + Seconds(2));
    ASSERT_FALSE(isWithdrawn(process.lag));
    const Milliseconds ended = process.pauses[0].until;
    while (process.pauses.size() == 1 && process.age() < Seconds(10000))
        process.turn(always(Slow));
    ASSERT_EQ(process.pauses.size(), 2U);
    const Milliseconds worked = process.pauses[1].from - ended - GetParam().late;
    EXPECT_GE(worked, GetParam().works);
    EXPECT_LE(worked, GetParam().works + Seconds(9));
}

INSTANTIATE_TEST_SUITE_P(Lag, PausesOf,
                         testing::Values(PauseCase { "ASlowHost", Slow, Seconds(57) },
                                         PauseCase { "ASuspendedHost", Seconds(300), Seconds(57) }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Calls

// Between the two bounds the state doesn't change, so it does not flap.
TEST(LagCalls, AreJudgedWithTwoBounds)
{
    constexpr Milliseconds Between { 15 };
    Process process;
    process.live(always(Between), Seconds(6));
    EXPECT_FALSE(isLagging(process.lag));
    process.live(always(Slow), Seconds(9));
    process.live(always(Between), Seconds(15));
    EXPECT_TRUE(isLagging(process.lag));
    process.live(always(Rest), Seconds(18));
    EXPECT_FALSE(isLagging(process.lag));
}

// A series of freezes must not count as lag for long after their backlog is done.
TEST(LagCalls, AreJudgedAnewSoonAfterFreezes)
{
    Process process;
    process.live(always(Seconds(30)), Seconds(100));
    EXPECT_LE(process.lag.averageDelay, process.lag.settings.mostLate);
    process.live(always(Rest), process.age() + Seconds(4));
    EXPECT_FALSE(isLagging(process.lag));
}

// Lag is reported even while the process may not withdraw.
TEST(LagCalls, AreCountedWhileItMayNotStandBack)
{
    Process process;
    process.live(always(Slow), Seconds(20));
    EXPECT_FALSE(isWithdrawn(process.lag));
    EXPECT_TRUE(isLagging(process.lag));
}

TEST(LagCalls, AreSentAwayOnceTheBalancerHasNoticed)
{
    Process process;
    Milliseconds first { 0 };
    while (process.age() < Seconds(30)) {
        process.turn(always(Slow));
        if (closesConnections(process.lag) && first.count() == 0)
            first = process.age();
        EXPECT_LE(closesConnections(process.lag), isWithdrawn(process.lag));
    }
    ASSERT_EQ(process.pauses.size(), 1U);
    const Milliseconds noticed = process.pauses[0].from + process.lag.settings.noticedAfter;
    EXPECT_GE(first, noticed);
    EXPECT_LE(first, noticed + Slow + Interval);
}

} // namespace
} // namespace foxwing::lag
