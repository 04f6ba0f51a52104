/*
    Placement of tasks on endpoints.

    [SECTION] Placement
*/
#include "fixture.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Placement

TEST(SchedulerPlacement, StartsWhatFitsAndTheRestWhenCapacityIsFreed)
{
    SchedulerFixture fixture({ 2000, 1000 });
    EXPECT_EQ(startsIn(fixture.submit("job", 5)), 3U);
    // Free capacity already promised to starts on the way is not used again.
    EXPECT_EQ(startsIn(fixture.advance(Milliseconds(20))), 0U);
    EXPECT_EQ(startsIn(fixture.report("agent-0", {}, 1000)), 1U);
}

TEST(SchedulerPlacement, TakesTheFasterEndpointFirst)
{
    SchedulerFixture fixture({});
    jobs::EndpointView slow = makeView(4000);
    slow.slowdownPermille = 1500;
    fixture.openSession("agent-slow", slow);
    fixture.openSession("agent-fast", makeView(4000));
    const SchedulerActions actions = fixture.submit("job", 2);
    ASSERT_EQ(actions.sends.size(), 1U);
    EXPECT_EQ(actions.sends[0].agent, "agent-fast");
}

struct SuitableCase
{
    const char *name;
    std::function<void(jobs::EndpointView &)> change;
    bool starts;
};

std::ostream &operator<<(std::ostream &out, const SuitableCase &tested)
{
    return out << tested.name;
}

class SuitableEndpoints : public testing::TestWithParam<SuitableCase>
{ };

