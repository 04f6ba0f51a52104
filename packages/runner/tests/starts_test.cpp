/*
    Starts that the runner accepts, lets wait for capacity, or refuses.

    [SECTION] Starts
    [SECTION] Waiting starts
    [SECTION] Changes of capacity
    [SECTION] Reservations and deadlines
    [SECTION] Cordons
*/
#include "fixture.h"

namespace foxwing::runner {
namespace {

// [SECTION] Starts

struct StartCase
{
    const char *name;
    std::function<void(RunnerFixture &)> prepare;
    std::int64_t milliCores;
    StartRefusal refused;
};

std::ostream &operator<<(std::ostream &out, const StartCase &tested)
{
    return out << tested.name;
}

class Starts : public testing::TestWithParam<StartCase>
{ };

TEST_P(Starts, AreAcceptedOnlyIfAllowed)
{
    RunnerFixture fixture;
    GetParam().prepare(fixture);
    const RunnerActions actions = fixture.start(7, GetParam().milliCores);
    const bool accepted = GetParam().refused == StartRefusal::None;
    EXPECT_EQ(actions.starts.size(), accepted ? 1U : 0U);
    const auto ends = reportedEnds(actions);
    ASSERT_EQ(ends.size(), accepted ? 0U : 1U);
    if (!accepted) {
        EXPECT_EQ(ends[0].end, RunOutcome::NeverStarted);
        EXPECT_EQ(ends[0].refused, GetParam().refused);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Starts,
        testing::Values(
                StartCase { "Empty", [](RunnerFixture &) {}, 4000, StartRefusal::None },
                StartCase { "TooLarge", [](RunnerFixture &) {}, 4001, StartRefusal::NoCapacity },
                StartCase { "Full", [](RunnerFixture &fixture) { fixture.start(1, 3500); }, 600,
                            StartRefusal::NoCapacity },
                StartCase { "Beside", [](RunnerFixture &fixture) { fixture.start(1, 3500); }, 500,
                            StartRefusal::None },
                StartCase { "SameTask", [](RunnerFixture &fixture) { fixture.start(7, 100); }, 100,
                            StartRefusal::NotReady },
                StartCase { "EndpointLeaving",
                            [](RunnerFixture &fixture) {
                                EndpointReport report = makeReport("incarnation-1", 2);
                                report.leaving = true;
                                handleHeartbeat(fixture.runner, report, fixture.now);
                            },
                            100, StartRefusal::Leaving },
                StartCase {
                        "AgentStopping",
                        [](RunnerFixture &fixture) { beginShutdown(fixture.runner, fixture.now); },
                        100, StartRefusal::Leaving },
                StartCase {
                        "NotPolledYet",
                        [](RunnerFixture &fixture) { fixture.replaceEndpoint("incarnation-2"); },
                        100, StartRefusal::NotReady },
                StartCase { "Unreachable",
                            [](RunnerFixture &fixture) {
                                fixture.failPolls = true;
                                const auto limit = fixture.runner.settings.maxFailedPolls;
                                for (std::uint32_t i = 0; i < limit; ++i) {
                                    fixture.completePoll({});
                                    fixture.advance(Milliseconds(100));
                                }
                            },
                            100, StartRefusal::NotReady }),
        [](const auto &tested) { return tested.param.name; });

TEST(RunnerStarts, CapacityIsHeldUntilTheEndIsListed)
{
    RunnerFixture fixture;
    fixture.start(1, 4000);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    stopRuns(fixture.runner, EntrySession, { { runId(1) } }, fixture.now);
    handleStopResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() }, fixture.now);
    EXPECT_EQ(fixture.start(2).starts.size(), 0U);
    PollResult stillRunning;
    stillRunning.running = { { runId(1), 40 } };
    fixture.completePoll(stillRunning);
    EXPECT_EQ(fixture.start(3).starts.size(), 0U);
    PollResult stopped;
    stopped.ended = { { 1, runId(1), RunOutcome::Stopped } };
    const auto ends = reportedEnds(fixture.completePoll(stopped));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::Stopped);
    EXPECT_EQ(fixture.start(4).starts.size(), 1U);
    EXPECT_EQ(fixture.runner.incarnationState.lastSeenEnd, 1U);
}

