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
    std::size_t lagging;
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
    PollResult poll;
    for (std::uint32_t i = 0; i < 3; ++i) {
        jobs::StartTasks message;
        message.job = "job-" + std::to_string(i);
        message.room = { 1000, 10, 0 };
        message.estimate = Milliseconds(100);
        message.starts = { { 0, 1 } };
        startTasks(bench.runner, Entry, message, bench.now);
        const RunId id { { message.job, 0, 0, 0 }, 1 };
        handleStartResult(bench.runner, id, { CommandStatus::Ok, bench.clock() }, bench.now);
        poll.running.push_back({ id, percents[i] });
    }
    bench.pass(Milliseconds(100));
    const RunnerActions actions = bench.answerLook(poll);
    std::vector<jobs::LagReport> lagging;
    for (const auto &[session, update] : actions.updates)
        lagging.insert(lagging.end(), update.lagging.begin(), update.lagging.end());
    ASSERT_EQ(lagging.size(), GetParam().lagging);
    for (const jobs::LagReport &report : lagging)
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
    const auto runOne = [&](RunEnd end) {
        ++index;
        if (bench.start(index).starts.empty())
            return false;
        handleStartResult(bench.runner, runId(index), { CommandStatus::Ok, bench.clock() },
                          bench.now);
        PollResult poll;
        poll.ended = { { index, runId(index), end } };
        bench.answerLook(poll);
        return true;
    };
    while (runOne(RunEnd::Failed) && index < 20) { }
    EXPECT_LT(index, 6U);
    EXPECT_EQ(makeEndpointView(bench.runner, bench.now).mostStarts, 0U);
    bench.pass(bench.runner.settings.trialRest);
    EXPECT_EQ(makeEndpointView(bench.runner, bench.now).mostStarts, 1U);
    EXPECT_TRUE(runOne(RunEnd::Done));
    EXPECT_GT(makeEndpointView(bench.runner, bench.now).mostStarts, 1U);
}

} // namespace
} // namespace foxwing::runner