TEST_P(SuitableEndpoints, AreTheOnlyOnesUsed)
{
    SchedulerSettings settings;
    settings.maxShortfallPercent = 0;
    SchedulerFixture fixture({}, settings);
    jobs::EndpointView view = makeView(4000);
    view.labels = { "b", "r1" };
    GetParam().change(view);
    fixture.openSession("agent-0", view);
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(100);
    step.label = "b";
    EXPECT_EQ(startsIn(fixture.submit("job", { step })), GetParam().starts ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, SuitableEndpoints,
        testing::Values(
                SuitableCase { "All", [](jobs::EndpointView &) {}, true },
                SuitableCase { "OtherService", [](jobs::EndpointView &v) { v.service = "tag"; },
                               false },
                SuitableCase { "NoLabel", [](jobs::EndpointView &v) { v.labels = { "a" }; },
                               false },
                SuitableCase { "Leaving", [](jobs::EndpointView &v) { v.leaving = true; }, false },
                SuitableCase { "OnProbation", [](jobs::EndpointView &v) { v.maxStarts = 0; },
                               false },
                SuitableCase { "Full", [](jobs::EndpointView &v) { v.free.milliCores = 999; },
                               false }),
        [](const auto &tested) { return tested.param.name; });

// Two endpoints in "north" and one in "south", each with capacity for four tasks.
struct CordonedFixture : SchedulerFixture
{
    CordonedFixture()
        : SchedulerFixture({})
    {
        jobs::EndpointView view = makeView(4000);
        view.dataCentre = "north";
        openSession("agent-0", view);
        openSession("agent-1", view);
        view.dataCentre = "south";
        openSession("agent-2", view);
    }

    SchedulerActions cordon(std::uint64_t revision, const std::vector<std::string> &dataCentres)
    {
        return applyCordons(scheduler, { revision, dataCentres }, now);
    }
};

TEST(SchedulerCordon, SendsNothingThereAndGoesOnElsewhere)
{
    CordonedFixture fixture;
    fixture.cordon(1, { "north" });
    const SchedulerActions actions = fixture.submit("job", 6);
    EXPECT_EQ(startsIn(actions), 4U);
    for (const AgentSend &send : actions.sends) {
        if (std::holds_alternative<jobs::StartTasks>(send.message)) {
            EXPECT_EQ(send.agent, "agent-2");
        }
    }
}

TEST(SchedulerCordon, RemovalLetsWaitingWorkStartAtOnce)
{
    CordonedFixture fixture;
    fixture.cordon(1, { "north" });
    fixture.submit("job", 6);
    EXPECT_EQ(startsIn(fixture.cordon(2, {})), 2U);
    // An older revision that arrives late
    fixture.cordon(1, { "north" });
    EXPECT_TRUE(fixture.scheduler.cordons.dataCentres.empty());
}

// A third of the capacity stays: what was freed in the other two thirds no longer counts.
TEST(SchedulerCordon, CountsOnlyRemainingCapacity)
{
    CordonedFixture fixture;
    fixture.submit("job", 12);
    for (std::uint32_t index = 0; index < 12; ++index) {
        const std::string agent = fixture.scheduler.jobs.begin()->second.tasks[index].agent;
        fixture.report(agent, { runReport("job", index, 1, RunOutcome::Done) });
    }
    const double before = fixture.scheduler.freed.begin()->second.recent.amount;
    fixture.cordon(1, { "north" });
    EXPECT_NEAR(fixture.scheduler.freed.begin()->second.recent.amount, before / 3, 1);
}

TEST(SchedulerPlacement, KeepsTheLimitOfTasksOnOneEndpoint)
{
    SchedulerFixture fixture({ 8000, 8000 });
    jobs::StepSpec step;
    step.tasks = 6;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(100);
    step.maxPerEndpoint = 2;
    EXPECT_EQ(startsIn(fixture.submit("job", { step })), 4U);
}

TEST(SchedulerPlacement, LaterStepsWaitForEarlierOnes)
{
    SchedulerFixture fixture({ 8000 });
    jobs::StepSpec first;
    first.tasks = 2;
    first.demand = { 1000, 10, 0 };
    first.estimate = Milliseconds(100);
    jobs::StepSpec second = first;
    second.tasks = 3;
    second.after = { 0 };
    EXPECT_EQ(startsIn(fixture.submit("job", { first, second })), 2U);
    EXPECT_EQ(startsIn(fixture.report("agent-0", { runReport("job", 0, 1, RunOutcome::Done) })),
              0U);
    EXPECT_EQ(startsIn(fixture.report("agent-0", { runReport("job", 1, 1, RunOutcome::Done) })),
              3U);
}

// Eighty full endpoints, sixteen waiting jobs, and one endpoint that reports its free capacity.
struct UpdateCase
{
    const char *name;
    std::int64_t freeBefore;
    std::int64_t freeNow;
    std::uint64_t maxTried;
    std::size_t started;
};

class CapacityUpdates : public testing::TestWithParam<UpdateCase>
{ };

TEST_P(CapacityUpdates, TriggerPlacementOnlyWhereCapacityGrew)
{
    SchedulerFixture fixture(std::vector<std::int64_t>(80, 16000));
    for (const auto &[name, agent] : fixture.scheduler.agents)
        fixture.report(name, {}, GetParam().freeBefore);
    for (int i = 0; i < 16; ++i)
        fixture.submit("job-" + std::to_string(i), 4);
    const std::uint64_t before = fixture.scheduler.counters.endpointsTried;
    const SchedulerActions actions = fixture.report("agent-7", {}, GetParam().freeNow);
    EXPECT_LE(fixture.scheduler.counters.endpointsTried - before, GetParam().maxTried);
    EXPECT_EQ(startsIn(actions), GetParam().started);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, CapacityUpdates,
                         testing::Values(UpdateCase { "Less", 900, 500, 0, 0 },
                                         UpdateCase { "Same", 900, 900, 0, 0 },
                                         UpdateCase { "TooLittleMore", 500, 900, 16, 0 },
                                         UpdateCase { "CapacityForThree", 500, 3500, 32, 3 }),
                         [](const auto &tested) { return tested.param.name; });

std::size_t heartbeatsIn(const SchedulerActions &actions, bool needsCapacity)
{
    return static_cast<std::size_t>(
            std::count_if(actions.sends.begin(), actions.sends.end(), [&](const AgentSend &send) {
                const auto *heartbeat = std::get_if<jobs::SessionHeartbeat>(&send.message);
                return heartbeat && heartbeat->needsCapacity == needsCapacity;
            }));
}

TEST(SchedulerPlacement, AgentsAreAskedForUpdatesOnceWhileWorkDoesNotFit)
{
    SchedulerSettings settings;
    settings.refuseLate = false;
    SchedulerFixture fixture({ 2000, 2000, 2000 }, settings);
    EXPECT_EQ(heartbeatsIn(fixture.submit("fits", 6), true), 0U);
    EXPECT_EQ(heartbeatsIn(fixture.submit("waits", 1), true), 3U);
    EXPECT_EQ(heartbeatsIn(fixture.submit("waits-too", 1), true), 0U);
    for (const char *agent : { "agent-0", "agent-1", "agent-2" })
        fixture.report(agent, {}, 2000);
    const SchedulerActions actions = fixture.advance(settings.needsCapacityFor);
    EXPECT_EQ(heartbeatsIn(actions, false), 3U);
}

// An entry of one data centre and endpoints of two, with four cores each: how many of a job's
// one-core tasks start in the entry's own.
struct RemoteCase
{
    const char *name;
    const char *entryAt;
    std::uint32_t remotePercent;

    // Slowdown of the local endpoint, in thousandths
    std::uint32_t localSlowdown;
    bool localLeaves;
    std::uint32_t tasks;
    std::size_t startedLocally;
    std::size_t started;
};

class RemoteEndpoints : public testing::TestWithParam<RemoteCase>
{ };

TEST_P(RemoteEndpoints, TakeWorkOnceLocalOnesAreFullSlowOrGone)
{
    const RemoteCase &tested = GetParam();
    SchedulerSettings settings;
    settings.dataCentre = tested.entryAt;
    settings.remotePercent = tested.remotePercent;
    SchedulerFixture fixture({}, settings);
    for (const char *name : { "a-1", "b-1", "b-2", "b-3" }) {
        jobs::EndpointView view = makeView(4000);
        view.dataCentre = std::string(name).substr(0, 1);
        const bool local = view.dataCentre == "a";
        view.slowdownPermille = local ? tested.localSlowdown : 1000;
        view.leaving = local && tested.localLeaves;
        fixture.openSession(name, view);
    }
    const SchedulerActions actions = fixture.submit("job", tested.tasks);
    std::size_t localStarts = 0;
    for (const AgentSend &send : actions.sends) {
        if (send.agent == "a-1")
            localStarts += std::get<jobs::StartTasks>(send.message).starts.size();
    }
    EXPECT_EQ(localStarts, tested.startedLocally);
    EXPECT_EQ(startsIn(actions), tested.started);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, RemoteEndpoints,
        testing::Values(RemoteCase { "Local", "a", 50, 1000, false, 4, 4, 4 },
                        RemoteCase { "FullThenRemote", "a", 50, 1000, false, 9, 4, 9 },
                        RemoteCase { "SlowLocal", "a", 50, 2000, false, 4, 0, 4 },
                        RemoteCase { "LocalLeaves", "a", 50, 1000, true, 4, 0, 4 },
                        RemoteCase { "NoneLocal", "c", 50, 1000, false, 16, 4, 16 },
                        RemoteCase { "DataCentreNotKnown", "", 50, 1000, false, 16, 4, 16 }),
        [](const auto &tested) { return tested.param.name; });

// Four endpoints of four cores, some of them silent for a while: how many tasks start at those.
struct SuspectCase
{
    const char *name;
    std::size_t suspects;
    Milliseconds silence;
    std::uint32_t tasks;
    std::size_t startedAtSuspects;
};

class SuspectAgents : public testing::TestWithParam<SuspectCase>
{ };

TEST_P(SuspectAgents, TakeWorkOnlyIfNoOtherFits)
{
    SchedulerFixture fixture({ 4000, 4000, 4000, 4000 });
    fixture.now += GetParam().silence;
    for (std::size_t i = GetParam().suspects; i < 4; ++i)
        fixture.report("agent-" + std::to_string(i), {}, 4000);
    std::size_t atSuspects = 0;
    for (const AgentSend &send : fixture.submit("job", GetParam().tasks).sends) {
        const auto *start = std::get_if<jobs::StartTasks>(&send.message);
        if (start && std::stoul(send.agent.substr(6)) < GetParam().suspects)
            atSuspects += start->starts.size();
    }
    EXPECT_EQ(atSuspects, GetParam().startedAtSuspects);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, SuspectAgents,
                         testing::Values(SuspectCase { "One", 1, Milliseconds(220), 12, 0 },
                                         SuspectCase { "OthersFull", 1, Milliseconds(220), 14, 2 },
                                         SuspectCase { "NotLongEnough", 2, Milliseconds(219), 16,
                                                       8 },
                                         SuspectCase { "All", 4, Milliseconds(220), 8, 8 }),
                         [](const auto &tested) { return tested.param.name; });

struct WaitCase
{
    const char *name;

    // Of the job, and of an earlier one of another queue
    std::uint32_t priority;
    std::uint32_t otherPriority;

    // Free millicores at the only endpoint, of 10000
    std::int64_t free;
    std::int64_t maxShortfallPercent;
    bool sent;
};

class AgentWaits : public testing::TestWithParam<WaitCase>
{ };

// A task of 1000 millicores, with less than that free.
TEST_P(AgentWaits, AreOnlyForTheMostUrgentPriority)
{
    SchedulerSettings settings;
    settings.maxShortfallPercent = GetParam().maxShortfallPercent;
    SchedulerFixture fixture({ 10000 }, settings);
    fixture.priority = GetParam().otherPriority;
    fixture.submit("other", 1);
    fixture.report("agent-0", {}, GetParam().free);
    fixture.priority = GetParam().priority;
    const SchedulerActions actions = fixture.submit("job", 1);
    ASSERT_EQ(startsIn(actions), GetParam().sent ? 1U : 0U);
    if (!GetParam().sent)
        return;
    const auto &message = std::get<jobs::StartTasks>(actions.sends.at(0).message);
    EXPECT_EQ(message.priority, GetParam().priority);
    EXPECT_EQ(message.maxWait, settings.maxAgentWait);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, AgentWaits,
                         testing::Values(WaitCase { "Urgent", 0, 1, 0, 15, true },
                                         WaitCase { "MuchWaitsThere", 0, 1, -600, 15, false },
                                         WaitCase { "LessUrgent", 1, 0, 0, 15, false },
                                         WaitCase { "EqualPriorities", 1, 1, 0, 15, false },
                                         WaitCase { "SwitchedOff", 0, 1, 0, 0, false }),
                         [](const auto &tested) { return tested.param.name; });

// The end of a run is reported in its session.
TEST(SchedulerPlacement, ASessionIsReleasedOnlyOnceNoRunNeedsIt)
{
    SchedulerFixture fixture({ 10000, 10000 });
    fixture.submit("job", 1);
    const std::string busy = fixture.scheduler.jobs.at(fixture.number).tasks.at(0).agent;
    const std::string idle = busy == "agent-0" ? "agent-1" : "agent-0";
    EXPECT_FALSE(releaseAgent(fixture.scheduler, busy));
    EXPECT_TRUE(releaseAgent(fixture.scheduler, idle));
    EXPECT_EQ(fixture.scheduler.agents.count(idle), 0U);
    fixture.report(busy, { runReport("job", 0, 1, RunOutcome::Done) });
    EXPECT_TRUE(releaseAgent(fixture.scheduler, busy));
}

// A suitable endpoint exists but has no session yet: the job is not refused.
TEST(SchedulerPlacement, AJobWaitsForAKnownSuitableEndpoint)
{
    SchedulerFixture fixture({ 10000 });
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 20000, 10, 0 };
    step.estimate = Milliseconds(100);
    jobs::JobSpec spec;
    spec.id = "large";
    spec.steps = { step };
    spec.traits = fixture.traits;
    JobOptions options = fixture.options();
    options.suitableUnconnected = true;
    const SchedulerActions waits = submit(fixture.scheduler, spec, options, fixture.now,
                                          &fixture.number);
    EXPECT_TRUE(waits.answers.empty());
    EXPECT_EQ(startsIn(fixture.openSession("agent-1", makeView(20000))), 1U);
}