struct RefusalCase
{
    const char *name;
    CommandStatus status;
    StartRefusal refused;
};

class Refusals : public testing::TestWithParam<RefusalCase>
{ };

TEST_P(Refusals, ByTheEndpointFreeTheCapacity)
{
    RunnerFixture fixture;
    fixture.start(1, 4000);
    const auto ends = reportedEnds(
            handleStartResult(fixture.runner, runId(1), { GetParam().status, {} }, fixture.now));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::NeverStarted);
    EXPECT_EQ(ends[0].refused, GetParam().refused);
    EXPECT_TRUE(fixture.runner.runs.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Refusals,
        testing::Values(RefusalCase { "Stale", CommandStatus::StaleRun, StartRefusal::StaleRun },
                        RefusalCase { "Late", CommandStatus::TooLate, StartRefusal::Endpoint },
                        RefusalCase { "Capacity", CommandStatus::NoCapacity,
                                      StartRefusal::NoCapacity },
                        RefusalCase { "Busy", CommandStatus::Busy, StartRefusal::Endpoint },
                        RefusalCase { "Fenced", CommandStatus::Fenced, StartRefusal::Endpoint },
                        RefusalCase { "OtherIncarnation", CommandStatus::OtherIncarnation,
                                      StartRefusal::Endpoint }),
        [](const auto &tested) { return tested.param.name; });

TEST(RunnerStarts, RejectedFenceIsRaised)
{
    RunnerFixture fixture;
    fixture.start(1);
    const std::uint64_t before = fixture.runner.fence;
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Fenced, {} }, fixture.now);
    const std::uint64_t once = fixture.runner.fence;
    EXPECT_GT(once, before);
    fixture.start(2);
    handleStartResult(fixture.runner, runId(2), { CommandStatus::Fenced, {} }, fixture.now);
    EXPECT_GT(fixture.runner.fence - once, once - before);
}

// [SECTION] Waiting starts

struct WaitingCase
{
    const char *name;

    // Priorities of starts 11, 12, ... that need 600 millicores each and arrive while all capacity
    // is in use
    std::vector<std::uint32_t> priorities;

    // Which of them start once the capacity is free again
    std::vector<std::uint32_t> started;

    // Which are refused at once: 15 percent of 4000 millicores may wait at a priority
    std::vector<std::uint32_t> refused;
};

class WaitingStarts : public testing::TestWithParam<WaitingCase>
{ };

