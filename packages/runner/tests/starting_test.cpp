/*
    What the runner starts, lets wait for room, and refuses.

    [SECTION] Starts
    [SECTION] Waiting starts
    [SECTION] Room that changes
    [SECTION] Cordons
*/
#include "bench.h"

namespace foxwing::runner {
namespace {

// [SECTION] Starts

struct StartCase
{
    const char *name;
    std::function<void(Bench &)> prepare;
    std::int64_t cores;
    StartRefusal refused;
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
    const bool taken = GetParam().refused == StartRefusal::None;
    EXPECT_EQ(actions.starts.size(), taken ? 1U : 0U);
    const auto ends = endsIn(actions);
    ASSERT_EQ(ends.size(), taken ? 0U : 1U);
    if (!taken) {
        EXPECT_EQ(ends[0].end, RunOutcome::NeverStarted);
        EXPECT_EQ(ends[0].refused, GetParam().refused);
    }
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Starts,
        testing::Values(StartCase { "Empty", [](Bench &) {}, 4000, StartRefusal::None },
                        StartCase { "TooLarge", [](Bench &) {}, 4001, StartRefusal::NoCapacity },
                        StartCase { "Full", [](Bench &b) { b.start(1, 3500); }, 600,
                                    StartRefusal::NoCapacity },
                        StartCase { "Beside", [](Bench &b) { b.start(1, 3500); }, 500,
                                    StartRefusal::None },
                        StartCase { "SameTask", [](Bench &b) { b.start(7, 100); }, 100,
                                    StartRefusal::NotReady },
                        StartCase { "EndpointLeaving",
                                    [](Bench &b) {
                                        EndpointReport report = makeReport("life-1", 2);
                                        report.leaving = true;
                                        endpointHeard(b.runner, report, b.now);
                                    },
                                    100, StartRefusal::Leaving },
                        StartCase { "AgentStopping", [](Bench &b) { beginStop(b.runner, b.now); },
                                    100, StartRefusal::Leaving },
                        StartCase { "NotLookedAtYet", [](Bench &b) { b.replacedBy("life-2"); }, 100,
                                    StartRefusal::NotReady },
                        StartCase { "OutOfReach",
                                    [](Bench &b) {
                                        b.failLook = true;
                                        const auto most = b.runner.settings.looksBeforeOutOfReach;
                                        for (std::uint32_t i = 0; i < most; ++i) {
                                            b.answerLook({});
                                            b.pass(Milliseconds(100));
                                        }
                                    },
                                    100, StartRefusal::NotReady }),
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
    gone.ended = { { 1, runId(1), RunOutcome::Stopped } };
    const auto ends = endsIn(bench.answerLook(gone));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::Stopped);
    EXPECT_EQ(bench.start(4).starts.size(), 1U);
    EXPECT_EQ(bench.runner.life.lastSeen, 1U);
}

struct RefusalCase
{
    const char *name;
    Answer answer;
    StartRefusal refused;
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
    EXPECT_EQ(ends[0].end, RunOutcome::NeverStarted);
    EXPECT_EQ(ends[0].refused, GetParam().refused);
    EXPECT_TRUE(bench.runner.runs.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Runner, Refusals,
        testing::Values(RefusalCase { "Old", Answer::StaleRun, StartRefusal::StaleRun },
                        RefusalCase { "Late", Answer::TooLate, StartRefusal::Endpoint },
                        RefusalCase { "Room", Answer::NoCapacity, StartRefusal::NoCapacity },
                        RefusalCase { "Busy", Answer::Busy, StartRefusal::Endpoint },
                        RefusalCase { "Fenced", Answer::Fenced, StartRefusal::Endpoint },
                        RefusalCase { "OtherLife", Answer::OtherLife, StartRefusal::Endpoint }),
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
    std::optional<StartRefusal> told;
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
    std::optional<StartRefusal> told;
    for (const jobs::RunReport &report : endsIn(actions)) {
        if (report.id.task.index != 11)
            continue;
        EXPECT_EQ(report.end, RunOutcome::NeverStarted);
        told = report.refused;
    }
    EXPECT_EQ(told, GetParam().told);
    EXPECT_TRUE(startedIn(bench.end(1)).empty());
}

INSTANTIATE_TEST_SUITE_P(
        Runner, WaitingEnds,
        testing::Values(
                WaitingEndCase { "TooLong", [](Bench &b) { return b.pass(Milliseconds(100)); },
                                 StartRefusal::NoCapacity },
                WaitingEndCase { "Stopped",
                                 [](Bench &b) {
                                     return stopRuns(b.runner, Entry, { { runId(11) } }, b.now);
                                 },
                                 StartRefusal::NoCapacity },
                WaitingEndCase { "EndpointLeaves",
                                 [](Bench &b) {
                                     EndpointReport report = makeReport("life-1", 2);
                                     report.leaving = true;
                                     return endpointHeard(b.runner, report, b.now);
                                 },
                                 StartRefusal::Leaving },
                WaitingEndCase { "AnotherLife", [](Bench &b) { return b.replacedBy("life-2"); },
                                 StartRefusal::NotReady },
                WaitingEndCase { "EntryGone",
                                 [](Bench &b) { return closeSession(b.runner, Entry, b.now); },
                                 {} }),
        [](const auto &tested) { return tested.param.name; });

// What waits has its room: a start that comes later and would fit does not take it.
// [SECTION] Room that changes

// An endpoint of 4 cores that runs two tasks of one core each says that it has so many.
struct RoomCase
{
    const char *name;
    std::int64_t milliCores;

