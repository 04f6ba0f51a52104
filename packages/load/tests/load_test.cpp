/*
    Plans are reproducible and have the configured rates and times; summaries count correctly.

    [SECTION] Plans
    [SECTION] Summaries
*/
#include <foxwing/load/plan.h>
#include <foxwing/load/report.h>

#include <gtest/gtest.h>

namespace foxwing::load {
namespace {

// [SECTION] Plans

Experiment makeExperiment(Distribution distribution)
{
    Experiment experiment;
    experiment.duration = Milliseconds(100000);
    Mix mix;
    mix.rate = 50;
    mix.minTasks = 1;
    mix.maxTasks = 8;
    mix.mean = Milliseconds(100);
    mix.distribution = distribution;
    experiment.mixes.push_back(mix);
    return experiment;
}

class PlanByDistribution : public testing::TestWithParam<Distribution>
{ };

TEST_P(PlanByDistribution, HasTheConfiguredRateAndMean)
{
    Error reason;
    const Experiment experiment = makeExperiment(GetParam());
    const auto plan = makePlan(experiment, &reason);
    ASSERT_TRUE(plan);
    EXPECT_NEAR(static_cast<double>(plan->size()), 5000, 300);
    double sum = 0;
    double count = 0;
    for (const PlannedJob &job : *plan) {
        for (const Milliseconds &task : job.tasks) {
            sum += static_cast<double>(task.count());
            ++count;
        }
    }
    EXPECT_NEAR(sum / count, 100, 5);
    EXPECT_NEAR(count / static_cast<double>(plan->size()), 4.5, 0.2);
    const auto repeated = makePlan(experiment, &reason);
    EXPECT_EQ(repeated->back().at, plan->back().at);
    EXPECT_EQ(repeated->back().tasks, plan->back().tasks);
}

INSTANTIATE_TEST_SUITE_P(Distributions, PlanByDistribution,
                         testing::Values(Distribution::Fixed, Distribution::Uniform,
                                         Distribution::LogNormal, Distribution::Bimodal));

TEST(Plan, BurstsMultiplyTheRate)
{
    Error reason;
    Experiment experiment = makeExperiment(Distribution::Fixed);
    experiment.burstEvery = Milliseconds(10000);
    experiment.burstLength = Milliseconds(1000);
    experiment.burstFactor = 5;
    const auto plan = makePlan(experiment, &reason);
    std::size_t inBurst = 0;
    for (const PlannedJob &job : *plan)
        inBurst += job.at % experiment.burstEvery < experiment.burstLength ? 1 : 0;
    EXPECT_NEAR(static_cast<double>(inBurst), 2500, 250);
}

// [SECTION] Summaries

TEST(Summary, CountsOutcomesAndSlowdowns)
{
    std::vector<Sample> samples;
    for (int i = 1; i <= 100; ++i)
        samples.push_back(
                { "align", Outcome::Complete, Milliseconds(100 + i), Milliseconds(100), 2, {} });
    samples.push_back({ "align", Outcome::NotRun, Milliseconds(1), Milliseconds(100), 2, {} });
    samples.push_back({ "pass", Outcome::Failed, Milliseconds(1), Milliseconds(100), 1, {} });
    const Summary summary = summarize(samples);
    EXPECT_EQ(summary.all.complete, 100U);
    EXPECT_EQ(summary.classes.at("align").notRun, 1U);
    EXPECT_EQ(summary.classes.at("pass").failed, 1U);
    EXPECT_NEAR(summary.all.slowdown.p50, 1.5, 0.02);
    EXPECT_NEAR(summary.all.slowdown.p99, 1.99, 0.02);
    EXPECT_NE(writePlot(summary).find("align"), std::string::npos);
}

TEST(Summary, ReadsCountersOfAllSeries)
{
    const auto sums = parseMetrics("# HELP x y\nx{team=\"a\"} 3\nx{team=\"b c\"} 4\nz 1.5\n");
    EXPECT_EQ(sums.at("x"), 7);
    EXPECT_EQ(sums.at("z"), 1.5);
}

} // namespace
} // namespace foxwing::load
