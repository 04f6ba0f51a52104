/*
    What is expected of work, after what callers guessed and jobs showed.

    [SECTION] Tables
    [SECTION] Properties
*/
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include <foxwing/scheduler/runtimemodel.h>

namespace foxwing::scheduler {
namespace {

// [SECTION] Tables

struct ExpectationCase
{
    const char *name;

    // Jobs seen before, all alike
    int seen;
    Milliseconds guess;
    Milliseconds measured;

    Milliseconds asked;
    Milliseconds least;
    Milliseconds most;
};

class Expectations : public testing::TestWithParam<ExpectationCase>
{ };

TEST_P(Expectations, FollowWhatJobsShowed)
{
    RunTimes times;
    for (int i = 0; i < GetParam().seen; ++i)
        noteRunTime(times, GetParam().guess, GetParam().measured);
    const Milliseconds expected = expectedRunTime(times, GetParam().asked);
    EXPECT_GE(expected, GetParam().least);
    EXPECT_LE(expected, GetParam().most);
}

using Ms = Milliseconds;

INSTANTIATE_TEST_SUITE_P(RunTimes, Expectations,
                         testing::Values(ExpectationCase { "NothingSeen", 0, Ms(1), Ms(1), Ms(80),
                                                           Ms(80), Ms(80) },
                                         ExpectationCase { "OneJobMovesLittle", 1, Ms(100), Ms(200),
                                                           Ms(100), Ms(101), Ms(110) },
                                         ExpectationCase { "ManyJobsDecide", 500, Ms(100), Ms(200),
                                                           Ms(100), Ms(190), Ms(200) },
                                         ExpectationCase { "ShorterThanGuessed", 500, Ms(100),
                                                           Ms(50), Ms(100), Ms(50), Ms(55) },
                                         ExpectationCase { "WildJobsAreBounded", 500, Ms(10),
                                                           Ms(10000), Ms(10), Ms(45), Ms(50) },
                                         ExpectationCase { "NoGuessStaysNone", 500, Ms(100),
                                                           Ms(200), Ms(0), Ms(0), Ms(0) },
                                         ExpectationCase { "EmptySamplesArePassedOver", 500, Ms(0),
                                                           Ms(0), Ms(70), Ms(70), Ms(70) }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Properties

// Work around 100 ms, guesses that scatter around it: expectations are nearer than the guesses.
TEST(RunTimesProperty, ExpectationsAreNearerThanScatteredGuesses)
{
    std::mt19937 random(7);
    std::normal_distribution<double> scatter(0, 0.4);
    RunTimes times;
    double guessError = 0;
    double expectedError = 0;
    for (int i = 0; i < 2000; ++i) {
        const double work = 100 * std::exp(scatter(random));
        const Milliseconds guess(std::llround(work * std::exp(scatter(random))));
        const Milliseconds measured(std::llround(work));
        if (i >= 500) {
            const double expected = static_cast<double>(expectedRunTime(times, guess).count());
            guessError += std::pow(std::log(static_cast<double>(guess.count()) / work), 2);
            expectedError += std::pow(std::log(expected / work), 2);
        }
        noteRunTime(times, guess, measured);
    }
    EXPECT_LT(expectedError, 0.7 * guessError);
}

TEST(RunTimesProperty, RightGuessesAreLeftAlone)
{
    RunTimes times;
    for (int i = 0; i < 500; ++i) {
        const Milliseconds work(50 + i % 200);
        noteRunTime(times, work, work);
    }
    for (const Milliseconds guess : { Ms(50), Ms(120), Ms(250) })
        EXPECT_EQ(expectedRunTime(times, guess), guess);
}

TEST(RunTimesProperty, OldJobsFade)
{
    RunTimes times;
    for (int i = 0; i < 2000; ++i)
        noteRunTime(times, Ms(100), Ms(300));
    for (int i = 0; i < 2000; ++i)
        noteRunTime(times, Ms(100), Ms(100));
    EXPECT_LE(expectedRunTime(times, Ms(100)), Ms(105));
}

} // namespace
} // namespace foxwing::scheduler
