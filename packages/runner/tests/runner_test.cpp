/*
    What the runner starts, stops, and says of its endpoint.

    [SECTION] Helpers
    [SECTION] Starts
    [SECTION] Waiting starts
    [SECTION] Cordons
    [SECTION] Unanswered orders
    [SECTION] Lives and leases
    [SECTION] Sessions
    [SECTION] Judgement
*/
#include <gtest/gtest.h>

#include <foxwing/runner/runner.h>

namespace foxwing::runner {
namespace {

using jobs::RefusedStart;
using jobs::RunEnd;
using jobs::RunId;

// [SECTION] Helpers

constexpr std::uint64_t Entry = 1;

RunId runId(std::uint32_t index, std::uint32_t run = 1)
{
    return { { "job", 0, 0, index }, run };
}

EndpointReport makeReport(const std::string &life, std::uint64_t sequence)
{
    EndpointReport report;
    report.life = life;
    report.service = "align";
    report.capacity = { 4000, 1000, 0 };
    report.sequence = sequence;
    report.clock = Milliseconds(50000);
    return report;
}

struct Bench
{
    Bench()
    {
        cordonsHeard(runner, {}, CordonSource::Control, now);
        endpointHeard(runner, makeReport("life-1", 1), now);
        answerLook({});
        openSession(runner, Entry, "entry-1", now);
    }

    // Answers the look that is under way, or the next one; what comes of it.
    RunnerActions answerLook(Look look)
    {
        while (!runner.lookUnderWay)
            pass(runner.settings.lookPause);
        if (look.answered.answer == Answer::None && !failLook)
            look.answered = { Answer::Ok, clock() };
        return lookAnswered(runner, runner.lookNumber, look, now);
    }

    Milliseconds clock() const
    {
        return Milliseconds(50000)
                + std::chrono::duration_cast<Milliseconds>(now - Time(Seconds(100)));
    }

    RunnerActions start(std::uint32_t index, std::int64_t cores = 1000, std::uint32_t run = 1)
    {
        jobs::StartTasks message;
        message.job = "job";
        message.room = { cores, 10, 0 };
        message.estimate = Milliseconds(100);
        message.starts = { { index, run } };
        return startTasks(runner, Entry, message, now);
    }

    // A start that may wait here for 100 ms.
    RunnerActions startOrWait(std::uint32_t index, std::int64_t cores, std::uint32_t priority = 0)
    {
        jobs::StartTasks message;
        message.job = "job";
        message.room = { cores, 10, 0 };
        message.estimate = Milliseconds(100);
        message.priority = priority;
        message.mayWait = Milliseconds(100);
        message.starts = { { index, 1 } };
        return startTasks(runner, Entry, message, now);
    }

    RunnerActions end(std::uint32_t index)
    {
        Look look;
        look.ended = { { ++lastEnd, runId(index), RunEnd::Done } };
        return answerLook(look);
    }

    // Time goes by, with the entry heard all the while.
    RunnerActions pass(Milliseconds span)
    {
        now += span;
        for (auto &[number, session] : runner.sessions)
            session.heardAt = now;
        return tick(runner, now);
    }

