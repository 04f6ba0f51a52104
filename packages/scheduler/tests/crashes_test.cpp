/*
    Crashes of endpoints while they ran a task, as reported by agents for runs of any entry.

    [SECTION] Reports
    [SECTION] Retention
*/
#include "fixture.h"

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

SchedulerActions reportCrash(SchedulerFixture &fixture, const std::string &agent,
                             const jobs::CrashReport &report, bool inHandshake)
{
    jobs::SessionAccepted accepted;
    accepted.endpoint = makeView(4000);
    accepted.crashed = { report };
    jobs::AgentUpdate update;
    update.free = { 4000, 10000, 0 };
    update.maxStarts = 1000;
    update.crashed = { report };
    return inHandshake ? agentAccepted(fixture.scheduler, agent, accepted, fixture.now)
                       : agentUpdated(fixture.scheduler, agent, update, fixture.now);
}

class CrashReports : public testing::TestWithParam<ReportCase>
{ };

TEST_P(CrashReports, CountForAJobWhereverItRan)
{
    SchedulerFixture fixture({ 4000, 4000, 4000 });
    std::vector<JobAnswer> answers;
    const auto collect = [&](const SchedulerActions &actions) {
        answers.insert(answers.end(), actions.answers.begin(), actions.answers.end());
    };
    if (GetParam().arrivedBefore)
        collect(fixture.submit("job", 1));
    for (const auto &[agent, crashes] : GetParam().reports)
        collect(reportCrash(fixture, agent, crashOf("job", crashes), GetParam().inHandshake));
    if (!GetParam().arrivedBefore)
        collect(fixture.submit("job", 1));
    ASSERT_EQ(answers.size(), GetParam().givenUp ? 1U : 0U);
    if (GetParam().givenUp) {
        EXPECT_EQ(answers[0].outcome, JobOutcome::TimedOut);
    }
    EXPECT_EQ(startsIn(fixture.submit("other", 1)), 1U);
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
    SchedulerFixture fixture({ 4000, 4000, 4000 });
    reportCrash(fixture, "agent-1", crashOf("job", 1), true);
    reportCrash(fixture, "agent-2", crashOf("job", 1), true);
    const SchedulerActions actions = fixture.submit("job", 1);
    ASSERT_EQ(startsIn(actions), 1U);
    const SchedulerActions crashed = fixture.report(actions.sends.at(0).agent,
                                                    { runReport("job", 0, 1, RunOutcome::Crashed) },
                                                    4000);
    ASSERT_EQ(crashed.answers.size(), 1U);
    EXPECT_EQ(crashed.answers[0].outcome, JobOutcome::TimedOut);
}

// [SECTION] Retention

TEST(SchedulerCrashes, AreForgottenAfterTheRetention)
{
    SchedulerFixture fixture({ 4000 });
    reportCrash(fixture, "agent-0", crashOf("job", 3), true);
    EXPECT_EQ(startsIn(fixture.submit("job", 1)), 0U);
    fixture.advance(fixture.scheduler.settings.crashRetention);
    EXPECT_EQ(startsIn(fixture.submit("job", 1)), 1U);
    EXPECT_TRUE(fixture.scheduler.crashedJobs.empty());
}

TEST(SchedulerCrashes, AreRememberedForABoundedNumberOfJobs)
{
    SchedulerSettings settings;
    settings.maxCrashedJobs = 2;
    SchedulerFixture fixture({ 4000 }, settings);
    for (const char *job : { "first", "second", "third" }) {
        reportCrash(fixture, "agent-0", crashOf(job, 3), true);
        fixture.advance(Milliseconds(10));
    }
    EXPECT_EQ(fixture.scheduler.crashedJobs.size(), 2U);
    EXPECT_EQ(startsIn(fixture.submit("first", 1)), 1U);
    EXPECT_EQ(startsIn(fixture.submit("third", 1)), 0U);
}

} // namespace
} // namespace foxwing::scheduler
