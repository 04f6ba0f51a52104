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
    const StartOrder first = bench.start(1, 4000).starts.at(0);
    bench.pass(Milliseconds(25));
    const RunnerActions again = startAnswered(bench.runner, runId(1), { Answer::None, {} },
                                              bench.now);
    ASSERT_EQ(again.starts.size(), 1U);
    EXPECT_TRUE(again.stops.empty());
    EXPECT_EQ(again.starts[0].id, first.id);
    EXPECT_EQ(again.starts[0].payload, first.payload);
    EXPECT_GT(again.starts[0].deadline, first.deadline);
    EXPECT_EQ(endsIn(bench.start(2, 1)).at(0).refused, RefusedStart::NoRoom);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    EXPECT_EQ(bench.runner.runs.at(runId(1)).state, RunState::Running);
}

TEST(RunnerUnanswered, AStartThatIsNeverAnsweredIsStoppedAndKeepsItsRoom)
{
    Bench bench;
    bench.start(1, 4000);
    bench.pass(bench.runner.settings.startGivenUp);
    const RunnerActions stopped = startAnswered(bench.runner, runId(1), { Answer::None, {} },
                                                bench.now);
    EXPECT_TRUE(stopped.starts.empty());
    ASSERT_EQ(stopped.stops.size(), 1U);
    EXPECT_EQ(stopped.stops[0].id, runId(1));
    // A look that was under way says nothing of what comes after it.
    bench.answerLook({});
    EXPECT_EQ(bench.runner.runs.size(), 1U);
    // The stop is lost as well: it is sent again.
    stopAnswered(bench.runner, runId(1), { Answer::None, {} }, bench.now);
    const RunnerActions again = bench.pass(bench.runner.settings.stopRepeat);
    ASSERT_EQ(again.stops.size(), 1U);
    // Answered, and the next look does not show it: it can't begin any more.
    stopAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    bench.answerLook({});
    const auto ends = endsIn(bench.answerLook({}));
    EXPECT_TRUE(bench.runner.runs.empty());
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunEnd::NeverBegan);
}

struct SecondTryCase
{
    const char *name;
    Answer answer;

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
    startAnswered(bench.runner, runId(1), { Answer::None, {} }, bench.now);
    const RunnerActions actions = startAnswered(bench.runner, runId(1), { GetParam().answer, {} },
                                                bench.now);
    EXPECT_EQ(endsIn(actions).size(), GetParam().ends ? 1U : 0U);
    EXPECT_EQ(actions.stops.size(), GetParam().stopped ? 1U : 0U);
    EXPECT_EQ(bench.runner.runs.size(), GetParam().ends ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, SecondTries,
        testing::Values(SecondTryCase { "NoRoom", Answer::NoRoom, false, true },
                        SecondTryCase { "TooLate", Answer::TooLate, false, true },
                        SecondTryCase { "Busy", Answer::Busy, false, true },
                        SecondTryCase { "Invalid", Answer::Invalid, false, true },
                        SecondTryCase { "Unreachable", Answer::Unreachable, false, true },
                        SecondTryCase { "OldRun", Answer::OldRun, false, false },
                        SecondTryCase { "OtherLife", Answer::OtherLife, true, false }),
        [](const auto &tested) { return tested.param.name; });

// The first order was carried out and its answer lost; the run is over before the second order.
TEST(RunnerUnanswered, ARunThatIsOverBeforeTheSecondTryIsDone)
{
    Bench bench;
    bench.start(1);
    startAnswered(bench.runner, runId(1), { Answer::None, {} }, bench.now);
    EXPECT_TRUE(endsIn(startAnswered(bench.runner, runId(1), { Answer::OldRun, {} }, bench.now))
                        .empty());
    Look look;
    look.ended = { { 1, runId(1), RunEnd::Done } };
    const auto ends = endsIn(bench.answerLook(look));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunEnd::Done);
}

// Waits of looks: an unanswered one must not keep ends back for long.
TEST(RunnerUnanswered, LooksWaitLessAfterOneHasFailed)
{
    Bench bench;
    bench.start(1);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    EXPECT_EQ(bench.answerLook({}).look->wait, bench.runner.settings.busyWait);
    bench.failLook = true;
    EXPECT_EQ(bench.answerLook({}).look->wait, Milliseconds(0));
    bench.failLook = false;
    EXPECT_EQ(bench.answerLook({}).look->wait, bench.runner.settings.doubtfulWait);
    bench.pass(bench.runner.settings.doubtfulSpan);
    EXPECT_EQ(bench.answerLook({}).look->wait, bench.runner.settings.busyWait);
}