    RunnerState runner = makeRunner(RunnerSettings(), 1, 100);
    Time now { Seconds(100) };
    bool failLook = false;
    std::uint64_t lastEnd = 0;
};

std::vector<jobs::RunReport> endsIn(const RunnerActions &actions)
{
    std::vector<jobs::RunReport> ends;
    for (const auto &[session, update] : actions.updates)
        ends.insert(ends.end(), update.ended.begin(), update.ended.end());
    return ends;
}

// [SECTION] Starts

struct StartCase
{
    const char *name;
    std::function<void(Bench &)> prepare;
    std::int64_t cores;
    RefusedStart refused;
};

std::ostream &operator<<(std::ostream &out, const StartCase &tested)
{
    return out << tested.name;
}

class Starts : public testing::TestWithParam<StartCase>
{ };

TEST_P(Starts, AreTakenOnlyIfTheyMay)
{
    Bench bench;
    GetParam().prepare(bench);
    const RunnerActions actions = bench.start(7, GetParam().cores);
    const bool taken = GetParam().refused == RefusedStart::None;
    EXPECT_EQ(actions.starts.size(), taken ? 1U : 0U);
    const auto ends = endsIn(actions);
    ASSERT_EQ(ends.size(), taken ? 0U : 1U);
    if (!taken) {
        EXPECT_EQ(ends[0].end, RunEnd::NeverBegan);
        EXPECT_EQ(ends[0].refused, GetParam().refused);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Starts,
        testing::Values(
                StartCase { "Empty", [](Bench &) {}, 4000, RefusedStart::None },
                StartCase { "TooLarge", [](Bench &) {}, 4001, RefusedStart::NoRoom },
                StartCase { "Full", [](Bench &b) { b.start(1, 3500); }, 600, RefusedStart::NoRoom },
                StartCase { "Beside", [](Bench &b) { b.start(1, 3500); }, 500, RefusedStart::None },
                StartCase { "SameTask", [](Bench &b) { b.start(7, 100); }, 100,
                            RefusedStart::NotReady },
                StartCase { "EndpointLeaving",
                            [](Bench &b) {
                                EndpointReport report = makeReport("life-1", 2);
                                report.leaving = true;
                                endpointHeard(b.runner, report, b.now);
                            },
                            100, RefusedStart::Leaving },
                StartCase { "AgentStopping", [](Bench &b) { beginStop(b.runner, b.now); }, 100,
                            RefusedStart::Leaving },
                StartCase {
                        "NotLookedAtYet",
                        [](Bench &b) { endpointHeard(b.runner, makeReport("life-2", 1), b.now); },
                        100, RefusedStart::NotReady },
                StartCase { "OutOfReach",
                            [](Bench &b) {
                                b.failLook = true;
                                const auto most = b.runner.settings.looksBeforeOutOfReach;
                                for (std::uint32_t i = 0; i < most; ++i) {
                                    b.answerLook({});
                                    b.pass(Milliseconds(100));
                                }
                            },
                            100, RefusedStart::NotReady }),
        [](const auto &tested) { return tested.param.name; });

TEST(RunnerStarts, RoomIsTakenUntilTheEndIsListed)
{
    Bench bench;
    bench.start(1, 4000);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    stopRuns(bench.runner, Entry, { { runId(1) } }, bench.now);
    stopAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    EXPECT_EQ(bench.start(2).starts.size(), 0U);
    Look still;
    still.running = { { runId(1), 40 } };
    bench.answerLook(still);
    EXPECT_EQ(bench.start(3).starts.size(), 0U);
    Look gone;
    gone.ended = { { 1, runId(1), RunEnd::Stopped } };
    const auto ends = endsIn(bench.answerLook(gone));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunEnd::Stopped);
    EXPECT_EQ(bench.start(4).starts.size(), 1U);
    EXPECT_EQ(bench.runner.lastSeen, 1U);
}

struct RefusalCase
{
    const char *name;
    Answer answer;
    RefusedStart refused;
};

class Refusals : public testing::TestWithParam<RefusalCase>
{ };

TEST_P(Refusals, OfTheEndpointFreeTheRoom)
{
    Bench bench;
    bench.start(1, 4000);
    const auto ends = endsIn(
            startAnswered(bench.runner, runId(1), { GetParam().answer, {} }, bench.now));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunEnd::NeverBegan);
    EXPECT_EQ(ends[0].refused, GetParam().refused);
    EXPECT_TRUE(bench.runner.runs.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Refusals,
        testing::Values(RefusalCase { "Old", Answer::OldRun, RefusedStart::OldRun },
                        RefusalCase { "Late", Answer::TooLate, RefusedStart::Endpoint },
                        RefusalCase { "Room", Answer::NoRoom, RefusedStart::NoRoom },
                        RefusalCase { "Busy", Answer::Busy, RefusedStart::Endpoint },
                        RefusalCase { "Fenced", Answer::Fenced, RefusedStart::Endpoint },
                        RefusalCase { "OtherLife", Answer::OtherLife, RefusedStart::Endpoint }),
        [](const auto &tested) { return tested.param.name; });

TEST(RunnerStarts, AFenceThatIsTooLowIsRaised)
{
    Bench bench;
    bench.start(1);
    const std::uint64_t before = bench.runner.fence;
    startAnswered(bench.runner, runId(1), { Answer::Fenced, {} }, bench.now);
    const std::uint64_t once = bench.runner.fence;
    EXPECT_GT(once, before);
    bench.start(2);
    startAnswered(bench.runner, runId(2), { Answer::Fenced, {} }, bench.now);
    EXPECT_GT(bench.runner.fence - once, once - before);
}

// [SECTION] Waiting starts

std::vector<std::uint32_t> startedIn(const RunnerActions &actions)
{
    std::vector<std::uint32_t> indexes;
    for (const StartOrder &order : actions.starts)
        indexes.push_back(order.id.task.index);
    return indexes;
}

struct WaitingCase
{
    const char *name;

