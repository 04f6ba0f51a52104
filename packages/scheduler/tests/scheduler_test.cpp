/*
    What the scheduler starts where, what it tries again, and what it answers.

    [SECTION] Helpers
    [SECTION] Admission
    [SECTION] Placing
    [SECTION] Ends
    [SECTION] Lost agents
    [SECTION] Order
*/
#include <gtest/gtest.h>

#include <foxwing/scheduler/scheduler.h>

namespace foxwing::scheduler {
namespace {

using jobs::RefusedStart;
using jobs::RunEnd;

// [SECTION] Helpers

jobs::EndpointView makeView(std::int64_t cores)
{
    jobs::EndpointView view;
    view.life = "life";
    view.service = "align";
    view.capacity = { cores, 10000, 0 };
    view.free = view.capacity;
    view.mostStarts = 1000;
    return view;
}

struct Bench
{
    explicit Bench(std::vector<std::int64_t> cores, SchedulerSettings settings = {})
        : scheduler(makeScheduler(settings))
    {
        for (std::size_t i = 0; i < cores.size(); ++i)
            welcome("agent-" + std::to_string(i), makeView(cores[i]));
    }

    SchedulerActions welcome(const std::string &name, const jobs::EndpointView &view)
    {
        agentConnected(scheduler, name, now);
        jobs::Welcome message;
        message.endpoint = view;
        return agentWelcomed(scheduler, name, message, now);
    }

    // A job of one step of tasks that take 1000 thousandths of a core and 100 ms.
    SchedulerActions submit(const std::string &id, std::uint32_t tasks)
    {
        jobs::StepSpec step;
        step.tasks = tasks;
        step.room = { 1000, 10, 0 };
        step.estimate = Milliseconds(100);
        return submit(id, { step });
    }

    SchedulerActions submit(const std::string &id, const std::vector<jobs::StepSpec> &steps)
    {
        jobs::JobSpec spec;
        spec.id = id;
        spec.steps = steps;
        spec.traits = traits;
        return scheduler::submit(scheduler, spec, terms(), now, &number);
    }

    JobTerms terms() const
    {
        JobTerms terms;
        terms.queue = "queue";
        terms.service = "align";
        terms.attempts = 2;
        terms.stretch = 1.6;
        terms.priority = priority;
        terms.targetLatency = Milliseconds(60);
        terms.beginBy = now + Milliseconds(1500);
        return terms;
    }

    // The agent has dealt with all starts, and tells this.
    SchedulerActions report(const std::string &agent, const std::vector<jobs::RunReport> &ended,
                            std::int64_t free = 100000)
    {
        jobs::AgentUpdate update;
        update.startsTaken = scheduler.agents.at(agent).startsSent;
        update.free = { free, 10000, 0 };
        update.mostStarts = 1000;
        update.ended = ended;
        return agentUpdated(scheduler, agent, update, now);
    }

    SchedulerActions pass(Milliseconds span)
    {
        now += span;
        for (auto &[name, agent] : scheduler.agents)
            agent.heardAt = now;
        return tick(scheduler, now);
    }

