/*
    Orders to the endpoint that are not answered, its lives and its lease.

    [SECTION] Unanswered orders
    [SECTION] Lives and leases
*/
#include "bench.h"

namespace foxwing::runner {
namespace {

// [SECTION] Unanswered orders

TEST(RunnerUnanswered, AStartIsOrderedAgainUnderTheSameNumber)
{
    Bench bench;
    const StartCommand first = bench.start(1, 4000).starts.at(0);
    bench.pass(Milliseconds(25));
    const RunnerActions again = handleStartResult(bench.runner, runId(1),
                                                  { CommandStatus::None, {} }, bench.now);
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_TRUE(again.stops.empty());
    EXPECT_EQ(again.starts[0].id, first.id);
    EXPECT_EQ(again.starts[0].payload, first.payload);
    EXPECT_GT(again.starts[0].deadline, first.deadline);
    EXPECT_EQ(endsIn(bench.start(2, 1)).at(0).refused, RefusedStart::NoRoom);
    handleStartResult(bench.runner, runId(1), { CommandStatus::Ok, bench.clock() }, bench.now);
    EXPECT_EQ(bench.runner.runs.at(runId(1)).state, RunState::Running);
}

TEST(RunnerUnanswered, AStartThatIsNeverAnsweredIsStoppedAndKeepsItsRoom)
{
    Bench bench;
    bench.start(1, 4000);
    bench.pass(bench.runner.settings.startGivenUp);
    const RunnerActions stopped = handleStartResult(bench.runner, runId(1),
                                                    { CommandStatus::None, {} }, bench.now);
    EXPECT_TRUE(stopped.starts.empty());
    ASSERT_EQ(stopped.stops.size(), 1U);
    EXPECT_EQ(stopped.stops[0].id, runId(1));
    // A look that was under way says nothing of what comes after it.
    bench.answerLook({});
    EXPECT_EQ(bench.runner.runs.size(), 1U);
    // The stop is lost as well: it is sent again.
    handleStopResult(bench.runner, runId(1), { CommandStatus::None, {} }, bench.now);
    const RunnerActions again = bench.pass(bench.runner.settings.stopRepeat);
    ASSERT_EQ(again.stops.size(), 1U);
    // Answered, and the next look does not show it: it can't begin any more.
    handleStopResult(bench.runner, runId(1), { CommandStatus::Ok, bench.clock() }, bench.now);
    bench.answerLook({});
    const auto ends = endsIn(bench.answerLook({}));
    EXPECT_TRUE(bench.runner.runs.empty());
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunEnd::NeverBegan);
}

struct SecondTryCase
{
    const char *name;
    CommandStatus status;

