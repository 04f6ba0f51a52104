/*
    Predicted run times, after the callers' estimates and past jobs.

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

struct PredictionCase
{
    const char *name;

    // Number of equal jobs seen before
    int seen;
    Milliseconds estimate;
    Milliseconds measured;

    Milliseconds queried;
    Milliseconds minExpected;
    Milliseconds maxExpected;
};

class Predictions : public testing::TestWithParam<PredictionCase>
{ };

TEST_P(Predictions, FollowPastJobs)
{
    RunTimeModel model;
    for (int i = 0; i < GetParam().seen; ++i)
        recordRunTime(model, GetParam().estimate, GetParam().measured);
    const Milliseconds expected = expectedRunTime(model, GetParam().queried);
    EXPECT_GE(expected, GetParam().minExpected);
    EXPECT_LE(expected, GetParam().maxExpected);
}

using Ms = Milliseconds;

INSTANTIATE_TEST_SUITE_P(RunTimeModel, Predictions,
                         testing::Values(PredictionCase { "NothingSeen", 0, Ms(1), Ms(1), Ms(80),
                                                          Ms(80), Ms(80) },
                                         PredictionCase { "OneJobChangesLittle", 1, Ms(100),
                                                          Ms(200), Ms(100), Ms(101), Ms(110) },
                                         PredictionCase { "ManyJobsDecide", 500, Ms(100), Ms(200),
                                                          Ms(100), Ms(190), Ms(200) },
                                         PredictionCase { "ShorterThanEstimated", 500, Ms(100),
                                                          Ms(50), Ms(100), Ms(50), Ms(55) },
                                         PredictionCase { "OutliersAreBounded", 500, Ms(10),
                                                          Ms(10000), Ms(10), Ms(45), Ms(50) },
                                         PredictionCase { "NoEstimateStaysNone", 500, Ms(100),
                                                          Ms(200), Ms(0), Ms(0), Ms(0) },
                                         PredictionCase { "EmptySamplesAreIgnored", 500, Ms(0),
                                                          Ms(0), Ms(70), Ms(70), Ms(70) }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Properties

// Work around 100 ms and estimates scattered around it: predictions must be nearer than estimates.
TEST(RunTimeModelProperty, PredictionsAreNearerThanScatteredEstimates)
{
    std::mt19937 random(7);
    std::normal_distribution<double> scatter(0, 0.4);
    RunTimeModel model;
    double estimateError = 0;
    double expectedError = 0;
    for (int i = 0; i < 2000; ++i) {
        const double work = 100 * std::exp(scatter(random));
        const Milliseconds estimate(std::llround(work * std::exp(scatter(random))));
        const Milliseconds measured(std::llround(work));
        if (i >= 500) {
            const double expected = static_cast<double>(expectedRunTime(model, estimate).count());
            estimateError += std::pow(std::log(static_cast<double>(estimate.count()) / work), 2);
            expectedError += std::pow(std::log(expected / work), 2);
        }
        recordRunTime(model, estimate, measured);
    }
    EXPECT_LT(expectedError, 0.7 * estimateError);
}

TEST(RunTimeModelProperty, CorrectEstimatesAreKept)
{
    RunTimeModel model;
    for (int i = 0; i < 500; ++i) {
        const Milliseconds work(50 + i % 200);
        recordRunTime(model, work, work);
    }
    for (const Milliseconds estimate : { Ms(50), Ms(120), Ms(250) })
        EXPECT_EQ(expectedRunTime(model, estimate), estimate);
}

TEST(RunTimeModelProperty, OldJobsDecay)
{
    RunTimeModel model;
    for (int i = 0; i < 2000; ++i)
        recordRunTime(model, Ms(100), Ms(300));
    for (int i = 0; i < 2000; ++i)
        recordRunTime(model, Ms(100), Ms(100));
    EXPECT_LE(expectedRunTime(model, Ms(100)), Ms(105));
}

} // namespace
} // namespace foxwing::scheduler