    // Starts of one core each that are taken then
    std::size_t taken;
};

std::ostream &operator<<(std::ostream &out, const RoomCase &tested)
{
    return out << tested.name;
}

class ChangedRoom : public testing::TestWithParam<RoomCase>
{ };

TEST_P(ChangedRoom, TakesOnlyWhatFitsNowAndLetsRunsGoOn)
{
    Bench bench;
    bench.start(0);
    bench.start(1);
    EndpointReport report = makeReport("life-1", 2);
    report.capacity.milliCores = GetParam().milliCores;
    const RunnerActions told = endpointHeard(bench.runner, report, bench.now);
    EXPECT_TRUE(told.stops.empty());
    // Its entries hear at once.
    ASSERT_EQ(told.updates.size(), GetParam().milliCores == 4000 ? 0U : 1U);
    std::size_t taken = 0;
    for (std::uint32_t index = 2; index < 8; ++index)
        taken += startedIn(bench.start(index)).size();
    EXPECT_EQ(taken, GetParam().taken);
    EXPECT_EQ(bench.runner.runs.size(), 2 + taken);
}

INSTANTIATE_TEST_SUITE_P(Runner, ChangedRoom,
                         testing::Values(RoomCase { "Same", 4000, 2 },
                                         RoomCase { "Smaller", 3000, 1 },
                                         RoomCase { "Full", 2000, 0 },
                                         RoomCase { "BelowWhatRuns", 1000, 0 },
                                         RoomCase { "Larger", 6000, 4 }),
                         [](const auto &tested) { return tested.param.name; });

// Nothing says whether it has begun; ordered again, it could begin where there is no room for it.
TEST(RunnerRoom, AnUnansweredStartIsStoppedIfTheRoomHasShrunk)
{
    Bench bench;
    bench.start(0);
    bench.start(1);
    EndpointReport report = makeReport("life-1", 2);
    report.capacity.milliCores = 1000;
    endpointHeard(bench.runner, report, bench.now);
    const RunnerActions actions = startAnswered(bench.runner, runId(1), {}, bench.now);
    EXPECT_TRUE(actions.starts.empty());
    ASSERT_EQ(actions.stops.size(), 1U);
    EXPECT_EQ(actions.stops[0].id, runId(1));
}

TEST(RunnerRoom, AStartThatWaitsForMoreThanIsLeftIsRefusedAtOnce)
{
    Bench bench;
    bench.runner.settings.waitingPercent = 100;
    bench.start(0, 3000);
    ASSERT_TRUE(startedIn(bench.startOrWait(1, 3000)).empty());
    EndpointReport report = makeReport("life-1", 2);
    report.capacity.milliCores = 2000;
    const auto ends = endsIn(endpointHeard(bench.runner, report, bench.now));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].end, RunOutcome::NeverStarted);
    EXPECT_EQ(ends[0].refused, StartRefusal::NoCapacity);
}

TEST(RunnerWaiting, RoomIsKeptForWhatWaits)
{
    Bench bench;
    bench.start(1, 3600);
    bench.startOrWait(11, 600);
    const RunnerActions later = bench.start(2, 300);
    EXPECT_TRUE(later.starts.empty());
    ASSERT_EQ(endsIn(later).size(), 1U);
    EXPECT_EQ(endsIn(later)[0].refused, StartRefusal::NoCapacity);
    EXPECT_EQ(viewOf(bench.runner, bench.now).free.milliCores, -200);
}

TEST(RunnerWaiting, TheSameTaskDoesNotWaitTwice)
{
    Bench bench;
    bench.start(1, 4000);
    bench.startOrWait(11, 600);
    const auto ends = endsIn(bench.startOrWait(11, 600));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].refused, StartRefusal::NotReady);
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
    Look look;
    look.answered = { Answer::Ok, Milliseconds(50000) };
    lookAnswered(runner, runner.lookNumber, look, now);
    for (const auto &[cordons, source] : GetParam().heard)
        cordonsHeard(runner, cordons, source, now);
    now += GetParam().after;
    openSession(runner, Entry, "entry-1", now);
    tick(runner, now);
    EXPECT_EQ(viewOf(runner, now).maxStarts > 0, GetParam().takesStarts);
    EXPECT_EQ(viewOf(runner, now).free.milliCores > 0, GetParam().takesStarts);
    jobs::StartTasks message;
    message.job = "job";
    message.demand = { 1000, 10, 0 };
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
    EXPECT_EQ(ends[0].refused, StartRefusal::Cordoned);
    EXPECT_TRUE(actions.stops.empty());
    EXPECT_EQ(bench.runner.runs.count(runId(1)), 1U);
}

} // namespace
} // namespace foxwing::runner