    SchedulerState scheduler;
    Time now { Seconds(100) };
    std::uint64_t number = 0;
    std::uint32_t priority = 0;
    jobs::JobTraits traits { false, false, false, false };
};

std::size_t startsIn(const SchedulerActions &actions)
{
    std::size_t count = 0;
    for (const AgentSend &send : actions.sends) {
        if (const auto *start = std::get_if<jobs::StartTasks>(&send.message))
            count += start->starts.size();
    }
    return count;
}

std::size_t stopsIn(const SchedulerActions &actions)
{
    std::size_t count = 0;
    for (const AgentSend &send : actions.sends) {
        if (const auto *stop = std::get_if<jobs::StopRuns>(&send.message))
            count += stop->runs.size();
    }
    return count;
}

jobs::RunReport endOf(const std::string &job, std::uint32_t index, std::uint32_t run, RunEnd end,
                      RefusedStart refused = RefusedStart::None)
{
    return { { { job, 0, 0, index }, run }, end, refused, Milliseconds(100) };
}

// [SECTION] Admission

struct AdmissionCase
{
    const char *name;
    jobs::JobTraits traits;
    std::int64_t taskCores;
    std::optional<JobOutcome> outcome;
};

class Admission : public testing::TestWithParam<AdmissionCase>
{ };

TEST_P(Admission, AnswersAtOnceWhatItCantServe)
{
    Bench bench({ 4000 });
    bench.traits = GetParam().traits;
    jobs::StepSpec step;
    step.tasks = 1;
    step.room = { GetParam().taskCores, 10, 0 };
    step.estimate = Milliseconds(100);
    const SchedulerActions actions = bench.submit("job", { step });
    ASSERT_EQ(actions.answers.size(), GetParam().outcome ? 1U : 0U);
    if (GetParam().outcome) {
        EXPECT_EQ(actions.answers[0].outcome, *GetParam().outcome);
        EXPECT_FALSE(actions.answers[0].reason.empty());
        EXPECT_TRUE(bench.scheduler.jobs.empty());
    }
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Admission,
        testing::Values(
                AdmissionCase { "BestEffort", { false, false, false, false }, 1000, {} },
                AdmissionCase { "Kept", { true, false, false, false }, 1000, JobOutcome::NotRun },
                AdmissionCase { "Gang", { false, true, false, false }, 1000, JobOutcome::NotRun },
                AdmissionCase {
                        "Lasting", { false, false, true, false }, 1000, JobOutcome::NotRun },
                AdmissionCase { "Timed", { false, false, false, true }, 1000, JobOutcome::NotRun },
                AdmissionCase {
                        "FitsNowhere", { false, false, false, false }, 5000, JobOutcome::Failed }),
        [](const auto &tested) { return tested.param.name; });

TEST(SchedulerAdmission, RefusesWhatWouldWaitTooLong)
{
    Bench bench({ 1000 });
    std::size_t refused = 0;
    for (int i = 0; i < 30; ++i) {
        for (const JobAnswer &answer : bench.submit("job-" + std::to_string(i), 1).answers) {
            EXPECT_EQ(answer.outcome, JobOutcome::NotRun);
            EXPECT_GT(answer.retryAfter, Milliseconds(0));
            ++refused;
        }
    }
    EXPECT_GT(refused, 10U);
    EXPECT_LT(refused, 29U);
}

struct ArrivalCase
{
    const char *name;
    std::uint32_t percent;

    // Jobs of priority 1 that wait already, of one task each
    int waiting;
    std::uint32_t priority;
    bool refused;
};

class Arrivals : public testing::TestWithParam<ArrivalCase>
{ };

// Of late 2500 thousandths of a core came free within 300 ms, and a job has 70 ms until it counts
// as late: in twice that time room for one task comes free, and not for two.
TEST_P(Arrivals, AreRefusedAtOnceIfTheRoomThatComesFreeIsTooLittle)
{
    SchedulerSettings settings;
    settings.refuseAtArrivalPercent = GetParam().percent;
    Bench bench({ 3000 }, settings);
    bench.priority = 1;
    bench.submit("running", 3);
    bench.report("agent-0", { endOf("running", 0, 1, RunEnd::Done) }, 0);
    bench.report("agent-0", { endOf("running", 1, 1, RunEnd::Done) }, 0);
    bench.report("agent-0", { endOf("running", 2, 1, RunEnd::Done) }, 0);
    bench.now += Milliseconds(55);
    for (int i = 0; i < GetParam().waiting; ++i)
        bench.submit("waiting-" + std::to_string(i), 1);
    bench.priority = GetParam().priority;
    const SchedulerActions actions = bench.submit("job", 1);
    ASSERT_EQ(actions.answers.size(), GetParam().refused ? 1U : 0U);
    if (GetParam().refused)
        EXPECT_EQ(actions.answers[0].outcome, JobOutcome::NotRun);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Arrivals,
                         testing::Values(ArrivalCase { "NothingWaits", 200, 0, 1, false },
                                         ArrivalCase { "OneWaits", 200, 1, 1, false },
                                         ArrivalCase { "TwoWait", 200, 2, 1, true },
                                         ArrivalCase { "MoreUrgentThanWhatWaits", 200, 2, 0,
                                                       false },
                                         ArrivalCase { "SwitchedOff", 0, 2, 1, false }),
                         [](const auto &tested) { return tested.param.name; });

// A body of 256 KiB can name more tasks than there is memory for.
TEST(SchedulerAdmission, RefusesMoreTasksThanAJobMayHaveBeforeItMakesThem)
{
    Bench bench({ 4000 });
    jobs::StepSpec step;
    step.tasks = 100000;
    step.room = { 1000, 10, 0 };
    step.estimate = Milliseconds(100);
    const SchedulerActions actions = bench.submit("job", std::vector<jobs::StepSpec>(10000, step));
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers[0].outcome, JobOutcome::NotRun);
}

TEST(SchedulerAdmission, TheSameIdJoinsTheJobThatIsAtWork)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    const std::uint64_t first = bench.number;
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 0U);
    EXPECT_EQ(bench.number, first);
}

