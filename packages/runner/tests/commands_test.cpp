/*
    Commands without a reply, incarnations of the endpoint, and its lease.

    [SECTION] Commands without a reply
    [SECTION] Incarnations and leases
*/
#include "fixture.h"

namespace foxwing::runner {
namespace {

// [SECTION] Commands without a reply

TEST(RunnerMissingReply, StartIsRepeatedWithTheSameRunNumber)
{
    RunnerFixture fixture;
    const StartCommand first = fixture.start(1, 4000).starts.at(0);
    fixture.advance(Milliseconds(25));
    const RunnerActions again = handleStartResult(fixture.runner, runId(1),
                                                  { CommandStatus::None, {} }, fixture.now);
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_TRUE(again.stops.empty());
    EXPECT_EQ(again.starts[0].id, first.id);
    EXPECT_EQ(again.starts[0].payload, first.payload);
    EXPECT_GT(again.starts[0].deadline, first.deadline);
    EXPECT_EQ(reportedEnds(fixture.start(2, 1)).at(0).refused, StartRefusal::NoCapacity);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    EXPECT_EQ(fixture.runner.runs.at(runId(1)).state, RunState::Running);
}

TEST(RunnerMissingReply, StartThatGetsNoReplyIsStoppedAndHoldsItsCapacity)
{
    RunnerFixture fixture;
    fixture.start(1, 4000);
    fixture.advance(fixture.runner.settings.startTimeout);
    const RunnerActions stopped = handleStartResult(fixture.runner, runId(1),
                                                    { CommandStatus::None, {} }, fixture.now);
    EXPECT_TRUE(stopped.starts.empty());
    ASSERT_EQ(stopped.stops.size(), 1U);
    EXPECT_EQ(stopped.stops[0].id, runId(1));
    // A poll that was sent before the stop proves nothing.
    fixture.completePoll({});
    EXPECT_EQ(fixture.runner.runs.size(), 1U);
    // The stop is lost as well and is repeated.
    handleStopResult(fixture.runner, runId(1), { CommandStatus::None, {} }, fixture.now);
    const RunnerActions again = fixture.advance(fixture.runner.settings.stopRetryInterval);
    ASSERT_EQ(again.stops.size(), 1U);
    // The stop is acknowledged and the next poll doesn't list the run: it can't start any more.
    handleStopResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() }, fixture.now);
    fixture.completePoll({});
    const auto ends = reportedEnds(fixture.completePoll({}));
    EXPECT_TRUE(fixture.runner.runs.empty());
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::NeverStarted);
}

struct RepeatedStartCase
{
    const char *name;
    CommandStatus status;

    // Reported as never started at once, or stopped first
    bool ends;
    bool stopped;
};

std::ostream &operator<<(std::ostream &out, const RepeatedStartCase &tested)
{
    return out << tested.name;
}

class RepeatedStarts : public testing::TestWithParam<RepeatedStartCase>
{ };

// The first start command may have taken effect, or may do so yet; the refusal of a second one
// doesn't prove that the run never started.
TEST_P(RepeatedStarts, ThatAreRefusedMayHaveStartedBefore)
{
    RunnerFixture fixture;
    fixture.start(1);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::None, {} }, fixture.now);
    const RunnerActions actions = handleStartResult(fixture.runner, runId(1),
                                                    { GetParam().status, {} }, fixture.now);
    EXPECT_EQ(reportedEnds(actions).size(), GetParam().ends ? 1U : 0U);
    EXPECT_EQ(actions.stops.size(), GetParam().stopped ? 1U : 0U);
    EXPECT_EQ(fixture.runner.runs.size(), GetParam().ends ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, RepeatedStarts,
        testing::Values(RepeatedStartCase { "NoCapacity", CommandStatus::NoCapacity, false, true },
                        RepeatedStartCase { "TooLate", CommandStatus::TooLate, false, true },
                        RepeatedStartCase { "Busy", CommandStatus::Busy, false, true },
                        RepeatedStartCase { "Invalid", CommandStatus::Invalid, false, true },
                        RepeatedStartCase { "ConnectionRefused", CommandStatus::ConnectionRefused,
                                            false, true },
                        RepeatedStartCase { "StaleRun", CommandStatus::StaleRun, false, false },
                        RepeatedStartCase { "OtherIncarnation", CommandStatus::OtherIncarnation,
                                            true, false }),
        [](const auto &tested) { return tested.param.name; });