    // Priorities of starts 11, 12, ... of 600 thousandths each, that come while all room is taken
    std::vector<std::uint32_t> priorities;

    // Which of them start once the room is free again
    std::vector<std::uint32_t> started;

    // Which are refused at once: 15 percent of 4000 thousandths of a core may wait at a priority
    std::vector<std::uint32_t> refused;
};

class WaitingStarts : public testing::TestWithParam<WaitingCase>
{ };

TEST_P(WaitingStarts, GoByPriorityWhenRoomComesFree)
{
    Bench bench;
    bench.start(1, 4000);
    std::vector<std::uint32_t> refused;
    std::uint32_t index = 11;
    for (const std::uint32_t priority : GetParam().priorities) {
        const RunnerActions actions = bench.startOrWait(index, 600, priority);
        EXPECT_TRUE(actions.starts.empty());
        for (const jobs::RunReport &report : endsIn(actions))
            refused.push_back(report.id.task.index);
        ++index;
    }
    EXPECT_EQ(refused, GetParam().refused);
    EXPECT_EQ(startedIn(bench.end(1)), GetParam().started);
    EXPECT_TRUE(bench.runner.waiting.empty());
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
    std::function<RunnerActions(Bench &)> happens;
    std::optional<RefusedStart> told;
};

std::ostream &operator<<(std::ostream &out, const WaitingEndCase &tested)
{
    return out << tested.name;
}

class WaitingEnds : public testing::TestWithParam<WaitingEndCase>
{ };

// "Never began" is said of a start that waited only if it was not ordered, and never will be.
TEST_P(WaitingEnds, AreTruthful)
{
    Bench bench;
    bench.start(1, 4000);
    bench.startOrWait(11, 600);
    const RunnerActions actions = GetParam().happens(bench);
    EXPECT_TRUE(actions.starts.empty());
    EXPECT_TRUE(bench.runner.waiting.empty());
    std::optional<RefusedStart> told;
    for (const jobs::RunReport &report : endsIn(actions)) {
        if (report.id.task.index != 11)
            continue;
        EXPECT_EQ(report.end, RunEnd::NeverBegan);
        told = report.refused;
    }
    EXPECT_EQ(told, GetParam().told);
    EXPECT_TRUE(startedIn(bench.end(1)).empty());
}

INSTANTIATE_TEST_SUITE_P(
        Runner, WaitingEnds,
        testing::Values(
                WaitingEndCase { "TooLong", [](Bench &b) { return b.pass(Milliseconds(100)); },
                                 RefusedStart::NoRoom },
                WaitingEndCase { "Stopped",
                                 [](Bench &b) {
                                     return stopRuns(b.runner, Entry, { { runId(11) } }, b.now);
                                 },
                                 RefusedStart::NoRoom },
                WaitingEndCase { "EndpointLeaves",
                                 [](Bench &b) {
                                     EndpointReport report = makeReport("life-1", 2);
                                     report.leaving = true;
                                     return endpointHeard(b.runner, report, b.now);
                                 },
                                 RefusedStart::Leaving },
                WaitingEndCase { "AnotherLife",
                                 [](Bench &b) {
                                     return endpointHeard(b.runner, makeReport("life-2", 1), b.now);
                                 },
                                 RefusedStart::NotReady },
                WaitingEndCase { "EntryGone",
                                 [](Bench &b) { return closeSession(b.runner, Entry, b.now); },
                                 {} }),
        [](const auto &tested) { return tested.param.name; });

// What waits has its room: a start that comes later and would fit does not take it.
TEST(RunnerWaiting, RoomIsKeptForWhatWaits)
{
    Bench bench;
    bench.start(1, 3600);
    bench.startOrWait(11, 600);
    const RunnerActions later = bench.start(2, 300);
    EXPECT_TRUE(later.starts.empty());
    ASSERT_EQ(endsIn(later).size(), 1U);
    EXPECT_EQ(endsIn(later)[0].refused, RefusedStart::NoRoom);
    EXPECT_EQ(viewOf(bench.runner, bench.now).free.milliCores, -200);
}

TEST(RunnerWaiting, TheSameTaskDoesNotWaitTwice)
{
    Bench bench;
    bench.start(1, 4000);
    bench.startOrWait(11, 600);
    const auto ends = endsIn(bench.startOrWait(11, 600));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].refused, RefusedStart::NotReady);
}