TEST(SchedulerAdmission, TheSameIdWaitsForTheRunsOfAnAbandonedJob)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    EXPECT_EQ(stopsIn(abandon(bench.scheduler, bench.number, bench.now)), 1U);
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 0U);
    EXPECT_EQ(startsIn(bench.report("agent-0", { endOf("job", 0, 1, RunEnd::Stopped) })), 1U);
}

// [SECTION] Placing

TEST(SchedulerPlacing, StartsWhatFitsAndTheRestWhenRoomComesFree)
{
    Bench bench({ 2000, 1000 });
    EXPECT_EQ(startsIn(bench.submit("job", 5)), 3U);
    // Nothing is known of room that starts on their way will take.
    EXPECT_EQ(startsIn(bench.pass(Milliseconds(20))), 0U);
    EXPECT_EQ(startsIn(bench.report("agent-0", {}, 1000)), 1U);
}

TEST(SchedulerPlacing, TakesTheFasterEndpointFirst)
{
    Bench bench({});
    jobs::EndpointView slow = makeView(4000);
    slow.paceMille = 1500;
    bench.welcome("agent-slow", slow);
    bench.welcome("agent-fast", makeView(4000));
    const SchedulerActions actions = bench.submit("job", 2);
    ASSERT_EQ(actions.sends.size(), 1U);
    EXPECT_EQ(actions.sends[0].agent, "agent-fast");
}

struct SuitCase
{
    const char *name;
    std::function<void(jobs::EndpointView &)> change;
    bool starts;
};

std::ostream &operator<<(std::ostream &out, const SuitCase &tested)
{
    return out << tested.name;
}

class Suits : public testing::TestWithParam<SuitCase>
{ };

