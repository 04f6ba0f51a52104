/*
    What follows when runs end, are behind, or are lost with their agent.

    [SECTION] Ends
    [SECTION] Lost agents
*/
#include "bench.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Ends

struct EndCase
{
    const char *name;
    RunOutcome end;
    StartRefusal refused;
    std::size_t startsAgain;
    std::optional<JobOutcome> outcome;
};

class Ends : public testing::TestWithParam<EndCase>
{ };

TEST_P(Ends, AreAnsweredOrTriedAgain)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("job", 0, 1, GetParam().end,
                                                          GetParam().refused) });
    EXPECT_EQ(startsIn(actions), GetParam().startsAgain);
    ASSERT_EQ(actions.answers.size(), GetParam().outcome ? 1U : 0U);
    if (GetParam().outcome) {
        EXPECT_EQ(actions.answers[0].outcome, *GetParam().outcome);
        EXPECT_TRUE(bench.scheduler.jobs.empty());
    }
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Ends,
        testing::Values(
                EndCase { "Done", RunOutcome::Done, StartRefusal::None, 0, JobOutcome::Completed },
                EndCase { "FailedOnce", RunOutcome::Failed, StartRefusal::None, 1, {} },
                EndCase { "Lapsed", RunOutcome::LeaseExpired, StartRefusal::None, 1, {} },
                EndCase { "Lost", RunOutcome::Lost, StartRefusal::None, 1, {} },
                EndCase { "Crashed", RunOutcome::Crashed, StartRefusal::None, 1, {} },
                EndCase { "NoRoom", RunOutcome::NeverStarted, StartRefusal::NoCapacity, 1, {} },
                EndCase { "OldRun", RunOutcome::NeverStarted, StartRefusal::StaleRun, 1, {} }),
        [](const auto &tested) { return tested.param.name; });

TEST(SchedulerEnds, ATaskThatFailsAsOftenAsItMayFailsItsJobAndStopsTheRest)
{
    Bench bench({ 8000 });
    bench.submit("job", 3);
    bench.report("agent-0", { endOf("job", 1, 1, RunOutcome::Failed) });
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("job", 1, 2, RunOutcome::Failed) });
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers[0].outcome, JobOutcome::Failed);
    EXPECT_EQ(stopsIn(actions), 2U);
}

TEST(SchedulerEnds, AFailedTaskGoesElsewhere)
{
    Bench bench({ 4000, 4000 });
    const SchedulerActions first = bench.submit("job", 1);
    const std::string agent = first.sends.at(0).agent;
    const SchedulerActions again = bench.report(agent, { endOf("job", 0, 1, RunOutcome::Failed) });
    ASSERT_EQ(startsIn(again), 1U);
    EXPECT_NE(again.sends.at(0).agent, agent);
}

struct CrashCase
{
    const char *name;

    // Ends of the task's runs, one after the other
    std::vector<RunOutcome> ends;
    std::optional<JobOutcome> outcome;
};

class Crashes : public testing::TestWithParam<CrashCase>
{ };

