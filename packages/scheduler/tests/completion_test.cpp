/*
    Handling of runs that end, are lost with their agent, or straggle.

    [SECTION] Ends
    [SECTION] Lost agents
    [SECTION] Stragglers
*/
#include "fixture.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Ends

struct EndCase
{
    const char *name;
    RunOutcome end;
    StartRefusal refused;
    std::size_t restarts;
    std::optional<JobOutcome> outcome;
};

class Ends : public testing::TestWithParam<EndCase>
{ };

TEST_P(Ends, AreAnsweredOrRetried)
{
    SchedulerFixture fixture({ 4000 });
    fixture.submit("job", 1);
    const SchedulerActions actions = fixture.report("agent-0",
                                                    { runReport("job", 0, 1, GetParam().end,
                                                                GetParam().refused) });
    EXPECT_EQ(startsIn(actions), GetParam().restarts);
    ASSERT_EQ(actions.answers.size(), GetParam().outcome ? 1U : 0U);
    if (GetParam().outcome) {
        EXPECT_EQ(actions.answers[0].outcome, *GetParam().outcome);
        EXPECT_TRUE(fixture.scheduler.jobs.empty());
    }
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Ends,
        testing::Values(
                EndCase { "Done", RunOutcome::Done, StartRefusal::None, 0, JobOutcome::Completed },
                EndCase { "FailedOnce", RunOutcome::Failed, StartRefusal::None, 1, {} },
                EndCase { "LeaseExpired", RunOutcome::LeaseExpired, StartRefusal::None, 1, {} },
                EndCase { "Lost", RunOutcome::Lost, StartRefusal::None, 1, {} },
                EndCase { "Crashed", RunOutcome::Crashed, StartRefusal::None, 1, {} },
                EndCase { "NoCapacity", RunOutcome::NeverStarted, StartRefusal::NoCapacity, 1, {} },
                EndCase { "StaleRun", RunOutcome::NeverStarted, StartRefusal::StaleRun, 1, {} }),
        [](const auto &tested) { return tested.param.name; });

TEST(SchedulerEnds, ATaskOutOfAttemptsFailsItsJobAndStopsTheRest)
{
    SchedulerFixture fixture({ 8000 });
    fixture.submit("job", 3);
    fixture.report("agent-0", { runReport("job", 1, 1, RunOutcome::Failed) });
    const SchedulerActions actions = fixture.report("agent-0",
                                                    { runReport("job", 1, 2, RunOutcome::Failed) });
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers[0].outcome, JobOutcome::Failed);
    EXPECT_EQ(stopsIn(actions), 2U);
}

TEST(SchedulerEnds, AFailedTaskGoesElsewhere)
{
    SchedulerFixture fixture({ 4000, 4000 });
    const SchedulerActions first = fixture.submit("job", 1);
    const std::string agent = first.sends.at(0).agent;
    const SchedulerActions again = fixture.report(agent,
                                                  { runReport("job", 0, 1, RunOutcome::Failed) });
    ASSERT_EQ(startsIn(again), 1U);
    EXPECT_NE(again.sends.at(0).agent, agent);
}

struct CrashCase
{
    const char *name;

    // How the task's runs end, in order
    std::vector<RunOutcome> ends;
    std::optional<JobOutcome> outcome;
};

class Crashes : public testing::TestWithParam<CrashCase>
{ };