TEST_P(WaitingStarts, RunByPriorityWhenCapacityIsFreed)
{
    RunnerFixture fixture;
    fixture.start(1, 4000);
    std::vector<std::uint32_t> refused;
    std::uint32_t index = 11;
    for (const std::uint32_t priority : GetParam().priorities) {
        const RunnerActions actions = fixture.startOrWait(index, 600, priority);
        EXPECT_TRUE(actions.starts.empty());
        for (const jobs::RunReport &report : reportedEnds(actions))
            refused.push_back(report.id.task.index);
        ++index;
    }
    EXPECT_EQ(refused, GetParam().refused);
    EXPECT_EQ(startedIndexes(fixture.end(1)), GetParam().started);
    EXPECT_TRUE(fixture.runner.waiting.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Runner, WaitingStarts,
        testing::Values(WaitingCase { "One", { 0 }, { 11 }, {} },
                        WaitingCase { "UrgentLast", { 1, 0 }, { 12, 11 }, {} },
                        WaitingCase { "TooManyOfOnePriority", { 0, 0 }, { 11 }, { 12 } },
                        WaitingCase { "NothingLessUrgentBehind", { 0, 1 }, { 11 }, { 12 } }),
        [](const auto &tested) { return tested.param.name; });

struct WaitingEndCase
{
    const char *name;
    std::function<RunnerActions(RunnerFixture &)> event;
    std::optional<StartRefusal> refused;
};

std::ostream &operator<<(std::ostream &out, const WaitingEndCase &tested)
{
    return out << tested.name;
}

class WaitingEnds : public testing::TestWithParam<WaitingEndCase>
{ };

// A waiting start may be reported as never started only if no command was or will be sent for it.
TEST_P(WaitingEnds, AreReportedOnlyIfNothingWasSent)
{
    RunnerFixture fixture;
    fixture.start(1, 4000);
    fixture.startOrWait(11, 600);
    const RunnerActions actions = GetParam().event(fixture);
    EXPECT_TRUE(actions.starts.empty());
    EXPECT_TRUE(fixture.runner.waiting.empty());
    std::optional<StartRefusal> refused;
    for (const jobs::RunReport &report : reportedEnds(actions)) {
        if (report.id.task.index != 11)
            continue;
        EXPECT_EQ(report.end, RunOutcome::NeverStarted);
        refused = report.refused;
    }
    EXPECT_EQ(refused, GetParam().refused);
    EXPECT_TRUE(startedIndexes(fixture.end(1)).empty());
}

INSTANTIATE_TEST_SUITE_P(
        Runner, WaitingEnds,
        testing::Values(WaitingEndCase { "TimedOut",
                                         [](RunnerFixture &fixture) {
                                             return fixture.advance(Milliseconds(100));
                                         },
                                         StartRefusal::NoCapacity },
                        WaitingEndCase { "Stopped",
                                         [](RunnerFixture &fixture) {
                                             return stopRuns(fixture.runner, EntrySession,
                                                             { { runId(11) } }, fixture.now);
                                         },
                                         StartRefusal::NoCapacity },
                        WaitingEndCase { "EndpointLeaves",
                                         [](RunnerFixture &fixture) {
                                             EndpointReport report = makeReport("incarnation-1", 2);
                                             report.leaving = true;
                                             return handleHeartbeat(fixture.runner, report,
                                                                    fixture.now);
                                         },
                                         StartRefusal::Leaving },
                        WaitingEndCase { "NewIncarnation",
                                         [](RunnerFixture &fixture) {
                                             return fixture.replaceEndpoint("incarnation-2");
                                         },
                                         StartRefusal::NotReady },
                        WaitingEndCase { "SessionClosed",
                                         [](RunnerFixture &fixture) {
                                             return closeSession(fixture.runner, EntrySession,
                                                                 fixture.now);
                                         },
                                         {} }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Changes of capacity

// An endpoint with 4 cores that runs two tasks of one core each reports a new capacity.
struct CapacityCase
{
    const char *name;
    std::int64_t milliCores;

    // Further starts of one core each that are accepted
    std::size_t accepted;
};

std::ostream &operator<<(std::ostream &out, const CapacityCase &tested)
{
    return out << tested.name;
}

class ChangedCapacity : public testing::TestWithParam<CapacityCase>
{ };

TEST_P(ChangedCapacity, LimitsNewStartsAndKeepsRuns)
{
    RunnerFixture fixture;
    fixture.start(0);
    fixture.start(1);
    EndpointReport report = makeReport("incarnation-1", 2);
    report.capacity.milliCores = GetParam().milliCores;
    const RunnerActions actions = handleHeartbeat(fixture.runner, report, fixture.now);
    EXPECT_TRUE(actions.stops.empty());
    // Reported to entries at once.
    ASSERT_EQ(actions.updates.size(), GetParam().milliCores == 4000 ? 0U : 1U);
    std::size_t accepted = 0;
    for (std::uint32_t index = 2; index < 8; ++index)
        accepted += startedIndexes(fixture.start(index)).size();
    EXPECT_EQ(accepted, GetParam().accepted);
    EXPECT_EQ(fixture.runner.runs.size(), 2 + accepted);
}

INSTANTIATE_TEST_SUITE_P(Runner, ChangedCapacity,
                         testing::Values(CapacityCase { "Same", 4000, 2 },
                                         CapacityCase { "Smaller", 3000, 1 },
                                         CapacityCase { "Full", 2000, 0 },
                                         CapacityCase { "BelowRunningDemand", 1000, 0 },
                                         CapacityCase { "Larger", 6000, 4 }),
                         [](const auto &tested) { return tested.param.name; });

// The first start command may have been lost; repeating it could exceed the new capacity.
TEST(RunnerCapacity, StartWithoutReplyIsStoppedIfCapacityWasReduced)
{
    RunnerFixture fixture;
    fixture.start(0);
    fixture.start(1);
    EndpointReport report = makeReport("incarnation-1", 2);
    report.capacity.milliCores = 1000;
    handleHeartbeat(fixture.runner, report, fixture.now);
    const RunnerActions actions = handleStartResult(fixture.runner, runId(1), {}, fixture.now);
    EXPECT_TRUE(actions.starts.empty());
    ASSERT_EQ(actions.stops.size(), 1U);
    EXPECT_EQ(actions.stops[0].id, runId(1));
}

TEST(RunnerCapacity, WaitingStartAboveTheNewCapacityIsRefusedAtOnce)
{
    RunnerFixture fixture;
    fixture.runner.settings.maxWaitingPercent = 100;
    fixture.start(0, 3000);
    ASSERT_TRUE(startedIndexes(fixture.startOrWait(1, 3000)).empty());
    EndpointReport report = makeReport("incarnation-1", 2);
    report.capacity.milliCores = 2000;
    const auto ends = reportedEnds(handleHeartbeat(fixture.runner, report, fixture.now));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::NeverStarted);
    EXPECT_EQ(ends[0].refused, StartRefusal::NoCapacity);
}

// [SECTION] Reservations and deadlines

// A later start that would fit must not take the capacity that an earlier one waits for.
TEST(RunnerWaiting, CapacityIsReservedForWaitingStarts)
{
    RunnerFixture fixture;
    fixture.start(1, 3600);
    fixture.startOrWait(11, 600);
    const RunnerActions later = fixture.start(2, 300);
    EXPECT_TRUE(later.starts.empty());
    ASSERT_EQ(reportedEnds(later).size(), 1U);
    EXPECT_EQ(reportedEnds(later)[0].refused, StartRefusal::NoCapacity);
    EXPECT_EQ(makeEndpointView(fixture.runner, fixture.now).free.milliCores, -200);
}

TEST(RunnerWaiting, SameTaskDoesNotWaitTwice)
{
    RunnerFixture fixture;
    fixture.start(1, 4000);
    fixture.startOrWait(11, 600);
    const auto ends = reportedEnds(fixture.startOrWait(11, 600));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].refused, StartRefusal::NotReady);
}