TEST_P(Suits, OnlyEndpointsThatMay)
{
    SchedulerSettings settings;
    settings.waitPercent = 0;
    Bench bench({}, settings);
    jobs::EndpointView view = makeView(4000);
    view.labels = { "b", "r1" };
    GetParam().change(view);
    bench.welcome("agent-0", view);
    jobs::StepSpec step;
    step.tasks = 1;
    step.room = { 1000, 10, 0 };
    step.estimate = Milliseconds(100);
    step.label = "b";
    EXPECT_EQ(startsIn(bench.submit("job", { step })), GetParam().starts ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Suits,
        testing::Values(
                SuitCase { "All", [](jobs::EndpointView &) {}, true },
                SuitCase { "OtherService", [](jobs::EndpointView &v) { v.service = "tag"; },
                           false },
                SuitCase { "NoLabel", [](jobs::EndpointView &v) { v.labels = { "a" }; }, false },
                SuitCase { "Leaving", [](jobs::EndpointView &v) { v.leaving = true; }, false },
                SuitCase { "OnTrial", [](jobs::EndpointView &v) { v.mostStarts = 0; }, false },
                SuitCase { "Full", [](jobs::EndpointView &v) { v.free.milliCores = 999; }, false }),
        [](const auto &tested) { return tested.param.name; });

TEST(SchedulerPlacing, KeepsTheLimitOfTasksOnOneEndpoint)
{
    Bench bench({ 8000, 8000 });
    jobs::StepSpec step;
    step.tasks = 6;
    step.room = { 1000, 10, 0 };
    step.estimate = Milliseconds(100);
    step.mostPerEndpoint = 2;
    EXPECT_EQ(startsIn(bench.submit("job", { step })), 4U);
}

TEST(SchedulerPlacing, LaterStepsWaitForEarlierOnes)
{
    Bench bench({ 8000 });
    jobs::StepSpec first;
    first.tasks = 2;
    first.room = { 1000, 10, 0 };
    first.estimate = Milliseconds(100);
    jobs::StepSpec second = first;
    second.tasks = 3;
    second.after = { 0 };
    EXPECT_EQ(startsIn(bench.submit("job", { first, second })), 2U);
    EXPECT_EQ(startsIn(bench.report("agent-0", { endOf("job", 0, 1, RunEnd::Done) })), 0U);
    EXPECT_EQ(startsIn(bench.report("agent-0", { endOf("job", 1, 1, RunEnd::Done) })), 3U);
}

struct WaitCase
{
    const char *name;

    // Of the job, and of one of another queue that came before
    std::uint32_t priority;
    std::uint32_t otherPriority;

    // Free at the only endpoint, of 10000
    std::int64_t free;
    std::int64_t waitPercent;
    bool sent;
};

class Waits : public testing::TestWithParam<WaitCase>
{ };

// A task of 1000 where there is no room for it.
TEST_P(Waits, AtAnAgentOnlyWhatGoesFirstThere)
{
    SchedulerSettings settings;
    settings.waitPercent = GetParam().waitPercent;
    Bench bench({ 10000 }, settings);
    bench.priority = GetParam().otherPriority;
    bench.submit("other", 1);
    bench.report("agent-0", {}, GetParam().free);
    bench.priority = GetParam().priority;
    const SchedulerActions actions = bench.submit("job", 1);
    ASSERT_EQ(startsIn(actions), GetParam().sent ? 1U : 0U);
    if (!GetParam().sent)
        return;
    const auto &message = std::get<jobs::StartTasks>(actions.sends.at(0).message);
    EXPECT_EQ(message.priority, GetParam().priority);
    EXPECT_EQ(message.mayWait, settings.mostWait);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Waits,
                         testing::Values(WaitCase { "Urgent", 0, 1, 0, 15, true },
                                         WaitCase { "MuchWaitsThere", 0, 1, -600, 15, false },
                                         WaitCase { "LessUrgent", 1, 0, 0, 15, false },
                                         WaitCase { "AllAlike", 1, 1, 0, 15, false },
                                         WaitCase { "SwitchedOff", 0, 1, 0, 0, false }),
                         [](const auto &tested) { return tested.param.name; });

// The most urgent queue is dropped: the next one takes its place at the agents.
TEST(SchedulerPlacing, WhatGoesFirstIsLearnedAnewWhenTheQueuesChange)
{
    Bench bench({ 10000 });
    for (const std::uint32_t priority : { 0U, 1U, 2U }) {
        bench.priority = priority;
        bench.submit("before-" + std::to_string(priority), 1);
    }
    keepQueues(bench.scheduler, {});
    bench.priority = 2;
    bench.submit("after-2", 1);
    bench.report("agent-0", {}, 0);
    bench.priority = 1;
    EXPECT_EQ(startsIn(bench.submit("after-1", 1)), 1U);
}

// A start that waits at an agent may still begin: nothing is said of it before the agent does.
TEST(SchedulerPlacing, AJobThatWaitsAtAnAgentIsRefusedOnlyAfterTheAgentsWord)
{
    Bench bench({ 10000 });
    bench.priority = 1;
    bench.submit("other", 1);
    bench.report("agent-0", {}, 0);
    bench.priority = 0;
    bench.submit("job", 1);
    EXPECT_TRUE(bench.pass(Milliseconds(100)).answers.empty());
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("job", 0, 1, RunEnd::NeverBegan,
                                                          RefusedStart::NoRoom) },
                                                  0);
    const SchedulerActions next = bench.pass(Milliseconds(1));
    ASSERT_EQ(actions.answers.size() + next.answers.size(), 1U);
}