// The reply to the first start command was lost, and the run ended before the second one.
TEST(RunnerMissingReply, RunThatEndsBeforeTheSecondAttemptIsDone)
{
    RunnerFixture fixture;
    fixture.start(1);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::None, {} }, fixture.now);
    EXPECT_TRUE(reportedEnds(handleStartResult(fixture.runner, runId(1),
                                               { CommandStatus::StaleRun, {} }, fixture.now))
                        .empty());
    PollResult poll;
    poll.ended = { { 1, runId(1), RunOutcome::Done } };
    const auto ends = reportedEnds(fixture.completePoll(poll));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::Done);
}

// A lost poll must not delay reports of ended runs for long.
TEST(RunnerMissingReply, PollsWaitLessAfterAFailure)
{
    RunnerFixture fixture;
    fixture.start(1);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    EXPECT_EQ(fixture.completePoll({}).poll->wait, fixture.runner.settings.busyPollWait);
    fixture.failPolls = true;
    EXPECT_EQ(fixture.completePoll({}).poll->wait, Milliseconds(0));
    fixture.failPolls = false;
    EXPECT_EQ(fixture.completePoll({}).poll->wait, fixture.runner.settings.cautiousPollWait);
    fixture.advance(fixture.runner.settings.pollFailureWindow);
    EXPECT_EQ(fixture.completePoll({}).poll->wait, fixture.runner.settings.busyPollWait);
}

TEST(RunnerMissingReply, ListedRunCountsAsStarted)
{
    RunnerFixture fixture;
    fixture.start(1);
    PollResult poll;
    poll.running = { { runId(1), 5 } };
    fixture.completePoll(poll);
    EXPECT_TRUE(
            handleStartResult(fixture.runner, runId(1), { CommandStatus::None, {} }, fixture.now)
                    .stops.empty());
    EXPECT_EQ(fixture.runner.runs.at(runId(1)).state, RunState::Running);
}

TEST(RunnerMissingReply, LeaseIsNotRenewedIfAStopHasNoEffect)
{
    RunnerFixture fixture;
    fixture.start(1);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    RunnerActions actions = fixture.completePoll({});
    ASSERT_TRUE(actions.poll);
    EXPECT_TRUE(actions.poll->deadline);
    stopRuns(fixture.runner, EntrySession, { { runId(1) } }, fixture.now);
    handleStopResult(fixture.runner, runId(1), { CommandStatus::None, {} }, fixture.now);
    fixture.advance(fixture.runner.settings.stopTimeout);
    PollResult poll;
    poll.running = { { runId(1), 50 } };
    actions = fixture.completePoll(poll);
    ASSERT_TRUE(actions.poll);
    EXPECT_FALSE(actions.poll->deadline);
    EXPECT_EQ(makeEndpointView(fixture.runner, fixture.now).maxStarts, 0U);
    EXPECT_EQ(reportedEnds(fixture.start(2))[0].refused, StartRefusal::NotReady);
}

// [SECTION] Incarnations and leases

TEST(RunnerIncarnations, NewIncarnationEndsAllRuns)
{
    RunnerFixture fixture;
    fixture.start(1);
    fixture.start(2);
    const auto ends = reportedEnds(fixture.replaceEndpoint("incarnation-2"));
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].end, RunOutcome::Crashed);
}

// Tasks aren't blamed for the end of an endpoint that had announced that it leaves.
TEST(RunnerIncarnations, LeavingEndpointHasNotCrashed)
{
    RunnerFixture fixture;
    fixture.start(1);
    EndpointReport report = makeReport("incarnation-1", 2);
    report.leaving = true;
    handleHeartbeat(fixture.runner, report, fixture.now);
    const auto ends = reportedEnds(fixture.replaceEndpoint("incarnation-2"));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::Lost);
}

TEST(RunnerIncarnations, OlderHeartbeatIsIgnored)
{
    RunnerFixture fixture;
    EndpointReport leaving = makeReport("incarnation-1", 5);
    leaving.leaving = true;
    handleHeartbeat(fixture.runner, leaving, fixture.now);
    handleHeartbeat(fixture.runner, makeReport("incarnation-1", 4), fixture.now);
    EXPECT_TRUE(fixture.runner.endpoint.leaving);
}