// After a pause of the agent's process its entry may have started the waiting task elsewhere, and
// the agent may learn of free capacity before it learns that the session is closed.
TEST(WaitingStart, IsNotStartedAfterItsDeadline)
{
    RunnerFixture fixture;
    fixture.start(1, 4000);
    fixture.advance(fixture.runner.settings.pollRetryDelay);
    ASSERT_TRUE(fixture.runner.pollPending);
    fixture.startOrWait(11, 600);
    fixture.now += Milliseconds(1500);
    EXPECT_TRUE(startedIndexes(fixture.end(1)).empty());
    EXPECT_TRUE(fixture.runner.waiting.empty());
}

// [SECTION] Cordons

struct CordonCase
{
    const char *name;

    // Cordons that the agent receives, in this order
    std::vector<std::pair<catalog::Cordons, CordonSource>> received;

    // Time since the agent's start
    Milliseconds after;
    bool acceptsStarts;
};

class Cordoned : public testing::TestWithParam<CordonCase>
{ };

// The endpoint is in the data centre "north".
TEST_P(Cordoned, EndpointsGetNoNewRuns)
{
    RunnerState runner = makeRunner(RunnerSettings(), 1, 100);
    Time now { Seconds(100) };
    tick(runner, now);
    EndpointReport report = makeReport("incarnation-1", 1);
    report.dataCentre = "north";
    handleHeartbeat(runner, report, now);
    PollResult poll;
    poll.result = { CommandStatus::Ok, Milliseconds(50000) };
    handlePollResult(runner, runner.pollNumber, poll, now);
    for (const auto &[cordons, source] : GetParam().received)
        handleCordons(runner, cordons, source, now);
    now += GetParam().after;
    openSession(runner, EntrySession, "entry-1", now);
    tick(runner, now);
    EXPECT_EQ(makeEndpointView(runner, now).maxStarts > 0, GetParam().acceptsStarts);
    EXPECT_EQ(makeEndpointView(runner, now).free.milliCores > 0, GetParam().acceptsStarts);
    jobs::StartTasks message;
    message.job = "job";
    message.demand = { 1000, 10, 0 };
    message.estimate = Milliseconds(100);
    message.starts = { { 0, 1 } };
    EXPECT_EQ(startTasks(runner, EntrySession, message, now).starts.size(),
              GetParam().acceptsStarts ? 1U : 0U);
}