// [SECTION] Ends

struct EndCase
{
    const char *name;
    RunEnd end;
    RefusedStart refused;
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
        testing::Values(EndCase { "Done", RunEnd::Done, RefusedStart::None, 0,
                                  JobOutcome::Completed },
                        EndCase { "FailedOnce", RunEnd::Failed, RefusedStart::None, 1, {} },
                        EndCase { "Lapsed", RunEnd::Lapsed, RefusedStart::None, 1, {} },
                        EndCase { "Lost", RunEnd::Lost, RefusedStart::None, 1, {} },
                        EndCase { "NoRoom", RunEnd::NeverBegan, RefusedStart::NoRoom, 1, {} },
                        EndCase { "OldRun", RunEnd::NeverBegan, RefusedStart::OldRun, 1, {} }),
        [](const auto &tested) { return tested.param.name; });

TEST(SchedulerEnds, ATaskThatFailsAsOftenAsItMayFailsItsJobAndStopsTheRest)
{
    Bench bench({ 8000 });
    bench.submit("job", 3);
    bench.report("agent-0", { endOf("job", 1, 1, RunEnd::Failed) });
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("job", 1, 2, RunEnd::Failed) });
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers[0].outcome, JobOutcome::Failed);
    EXPECT_EQ(stopsIn(actions), 2U);
}

TEST(SchedulerEnds, AFailedTaskGoesElsewhere)
{
    Bench bench({ 4000, 4000 });
    const SchedulerActions first = bench.submit("job", 1);
    const std::string agent = first.sends.at(0).agent;
    const SchedulerActions again = bench.report(agent, { endOf("job", 0, 1, RunEnd::Failed) });
    ASSERT_EQ(startsIn(again), 1U);
    EXPECT_NE(again.sends.at(0).agent, agent);
}

TEST(SchedulerEnds, AnEndOfAnEarlierRunChangesNothing)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    bench.report("agent-0", { endOf("job", 0, 1, RunEnd::Lost) });
    EXPECT_TRUE(bench.report("agent-0", { endOf("job", 0, 1, RunEnd::Done) }).answers.empty());
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
    update.startsTaken = 1;
    update.mostStarts = 1000;
    update.lagging = { { { { "job", 0, 0, 0 }, 1 }, Milliseconds(0), true, false } };
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
    update.startsTaken = 1;
    update.mostStarts = 1000;
    update.lagging = {
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

// [SECTION] Order

struct OrderCase
{
    const char *name;
    Order order;
    const char *first;
};

class Orders : public testing::TestWithParam<OrderCase>
{ };

// An early job with much time, and a later one with little.
TEST_P(Orders, DecideWhichJobGoesNext)
{
    SchedulerSettings settings;
    settings.order = GetParam().order;
    Bench bench({ 1000 }, settings);
    bench.submit("running", 1);
    jobs::StepSpec step;
    step.tasks = 1;
    step.room = { 1000, 10, 0 };
    step.estimate = Milliseconds(200);
    bench.submit("patient", { step });
    bench.now += Milliseconds(5);
    step.estimate = Milliseconds(50);
    bench.submit("urgent", { step });
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("running", 0, 1, RunEnd::Done) }, 1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, GetParam().first);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Orders,
                         testing::Values(OrderCase { "LatestBegin", Order::LatestBegin, "urgent" },
                                         OrderCase { "Newest", Order::Newest, "urgent" },
                                         OrderCase { "Priority", Order::Priority, "urgent" },
                                         OrderCase { "FirstCome", Order::FirstCome, "patient" }),
                         [](const auto &tested) { return tested.param.name; });

