/*
    What agents tell of tasks under which their endpoints crashed, here or for other entries.

    [SECTION] Told
    [SECTION] Memory
*/
#include "bench.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Told

struct ToldCase
{
    const char *name;

    // Told one after the other: by which agent, and how often its endpoint crashed under the task
    std::vector<std::pair<std::string, std::uint32_t>> told;

    // The job came before all of it was told, or after.
    bool cameBefore;

    // The news came in a welcome, or in an update.
    bool welcome;
    bool givenUp;
};

std::ostream &operator<<(std::ostream &out, const ToldCase &tested)
{
    return out << tested.name;
}

jobs::CrashReport crashOf(const std::string &job, std::uint32_t crashes)
{
    return { { job, 0, 0, 0 }, crashes };
}

SchedulerActions tellCrash(Bench &bench, const std::string &agent, const jobs::CrashReport &report,
                           bool welcome)
{
    jobs::SessionAccepted opened;
    opened.endpoint = makeView(4000);
    opened.crashed = { report };
    jobs::AgentUpdate update;
    update.free = { 4000, 10000, 0 };
    update.maxStarts = 1000;
    update.crashed = { report };
    return welcome ? agentWelcomed(bench.scheduler, agent, opened, bench.now)
                   : agentUpdated(bench.scheduler, agent, update, bench.now);
}

class Told : public testing::TestWithParam<ToldCase>
{ };

TEST_P(Told, CrashesCountForAJobWhereverItRan)
{
    Bench bench({ 4000, 4000, 4000 });
    std::vector<JobAnswer> answers;
    const auto take = [&](const SchedulerActions &actions) {
        answers.insert(answers.end(), actions.answers.begin(), actions.answers.end());
    };
    if (GetParam().cameBefore)
        take(bench.submit("job", 1));
    for (const auto &[agent, crashes] : GetParam().told)
        take(tellCrash(bench, agent, crashOf("job", crashes), GetParam().welcome));
    if (!GetParam().cameBefore)
        take(bench.submit("job", 1));
    ASSERT_EQ(answers.size(), GetParam().givenUp ? 1U : 0U);
    if (GetParam().givenUp) {
        EXPECT_EQ(answers[0].outcome, JobOutcome::TimedOut);
    }
    EXPECT_EQ(startsIn(bench.submit("other", 1)), 1U);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Told,
        testing::Values(
                ToldCase {
                        "TwoAgents", { { "agent-0", 1 }, { "agent-1", 1 } }, false, false, false },
                ToldCase { "OneAgentAgainAndAgain",
                           { { "agent-0", 1 }, { "agent-0", 1 }, { "agent-0", 1 } },
                           false,
                           true,
                           false },
                ToldCase { "OneAgentThreeCrashes", { { "agent-0", 3 } }, false, true, true },
                ToldCase { "ThreeAgentsInWelcomes",
                           { { "agent-0", 1 }, { "agent-1", 1 }, { "agent-2", 1 } },
                           false,
                           true,
                           true },
                ToldCase { "ThreeAgentsInUpdates",
                           { { "agent-0", 1 }, { "agent-1", 1 }, { "agent-2", 1 } },
                           false,
                           false,
                           true },
                ToldCase { "ThreeAgentsWhileItIsHere",
                           { { "agent-0", 1 }, { "agent-1", 1 }, { "agent-2", 1 } },
                           true,
                           false,
                           true }),
        [](const auto &tested) { return tested.param.name; });

// Two crashes elsewhere and one here end it.
TEST(SchedulerCrashes, UnderAFormerTryCountWithThoseHere)
{
    Bench bench({ 4000, 4000, 4000 });
    tellCrash(bench, "agent-1", crashOf("job", 1), true);
    tellCrash(bench, "agent-2", crashOf("job", 1), true);
    const SchedulerActions actions = bench.submit("job", 1);
    ASSERT_EQ(startsIn(actions), 1U);
    const SchedulerActions crashed = bench.report(actions.sends.at(0).agent,
                                                  { endOf("job", 0, 1, RunOutcome::Crashed) },
                                                  4000);
    ASSERT_EQ(crashed.answers.size(), 1U);
    EXPECT_EQ(crashed.answers[0].outcome, JobOutcome::TimedOut);
}

// [SECTION] Memory

TEST(SchedulerCrashes, AreForgottenAfterAWhile)
{
    Bench bench({ 4000 });
    tellCrash(bench, "agent-0", crashOf("job", 3), true);
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 0U);
    bench.pass(bench.scheduler.settings.crashingFor);
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 1U);
    EXPECT_TRUE(bench.scheduler.crashedJobs.empty());
}

TEST(SchedulerCrashes, AreRememberedOfABoundedNumberOfJobs)
{
    SchedulerSettings settings;
    settings.mostCrashedJobs = 2;
    Bench bench({ 4000 }, settings);
    for (const char *job : { "first", "second", "third" }) {
        tellCrash(bench, "agent-0", crashOf(job, 3), true);
        bench.pass(Milliseconds(10));
    }
    EXPECT_EQ(bench.scheduler.crashedJobs.size(), 2U);
    EXPECT_EQ(startsIn(bench.submit("first", 1)), 1U);
    EXPECT_EQ(startsIn(bench.submit("third", 1)), 0U);
}

} // namespace
} // namespace foxwing::scheduler