// A heartbeat delayed by a network partition arrives after a new incarnation has registered. Runs
// must not be considered lost, or their tasks would run twice.
TEST(RunnerIncarnations, DelayedHeartbeatOfAPreviousIncarnationIsIgnored)
{
    RunnerFixture fixture;
    fixture.replaceEndpoint("incarnation-2");
    fixture.completePoll({});
    fixture.start(1);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    const RunnerActions delayed = handleHeartbeat(fixture.runner, makeReport("incarnation-1", 7),
                                                  fixture.now);
    EXPECT_TRUE(reportedEnds(delayed).empty());
    EXPECT_EQ(fixture.runner.endpoint.endpointIncarnation.id, "incarnation-2");
    EXPECT_EQ(fixture.runner.runs.size(), 1U);
    EXPECT_GT(makeEndpointView(fixture.runner, fixture.now).maxStarts, 0U);
}

// After the endpoint rejects the current id, heartbeats of previous incarnations are accepted
// again.
TEST(RunnerIncarnations, RejectedIncarnationIsReplacedByAnyHeartbeat)
{
    RunnerFixture fixture;
    fixture.replaceEndpoint("incarnation-2");
    PollResult rejected;
    rejected.result.status = CommandStatus::OtherIncarnation;
    fixture.failPolls = true;
    fixture.completePoll(rejected);
    handleHeartbeat(fixture.runner, makeReport("incarnation-1", 7), fixture.now);
    EXPECT_EQ(fixture.runner.endpoint.endpointIncarnation.id, "incarnation-1");
}

// Only the latest incarnations are remembered.
TEST(RunnerIncarnations, PreviousIncarnationsAreBounded)
{
    RunnerFixture fixture;
    fixture.replaceEndpoint("one-id");
    for (int i = 2; i < 100; ++i)
        handleHeartbeat(fixture.runner, makeReport("one-id", i, 1), fixture.now);
    EXPECT_EQ(fixture.runner.previousIncarnations.size(),
              fixture.runner.settings.maxPreviousIncarnations);
    EXPECT_EQ(fixture.runner.previousIncarnations.back(),
              makeReport("one-id", 98, 1).endpointIncarnation);
}

TEST(RunnerIncarnations, RunsOfAnEarlierAgentAreStoppedFirst)
{
    RunnerState runner = makeRunner(RunnerSettings(), 2, 200);
    const Time now(Seconds(100));
    handleHeartbeat(runner, makeReport("incarnation-1", 1), now);
    PollResult poll;
    poll.result = { CommandStatus::Ok, Milliseconds(50000) };
    poll.running = { { runId(9), 10 } };
    RunnerActions actions = handlePollResult(runner, runner.pollNumber, poll, now);
    ASSERT_EQ(actions.stops.size(), 1U);
    openSession(runner, EntrySession, "entry-1", now);
    EXPECT_FALSE(runner.sessions.at(EntrySession).accepted);
    actions = tick(runner, now + runner.settings.pollRetryDelay);
    ASSERT_TRUE(actions.poll);
    poll.running.clear();
    actions = handlePollResult(runner, runner.pollNumber, poll, now + Milliseconds(60));
    EXPECT_EQ(actions.acceptances.size(), 1U);
}

TEST(RunnerIncarnations, RunsOfAnUnreachableEndpointExpireOnTheSlowestClock)
{
    RunnerFixture fixture;
    fixture.start(1);
    handleStartResult(fixture.runner, runId(1), { CommandStatus::Ok, fixture.clock() },
                      fixture.now);
    fixture.completePoll({});
    const Time renewed = fixture.now;
    fixture.failPolls = true;
    while (!fixture.runner.runs.empty() && fixture.now < renewed + Seconds(2)) {
        fixture.completePoll({});
        fixture.advance(Milliseconds(10));
    }
    const Milliseconds lease = fixture.runner.settings.leaseDuration;
    EXPECT_GT(fixture.now, renewed + lease * 100 / 98);
    EXPECT_LT(fixture.now, renewed + lease + Milliseconds(250));
    EXPECT_EQ(fixture.runner.stopped, 1U);
}

} // namespace
} // namespace foxwing::runner