TEST_P(Crashes, UnderATaskAreCounted)
{
    Bench bench({ 4000, 4000, 4000, 4000 });
    SchedulerActions actions = bench.submit("job", 1);
    std::uint32_t run = 0;
    for (const RunOutcome end : GetParam().ends) {
        ASSERT_EQ(startsIn(actions), 1U);
        actions = bench.report(actions.sends.at(0).agent, { endOf("job", 0, ++run, end) }, 4000);
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

TEST(SchedulerEnds, AJobGivenUpForCrashesIsNotBegunAnewWhileThatIsRemembered)
{
    Bench bench({ 4000, 4000, 4000 });
    SchedulerActions actions = bench.submit("job", 1);
    for (std::uint32_t run = 1; run <= bench.scheduler.settings.mostCrashes; ++run)
        actions = bench.report(actions.sends.at(0).agent,
                               { endOf("job", 0, run, RunOutcome::Crashed) }, 4000);
    const SchedulerActions again = bench.submit("job", 1);
    ASSERT_EQ(again.answers.size(), 1U);
    EXPECT_EQ(again.answers[0].outcome, JobOutcome::TimedOut);
    EXPECT_EQ(startsIn(again), 0U);
    EXPECT_EQ(startsIn(bench.submit("other", 1)), 1U);
    bench.pass(bench.scheduler.settings.crashingFor);
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 1U);
}

// What ran beside a crash is told apart by its next try: it goes where least runs.
TEST(SchedulerEnds, AfterACrashATaskIsTriedWhereLeastRuns)
{
    Bench bench({ 8000, 8000, 8000 });
    bench.submit("job", 1);
    const std::string crashed = bench.scheduler.jobs.at(bench.number).tasks.at(0).agent;
    std::string idle;
    for (const auto &[name, agent] : bench.scheduler.agents) {
        if (name != crashed)
            idle = name;
    }
    for (auto &[name, agent] : bench.scheduler.agents) {
        agent.endpoint.free.milliCores = name == idle ? 7000 : 4000;
        // Slow, which speaks against it for any other task.
        agent.endpoint.slowdownPermille = name == idle ? 3000 : 500;
    }
    const SchedulerActions actions = bench.report(crashed,
                                                  { endOf("job", 0, 1, RunOutcome::Crashed) },
                                                  8000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(actions.sends.at(0).agent, idle);
}

TEST(SchedulerEnds, AnEndOfAnEarlierRunChangesNothing)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    bench.report("agent-0", { endOf("job", 0, 1, RunOutcome::Lost) });
    EXPECT_TRUE(bench.report("agent-0", { endOf("job", 0, 1, RunOutcome::Done) }).answers.empty());
}

struct GivingUpCase
{
    const char *name;
    bool refuseLate;
    bool hasRoom;
    Milliseconds after;
    std::optional<JobOutcome> outcome;
};

class GivingUp : public testing::TestWithParam<GivingUpCase>
{ };

// An objective of 1.6 x 100 + 60 = 220 ms.
TEST_P(GivingUp, SaysNotRunOnlyWhenItIsTrue)
{
    SchedulerSettings settings;
    settings.refuseLate = GetParam().refuseLate;
    Bench bench({ GetParam().hasRoom ? 4000 : 1000 }, settings);
    if (!GetParam().hasRoom)
        bench.submit("other", 1);
    bench.submit("job", 1);
    const std::uint64_t number = bench.number;
    const SchedulerActions actions = bench.pass(GetParam().after);
    std::optional<JobOutcome> outcome;
    for (const JobAnswer &answer : actions.answers) {
        if (answer.number == number)
            outcome = answer.outcome;
    }
    EXPECT_EQ(outcome, GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, GivingUp,
        testing::Values(
                GivingUpCase { "WaitsWhileItIsWorthIt", false, false, Milliseconds(500), {} },
                GivingUpCase { "NeverBegan", false, false, Milliseconds(600), JobOutcome::NotRun },
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
    std::optional<Milliseconds> patience;
    Milliseconds after;
    bool over;
};

class EndlessJobs : public testing::TestWithParam<EndlessCase>
{ };

// A job of one task that has begun and does not end. Its objective is 1.6 times the estimate and
// 60 ms.
TEST_P(EndlessJobs, AreGivenUpWhenNobodyWaitsAnyLonger)
{
    Bench bench({ 4000 });
    JobTerms terms = bench.terms();
    if (GetParam().patience)
        terms.patienceUntil = bench.now + *GetParam().patience;
    jobs::JobSpec spec;
    spec.id = "job";
    spec.traits = bench.traits;
    spec.steps.resize(1);
    spec.steps[0].tasks = 1;
    spec.steps[0].demand = { 1000, 10, 0 };
    spec.steps[0].estimate = GetParam().estimate;
    ASSERT_EQ(startsIn(submit(bench.scheduler, spec, terms, bench.now, &bench.number)), 1U);
    const SchedulerActions actions = bench.pass(GetParam().after);
    ASSERT_EQ(actions.answers.size(), GetParam().over ? 1U : 0U);
    if (GetParam().over) {
        EXPECT_EQ(actions.answers[0].outcome, JobOutcome::TimedOut);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, EndlessJobs,
        testing::Values(
                EndlessCase { "ThePatienceLasts", Milliseconds(11600), Milliseconds(40700),
                              Milliseconds(40699), false },
                EndlessCase { "ThePatienceIsOver", Milliseconds(11600), Milliseconds(40700),
                              Milliseconds(40700), true },
                EndlessCase { "ShortWithLongPatience", Milliseconds(100), Milliseconds(40700),
                              Milliseconds(20000), false },
                EndlessCase { "LongWithoutPatience",
                              Milliseconds(11600),
                              {},
                              Milliseconds(50000),
                              false },
                EndlessCase { "LongWithoutPatienceAtItsBound",
                              Milliseconds(11600),
                              {},
                              Milliseconds(56000),
                              true },
                EndlessCase {
                        "ShortWithoutPatience", Milliseconds(100), {}, Milliseconds(14999), false },
                EndlessCase { "ShortWithoutPatienceAtItsBound",
                              Milliseconds(100),
                              {},
                              Milliseconds(15000),
                              true }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Lost agents

TEST(SchedulerLost, ARunIsStartedAgainOnlyOnceItIsCertainlyOver)
{
    Bench bench({ 4000, 4000 });
    const std::string agent = bench.submit("job", 1).sends.at(0).agent;
    agentLost(bench.scheduler, agent, bench.now);
    EXPECT_EQ(startsIn(bench.pass(bench.scheduler.settings.certainSilence - Milliseconds(1))), 0U);
    EXPECT_EQ(startsIn(bench.pass(Milliseconds(1))), 1U);
}

TEST(SchedulerLost, AnAgentThatWelcomesAgainHasStoppedTheRun)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    agentLost(bench.scheduler, "agent-0", bench.now);
    EXPECT_EQ(startsIn(bench.welcome("agent-0", makeView(4000))), 1U);
}

TEST(SchedulerLost, AJobWhoseRunIsUncertainIsNotSaidToBeNotRun)
{
    Bench bench({ 1000 });
    bench.submit("job", 1);
    agentLost(bench.scheduler, "agent-0", bench.now);
    jobs::EndpointView full = makeView(1000);
    full.free = {};
    bench.welcome("agent-0", full);
    const SchedulerActions actions = bench.pass(Milliseconds(15000));
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers[0].outcome, JobOutcome::TimedOut);
}

TEST(SchedulerLost, ASilentAgentIsClosed)
{
    Bench bench({ 4000 });
    bench.now += bench.scheduler.settings.agentSilence;
    EXPECT_EQ(tick(bench.scheduler, bench.now).closes, std::vector<std::string> { "agent-0" });
}

TEST(SchedulerLost, NothingIsMovedWhereMovesAreSwitchedOff)
{
    SchedulerSettings settings;
    settings.moveRuns = false;
    Bench bench({ 4000, 4000 }, settings);
    const std::string agent = bench.submit("job", 1).sends.at(0).agent;
    jobs::AgentUpdate update;
    update.startsHandled = 1;
    update.maxStarts = 1000;
    update.stragglers = { { { { "job", 0, 0, 0 }, 1 }, Milliseconds(0), true, false } };
    EXPECT_EQ(stopsIn(agentUpdated(bench.scheduler, agent, update, bench.now)), 0U);
}

struct LagCase
{
    const char *name;
    bool still;
    bool slow;
    Milliseconds left;
    std::size_t agents;
    bool moved;
};

class Lags : public testing::TestWithParam<LagCase>
{ };

TEST_P(Lags, AreMovedOnlyWhereItHelps)
{
    Bench bench(std::vector<std::int64_t>(GetParam().agents, 4000));
    const std::string agent = bench.submit("job", 1).sends.at(0).agent;
    jobs::AgentUpdate update;
    update.startsHandled = 1;
    update.maxStarts = 1000;
    update.stragglers = {
        { { { "job", 0, 0, 0 }, 1 }, GetParam().left, GetParam().still, GetParam().slow }
    };
    const SchedulerActions actions = agentUpdated(bench.scheduler, agent, update, bench.now);
    EXPECT_EQ(stopsIn(actions), GetParam().moved ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Lags,
        testing::Values(LagCase { "Slow", false, true, Milliseconds(400), 2, true },
                        LagCase { "NearlyDone", false, true, Milliseconds(120), 2, false },
                        LagCase { "EstimateWrong", false, false, Milliseconds(400), 2, false },
                        LagCase { "NowhereElse", false, true, Milliseconds(400), 1, false },
                        LagCase { "StandsStill", true, false, Milliseconds(0), 1, true }),
        [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::scheduler