// An agent that stood still finds its waiting starts long after their entry has started them
// elsewhere, and may learn of room before it learns that the entry has gone.
TEST(WaitingStart, IsNotBegunAfterItsTime)
{
    Bench bench;
    bench.start(1, 4000);
    bench.pass(bench.runner.settings.lookPause);
    ASSERT_TRUE(bench.runner.lookUnderWay);
    bench.startOrWait(11, 600);
    bench.now += Milliseconds(1500);
    EXPECT_TRUE(startedIn(bench.end(1)).empty());
    EXPECT_TRUE(bench.runner.waiting.empty());
}

// [SECTION] Cordons

struct CordonCase
{
    const char *name;

    // What the agent hears, one after the other
    std::vector<std::pair<catalog::Cordons, CordonSource>> heard;

    // How long it has been there
    Milliseconds after;
    bool takesStarts;
};

class Cordoned : public testing::TestWithParam<CordonCase>
{ };

// The endpoint stands in "north".
TEST_P(Cordoned, EndpointsGetNothingNew)
{
    RunnerState runner = makeRunner(RunnerSettings(), 1, 100);
    Time now { Seconds(100) };
    tick(runner, now);
    EndpointReport report = makeReport("life-1", 1);
    report.dataCentre = "north";
    endpointHeard(runner, report, now);
    lookAnswered(runner, runner.lookNumber, { { Answer::Ok, Milliseconds(50000) }, {}, {} }, now);
    for (const auto &[cordons, source] : GetParam().heard)
        cordonsHeard(runner, cordons, source, now);
    now += GetParam().after;
    openSession(runner, Entry, "entry-1", now);
    tick(runner, now);
    EXPECT_EQ(viewOf(runner, now).mostStarts > 0, GetParam().takesStarts);
    EXPECT_EQ(viewOf(runner, now).free.milliCores > 0, GetParam().takesStarts);
    jobs::StartTasks message;
    message.job = "job";
    message.room = { 1000, 10, 0 };
    message.estimate = Milliseconds(100);
    message.starts = { { 0, 1 } };
    EXPECT_EQ(startTasks(runner, Entry, message, now).starts.size(),
              GetParam().takesStarts ? 1U : 0U);
}

const catalog::Cordons NoCordons {};
const catalog::Cordons NorthCordoned { 3, { "east", "north" } };
const catalog::Cordons NorthTakenBack { 4, { "east" } };

