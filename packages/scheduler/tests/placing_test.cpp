/*
    What starts where.

    [SECTION] Placing
*/
#include "bench.h"

namespace foxwing::scheduler {
namespace {

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
    slow.slowdownPermille = 1500;
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
    step.demand = { 1000, 10, 0 };
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
                SuitCase { "OnTrial", [](jobs::EndpointView &v) { v.maxStarts = 0; }, false },
                SuitCase { "Full", [](jobs::EndpointView &v) { v.free.milliCores = 999; }, false }),
        [](const auto &tested) { return tested.param.name; });

// Two endpoints in "north" and one in "south", each with room for four tasks.
struct CordonedBench : Bench
{
    CordonedBench()
        : Bench({})
    {
        jobs::EndpointView view = makeView(4000);
        view.dataCentre = "north";
        welcome("agent-0", view);
        welcome("agent-1", view);
        view.dataCentre = "south";
        welcome("agent-2", view);
    }

    SchedulerActions cordon(std::uint64_t revision, const std::vector<std::string> &dataCentres)
    {
        return takeCordons(scheduler, { revision, dataCentres }, now);
    }
};

TEST(SchedulerCordon, SendsNothingThereAndGoesOnElsewhere)
{
    CordonedBench bench;
    bench.cordon(1, { "north" });
    const SchedulerActions actions = bench.submit("job", 6);
    EXPECT_EQ(startsIn(actions), 4U);
    for (const AgentSend &send : actions.sends) {
        if (std::holds_alternative<jobs::StartTasks>(send.message)) {
            EXPECT_EQ(send.agent, "agent-2");
        }
    }
}

TEST(SchedulerCordon, TakenBackLetsWaitingWorkStartAtOnce)
{
    CordonedBench bench;
    bench.cordon(1, { "north" });
    bench.submit("job", 6);
    EXPECT_EQ(startsIn(bench.cordon(2, {})), 2U);
    // Older news that comes late
    bench.cordon(1, { "north" });
    EXPECT_TRUE(bench.scheduler.cordons.dataCentres.empty());
}

// A third of the room stays: what came free in the other two is nothing that work can wait for.
TEST(SchedulerCordon, CountsOnlyRoomThatStays)
{
    CordonedBench bench;
    bench.submit("job", 12);
    for (std::uint32_t index = 0; index < 12; ++index) {
        const std::string agent = bench.scheduler.jobs.begin()->second.tasks[index].agent;
        bench.report(agent, { endOf("job", index, 1, RunOutcome::Done) });
    }
    const double before = bench.scheduler.freed.begin()->second.ofLate.amount;
    bench.cordon(1, { "north" });
    EXPECT_NEAR(bench.scheduler.freed.begin()->second.ofLate.amount, before / 3, 1);
}

TEST(SchedulerPlacing, KeepsTheLimitOfTasksOnOneEndpoint)
{
    Bench bench({ 8000, 8000 });
    jobs::StepSpec step;
    step.tasks = 6;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(100);
    step.maxPerEndpoint = 2;
    EXPECT_EQ(startsIn(bench.submit("job", { step })), 4U);
}

TEST(SchedulerPlacing, LaterStepsWaitForEarlierOnes)
{
    Bench bench({ 8000 });
    jobs::StepSpec first;
    first.tasks = 2;
    first.demand = { 1000, 10, 0 };
    first.estimate = Milliseconds(100);
    jobs::StepSpec second = first;
    second.tasks = 3;
    second.after = { 0 };
    EXPECT_EQ(startsIn(bench.submit("job", { first, second })), 2U);
    EXPECT_EQ(startsIn(bench.report("agent-0", { endOf("job", 0, 1, RunOutcome::Done) })), 0U);
    EXPECT_EQ(startsIn(bench.report("agent-0", { endOf("job", 1, 1, RunOutcome::Done) })), 3U);
}

// Eighty full endpoints, sixteen jobs that wait, and one endpoint that tells its room.
struct NewsCase
{
    const char *name;
    std::int64_t freeBefore;
    std::int64_t freeNow;
    std::uint64_t mostTried;
    std::size_t started;
};

class News : public testing::TestWithParam<NewsCase>
{ };