const catalog::Cordons NoCordons {};
const catalog::Cordons NorthCordoned { 3, { "east", "north" } };
const catalog::Cordons NorthUncordoned { 4, { "east" } };

INSTANTIATE_TEST_SUITE_P(
        Runner, Cordoned,
        testing::Values(
                CordonCase { "NotCordoned", { { NoCordons, CordonSource::Control } }, {}, true },
                CordonCase { "Cordoned", { { NorthCordoned, CordonSource::Control } }, {}, false },
                CordonCase { "Uncordoned",
                             { { NorthCordoned, CordonSource::Control },
                               { NorthUncordoned, CordonSource::Control } },
                             {},
                             true },
                CordonCase { "OlderUpdateDelayed",
                             { { NorthUncordoned, CordonSource::Control },
                               { NorthCordoned, CordonSource::Control } },
                             {},
                             true },
                CordonCase { "EntryKnowsMore",
                             { { NoCordons, CordonSource::Control },
                               { NorthCordoned, CordonSource::Entry } },
                             {},
                             false },
                CordonCase { "NothingReceived", {}, Milliseconds(5000), false },
                CordonCase { "OnlyFromAnEntryYet",
                             { { NoCordons, CordonSource::Entry } },
                             Milliseconds(500),
                             false },
                CordonCase { "ControlDown",
                             { { NoCordons, CordonSource::Entry } },
                             Milliseconds(1000),
                             true },
                CordonCase { "CordonedAndControlDown",
                             { { NorthCordoned, CordonSource::Entry } },
                             Milliseconds(1000),
                             false }),
        [](const auto &tested) { return tested.param.name; });

TEST(RunnerCordon, WaitingStartsAreRefusedAndRunsGoOn)
{
    RunnerFixture fixture;
    fixture.runner.endpoint.dataCentre = "north";
    fixture.start(1, 4000);
    fixture.startOrWait(11, 600);
    const RunnerActions actions = handleCordons(fixture.runner, NorthCordoned,
                                                CordonSource::Control, fixture.now);
    const std::vector<jobs::RunReport> ends = reportedEnds(actions);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].id, runId(11));
    EXPECT_EQ(ends[0].refused, StartRefusal::Cordoned);
    EXPECT_TRUE(actions.stops.empty());
    EXPECT_EQ(fixture.runner.runs.count(runId(1)), 1U);
}

} // namespace
} // namespace foxwing::runner