INSTANTIATE_TEST_SUITE_P(
        Runner, Cordoned,
        testing::Values(
                CordonCase { "Free", { { NoCordons, CordonSource::Control } }, {}, true },
                CordonCase { "Cordoned", { { NorthCordoned, CordonSource::Control } }, {}, false },
                CordonCase { "TakenBack",
                             { { NorthCordoned, CordonSource::Control },
                               { NorthTakenBack, CordonSource::Control } },
                             {},
                             true },
                CordonCase { "OlderNewsLate",
                             { { NorthTakenBack, CordonSource::Control },
                               { NorthCordoned, CordonSource::Control } },
                             {},
                             true },
                CordonCase { "EntryKnowsMore",
                             { { NoCordons, CordonSource::Control },
                               { NorthCordoned, CordonSource::Entry } },
                             {},
                             false },
                CordonCase { "NothingHeard", {}, Milliseconds(5000), false },
                CordonCase { "OnlyAnEntryHeardYet",
                             { { NoCordons, CordonSource::Entry } },
                             Milliseconds(500),
                             false },
                CordonCase { "ControlAway",
                             { { NoCordons, CordonSource::Entry } },
                             Milliseconds(1000),
                             true },
                CordonCase { "CordonedAndControlAway",
                             { { NorthCordoned, CordonSource::Entry } },
                             Milliseconds(1000),
                             false }),
        [](const auto &tested) { return tested.param.name; });

TEST(RunnerCordon, StartsThatWaitAreGivenBackAndRunsGoOn)
{
    Bench bench;
    bench.runner.endpoint.dataCentre = "north";
    bench.start(1, 4000);
    bench.startOrWait(11, 600);
    const RunnerActions actions = cordonsHeard(bench.runner, NorthCordoned, CordonSource::Control,
                                               bench.now);
    const std::vector<jobs::RunReport> ends = endsIn(actions);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].id, runId(11));
    EXPECT_EQ(ends[0].refused, RefusedStart::Cordoned);
    EXPECT_TRUE(actions.stops.empty());
    EXPECT_EQ(bench.runner.runs.count(runId(1)), 1U);
}

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
    const auto ends = endsIn(endpointHeard(bench.runner, makeReport("life-2", 1), bench.now));
    ASSERT_EQ(ends.size(), 2U);
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
    endpointHeard(bench.runner, makeReport("life-2", 1), bench.now);
    bench.answerLook({});
    bench.start(1);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    const RunnerActions late = endpointHeard(bench.runner, makeReport("life-1", 7), bench.now);
    EXPECT_TRUE(endsIn(late).empty());
    EXPECT_EQ(bench.runner.endpoint.life, "life-2");
    EXPECT_EQ(bench.runner.runs.size(), 1U);
    EXPECT_GT(viewOf(bench.runner, bench.now).mostStarts, 0U);
}

// Should the endpoint itself say that it is the other life, the next heartbeat counts again.
TEST(RunnerLives, ALifeThatTheEndpointDisownsIsReplacedByAnyHeartbeat)
{
    Bench bench;
    endpointHeard(bench.runner, makeReport("life-2", 1), bench.now);
    Look disowned;
    disowned.answered.answer = Answer::OtherLife;
    bench.failLook = true;
    bench.answerLook(disowned);
    endpointHeard(bench.runner, makeReport("life-1", 7), bench.now);
    EXPECT_EQ(bench.runner.endpoint.life, "life-1");
}

// Of many lives only the last ones are remembered.
TEST(RunnerLives, FormerLivesAreBounded)
{
    Bench bench;
    for (int i = 2; i < 100; ++i)
        endpointHeard(bench.runner, makeReport("life-" + std::to_string(i), 1), bench.now);
    EXPECT_EQ(bench.runner.formerLives.size(), bench.runner.settings.mostFormerLives);
    EXPECT_EQ(bench.runner.formerLives.back(), "life-98");
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
    const Milliseconds lease = bench.runner.settings.leaseSpan;
    EXPECT_GT(bench.now, renewed + lease * 100 / 98);
    EXPECT_LT(bench.now, renewed + lease + Milliseconds(250));
    EXPECT_EQ(bench.runner.stopped, 1U);
}

