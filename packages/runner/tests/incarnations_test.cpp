/*
    Restarts of an endpoint under the same id, and heartbeats from other senders.

    Heartbeats and ended runs are numbered from 1 in each incarnation. Guards against numbers of the
    previous incarnation that make the agent ignore the new one's heartbeats, such as "leaving", or
    acknowledge its ended runs unseen, so that they hold capacity after their end.

    [SECTION] Heartbeats
    [SECTION] Ends and clocks
    [SECTION] Runs
    [SECTION] Strays
*/
#include "fixture.h"

namespace foxwing::runner {
namespace {

constexpr std::int64_t StartTime = 1'700'000'000'000;
constexpr std::int64_t RestartTime = StartTime + 60'000;

// The endpoint's clock after the restart.
constexpr Milliseconds NewClock { 300 };

// An endpoint after 40 heartbeats and 500 ended runs, with one active run.
struct LongRunningFixture : RunnerFixture
{
    LongRunningFixture()
    {
        replaceEndpoint(makeReport("one-id", StartTime, 40));
        settlePolls(StartTime, clock());
        start(1);
        handleStartResult(runner, runId(1), { CommandStatus::Ok, clock() }, now);
        PollResult poll = makePollResult(StartTime, clock());
        poll.running = { { runId(1), 10 } };
        poll.ended = { { 500, runId(9), RunOutcome::Done } };
        completePoll(poll);
    }

    // Completes polls until the runner has accepted the endpoint's state.
    RunnerActions settlePolls(std::int64_t startedAt, Milliseconds clock)
    {
        RunnerActions actions;
        for (int i = 0; i < 4; ++i) {
            RunnerActions polled = completePoll(makePollResult(startedAt, clock));
            actions.updates.insert(actions.updates.end(), polled.updates.begin(),
                                   polled.updates.end());
            if (polled.poll)
                actions.poll = polled.poll;
        }
        return actions;
    }