    // Told as never begun at once, or stopped first
    bool ends;
    bool stopped;
};

std::ostream &operator<<(std::ostream &out, const SecondTryCase &tested)
{
    return out << tested.name;
}

class SecondTries : public testing::TestWithParam<SecondTryCase>
{ };

// The first order may have been carried out, or may be yet: a refusal of the second proves nothing.
TEST_P(SecondTries, ThatAreRefusedAreNotTakenAsNeverBegun)
{
    Bench bench;
    bench.start(1);
    handleStartResult(bench.runner, runId(1), { CommandStatus::None, {} }, bench.now);
    const RunnerActions actions = handleStartResult(bench.runner, runId(1),
                                                    { GetParam().status, {} }, bench.now);
    EXPECT_EQ(endsIn(actions).size(), GetParam().ends ? 1U : 0U);
    EXPECT_EQ(actions.stops.size(), GetParam().stopped ? 1U : 0U);
    EXPECT_EQ(bench.runner.runs.size(), GetParam().ends ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, SecondTries,
        testing::Values(
                SecondTryCase { "NoRoom", CommandStatus::NoRoom, false, true },
                SecondTryCase { "TooLate", CommandStatus::TooLate, false, true },
                SecondTryCase { "Busy", CommandStatus::Busy, false, true },
                SecondTryCase { "Invalid", CommandStatus::Invalid, false, true },
                SecondTryCase { "Unreachable", CommandStatus::ConnectionRefused, false, true },
                SecondTryCase { "OldRun", CommandStatus::OldRun, false, false },
                SecondTryCase { "OtherLife", CommandStatus::OtherIncarnation, true, false }),
        [](const auto &tested) { return tested.param.name; });

// The first order was carried out and its answer lost; the run is over before the second order.
TEST(RunnerUnanswered, ARunThatIsOverBeforeTheSecondTryIsDone)
{
    Bench bench;
    bench.start(1);
    handleStartResult(bench.runner, runId(1), { CommandStatus::None, {} }, bench.now);
    EXPECT_TRUE(endsIn(handleStartResult(bench.runner, runId(1), { CommandStatus::OldRun, {} },
                                         bench.now))
                        .empty());
    PollResult poll;
    poll.ended = { { 1, runId(1), RunEnd::Done } };
    const auto ends = endsIn(bench.answerLook(poll));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunEnd::Done);
}

// Waits of looks: an unanswered one must not keep ends back for long.
TEST(RunnerUnanswered, LooksWaitLessAfterOneHasFailed)
{
    Bench bench;
    bench.start(1);
    handleStartResult(bench.runner, runId(1), { CommandStatus::Ok, bench.clock() }, bench.now);
    EXPECT_EQ(bench.answerLook({}).poll->wait, bench.runner.settings.busyWait);
    bench.failLook = true;
    EXPECT_EQ(bench.answerLook({}).poll->wait, Milliseconds(0));
    bench.failLook = false;
    EXPECT_EQ(bench.answerLook({}).poll->wait, bench.runner.settings.doubtfulWait);
    bench.pass(bench.runner.settings.doubtfulSpan);
    EXPECT_EQ(bench.answerLook({}).poll->wait, bench.runner.settings.busyWait);
}

TEST(RunnerUnanswered, ALookThatShowsTheRunIsAsGoodAsAnAnswer)
{
    Bench bench;
    bench.start(1);
    PollResult poll;
    poll.running = { { runId(1), 5 } };
    bench.answerLook(poll);
    EXPECT_TRUE(handleStartResult(bench.runner, runId(1), { CommandStatus::None, {} }, bench.now)
                        .stops.empty());
    EXPECT_EQ(bench.runner.runs.at(runId(1)).state, RunState::Running);
}

TEST(RunnerUnanswered, TheLeaseIsLeftToEndWhenAStopIsNotHeard)
{
    Bench bench;
    bench.start(1);
    handleStartResult(bench.runner, runId(1), { CommandStatus::Ok, bench.clock() }, bench.now);
    RunnerActions actions = bench.answerLook({});
    ASSERT_TRUE(actions.poll);
    EXPECT_TRUE(actions.poll->deadline);
    stopRuns(bench.runner, Entry, { { runId(1) } }, bench.now);
    handleStopResult(bench.runner, runId(1), { CommandStatus::None, {} }, bench.now);
    bench.pass(bench.runner.settings.stopGivenUp);
    PollResult poll;
    poll.running = { { runId(1), 50 } };
    actions = bench.answerLook(poll);
    ASSERT_TRUE(actions.poll);
    EXPECT_FALSE(actions.poll->deadline);
    EXPECT_EQ(makeEndpointView(bench.runner, bench.now).mostStarts, 0U);
    EXPECT_EQ(endsIn(bench.start(2))[0].refused, RefusedStart::NotReady);
}

// [SECTION] Lives and leases

TEST(RunnerLives, AnotherLifeEndsAllRuns)
{
    Bench bench;
    bench.start(1);
    bench.start(2);
    const auto ends = endsIn(bench.replacedBy("life-2"));
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].end, RunEnd::Crashed);
}

// What an endpoint takes along that had said that it leaves speaks against no task.
TEST(RunnerLives, AnEndpointThatLeftHasNotCrashed)
{
    Bench bench;
    bench.start(1);
    EndpointReport report = makeReport("life-1", 2);
    report.leaving = true;
    handleHeartbeat(bench.runner, report, bench.now);
    const auto ends = endsIn(bench.replacedBy("life-2"));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunEnd::Lost);
}