// [SECTION] Sessions

TEST(RunnerSessions, ASilentEntrysRunsAreStopped)
{
    Bench bench;
    bench.start(1);
    bench.now += bench.runner.settings.ownerSilence;
    const RunnerActions actions = tick(bench.runner, bench.now);
    EXPECT_EQ(actions.stops.size(), 1U);
    EXPECT_EQ(actions.closes, std::vector<std::uint64_t> { Entry });
}

TEST(RunnerSessions, WhatArrivesAfterASilenceIsNotTaken)
{
    Bench bench;
    bench.now += bench.runner.settings.ownerSilence + Milliseconds(1);
    EXPECT_TRUE(bench.start(1).starts.empty());
    EXPECT_TRUE(bench.runner.runs.empty());
}

TEST(RunnerSessions, AnEntryIsWelcomedOnceItsEarlierRunsAreOver)
{
    Bench bench;
    bench.start(1);
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    RunnerActions actions = openSession(bench.runner, 2, "entry-1", bench.now);
    EXPECT_EQ(actions.stops.size(), 1U);
    EXPECT_TRUE(actions.welcomes.empty());
    Look look;
    look.ended = { { 1, runId(1), RunEnd::Stopped } };
    actions = bench.answerLook(look);
    ASSERT_EQ(actions.welcomes.size(), 1U);
    EXPECT_EQ(actions.welcomes[0].first, 2U);
}

// Fifteen entries, and a second in which the room changes every 10 ms: what each is told.
struct TellingCase
{
    const char *name;
    std::uint64_t wanting;
    std::size_t leastWanting;
    std::size_t mostWanting;
    std::size_t mostOthers;
};

class Telling : public testing::TestWithParam<TellingCase>
{ };

TEST_P(Telling, OfRoomFollowsWhoWantsIt)
{
    constexpr std::uint64_t Entries = 15;
    Bench bench;
    for (std::uint64_t entry = 2; entry <= Entries; ++entry)
        openSession(bench.runner, entry, "entry-" + std::to_string(entry), bench.now);
    for (std::uint64_t entry = 1; entry <= GetParam().wanting; ++entry)
        sessionBeat(bench.runner, entry, { 1, true }, bench.now);
    std::map<std::uint64_t, std::size_t> told;
    const auto count = [&](const RunnerActions &actions) {
        for (const auto &[entry, update] : actions.updates)
            ++told[entry];
    };
    for (std::int64_t turn = 0; turn < 100; ++turn) {
        bench.runner.runs[runId(1000)].room.milliCores = turn;
        count(bench.pass(Milliseconds(5)));
        count(bench.pass(Milliseconds(5)));
    }
    for (std::uint64_t entry = 1; entry <= Entries; ++entry) {
        const bool wants = entry <= GetParam().wanting;
        EXPECT_GE(told[entry], wants ? GetParam().leastWanting : 8) << entry;
        EXPECT_LE(told[entry], wants ? GetParam().mostWanting : GetParam().mostOthers) << entry;
    }
}

INSTANTIATE_TEST_SUITE_P(Runner, Telling,
                         testing::Values(TellingCase { "Nobody", 0, 0, 0, 11 },
                                         TellingCase { "One", 1, 90, 101, 11 },
                                         TellingCase { "Four", 4, 90, 101, 11 },
                                         TellingCase { "All", 15, 25, 40, 0 }),
                         [](const auto &tested) { return tested.param.name; });

TEST(RunnerSessions, AnEntryThatBeginsToWantRoomIsToldAtOnce)
{
    Bench bench;
    bench.start(1);
    bench.now += Milliseconds(5);
    const RunnerActions calm = sessionBeat(bench.runner, Entry, { 1, false }, bench.now);
    EXPECT_TRUE(calm.updates.empty());
    const RunnerActions wants = sessionBeat(bench.runner, Entry, { 2, true }, bench.now);
    ASSERT_EQ(wants.updates.size(), 1U);
    EXPECT_EQ(wants.updates[0].second.free.milliCores, 3000);
    EXPECT_EQ(wants.updates[0].second.startsTaken, 1U);
}

