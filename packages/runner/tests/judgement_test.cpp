/*
    When the endpoint is trusted, and which runs are behind.

    [SECTION] Judgement
*/
#include "bench.h"

namespace foxwing::runner {
namespace {

// [SECTION] Judgement

struct JudgementCase
{
    const char *name;
    std::uint32_t firstPercent;
    std::uint32_t secondPercent;
    std::uint32_t thirdPercent;
    std::size_t stragglers;
    bool slow;
};

class Judgement : public testing::TestWithParam<JudgementCase>
{ };

// Three runs with an estimate of 100 ms, seen 100 ms after they began, each of a job of its own.
TEST_P(Judgement, ComparesProgressWithEstimates)
{
    Bench bench;
    const std::uint32_t percents[] = { GetParam().firstPercent, GetParam().secondPercent,
                                       GetParam().thirdPercent };
    Look look;
    for (std::uint32_t i = 0; i < 3; ++i) {
        jobs::StartTasks message;
        message.job = "job-" + std::to_string(i);
        message.demand = { 1000, 10, 0 };
        message.estimate = Milliseconds(100);
        message.starts = { { 0, 1 } };
        startTasks(bench.runner, Entry, message, bench.now);
        const RunId id { { message.job, 0, 0, 0 }, 1 };
        startAnswered(bench.runner, id, { Answer::Ok, bench.clock() }, bench.now);
        look.running.push_back({ id, percents[i] });
    }
    bench.pass(Milliseconds(100));
    const RunnerActions actions = bench.answerLook(look);
    std::vector<jobs::StragglerReport> stragglers;
    for (const auto &[session, update] : actions.updates)
        stragglers.insert(stragglers.end(), update.stragglers.begin(), update.stragglers.end());
    ASSERT_EQ(stragglers.size(), GetParam().stragglers);
    for (const jobs::StragglerReport &report : stragglers)
        EXPECT_EQ(report.endpointSlow, GetParam().slow);
}

INSTANTIATE_TEST_SUITE_P(Runner, Judgement,
                         testing::Values(JudgementCase { "OnPace", 95, 80, 50, 0, false },
                                         JudgementCase { "OneEstimateWrong", 95, 80, 10, 1, false },
                                         JudgementCase { "EndpointSlow", 15, 15, 15, 3, true },
                                         JudgementCase { "StandsStill", 95, 0, 80, 1, false },
                                         JudgementCase { "AllStandStill", 0, 0, 0, 3, true }),
                         [](const auto &tested) { return tested.param.name; });

TEST(RunnerJudgement, AnEndpointThatFailsEverythingIsOnTrialAndComesBack)
{
    Bench bench;
    std::uint32_t index = 0;
    const auto runOne = [&](RunOutcome end) {
        ++index;
        if (bench.start(index).starts.empty())
            return false;
        startAnswered(bench.runner, runId(index), { Answer::Ok, bench.clock() }, bench.now);
        Look look;
        look.ended = { { index, runId(index), end } };
        bench.answerLook(look);
        return true;
    };
    while (runOne(RunOutcome::Failed) && index < 20) { }
    EXPECT_LT(index, 6U);
    EXPECT_EQ(viewOf(bench.runner, bench.now).maxStarts, 0U);
    bench.pass(bench.runner.settings.trialRest);
    EXPECT_EQ(viewOf(bench.runner, bench.now).maxStarts, 1U);
    EXPECT_TRUE(runOne(RunOutcome::Done));
    EXPECT_GT(viewOf(bench.runner, bench.now).maxStarts, 1U);
}

} // namespace
} // namespace foxwing::runner