TEST(SchedulerOrder, NamesAreReadBack)
{
    for (const Order order :
         { Order::LatestBegin, Order::Newest, Order::FirstCome, Order::Priority })
        EXPECT_EQ(orderNamed(toString(order)), order);
    EXPECT_FALSE(orderNamed("sideways"));
    for (const Placement placement : { Placement::Fastest, Placement::Random, Placement::MostRoom })
        EXPECT_EQ(placementNamed(toString(placement)), placement);
    EXPECT_FALSE(placementNamed("sideways"));
}

// What a decision depends on: not on what queues, services, jobs and data centres are called.
struct Names
{
    const char *queue;
    const char *service;
    const char *job;
    const char *dataCentre;
};

class RenamedWorlds : public testing::TestWithParam<Names>
{ };

// A busy second of two queues on three endpoints that differ in pace: all starts, stops and
// answers.
std::vector<std::string> decisionsUnder(const Names &names)
{
    SchedulerState scheduler = makeScheduler({});
    Time now(Seconds(100));
    for (int i = 0; i < 3; ++i) {
        jobs::Welcome welcome;
        welcome.endpoint = makeView(4000);
        welcome.endpoint.service = names.service;
        welcome.endpoint.dataCentre = names.dataCentre;
        welcome.endpoint.paceMille = 800 + 300 * static_cast<std::uint32_t>(i);
        agentConnected(scheduler, "agent-" + std::to_string(i), now);
        agentWelcomed(scheduler, "agent-" + std::to_string(i), welcome, now);
    }
    std::vector<std::string> decisions;
    const auto note = [&](const SchedulerActions &actions) {
        for (const AgentSend &send : actions.sends) {
            const auto *start = std::get_if<jobs::StartTasks>(&send.message);
            decisions.push_back(send.agent + " " + std::to_string(send.message.index()) + " "
                                + std::to_string(start ? start->starts.size() : 0) + " "
                                + std::to_string(start ? start->estimate.count() : 0));
        }
        for (const JobAnswer &answer : actions.answers)
            decisions.push_back(std::to_string(answer.number) + " " + toString(answer.outcome));
    };
    for (int i = 0; i < 100; ++i) {
        now += Milliseconds(10);
        jobs::StepSpec step;
        step.tasks = 1 + static_cast<std::uint32_t>(i % 5);
        step.room = { 700, 10, 0 };
        step.estimate = Milliseconds(50 + 17 * (i % 7));
        jobs::JobSpec spec;
        spec.id = names.job + std::to_string(i);
        spec.steps = { step };
        JobTerms terms;
        terms.queue = names.queue + std::to_string(i % 2);
        terms.service = names.service;
        terms.priority = static_cast<std::uint32_t>(i % 2);
        terms.attempts = 2;
        terms.stretch = 1.6;
        terms.targetLatency = Milliseconds(60);
        terms.beginBy = now + Milliseconds(1500);
        std::uint64_t number = 0;
        note(submit(scheduler, spec, terms, now, &number));
        for (auto &[name, agent] : scheduler.agents)
            agent.heardAt = now;
        jobs::AgentUpdate update;
        const std::string name = "agent-" + std::to_string(i % 3);
        update.startsTaken = scheduler.agents.at(name).startsSent;
        update.free = { std::int64_t { 700 } * (i % 4), 10000, 0 };
        update.mostStarts = 1000;
        note(agentUpdated(scheduler, name, update, now));
        note(tick(scheduler, now));
    }
    return decisions;
}

TEST_P(RenamedWorlds, GiveTheSameDecisions)
{
    const std::vector<std::string> decisions = decisionsUnder({ "queue", "align", "job", "north" });
    EXPECT_GT(decisions.size(), 100U);
    EXPECT_EQ(decisionsUnder(GetParam()), decisions);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, RenamedWorlds,
                         testing::Values(Names { "zebra", "align", "job", "north" },
                                         Names { "queue", "tag", "job", "north" },
                                         Names { "queue", "align", "9f", "north" },
                                         Names { "queue", "align", "job", "a-very-long-name" }));