TEST(RunnerSessions, EndsAreToldAtOnceAndStartsWithTheNextNews)
{
    Bench bench;
    EXPECT_TRUE(bench.start(1).updates.empty());
    startAnswered(bench.runner, runId(1), { Answer::Ok, bench.clock() }, bench.now);
    const RunnerActions actions = bench.end(1);
    ASSERT_EQ(actions.updates.size(), 1U);
    EXPECT_EQ(actions.updates[0].second.ended.size(), 1U);
    EXPECT_EQ(actions.updates[0].second.startsTaken, 1U);
}

// [SECTION] Judgement

struct JudgementCase
{
    const char *name;
    std::uint32_t firstPercent;
    std::uint32_t secondPercent;
    std::uint32_t thirdPercent;
    std::size_t lagging;
    bool slow;
};

class Judgement : public testing::TestWithParam<JudgementCase>
{ };

// Three runs with an estimate of 100 ms, seen 100 ms after they began, each of a job of its own.
TEST_P(Judgement, ComparesProgressWithEstimates)
{
    Bench bench;
    const std::uint32_t percents[] = { GetParam().firstPercent, GetParam().secondPercent,
                                       GetParam().thirdPercent };
    Look look;
    for (std::uint32_t i = 0; i < 3; ++i) {
        jobs::StartTasks message;
        message.job = "job-" + std::to_string(i);
        message.room = { 1000, 10, 0 };
        message.estimate = Milliseconds(100);
        message.starts = { { 0, 1 } };
        startTasks(bench.runner, Entry, message, bench.now);
        const RunId id { { message.job, 0, 0, 0 }, 1 };
        startAnswered(bench.runner, id, { Answer::Ok, bench.clock() }, bench.now);
        look.running.push_back({ id, percents[i] });
    }
    bench.pass(Milliseconds(100));
    const RunnerActions actions = bench.answerLook(look);
    std::vector<jobs::LagReport> lagging;
    for (const auto &[session, update] : actions.updates)
        lagging.insert(lagging.end(), update.lagging.begin(), update.lagging.end());
    ASSERT_EQ(lagging.size(), GetParam().lagging);
    for (const jobs::LagReport &report : lagging)
        EXPECT_EQ(report.endpointSlow, GetParam().slow);
}

INSTANTIATE_TEST_SUITE_P(Runner, Judgement,
                         testing::Values(JudgementCase { "OnPace", 95, 80, 50, 0, false },
                                         JudgementCase { "OneEstimateWrong", 95, 80, 10, 1, false },
                                         JudgementCase { "EndpointSlow", 15, 15, 15, 3, true },
                                         JudgementCase { "StandsStill", 95, 0, 80, 1, false },
                                         JudgementCase { "AllStandStill", 0, 0, 0, 3, true }),
                         [](const auto &tested) { return tested.param.name; });

TEST(RunnerJudgement, AnEndpointThatFailsEverythingIsOnTrialAndComesBack)
{
    Bench bench;
    std::uint32_t index = 0;
    const auto runOne = [&](RunEnd end) {
        ++index;
        if (bench.start(index).starts.empty())
            return false;
        startAnswered(bench.runner, runId(index), { Answer::Ok, bench.clock() }, bench.now);
        Look look;
        look.ended = { { index, runId(index), end } };
        bench.answerLook(look);
        return true;
    };
    while (runOne(RunEnd::Failed) && index < 20) { }
    EXPECT_LT(index, 6U);
    EXPECT_EQ(viewOf(bench.runner, bench.now).mostStarts, 0U);
    bench.pass(bench.runner.settings.trialRest);
    EXPECT_EQ(viewOf(bench.runner, bench.now).mostStarts, 1U);
    EXPECT_TRUE(runOne(RunEnd::Done));
    EXPECT_GT(viewOf(bench.runner, bench.now).mostStarts, 1U);
}

} // namespace
} // namespace foxwing::runner