TEST(RunnerUnanswered, ALookThatShowsTheRunIsAsGoodAsAnAnswer)
{
    Bench bench;
    bench.start(1);
    Look look;
    look.running = { { runId(1), 5 } };
    bench.answerLook(look);
    EXPECT_TRUE(
            startAnswered(bench.runner, runId(1), { Answer::None, {} }, bench.now).stops.empty());
    EXPECT_EQ(bench.runner.runs.at(runId(1)).state, RunState::Running);
}

TEST(RunnerUnanswered, TheLeaseIsLeftToEndWhenAStopIsNotHeard)
{
    Bench bench;
    bench.start(1);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    RunnerActions actions = bench.answerLook({});
    ASSERT_TRUE(actions.look);
    EXPECT_TRUE(actions.look->deadline);
    stopRuns(bench.runner, Entry, { { runId(1) } }, bench.now);
    stopAnswered(bench.runner, runId(1), { Answer::None, {} }, bench.now);
    bench.pass(bench.runner.settings.stopGivenUp);
    Look look;
    look.running = { { runId(1), 50 } };
    actions = bench.answerLook(look);
    ASSERT_TRUE(actions.look);
    EXPECT_FALSE(actions.look->deadline);
    EXPECT_EQ(viewOf(bench.runner, bench.now).mostStarts, 0U);
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
    endpointHeard(bench.runner, report, bench.now);
    const auto ends = endsIn(bench.replacedBy("life-2"));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunEnd::Lost);
}

TEST(RunnerLives, AnEarlierHeartbeatChangesNothing)
{
    Bench bench;
    EndpointReport leaving = makeReport("life-1", 5);
    leaving.leaving = true;
    endpointHeard(bench.runner, leaving, bench.now);
    endpointHeard(bench.runner, makeReport("life-1", 4), bench.now);
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
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    const RunnerActions late = endpointHeard(bench.runner, makeReport("life-1", 7), bench.now);
    EXPECT_TRUE(endsIn(late).empty());
    EXPECT_EQ(bench.runner.endpoint.life.id, "life-2");
    EXPECT_EQ(bench.runner.runs.size(), 1U);
    EXPECT_GT(viewOf(bench.runner, bench.now).mostStarts, 0U);
}

// Should the endpoint itself say that it is the other life, the next heartbeat counts again.
TEST(RunnerLives, ALifeThatTheEndpointDisownsIsReplacedByAnyHeartbeat)
{
    Bench bench;
    bench.replacedBy("life-2");
    Look disowned;
    disowned.answered.answer = Answer::OtherLife;
    bench.failLook = true;
    bench.answerLook(disowned);
    endpointHeard(bench.runner, makeReport("life-1", 7), bench.now);
    EXPECT_EQ(bench.runner.endpoint.life.id, "life-1");
}

// Of many lives only the last ones are remembered.
TEST(RunnerLives, FormerLivesAreBounded)
{
    Bench bench;
    bench.replacedBy("one-id");
    for (int i = 2; i < 100; ++i)
        endpointHeard(bench.runner, makeReport("one-id", i, 1), bench.now);
    EXPECT_EQ(bench.runner.formerLives.size(), bench.runner.settings.mostFormerLives);
    EXPECT_EQ(bench.runner.formerLives.back(), makeReport("one-id", 98, 1).life);
}

TEST(RunnerLives, RunsOfAnEarlierAgentAreStoppedBeforeAnythingStarts)
{
    RunnerState runner = makeRunner(RunnerSettings(), 2, 200);
    const Time now(Seconds(100));
    endpointHeard(runner, makeReport("life-1", 1), now);
    Look look;
    look.answered = { Answer::Ok, Milliseconds(50000) };
    look.running = { { runId(9), 10 } };
    RunnerActions actions = lookAnswered(runner, runner.lookNumber, look, now);
    ASSERT_EQ(actions.stops.size(), 1U);
    openSession(runner, Entry, "entry-1", now);
    EXPECT_FALSE(runner.sessions.at(Entry).welcomed);
    actions = tick(runner, now + runner.settings.lookPause);
    ASSERT_TRUE(actions.look);
    look.running.clear();
    actions = lookAnswered(runner, runner.lookNumber, look, now + Milliseconds(60));
    EXPECT_EQ(actions.welcomes.size(), 1U);
}

TEST(RunnerLives, RunsOfAnEndpointOutOfReachLapseOnTheSlowestClock)
{
    Bench bench;
    bench.start(1);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    bench.answerLook({});
    const Time renewed = bench.now;
    bench.failLook = true;
    while (!bench.runner.runs.empty() && bench.now < renewed + Seconds(2)) {
        bench.answerLook({});
        bench.pass(Milliseconds(10));
    }
    const Milliseconds lease = bench.runner.settings.leaseDuration;
    EXPECT_GT(bench.now, renewed + lease * 100 / 98);
    EXPECT_LT(bench.now, renewed + lease + Milliseconds(250));
    EXPECT_EQ(bench.runner.stopped, 1U);
}

} // namespace
} // namespace foxwing::runner