    RunnerActions restart()
    {
        EndpointReport report = makeReport("one-id", RestartTime, 1);
        report.clock = NewClock;
        RunnerActions received = handleHeartbeat(runner, report, now);
        RunnerActions settled = settlePolls(RestartTime, NewClock);
        settled.updates.insert(settled.updates.begin(), received.updates.begin(),
                               received.updates.end());
        return settled;
    }
};

// [SECTION] Heartbeats

TEST(RunnerRestart, FollowedByLeavingAllowsNoNewRuns)
{
    LongRunningFixture fixture;
    fixture.restart();
    EXPECT_GT(makeEndpointView(fixture.runner, fixture.now).maxStarts, 0U);
    EndpointReport leaving = makeReport("one-id", RestartTime, 3);
    leaving.leaving = true;
    handleHeartbeat(fixture.runner, leaving, fixture.now);
    EXPECT_TRUE(makeEndpointView(fixture.runner, fixture.now).leaving);
    EXPECT_EQ(reportedEnds(fixture.start(2)).at(0).refused, StartRefusal::Leaving);
}

TEST(RunnerRestart, ClearsTheLeavingState)
{
    LongRunningFixture fixture;
    EndpointReport leaving = makeReport("one-id", StartTime, 41);
    leaving.leaving = true;
    handleHeartbeat(fixture.runner, leaving, fixture.now);
    fixture.restart();
    EXPECT_FALSE(makeEndpointView(fixture.runner, fixture.now).leaving);
    EXPECT_EQ(fixture.start(2).starts.size(), 1U);
}

struct DelayedCase
{
    const char *name;
    std::int64_t startedAt;
    std::uint64_t sequence;
};

std::ostream &operator<<(std::ostream &out, const DelayedCase &tested)
{
    return out << tested.name;
}

class DelayedHeartbeats : public testing::TestWithParam<DelayedCase>
{ };

// Delayed heartbeats with "leaving", of an earlier incarnation or superseded by a newer heartbeat.
TEST_P(DelayedHeartbeats, AreIgnored)
{
    LongRunningFixture fixture;
    fixture.restart();
    handleHeartbeat(fixture.runner, makeReport("one-id", RestartTime, 5), fixture.now);
    EndpointReport delayed = makeReport("one-id", GetParam().startedAt, GetParam().sequence);
    delayed.leaving = true;
    const std::uint64_t ignored = fixture.runner.ignoredHeartbeats;
    handleHeartbeat(fixture.runner, delayed, fixture.now);
    EXPECT_FALSE(makeEndpointView(fixture.runner, fixture.now).leaving);
    EXPECT_EQ(fixture.start(2).starts.size(), 1U);
    EXPECT_EQ(fixture.runner.ignoredHeartbeats - ignored, 1U);
}

INSTANTIATE_TEST_SUITE_P(Runner, DelayedHeartbeats,
                         testing::Values(DelayedCase { "OfThePreviousIncarnation", StartTime, 41 },
                                         DelayedCase { "OfAnUnknownIncarnation", StartTime - 9000,
                                                       700 },
                                         DelayedCase { "OlderOfThisIncarnation", RestartTime, 4 }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Ends and clocks

TEST(RunnerRestart, ResetsTheLastSeenEnd)
{
    LongRunningFixture fixture;
    EXPECT_EQ(fixture.runner.incarnationState.lastSeenEnd, 500U);
    const RunnerActions settled = fixture.restart();
    ASSERT_TRUE(settled.poll);
    EXPECT_EQ(settled.poll->lastSeenEnd, 0U);
}

TEST(RunnerRestart, UsesTheNewClock)
{
    LongRunningFixture fixture;
    fixture.restart();
    const RunnerActions started = fixture.start(2);
    ASSERT_EQ(started.starts.size(), 1U);
    EXPECT_GT(started.starts[0].deadline, NewClock);
    EXPECT_LT(started.starts[0].deadline, NewClock + Seconds(2));
}

// The result of a command to the previous incarnation has that incarnation's clock.
TEST(RunnerRestart, KeepsTheNewClockAfterADelayedResult)
{
    LongRunningFixture fixture;
    fixture.start(3);
    fixture.restart();
    handleStartResult(fixture.runner, runId(3), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    const RunnerActions started = fixture.start(2);
    ASSERT_EQ(started.starts.size(), 1U);
    EXPECT_LT(started.starts[0].deadline, NewClock + Seconds(2));
}

// [SECTION] Runs

TEST(RunnerRestart, LosesTheEarlierRuns)
{
    LongRunningFixture fixture;
    const auto ends = reportedEnds(fixture.restart());
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_TRUE(ends[0].id == runId(1));
    EXPECT_EQ(ends[0].end, RunOutcome::Crashed);
    EXPECT_TRUE(fixture.runner.runs.empty());
}

// A start command in flight during the restart may have reached either incarnation. If the run were
// reported as lost before a poll proves it, its task could run twice.
TEST(RunnerRestart, KeepsAListedRun)
{
    LongRunningFixture fixture;
    fixture.start(2);
    EndpointReport report = makeReport("one-id", RestartTime, 1);
    report.clock = NewClock;
    const auto early = reportedEnds(handleHeartbeat(fixture.runner, report, fixture.now));
    for (const jobs::RunReport &end : early)
        EXPECT_FALSE(end.id == runId(2));
    PollResult poll = makePollResult(RestartTime, NewClock);
    poll.running = { { runId(2), 5 } };
    const auto ends = reportedEnds(fixture.completePoll(poll));
    for (const jobs::RunReport &end : ends)
        EXPECT_FALSE(end.id == runId(2));
    EXPECT_EQ(fixture.runner.runs.count(runId(2)), 1U);
}

// A list of runs shows the new incarnation before its first heartbeat: its service and capacity are
// unknown yet.
TEST(RunnerRestart, KnownFromAListOnlyGetsNoRunsBeforeAHeartbeat)
{
    LongRunningFixture fixture;
    fixture.settlePolls(RestartTime, NewClock);
    EXPECT_EQ(makeEndpointView(fixture.runner, fixture.now).maxStarts, 0U);
    EXPECT_TRUE(fixture.start(2).starts.empty());
    fixture.restart();
    EXPECT_GT(makeEndpointView(fixture.runner, fixture.now).maxStarts, 0U);
    EXPECT_EQ(fixture.start(3).starts.size(), 1U);
}

// Delayed commands to the previous incarnation must not take effect in the new one.
TEST(RunnerRestart, FencesOffEarlierCommands)
{
    LongRunningFixture fixture;
    const std::uint64_t before = fixture.start(2).starts.at(0).fence;
    const RunnerActions settled = fixture.restart();
    ASSERT_TRUE(settled.poll);
    EXPECT_GT(settled.poll->fence, before);
}

// [SECTION] Strays

struct StrayCase
{
    const char *name;
    EndpointReport (*report)();
};

std::ostream &operator<<(std::ostream &out, const StrayCase &tested)
{
    return out << tested.name;
}

class Strays : public testing::TestWithParam<StrayCase>
{ };

EndpointReport otherService(EndpointReport report)
{
    report.service = "unheard-of";
    return report;
}

EndpointReport otherDataCentre(EndpointReport report)
{
    report.dataCentre = "elsewhere";
    return report;
}

// A valid heartbeat from another sender must not displace an endpoint that replies to polls, nor
// block the endpoint's next heartbeat.
TEST_P(Strays, DoNotDisplaceAReachableEndpoint)
{
    LongRunningFixture fixture;
    const RunnerActions received = handleHeartbeat(fixture.runner, GetParam().report(),
                                                   fixture.now);
    EXPECT_TRUE(reportedEnds(received).empty());
    PollResult poll = makePollResult(StartTime, fixture.clock());
    poll.running = { { runId(1), 20 } };
    EXPECT_TRUE(reportedEnds(fixture.completePoll(poll)).empty());
    EXPECT_EQ(fixture.runner.endpoint.endpointIncarnation.id, "one-id");
    EXPECT_EQ(makeEndpointView(fixture.runner, fixture.now).service, "align");
    EXPECT_EQ(fixture.start(2).starts.size(), 1U);
    EndpointReport leaving = makeReport("one-id", StartTime, 41);
    leaving.leaving = true;
    handleHeartbeat(fixture.runner, leaving, fixture.now);
    EXPECT_TRUE(makeEndpointView(fixture.runner, fixture.now).leaving);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Strays,
        testing::Values(
                StrayCase { "OtherId",
                            [] { return makeReport("other-id", StartTime + 5000, 900); } },
                StrayCase { "OtherIdWithoutStartTime", [] { return makeReport("other-id", 900); } },
                StrayCase { "OtherIdAndService",
                            [] { return otherService(makeReport("other-id", 900)); } },
                StrayCase { "OtherServiceOfThisIncarnation",
                            [] { return otherService(makeReport("one-id", StartTime, 900)); } },
                StrayCase { "OtherDataCentreOfThisIncarnation",
                            [] { return otherDataCentre(makeReport("one-id", StartTime, 900)); } },
                StrayCase { "ThisIdWithoutStartTime", [] { return makeReport("one-id", 900); } }),
        [](const auto &tested) { return tested.param.name; });

// The new id is accepted as soon as the endpoint rejects the current one or doesn't reply.
TEST(RunnerStrays, TakeOverWhenTheEndpointRejectsItsId)
{
    LongRunningFixture fixture;
    const auto ends = reportedEnds(fixture.replaceEndpoint("other-id"));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::Crashed);
    EXPECT_EQ(fixture.runner.endpoint.endpointIncarnation.id, "other-id");
}

TEST(RunnerStrays, TakeOverWhenTheEndpointDoesNotReply)
{
    LongRunningFixture fixture;
    fixture.failPolls = true;
    fixture.completePoll({});
    handleHeartbeat(fixture.runner, makeReport("other-id", 1), fixture.now);
    EXPECT_EQ(fixture.runner.endpoint.endpointIncarnation.id, "other-id");
}

// A sender that repeats its heartbeat must not flood the log.
TEST(RunnerStrays, AreLoggedAtALimitedRate)
{
    LongRunningFixture fixture;
    std::size_t lines = 0;
    for (int i = 0; i < 2000; ++i) {
        fixture.now += Milliseconds(1);
        lines += handleHeartbeat(fixture.runner, makeReport("other-id", 900), fixture.now)
                         .events.size();
    }
    EXPECT_GE(lines, 2U);
    EXPECT_LE(lines, 3 * fixture.runner.settings.maxIgnoredHeartbeatLines);
    EXPECT_GE(fixture.runner.ignoredHeartbeats, 2000U);
}

// A stray heartbeat is discarded by the next successful poll.
TEST(RunnerStrays, AreForgottenAfterASuccessfulPoll)
{
    LongRunningFixture fixture;
    handleHeartbeat(fixture.runner, makeReport("other-id", 900), fixture.now);
    fixture.settlePolls(StartTime, fixture.clock());
    PollResult rejected;
    rejected.result.status = CommandStatus::OtherIncarnation;
    fixture.completePoll(rejected);
    EXPECT_EQ(fixture.runner.endpoint.endpointIncarnation.id, "one-id");
}

} // namespace
} // namespace foxwing::runner
