/*
    Stragglers, and probation of the endpoint.

    [SECTION] Health
*/
#include "fixture.h"

namespace foxwing::runner {
namespace {

// [SECTION] Health

struct HealthCase
{
    const char *name;
    std::uint32_t firstPercent;
    std::uint32_t secondPercent;
    std::uint32_t thirdPercent;
    std::size_t stragglers;
    bool slow;
};

class Health : public testing::TestWithParam<HealthCase>
{ };

// Three runs of different jobs with an estimate of 100 ms, polled 100 ms after their start.
TEST_P(Health, ComparesProgressWithEstimates)
{
    RunnerFixture fixture;
    const std::uint32_t percents[] = { GetParam().firstPercent, GetParam().secondPercent,
                                       GetParam().thirdPercent };
    PollResult poll;
    for (std::uint32_t i = 0; i < 3; ++i) {
        jobs::StartTasks message;
        message.job = "job-" + std::to_string(i);
        message.demand = { 1000, 10, 0 };
        message.estimate = Milliseconds(100);
        message.starts = { { 0, 1 } };
        startTasks(fixture.runner, EntrySession, message, fixture.now);
        const RunId id { { message.job, 0, 0, 0 }, 1 };
        handleStartResult(fixture.runner, id, { CommandStatus::Ok, fixture.clock() }, fixture.now);
        poll.running.push_back({ id, percents[i] });
    }
    fixture.advance(Milliseconds(100));
    const RunnerActions actions = fixture.completePoll(poll);
    std::vector<jobs::StragglerReport> stragglers;
    for (const auto &[session, update] : actions.updates)
        stragglers.insert(stragglers.end(), update.stragglers.begin(), update.stragglers.end());
    ASSERT_EQ(stragglers.size(), GetParam().stragglers);
    for (const jobs::StragglerReport &report : stragglers)
        EXPECT_EQ(report.endpointSlow, GetParam().slow);
}

INSTANTIATE_TEST_SUITE_P(Runner, Health,
                         testing::Values(HealthCase { "OnTime", 95, 80, 50, 0, false },
                                         HealthCase { "OneEstimateWrong", 95, 80, 10, 1, false },
                                         HealthCase { "EndpointSlow", 15, 15, 15, 3, true },
                                         HealthCase { "Stalled", 95, 0, 80, 1, false },
                                         HealthCase { "AllStalled", 0, 0, 0, 3, true }),
                         [](const auto &tested) { return tested.param.name; });

TEST(RunnerHealth, FailingEndpointIsPutOnProbationAndRecovers)
{
    RunnerFixture fixture;
    std::uint32_t index = 0;
    const auto runOne = [&](RunOutcome end) {
        ++index;
        if (fixture.start(index).starts.empty())
            return false;
        handleStartResult(fixture.runner, runId(index), { CommandStatus::Ok, fixture.clock() },
                          fixture.now);
        PollResult poll;
        poll.ended = { { index, runId(index), end } };
        fixture.completePoll(poll);
        return true;
    };
    while (runOne(RunOutcome::Failed) && index < 20) { }
    EXPECT_LT(index, 6U);
    EXPECT_EQ(makeEndpointView(fixture.runner, fixture.now).maxStarts, 0U);
    fixture.advance(fixture.runner.settings.probationPause);
    EXPECT_EQ(makeEndpointView(fixture.runner, fixture.now).maxStarts, 1U);
    EXPECT_TRUE(runOne(RunOutcome::Done));
    EXPECT_GT(makeEndpointView(fixture.runner, fixture.now).maxStarts, 1U);
}

} // namespace
} // namespace foxwing::runner