TEST_P(News, OfRoomIsLookedAtOnlyWhereItGrew)
{
    Bench bench(std::vector<std::int64_t>(80, 16000));
    for (const auto &[name, agent] : bench.scheduler.agents)
        bench.report(name, {}, GetParam().freeBefore);
    for (int i = 0; i < 16; ++i)
        bench.submit("job-" + std::to_string(i), 4);
    const std::uint64_t before = bench.scheduler.counters.endpointsTried;
    const SchedulerActions actions = bench.report("agent-7", {}, GetParam().freeNow);
    EXPECT_LE(bench.scheduler.counters.endpointsTried - before, GetParam().mostTried);
    EXPECT_EQ(startsIn(actions), GetParam().started);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, News,
                         testing::Values(NewsCase { "Less", 900, 500, 0, 0 },
                                         NewsCase { "Same", 900, 900, 0, 0 },
                                         NewsCase { "TooLittleMore", 500, 900, 16, 0 },
                                         NewsCase { "RoomForThree", 500, 3500, 32, 3 }),
                         [](const auto &tested) { return tested.param.name; });

std::size_t wishesIn(const SchedulerActions &actions, bool needsCapacity)
{
    return static_cast<std::size_t>(
            std::count_if(actions.sends.begin(), actions.sends.end(), [&](const AgentSend &send) {
                const auto *heartbeat = std::get_if<jobs::SessionHeartbeat>(&send.message);
                return heartbeat && heartbeat->needsCapacity == needsCapacity;
            }));
}

TEST(SchedulerPlacing, AgentsAreAskedForNewsOfRoomOnceWhileWorkFindsNone)
{
    SchedulerSettings settings;
    settings.refuseLate = false;
    Bench bench({ 2000, 2000, 2000 }, settings);
    EXPECT_EQ(wishesIn(bench.submit("fits", 6), true), 0U);
    EXPECT_EQ(wishesIn(bench.submit("waits", 1), true), 3U);
    EXPECT_EQ(wishesIn(bench.submit("waits-too", 1), true), 0U);
    for (const char *agent : { "agent-0", "agent-1", "agent-2" })
        bench.report(agent, {}, 2000);
    const SchedulerActions actions = bench.pass(settings.wantRoomFor);
    EXPECT_EQ(wishesIn(actions, false), 3U);
}

// An entry of one data centre among endpoints of two, four cores each: how many of a job's tasks,
// of a core each, start at the entry's own.
struct AwayCase
{
    const char *name;
    const char *entryAt;
    std::uint32_t awayPercent;

    // Time taken by the endpoint at home, in thousandths of what callers guess
    std::uint32_t homePace;
    bool homeLeaves;
    std::uint32_t tasks;
    std::size_t startedAtHome;
    std::size_t started;
};

class Away : public testing::TestWithParam<AwayCase>
{ };

TEST_P(Away, EndpointsTakeWorkOnceTheOwnDataCentreIsFullSlowOrGone)
{
    const AwayCase &tested = GetParam();
    SchedulerSettings settings;
    settings.dataCentre = tested.entryAt;
    settings.awayPercent = tested.awayPercent;
    Bench bench({}, settings);
    for (const char *place : { "a-1", "b-1", "b-2", "b-3" }) {
        jobs::EndpointView view = makeView(4000);
        view.dataCentre = std::string(place).substr(0, 1);
        const bool home = view.dataCentre == "a";
        view.slowdownPermille = home ? tested.homePace : 1000;
        view.leaving = home && tested.homeLeaves;
        bench.welcome(place, view);
    }
    const SchedulerActions actions = bench.submit("job", tested.tasks);
    std::size_t atHome = 0;
    for (const AgentSend &send : actions.sends) {
        if (send.agent == "a-1")
            atHome += std::get<jobs::StartTasks>(send.message).starts.size();
    }
    EXPECT_EQ(atHome, tested.startedAtHome);
    EXPECT_EQ(startsIn(actions), tested.started);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Away,
                         testing::Values(AwayCase { "Home", "a", 50, 1000, false, 4, 4, 4 },
                                         AwayCase { "FullThenSpills", "a", 50, 1000, false, 9, 4,
                                                    9 },
                                         AwayCase { "SlowHome", "a", 50, 2000, false, 4, 0, 4 },
                                         AwayCase { "HomeLeaves", "a", 50, 1000, true, 4, 0, 4 },
                                         AwayCase { "NoneAtHome", "c", 50, 1000, false, 16, 4, 16 },
                                         AwayCase { "NotKnown", "", 50, 1000, false, 16, 4, 16 }),
                         [](const auto &tested) { return tested.param.name; });