TEST_P(Crashes, WhileATaskRanAreCounted)
{
    SchedulerFixture fixture({ 4000, 4000, 4000, 4000 });
    SchedulerActions actions = fixture.submit("job", 1);
    std::uint32_t run = 0;
    for (const RunOutcome end : GetParam().ends) {
        ASSERT_EQ(startsIn(actions), 1U);
        actions = fixture.report(actions.sends.at(0).agent, { runReport("job", 0, ++run, end) },
                                 4000);
    }
    ASSERT_EQ(actions.answers.size(), GetParam().outcome ? 1U : 0U);
    if (GetParam().outcome) {
        EXPECT_EQ(actions.answers[0].outcome, *GetParam().outcome);
    }
    EXPECT_EQ(startsIn(actions), GetParam().outcome ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Crashes,
        testing::Values(CrashCase { "Two", { RunOutcome::Crashed, RunOutcome::Crashed }, {} },
                        CrashCase {
                                "Three",
                                { RunOutcome::Crashed, RunOutcome::Crashed, RunOutcome::Crashed },
                                JobOutcome::TimedOut },
                        CrashCase { "TwoThenDone",
                                    { RunOutcome::Crashed, RunOutcome::Crashed, RunOutcome::Done },
                                    JobOutcome::Completed },
                        CrashCase { "TwoAndOtherEnds",
                                    { RunOutcome::LeaseExpired, RunOutcome::Crashed,
                                      RunOutcome::Stopped, RunOutcome::Crashed },
                                    {} },
                        CrashCase { "EndpointsThatLeft",
                                    { RunOutcome::Lost, RunOutcome::Lost, RunOutcome::Lost,
                                      RunOutcome::Lost },
                                    {} }),
        [](const auto &tested) { return tested.param.name; });

TEST(SchedulerEnds, AJobGivenUpForCrashesIsGivenUpAgainWithinTheRetention)
{
    SchedulerFixture fixture({ 4000, 4000, 4000 });
    SchedulerActions actions = fixture.submit("job", 1);
    for (std::uint32_t run = 1; run <= fixture.scheduler.settings.maxCrashes; ++run)
        actions = fixture.report(actions.sends.at(0).agent,
                                 { runReport("job", 0, run, RunOutcome::Crashed) }, 4000);
    const SchedulerActions again = fixture.submit("job", 1);
    ASSERT_EQ(again.answers.size(), 1U);
    EXPECT_EQ(again.answers[0].outcome, JobOutcome::TimedOut);
    EXPECT_EQ(startsIn(again), 0U);
    EXPECT_EQ(startsIn(fixture.submit("other", 1)), 1U);
    fixture.advance(fixture.scheduler.settings.crashRetention);
    EXPECT_EQ(startsIn(fixture.submit("job", 1)), 1U);
}

// Beside few other tasks, the retry shows which of those at the crashed endpoint was the cause.
TEST(SchedulerEnds, ACrashedTaskIsRetriedAtTheEndpointWithTheLeastLoad)
{
    SchedulerFixture fixture({ 8000, 8000, 8000 });
    fixture.submit("job", 1);
    const std::string crashed = fixture.scheduler.jobs.at(fixture.number).tasks.at(0).agent;
    std::string idle;
    for (const auto &[name, agent] : fixture.scheduler.agents) {
        if (name != crashed)
            idle = name;
    }
    for (auto &[name, agent] : fixture.scheduler.agents) {
        agent.endpoint.free.milliCores = name == idle ? 7000 : 4000;
        // Slow, which makes it the last choice for any other task.
        agent.endpoint.slowdownPermille = name == idle ? 3000 : 500;
    }
    const SchedulerActions actions = fixture.report(crashed,
                                                    { runReport("job", 0, 1, RunOutcome::Crashed) },
                                                    8000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(actions.sends.at(0).agent, idle);
}

TEST(SchedulerEnds, AnEndOfAnEarlierRunChangesNothing)
{
    SchedulerFixture fixture({ 4000 });
    fixture.submit("job", 1);
    fixture.report("agent-0", { runReport("job", 0, 1, RunOutcome::Lost) });
    EXPECT_TRUE(fixture.report("agent-0", { runReport("job", 0, 1, RunOutcome::Done) })
                        .answers.empty());
}

struct GivingUpCase
{
    const char *name;
    bool refuseLate;
    bool hasCapacity;
    Milliseconds after;
    std::optional<JobOutcome> outcome;
};

class GivingUp : public testing::TestWithParam<GivingUpCase>
{ };

// An objective of 1.6 x 100 + 60 = 220 ms.
TEST_P(GivingUp, AnswersNotRunOnlyIfNothingBegan)
{
    SchedulerSettings settings;
    settings.refuseLate = GetParam().refuseLate;
    SchedulerFixture fixture({ GetParam().hasCapacity ? 4000 : 1000 }, settings);
    if (!GetParam().hasCapacity)
        fixture.submit("other", 1);
    fixture.submit("job", 1);
    const std::uint64_t number = fixture.number;
    const SchedulerActions actions = fixture.advance(GetParam().after);
    std::optional<JobOutcome> outcome;
    for (const JobAnswer &answer : actions.answers) {
        if (answer.number == number)
            outcome = answer.outcome;
    }
    EXPECT_EQ(outcome, GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, GivingUp,
        testing::Values(GivingUpCase { "WaitsWhileUseful", false, false, Milliseconds(500), {} },
                        GivingUpCase { "NeverBegan", false, false, Milliseconds(600),
                                       JobOutcome::NotRun },
                        GivingUpCase { "RefusedOnceLate", true, false, Milliseconds(75),
                                       JobOutcome::NotRun },
                        GivingUpCase { "BegunIsFinished", true, true, Milliseconds(5000), {} },
                        GivingUpCase { "BegunWithoutEnd", true, true, Milliseconds(15000),
                                       JobOutcome::TimedOut }),
        [](const auto &tested) { return tested.param.name; });

struct EndlessCase
{
    const char *name;
    Milliseconds estimate;
    std::optional<Milliseconds> callerTimeout;
    Milliseconds after;
    bool closed;
};

class EndlessJobs : public testing::TestWithParam<EndlessCase>
{ };

// A job of one task that has begun and does not end. Its objective is 1.6 times the estimate plus
// 60 ms.
TEST_P(EndlessJobs, AreGivenUpWhenTheCallerNoLongerWaits)
{
    SchedulerFixture fixture({ 4000 });
    JobOptions options = fixture.options();
    if (GetParam().callerTimeout)
        options.callerDeadline = fixture.now + *GetParam().callerTimeout;
    jobs::JobSpec spec;
    spec.id = "job";
    spec.traits = fixture.traits;
    spec.steps.resize(1);
    spec.steps[0].tasks = 1;
    spec.steps[0].demand = { 1000, 10, 0 };
    spec.steps[0].estimate = GetParam().estimate;
    ASSERT_EQ(startsIn(submit(fixture.scheduler, spec, options, fixture.now, &fixture.number)), 1U);
    const SchedulerActions actions = fixture.advance(GetParam().after);
    ASSERT_EQ(actions.answers.size(), GetParam().closed ? 1U : 0U);
    if (GetParam().closed) {
        EXPECT_EQ(actions.answers[0].outcome, JobOutcome::TimedOut);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, EndlessJobs,
        testing::Values(
                EndlessCase { "BeforeTheCallersDeadline", Milliseconds(11600), Milliseconds(40700),
                              Milliseconds(40699), false },
                EndlessCase { "AtTheCallersDeadline", Milliseconds(11600), Milliseconds(40700),
                              Milliseconds(40700), true },
                EndlessCase { "ShortWithLongDeadline", Milliseconds(100), Milliseconds(40700),
                              Milliseconds(20000), false },
                EndlessCase { "LongWithoutDeadline",
                              Milliseconds(11600),
                              {},
                              Milliseconds(50000),
                              false },
                EndlessCase { "LongWithoutDeadlineAtItsBound",
                              Milliseconds(11600),
                              {},
                              Milliseconds(56000),
                              true },
                EndlessCase {
                        "ShortWithoutDeadline", Milliseconds(100), {}, Milliseconds(14999), false },
                EndlessCase { "ShortWithoutDeadlineAtItsBound",
                              Milliseconds(100),
                              {},
                              Milliseconds(15000),
                              true }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Lost agents

TEST(SchedulerLost, ARunIsStartedAgainOnlyOnceItIsCertainlyOver)
{
    SchedulerFixture fixture({ 4000, 4000 });
    const std::string agent = fixture.submit("job", 1).sends.at(0).agent;
    agentLost(fixture.scheduler, agent, fixture.now);
    EXPECT_EQ(startsIn(
                      fixture.advance(fixture.scheduler.settings.lostRunTimeout - Milliseconds(1))),
              0U);
    EXPECT_EQ(startsIn(fixture.advance(Milliseconds(1))), 1U);
}

TEST(SchedulerLost, AnAgentThatAcceptsANewSessionHasStoppedTheRun)
{
    SchedulerFixture fixture({ 4000 });
    fixture.submit("job", 1);
    agentLost(fixture.scheduler, "agent-0", fixture.now);
    EXPECT_EQ(startsIn(fixture.openSession("agent-0", makeView(4000))), 1U);
}

TEST(SchedulerLost, AJobWithAnUncertainRunIsNotAnsweredAsNotRun)
{
    SchedulerFixture fixture({ 1000 });
    fixture.submit("job", 1);
    agentLost(fixture.scheduler, "agent-0", fixture.now);
    jobs::EndpointView full = makeView(1000);
    full.free = {};
    fixture.openSession("agent-0", full);
    const SchedulerActions actions = fixture.advance(Milliseconds(15000));
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers[0].outcome, JobOutcome::TimedOut);
}

TEST(SchedulerLost, ASilentAgentIsClosed)
{
    SchedulerFixture fixture({ 4000 });
    fixture.now += fixture.scheduler.settings.agentTimeout;
    EXPECT_EQ(tick(fixture.scheduler, fixture.now).closes, std::vector<std::string> { "agent-0" });
}

// [SECTION] Stragglers

TEST(SchedulerStragglers, NothingIsMovedIfMovesAreDisabled)
{
    SchedulerSettings settings;
    settings.moveRuns = false;
    SchedulerFixture fixture({ 4000, 4000 }, settings);
    const std::string agent = fixture.submit("job", 1).sends.at(0).agent;
    jobs::AgentUpdate update;
    update.startsHandled = 1;
    update.maxStarts = 1000;
    update.stragglers = { { { { "job", 0, 0, 0 }, 1 }, Milliseconds(0), true, false } };
    EXPECT_EQ(stopsIn(agentUpdated(fixture.scheduler, agent, update, fixture.now)), 0U);
}

struct StragglerCase
{
    const char *name;
    bool stalled;
    bool endpointSlow;
    Milliseconds remaining;
    std::size_t agents;
    bool moved;
};

class Stragglers : public testing::TestWithParam<StragglerCase>
{ };

TEST_P(Stragglers, AreMovedOnlyWhereItHelps)
{
    SchedulerFixture fixture(std::vector<std::int64_t>(GetParam().agents, 4000));
    const std::string agent = fixture.submit("job", 1).sends.at(0).agent;
    jobs::AgentUpdate update;
    update.startsHandled = 1;
    update.maxStarts = 1000;
    update.stragglers = { { { { "job", 0, 0, 0 }, 1 },
                            GetParam().remaining,
                            GetParam().stalled,
                            GetParam().endpointSlow } };
    const SchedulerActions actions = agentUpdated(fixture.scheduler, agent, update, fixture.now);
    EXPECT_EQ(stopsIn(actions), GetParam().moved ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Stragglers,
        testing::Values(StragglerCase { "Slow", false, true, Milliseconds(400), 2, true },
                        StragglerCase { "NearlyDone", false, true, Milliseconds(120), 2, false },
                        StragglerCase { "EstimateWrong", false, false, Milliseconds(400), 2,
                                        false },
                        StragglerCase { "NowhereElse", false, true, Milliseconds(400), 1, false },
                        StragglerCase { "Stalled", true, false, Milliseconds(0), 1, true }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::scheduler