// The most urgent queue is removed: starts of the next one may wait at agents.
TEST(SchedulerPlacement, PrioritiesInUseAreLearnedAnewWhenTheQueuesChange)
{
    SchedulerFixture fixture({ 10000 });
    for (const std::uint32_t priority : { 0U, 1U, 2U }) {
        fixture.priority = priority;
        fixture.submit("before-" + std::to_string(priority), 1);
    }
    retainQueues(fixture.scheduler, {});
    fixture.priority = 2;
    fixture.submit("after-2", 1);
    fixture.report("agent-0", {}, 0);
    fixture.priority = 1;
    EXPECT_EQ(startsIn(fixture.submit("after-1", 1)), 1U);
}

// A start that waits at an agent may still begin: the job is not answered before the agent reports.
TEST(SchedulerPlacement, AJobThatWaitsAtAnAgentIsRefusedOnlyAfterItsReport)
{
    SchedulerFixture fixture({ 10000 });
    fixture.priority = 1;
    fixture.submit("other", 1);
    fixture.report("agent-0", {}, 0);
    fixture.priority = 0;
    fixture.submit("job", 1);
    EXPECT_TRUE(fixture.advance(Milliseconds(100)).answers.empty());
    const SchedulerActions actions = fixture.report("agent-0",
                                                    { runReport("job", 0, 1,
                                                                RunOutcome::NeverStarted,
                                                                StartRefusal::NoCapacity) },
                                                    0);
    const SchedulerActions next = fixture.advance(Milliseconds(1));
    ASSERT_EQ(actions.answers.size() + next.answers.size(), 1U);
}

} // namespace
} // namespace foxwing::scheduler