TEST(RunnerLives, AnEarlierHeartbeatChangesNothing)
{
    Bench bench;
    EndpointReport leaving = makeReport("life-1", 5);
    leaving.leaving = true;
    handleHeartbeat(bench.runner, leaving, bench.now);
    handleHeartbeat(bench.runner, makeReport("life-1", 4), bench.now);
    EXPECT_TRUE(bench.runner.endpoint.leaving);
}

// A heartbeat that was delayed by a cut arrives after another life has registered at the address:
// what runs must not be taken for lost, or it is started elsewhere beside itself.
TEST(RunnerLives, ALateHeartbeatOfAFormerLifeChangesNothing)
{
    Bench bench;
    bench.replacedBy("life-2");
    bench.answerLook({});
    bench.start(1);
    handleStartResult(bench.runner, runId(1), { CommandStatus::Ok, bench.clock() }, bench.now);
    const RunnerActions late = handleHeartbeat(bench.runner, makeReport("life-1", 7), bench.now);
    EXPECT_TRUE(endsIn(late).empty());
    EXPECT_EQ(bench.runner.endpoint.endpointIncarnation.id, "life-2");
    EXPECT_EQ(bench.runner.runs.size(), 1U);
    EXPECT_GT(makeEndpointView(bench.runner, bench.now).mostStarts, 0U);
}

// Should the endpoint itself say that it is the other life, the next heartbeat counts again.
TEST(RunnerLives, ALifeThatTheEndpointDisownsIsReplacedByAnyHeartbeat)
{
    Bench bench;
    bench.replacedBy("life-2");
    PollResult disowned;
    disowned.result.status = CommandStatus::OtherIncarnation;
    bench.failLook = true;
    bench.answerLook(disowned);
    handleHeartbeat(bench.runner, makeReport("life-1", 7), bench.now);
    EXPECT_EQ(bench.runner.endpoint.endpointIncarnation.id, "life-1");
}

// Of many lives only the last ones are remembered.
TEST(RunnerLives, FormerLivesAreBounded)
{
    Bench bench;
    bench.replacedBy("one-id");
    for (int i = 2; i < 100; ++i)
        handleHeartbeat(bench.runner, makeReport("one-id", i, 1), bench.now);
    EXPECT_EQ(bench.runner.previousIncarnations.size(), bench.runner.settings.mostFormerLives);
    EXPECT_EQ(bench.runner.previousIncarnations.back(),
              makeReport("one-id", 98, 1).endpointIncarnation);
}

TEST(RunnerLives, RunsOfAnEarlierAgentAreStoppedBeforeAnythingStarts)
{
    RunnerState runner = makeRunner(RunnerSettings(), 2, 200);
    const Time now(Seconds(100));
    handleHeartbeat(runner, makeReport("life-1", 1), now);
    PollResult poll;
    poll.result = { CommandStatus::Ok, Milliseconds(50000) };
    poll.running = { { runId(9), 10 } };
    RunnerActions actions = handlePollResult(runner, runner.pollNumber, poll, now);
    ASSERT_EQ(actions.stops.size(), 1U);
    openSession(runner, Entry, "entry-1", now);
    EXPECT_FALSE(runner.sessions.at(Entry).welcomed);
    actions = tick(runner, now + runner.settings.lookPause);
    ASSERT_TRUE(actions.poll);
    poll.running.clear();
    actions = handlePollResult(runner, runner.pollNumber, poll, now + Milliseconds(60));
    EXPECT_EQ(actions.acceptances.size(), 1U);
}

TEST(RunnerLives, RunsOfAnEndpointOutOfReachLapseOnTheSlowestClock)
{
    Bench bench;
    bench.start(1);
    handleStartResult(bench.runner, runId(1), { CommandStatus::Ok, bench.clock() }, bench.now);
    bench.answerLook({});
    const Time renewed = bench.now;
    bench.failLook = true;
    while (!bench.runner.runs.empty() && bench.now < renewed + Seconds(2)) {
        bench.answerLook({});
        bench.pass(Milliseconds(10));
    }
    const Milliseconds lease = bench.runner.settings.leaseSpan;
    EXPECT_GT(bench.now, renewed + lease * 100 / 98);
    EXPECT_LT(bench.now, renewed + lease + Milliseconds(250));
    EXPECT_EQ(bench.runner.stopped, 1U);
}

} // namespace
} // namespace foxwing::runner
