/*
    What is counted within one life of an endpoint ends with that life.

    An endpoint crashed, began again 2.4 s later under the id that it had, and said 3.2 s after that
    that it was leaving. It was answered that it had been heard, and tasks were still started there
    2.4 s later. Its agent knew lives by their ids alone: the log has "endpoint-out-of-reach",
    then "endpoint-in-reach" with the same life, and neither "endpoint-life" nor "endpoint-leaving".
    Heartbeats are numbered from 1 in each life, so those of the new life were passed over as older
    than the last one of the life before, until their number had grown beyond it.

    The ends of runs are numbered from 1 as well. The agent went on telling the endpoint that it had
    seen the ends up to the last number of the life before, and the endpoint forgot those of the new
    life untold. Two agents whose endpoints had begun again held 16 runs each that were over, for
    20 and 40 s: "foxwing_runs 16", 25 to 33 starts and no run done in any span of 5 s, and up to
    2,250 starts refused for want of room.

    [SECTION] Heartbeats
    [SECTION] Ends and clocks
    [SECTION] Runs
    [SECTION] Strays
*/
#include "bench.h"

namespace foxwing::runner {
namespace {

constexpr std::int64_t Born = 1'700'000'000'000;
constexpr std::int64_t BornAgain = Born + 60'000;

// Its clock starts anew, and so do its counts.
constexpr Milliseconds NewClock { 300 };

// An endpoint that has lived for a while: 40 heartbeats, 500 ends, one run at work.
struct LongLife : Bench
{
    LongLife()
    {
        replacedBy(makeReport("one-id", Born, 40));
        settle(Born, clock());
        start(1);
        startAnswered(runner, runId(1), { Answer::Ok, clock() }, now);
        Look look = makeLook(Born, clock());
        look.running = { { runId(1), 10 } };
        look.ended = { { 500, runId(9), RunOutcome::Done } };
        answerLook(look);
    }

    // Answers looks until the runner is content with what it knows of the endpoint.
    RunnerActions settle(std::int64_t born, Milliseconds clock)
    {
        RunnerActions all;
        for (int i = 0; i < 4; ++i) {
            RunnerActions some = answerLook(makeLook(born, clock));
            all.updates.insert(all.updates.end(), some.updates.begin(), some.updates.end());
            if (some.look)
                all.look = some.look;
        }
        return all;
    }

