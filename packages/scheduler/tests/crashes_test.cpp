/*
    Crashes of endpoints while they ran a task, as reported by agents for runs of any entry.

    [SECTION] Reports
    [SECTION] Retention
*/
#include "bench.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Reports

struct ReportCase
{
    const char *name;

    // Reports in order: the agent, and its number of crashes while running the task
    std::vector<std::pair<std::string, std::uint32_t>> reports;

    // Whether the job arrived before the reports or after them
    bool arrivedBefore;

    // Whether reports come in the handshake or in an update
    bool inHandshake;
    bool givenUp;
};

std::ostream &operator<<(std::ostream &out, const ReportCase &tested)
{
    return out << tested.name;
}

jobs::CrashReport crashOf(const std::string &job, std::uint32_t crashes)
{
    return { { job, 0, 0, 0 }, crashes };
}

SchedulerActions reportCrash(Bench &bench, const std::string &agent,
                             const jobs::CrashReport &report, bool inHandshake)
{
    jobs::SessionAccepted accepted;
    accepted.endpoint = makeView(4000);
    accepted.crashed = { report };
    jobs::AgentUpdate update;
    update.free = { 4000, 10000, 0 };
    update.maxStarts = 1000;
    update.crashed = { report };
    return inHandshake ? agentAccepted(bench.scheduler, agent, accepted, bench.now)
                       : agentUpdated(bench.scheduler, agent, update, bench.now);
}

class CrashReports : public testing::TestWithParam<ReportCase>
{ };

TEST_P(CrashReports, CountForAJobWhereverItRan)
{
    Bench bench({ 4000, 4000, 4000 });
    std::vector<JobAnswer> answers;
    const auto collect = [&](const SchedulerActions &actions) {
        answers.insert(answers.end(), actions.answers.begin(), actions.answers.end());
    };
    if (GetParam().arrivedBefore)
        collect(bench.submit("job", 1));
    for (const auto &[agent, crashes] : GetParam().reports)
        collect(reportCrash(bench, agent, crashOf("job", crashes), GetParam().inHandshake));
    if (!GetParam().arrivedBefore)
        collect(bench.submit("job", 1));
    ASSERT_EQ(answers.size(), GetParam().givenUp ? 1U : 0U);
    if (GetParam().givenUp) {
        EXPECT_EQ(answers[0].outcome, JobOutcome::TimedOut);
    }
    EXPECT_EQ(startsIn(bench.submit("other", 1)), 1U);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, CrashReports,
        testing::Values(
                ReportCase {
                        "TwoAgents", { { "agent-0", 1 }, { "agent-1", 1 } }, false, false, false },
                ReportCase { "OneAgentRepeatedly",
                             { { "agent-0", 1 }, { "agent-0", 1 }, { "agent-0", 1 } },
                             false,
                             true,
                             false },
                ReportCase { "OneAgentThreeCrashes", { { "agent-0", 3 } }, false, true, true },
                ReportCase { "ThreeAgentsInHandshakes",
                             { { "agent-0", 1 }, { "agent-1", 1 }, { "agent-2", 1 } },
                             false,
                             true,
                             true },
                ReportCase { "ThreeAgentsInUpdates",
                             { { "agent-0", 1 }, { "agent-1", 1 }, { "agent-2", 1 } },
                             false,
                             false,
                             true },
                ReportCase { "ThreeAgentsWhileItIsOpen",
                             { { "agent-0", 1 }, { "agent-1", 1 }, { "agent-2", 1 } },
                             true,
                             false,
                             true }),
        [](const auto &tested) { return tested.param.name; });

// Two crashes elsewhere and one here.
TEST(SchedulerCrashes, OfEarlierRunsElsewhereCountToo)
{
    Bench bench({ 4000, 4000, 4000 });
    reportCrash(bench, "agent-1", crashOf("job", 1), true);
    reportCrash(bench, "agent-2", crashOf("job", 1), true);
    const SchedulerActions actions = bench.submit("job", 1);
    ASSERT_EQ(startsIn(actions), 1U);
    const SchedulerActions crashed = bench.report(actions.sends.at(0).agent,
                                                  { runReport("job", 0, 1, RunOutcome::Crashed) },
                                                  4000);
    ASSERT_EQ(crashed.answers.size(), 1U);
    EXPECT_EQ(crashed.answers[0].outcome, JobOutcome::TimedOut);
}

// [SECTION] Retention

TEST(SchedulerCrashes, AreForgottenAfterTheRetention)
{
    Bench bench({ 4000 });
    reportCrash(bench, "agent-0", crashOf("job", 3), true);
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 0U);
    bench.advance(bench.scheduler.settings.crashRetention);
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 1U);
    EXPECT_TRUE(bench.scheduler.crashedJobs.empty());
}

TEST(SchedulerCrashes, AreRememberedForABoundedNumberOfJobs)
{
    SchedulerSettings settings;
    settings.maxCrashedJobs = 2;
    Bench bench({ 4000 }, settings);
    for (const char *job : { "first", "second", "third" }) {
        reportCrash(bench, "agent-0", crashOf(job, 3), true);
        bench.advance(Milliseconds(10));
    }
    EXPECT_EQ(bench.scheduler.crashedJobs.size(), 2U);
    EXPECT_EQ(startsIn(bench.submit("first", 1)), 1U);
    EXPECT_EQ(startsIn(bench.submit("third", 1)), 0U);
}

} // namespace
} // namespace foxwing::scheduler