// Four endpoints of four cores, some of which were not heard of for a while: starts at those.
struct QuietCase
{
    const char *name;
    std::size_t quiet;
    Milliseconds silence;
    std::uint32_t tasks;
    std::size_t startedAtQuiet;
};

class Quiet : public testing::TestWithParam<QuietCase>
{ };

TEST_P(Quiet, AgentsTakeWorkOnlyIfNoOtherHasRoom)
{
    Bench bench({ 4000, 4000, 4000, 4000 });
    bench.now += GetParam().silence;
    for (std::size_t i = GetParam().quiet; i < 4; ++i)
        bench.report("agent-" + std::to_string(i), {}, 4000);
    std::size_t atQuiet = 0;
    for (const AgentSend &send : bench.submit("job", GetParam().tasks).sends) {
        const auto *start = std::get_if<jobs::StartTasks>(&send.message);
        if (start && std::stoul(send.agent.substr(6)) < GetParam().quiet)
            atQuiet += start->starts.size();
    }
    EXPECT_EQ(atQuiet, GetParam().startedAtQuiet);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Quiet,
                         testing::Values(QuietCase { "One", 1, Milliseconds(220), 12, 0 },
                                         QuietCase { "OthersFull", 1, Milliseconds(220), 14, 2 },
                                         QuietCase { "NotForLong", 2, Milliseconds(219), 16, 8 },
                                         QuietCase { "AllOfThem", 4, Milliseconds(220), 8, 8 }),
                         [](const auto &tested) { return tested.param.name; });

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
    EXPECT_EQ(message.maxWait, settings.mostWait);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Waits,
                         testing::Values(WaitCase { "Urgent", 0, 1, 0, 15, true },
                                         WaitCase { "MuchWaitsThere", 0, 1, -600, 15, false },
                                         WaitCase { "LessUrgent", 1, 0, 0, 15, false },
                                         WaitCase { "AllAlike", 1, 1, 0, 15, false },
                                         WaitCase { "SwitchedOff", 0, 1, 0, 0, false }),
                         [](const auto &tested) { return tested.param.name; });

// A session that a run needs is kept: its end would be told to nobody.
TEST(SchedulerPlacing, ASessionIsReleasedOnlyOnceNoRunNeedsIt)
{
    Bench bench({ 10000, 10000 });
    bench.submit("job", 1);
    const std::string busy = bench.scheduler.jobs.at(bench.number).tasks.at(0).agent;
    const std::string idle = busy == "agent-0" ? "agent-1" : "agent-0";
    EXPECT_FALSE(releaseAgent(bench.scheduler, busy));
    EXPECT_TRUE(releaseAgent(bench.scheduler, idle));
    EXPECT_EQ(bench.scheduler.agents.count(idle), 0U);
    bench.report(busy, { endOf("job", 0, 1, RunOutcome::Done) });
    EXPECT_TRUE(releaseAgent(bench.scheduler, busy));
}

// An endpoint that suits is there and only has no session yet: the job is not given up for it.
TEST(SchedulerPlacing, AJobWaitsForAnEndpointThatIsKnownToSuit)
{
    Bench bench({ 10000 });
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 20000, 10, 0 };
    step.estimate = Milliseconds(100);
    jobs::JobSpec spec;
    spec.id = "large";
    spec.steps = { step };
    spec.traits = bench.traits;
    JobTerms terms = bench.terms();
    terms.suitableElsewhere = true;
    const SchedulerActions waits = submit(bench.scheduler, spec, terms, bench.now, &bench.number);
    EXPECT_TRUE(waits.answers.empty());
    EXPECT_EQ(startsIn(bench.welcome("agent-1", makeView(20000))), 1U);
}

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
                                                  { endOf("job", 0, 1, RunOutcome::NeverStarted,
                                                          StartRefusal::NoCapacity) },
                                                  0);
    const SchedulerActions next = bench.pass(Milliseconds(1));
    ASSERT_EQ(actions.answers.size() + next.answers.size(), 1U);
}

} // namespace
} // namespace foxwing::scheduler