    RunnerActions beginAgain()
    {
        EndpointReport report = makeReport("one-id", BornAgain, 1);
        report.clock = NewClock;
        RunnerActions heard = endpointHeard(runner, report, now);
        RunnerActions settled = settle(BornAgain, NewClock);
        settled.updates.insert(settled.updates.begin(), heard.updates.begin(), heard.updates.end());
        return settled;
    }
};

// [SECTION] Heartbeats

TEST(RunnerLifeAgain, ThatLeavesGetsNothingNew)
{
    LongLife bench;
    bench.beginAgain();
    EXPECT_GT(viewOf(bench.runner, bench.now).maxStarts, 0U);
    EndpointReport leaving = makeReport("one-id", BornAgain, 3);
    leaving.leaving = true;
    endpointHeard(bench.runner, leaving, bench.now);
    EXPECT_TRUE(viewOf(bench.runner, bench.now).leaving);
    EXPECT_EQ(endsIn(bench.start(2)).at(0).refused, StartRefusal::Leaving);
}

TEST(RunnerLifeAgain, IsUsedThoughTheLifeBeforeWasLeaving)
{
    LongLife bench;
    EndpointReport leaving = makeReport("one-id", Born, 41);
    leaving.leaving = true;
    endpointHeard(bench.runner, leaving, bench.now);
    bench.beginAgain();
    EXPECT_FALSE(viewOf(bench.runner, bench.now).leaving);
    EXPECT_EQ(bench.start(2).starts.size(), 1U);
}

struct LateCase
{
    const char *name;
    std::int64_t born;
    std::uint64_t sequence;
};

std::ostream &operator<<(std::ostream &out, const LateCase &tested)
{
    return out << tested.name;
}

class LateHeartbeats : public testing::TestWithParam<LateCase>
{ };

// What was held up on its way says "leaving" of a life that is over, or has said otherwise since.
TEST_P(LateHeartbeats, ChangeNothing)
{
    LongLife bench;
    bench.beginAgain();
    endpointHeard(bench.runner, makeReport("one-id", BornAgain, 5), bench.now);
    EndpointReport late = makeReport("one-id", GetParam().born, GetParam().sequence);
    late.leaving = true;
    const std::uint64_t passedOver = bench.runner.heartbeatsPassedOver;
    endpointHeard(bench.runner, late, bench.now);
    EXPECT_FALSE(viewOf(bench.runner, bench.now).leaving);
    EXPECT_EQ(bench.start(2).starts.size(), 1U);
    EXPECT_EQ(bench.runner.heartbeatsPassedOver - passedOver, 1U);
}

INSTANTIATE_TEST_SUITE_P(Runner, LateHeartbeats,
                         testing::Values(LateCase { "OfTheLifeBefore", Born, 41 },
                                         LateCase { "OfALifeNeverHeardOf", Born - 9000, 700 },
                                         LateCase { "OlderOfThisLife", BornAgain, 4 }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Ends and clocks

TEST(RunnerLifeAgain, IsAskedForItsEndsFromTheFirst)
{
    LongLife bench;
    EXPECT_EQ(bench.runner.life.lastSeen, 500U);
    const RunnerActions settled = bench.beginAgain();
    ASSERT_TRUE(settled.look);
    EXPECT_EQ(settled.look->lastSeen, 0U);
}

TEST(RunnerLifeAgain, IsLeasedByItsOwnClock)
{
    LongLife bench;
    bench.beginAgain();
    const RunnerActions started = bench.start(2);
    ASSERT_EQ(started.starts.size(), 1U);
    EXPECT_GT(started.starts[0].deadline, NewClock);
    EXPECT_LT(started.starts[0].deadline, NewClock + Seconds(2));
}

// The answer to an order for the life before tells that life's clock.
TEST(RunnerLifeAgain, KeepsItsClockWhenTheLifeBeforeIsHeardLate)
{
    LongLife bench;
    bench.start(3);
    bench.beginAgain();
    startAnswered(bench.runner, runId(3), { Answer::Ok, bench.clock() }, bench.now);
    const RunnerActions started = bench.start(2);
    ASSERT_EQ(started.starts.size(), 1U);
    EXPECT_LT(started.starts[0].deadline, NewClock + Seconds(2));
}

// [SECTION] Runs

TEST(RunnerLifeAgain, HasLostTheRunsOfTheLifeBefore)
{
    LongLife bench;
    const auto ends = endsIn(bench.beginAgain());
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_TRUE(ends[0].id == runId(1));
    EXPECT_EQ(ends[0].end, RunOutcome::Crashed);
    EXPECT_TRUE(bench.runner.runs.empty());
}

// A start that was on its way when the endpoint began again may have reached either life. Until a
// list shows that it is not there, it may be running: told as lost, its task would begin elsewhere
// beside it.
TEST(RunnerLifeAgain, KeepsARunThatItLists)
{
    LongLife bench;
    bench.start(2);
    EndpointReport report = makeReport("one-id", BornAgain, 1);
    report.clock = NewClock;
    const auto early = endsIn(endpointHeard(bench.runner, report, bench.now));
    for (const jobs::RunReport &end : early)
        EXPECT_FALSE(end.id == runId(2));
    Look look = makeLook(BornAgain, NewClock);
    look.running = { { runId(2), 5 } };
    const auto ends = endsIn(bench.answerLook(look));
    for (const jobs::RunReport &end : ends)
        EXPECT_FALSE(end.id == runId(2));
    EXPECT_EQ(bench.runner.runs.count(runId(2)), 1U);
}

// Before any heartbeat of it came, the list of runs tells that it is another life: of what kind it
// is, and how much room it has, is not known.
TEST(RunnerLifeAgain, SeenInAListOnlyGetsNothingUntilItsHeartbeat)
{
    LongLife bench;
    bench.settle(BornAgain, NewClock);
    EXPECT_EQ(viewOf(bench.runner, bench.now).maxStarts, 0U);
    EXPECT_TRUE(bench.start(2).starts.empty());
    bench.beginAgain();
    EXPECT_GT(viewOf(bench.runner, bench.now).maxStarts, 0U);
    EXPECT_EQ(bench.start(3).starts.size(), 1U);
}

// What was ordered for the life before must not begin in this one, however late it comes.
TEST(RunnerLifeAgain, FencesOffWhatWasOrderedBefore)
{
    LongLife bench;
    const std::uint64_t before = bench.start(2).starts.at(0).fence;
    const RunnerActions settled = bench.beginAgain();
    ASSERT_TRUE(settled.look);
    EXPECT_GT(settled.look->fence, before);
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

// A heartbeat of another writer, whole as it is, names nothing to use: the endpoint that answers
// goes on, and its own next heartbeat counts.
TEST_P(Strays, LeaveTheEndpointThatAnswersInUse)
{
    LongLife bench;
    const RunnerActions heard = endpointHeard(bench.runner, GetParam().report(), bench.now);
    EXPECT_TRUE(endsIn(heard).empty());
    Look look = makeLook(Born, bench.clock());
    look.running = { { runId(1), 20 } };
    EXPECT_TRUE(endsIn(bench.answerLook(look)).empty());
    EXPECT_EQ(bench.runner.endpoint.life.id, "one-id");
    EXPECT_EQ(viewOf(bench.runner, bench.now).service, "align");
    EXPECT_EQ(bench.start(2).starts.size(), 1U);
    EndpointReport leaving = makeReport("one-id", Born, 41);
    leaving.leaving = true;
    endpointHeard(bench.runner, leaving, bench.now);
    EXPECT_TRUE(viewOf(bench.runner, bench.now).leaving);
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Strays,
        testing::Values(
                StrayCase { "OtherId", [] { return makeReport("other-id", Born + 5000, 900); } },
                StrayCase { "OtherIdWithoutADate", [] { return makeReport("other-id", 900); } },
                StrayCase { "OtherIdAndService",
                            [] { return otherService(makeReport("other-id", 900)); } },
                StrayCase { "OtherServiceOfThisLife",
                            [] { return otherService(makeReport("one-id", Born, 900)); } },
                StrayCase { "OtherDataCentreOfThisLife",
                            [] { return otherDataCentre(makeReport("one-id", Born, 900)); } },
                StrayCase { "ThisIdWithoutADate", [] { return makeReport("one-id", 900); } }),
        [](const auto &tested) { return tested.param.name; });

// It takes over as soon as the one before does not answer, or says that it is another.
TEST(RunnerStrays, TakeOverWhenTheEndpointDisownsItsLife)
{
    LongLife bench;
    const auto ends = endsIn(bench.replacedBy("other-id"));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::Crashed);
    EXPECT_EQ(bench.runner.endpoint.life.id, "other-id");
}

TEST(RunnerStrays, TakeOverWhenTheEndpointDoesNotAnswer)
{
    LongLife bench;
    bench.failLook = true;
    bench.answerLook({});
    endpointHeard(bench.runner, makeReport("other-id", 1), bench.now);
    EXPECT_EQ(bench.runner.endpoint.life.id, "other-id");
}

// A writer that repeats itself must not hide what else the log has to tell.
TEST(RunnerStrays, FillTheLogWithAFewLinesASecond)
{
    LongLife bench;
    std::size_t lines = 0;
    for (int i = 0; i < 2000; ++i) {
        bench.now += Milliseconds(1);
        lines += endpointHeard(bench.runner, makeReport("other-id", 900), bench.now).events.size();
    }
    EXPECT_GE(lines, 2U);
    EXPECT_LE(lines, 3 * bench.runner.settings.passedOverLines);
    EXPECT_GE(bench.runner.heartbeatsPassedOver, 2000U);
}

// What a stray said is not kept for a later time.
TEST(RunnerStrays, AreForgottenOnceTheEndpointHasAnswered)
{
    LongLife bench;
    endpointHeard(bench.runner, makeReport("other-id", 900), bench.now);
    bench.settle(Born, bench.clock());
    Look disowned;
    disowned.answered.answer = Answer::OtherLife;
    bench.answerLook(disowned);
    EXPECT_EQ(bench.runner.endpoint.life.id, "one-id");
}

} // namespace
} // namespace foxwing::runner