// A queue's priority goes before how little time a job of another queue has.
TEST(SchedulerOrder, PriorityGoesBeforeTheLatestBegin)
{
    Bench bench({ 1000 });
    bench.submit("running", 1);
    jobs::StepSpec step;
    step.tasks = 1;
    step.room = { 1000, 10, 0 };
    step.estimate = Milliseconds(50);
    bench.priority = 2;
    bench.submit("pressing", { step });
    step.estimate = Milliseconds(200);
    bench.priority = 0;
    bench.submit("first-class", { step });
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("running", 0, 1, RunEnd::Done) }, 1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, "first-class");
}

struct LateCase
{
    const char *name;
    bool refuseLate;

    // After the job came: 100 ms of work within 220 ms, so a latest begin at 120 ms and 50 ms of
    // margin
    Milliseconds waited;
    bool refused;
};

class LateJobs : public testing::TestWithParam<LateCase>
{ };

TEST_P(LateJobs, AreRefusedOnceTheyCannotBeOnTime)
{
    SchedulerSettings settings;
    settings.refuseLate = GetParam().refuseLate;
    settings.marginPercent = 50;
    Bench bench({ 1000 }, settings);
    bench.submit("running", 1);
    bench.submit("waiting", 1);
    const SchedulerActions actions = bench.pass(GetParam().waited);
    ASSERT_EQ(actions.answers.size(), GetParam().refused ? 1U : 0U);
    if (!GetParam().refused)
        return;
    EXPECT_EQ(actions.answers.at(0).outcome, JobOutcome::NotRun);
    EXPECT_GT(actions.answers.at(0).retryAfter, Milliseconds(0));
}

INSTANTIATE_TEST_SUITE_P(Scheduler, LateJobs,
                         testing::Values(LateCase { "StillOnTime", true, Milliseconds(60), false },
                                         LateCase { "PastTheMargin", true, Milliseconds(75), true },
                                         LateCase { "KeptWhereAsked", false, Milliseconds(75),
                                                    false }),
                         [](const auto &tested) { return tested.param.name; });

// Jobs of a queue that take twice what callers guess have half of the time that the guess leaves.
TEST(SchedulerOrder, ObjectivesFollowWhatTheQueuesJobsShowed)
{
    Bench bench({ 100000 });
    for (int i = 0; i < 300; ++i) {
        const std::string id = "past-" + std::to_string(i);
        bench.submit(id, 1);
        jobs::RunReport report = endOf(id, 0, 1, RunEnd::Done);
        report.took = Milliseconds(200);
        bench.report("agent-0", { report });
    }
    bench.submit("next", 1);
    const Job &job = bench.scheduler.jobs.at(bench.number);
    EXPECT_EQ(job.guessed, Milliseconds(100));
    EXPECT_NEAR(static_cast<double>(job.expected.count()), 200, 15);
    EXPECT_EQ(job.tasks.at(0).expected, job.expected);
}

TEST(SchedulerOrder, QueuesThatAreDeclaredNoMoreAreForgotten)
{
    Bench bench({ 100000 });
    bench.submit("job", 1);
    jobs::RunReport report = endOf("job", 0, 1, RunEnd::Done);
    report.took = Milliseconds(200);
    bench.report("agent-0", { report });
    keepQueues(bench.scheduler, { "queue" });
    EXPECT_EQ(bench.scheduler.runTimes.size(), 1U);
    keepQueues(bench.scheduler, { "another" });
    EXPECT_TRUE(bench.scheduler.runTimes.empty());
}

TEST(SchedulerOrder, AJobThatHasBegunGoesBeforeAMoreUrgentOne)
{
    Bench bench({ 1000 });
    jobs::StepSpec step;
    step.tasks = 2;
    step.room = { 1000, 10, 0 };
    step.estimate = Milliseconds(200);
    bench.submit("begun", { step });
    step.estimate = Milliseconds(20);
    bench.submit("urgent", { step });
    const SchedulerActions actions = bench.report("agent-0", { endOf("begun", 0, 1, RunEnd::Done) },
                                                  1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, "begun");
}

} // namespace
} // namespace foxwing::scheduler
