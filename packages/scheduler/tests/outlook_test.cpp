/*
    What follows from the forecast: refusal at arrival, late jobs that wait on, and when callers
    should come back.

    [SECTION] Helpers
    [SECTION] Arrivals
    [SECTION] Late jobs
    [SECTION] Long overloads
    [SECTION] Coming back
*/
#include "bench.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Helpers

SchedulerSettings withForecast(bool serveLate)
{
    SchedulerSettings settings;
    settings.forecast = true;
    settings.serveLate = serveLate;
    return settings;
}

// One agent of 1000 thousandths of a core, all taken by a run of a job that came first.
struct BusyBench : Bench
{
    explicit BusyBench(const SchedulerSettings &settings)
        : Bench({ 1000 }, settings)
    {
        submit("running", 1);
        tell(0);
    }

    // The agent tells this as free, and the pace of the test.
    SchedulerActions tell(std::int64_t free)
    {
        jobs::AgentUpdate update;
        update.startsHandled = scheduler.agents.at("agent-0").startsSent;
        update.free = { free, 10000, 0 };
        update.maxStarts = 1000;
        update.waiting = waiting;
        update.freedPerSecond = freedPerSecond;
        return agentUpdated(scheduler, "agent-0", update, now);
    }

    // Time goes by in ticks, and the agent tells the same in each.
    SchedulerActions wait(Milliseconds span, std::int64_t free)
    {
        constexpr Milliseconds Turn { 20 };
        SchedulerActions all;
        for (Milliseconds gone { 0 }; gone < span; gone += Turn) {
            now += Turn;
            for (SchedulerActions one : { tell(free), tick(scheduler, now) }) {
                all.answers.insert(all.answers.end(), one.answers.begin(), one.answers.end());
                all.sends.insert(all.sends.end(), one.sends.begin(), one.sends.end());
            }
        }
        return all;
    }

    SchedulerActions submitPatient(const std::string &id, std::optional<Milliseconds> patience,
                                   std::uint32_t tasks = 1)
    {
        jobs::JobSpec spec;
        spec.id = id;
        spec.traits = traits;
        spec.steps.resize(1);
        spec.steps[0].tasks = tasks;
        spec.steps[0].demand = { taskCores, 10, 0 };
        spec.steps[0].estimate = Milliseconds(100);
        JobTerms its = terms();
        if (patience)
            its.patienceUntil = now + *patience;
        if (timeout)
            its.beginBy = now + *timeout;
        return scheduler::submit(scheduler, spec, its, now, &number);
    }

    std::vector<jobs::PriorityBacklog> waiting;
    std::uint32_t freedPerSecond = 0;
    std::optional<Milliseconds> timeout;
    std::int64_t taskCores = 1000;
};

std::vector<std::string> startedIn(const SchedulerActions &actions)
{
    std::vector<std::string> jobs;
    for (const AgentSend &send : actions.sends) {
        if (const auto *start = std::get_if<jobs::StartTasks>(&send.message))
            jobs.push_back(start->job);
    }
    return jobs;
}

// [SECTION] Arrivals

struct ForecastCase
{
    const char *name;
    bool forecast;
    std::uint32_t freedPerSecond;

    // Thousandths of a core that wait at the agent with priority 0
    std::int64_t waitingThere;
    std::uint32_t priority;

    // Age of the agent's news
    Milliseconds age;
    bool refused;
};

class ForecastArrivals : public testing::TestWithParam<ForecastCase>
{ };

// A job of 1000 thousandths of a core has 70 ms until it counts as late, and may wait for twice
// that. Without a share of its own that is known, the entry counts on all that comes free.
TEST_P(ForecastArrivals, AreRefusedIfTheyCannotBeOnTime)
{
    SchedulerSettings settings;
    settings.forecast = GetParam().forecast;
    BusyBench bench(settings);
    bench.freedPerSecond = GetParam().freedPerSecond;
    if (GetParam().waitingThere > 0)
        bench.waiting = { { 0, GetParam().waitingThere } };
    bench.tell(0);
    bench.now += GetParam().age;
    bench.priority = GetParam().priority;
    const SchedulerActions actions = bench.submit("job", 1);
    ASSERT_EQ(actions.answers.size(), GetParam().refused ? 1U : 0U);
    if (!GetParam().refused)
        return;
    EXPECT_EQ(actions.answers[0].outcome, JobOutcome::NotRun);
    EXPECT_GE(actions.answers[0].retryAfter, forecast::MinRetryAfter);
    EXPECT_LE(actions.answers[0].retryAfter, forecast::MaxRetryAfter);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, ForecastArrivals,
        testing::Values(
                ForecastCase { "RoomComesInTime", true, 20000, 1000, 1, Milliseconds(0), false },
                ForecastCase { "TooLittleComes", true, 10000, 1000, 1, Milliseconds(0), true },
                ForecastCase { "NothingGoesBeforeIt", true, 1000, 0, 1, Milliseconds(0), false },
                ForecastCase { "LessUrgentWaitsThere", true, 10000, 0, 0, Milliseconds(0), false },
                ForecastCase { "NothingCameFree", true, 0, 1000, 1, Milliseconds(0), false },
                ForecastCase { "TheAgentIsCutOff", true, 10000, 1000, 1, Milliseconds(501), false },
                ForecastCase { "SwitchedOff", false, 10000, 1000, 1, Milliseconds(0), false }),
        [](const auto &tested) { return tested.param.name; });

struct ShareCase
{
    const char *name;

    // Ends here of runs of priority 0 and 2, of 1000 thousandths of a core each
    std::uint32_t urgentEnds;
    std::uint32_t otherEnds;
    std::uint32_t priority;
    double share;
};

class Shares : public testing::TestWithParam<ShareCase>
{ };

// Agents have told of four such ends: what more urgent jobs get does not come to the others.
TEST_P(Shares, AreThePartOfFreedRoomThatComesToAPriority)
{
    Bench bench({ 1000 }, withForecast(false));
    addTo(bench.scheduler.told["align"], bench.scheduler.settings.shareSpan, 4000, bench.now);
    std::map<std::uint32_t, FadingSum> &own = bench.scheduler.freed["align"].own;
    const Milliseconds span = bench.scheduler.settings.shareSpan;
    addTo(own[0], span, 1000.0 * GetParam().urgentEnds, bench.now);
    addTo(own[2], span, 1000.0 * GetParam().otherEnds, bench.now);
    EXPECT_NEAR(shareFor(bench.scheduler, "align", GetParam().priority, bench.now),
                GetParam().share, 0.001);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Shares,
                         testing::Values(ShareCase { "AllOfTheMostUrgent", 1, 1, 0, 0.5 },
                                         ShareCase { "TheRestOfTheOthers", 1, 1, 2, 0.25 },
                                         ShareCase { "MoreThanWasTold", 5, 0, 0, 1 },
                                         ShareCase { "NeverNothing", 1, 0, 2, 0.01 }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Late jobs

struct WaitOnCase
{
    const char *name;
    bool serveLate;
    std::uint32_t freedPerSecond;
    std::optional<Milliseconds> patience;
    std::optional<Milliseconds> timeout;

    // After the job came
    Milliseconds after;
    bool refused;
};

class WaitingOn : public testing::TestWithParam<WaitOnCase>
{ };

// 100 ms of work within 220 ms, which counts as late after 70 ms.
TEST_P(WaitingOn, LastsAsLongAsTheJobBeginsBeforeItsCallerIsGone)
{
    BusyBench bench(withForecast(GetParam().serveLate));
    bench.freedPerSecond = GetParam().freedPerSecond;
    bench.timeout = GetParam().timeout;
    bench.tell(0);
    bench.submitPatient("job", GetParam().patience);
    const SchedulerActions actions = bench.wait(GetParam().after, 0);
    ASSERT_EQ(actions.answers.size(), GetParam().refused ? 1U : 0U);
    if (GetParam().refused) {
        EXPECT_EQ(actions.answers[0].outcome, JobOutcome::NotRun);
    }
    EXPECT_EQ(outlook(bench.scheduler, bench.now).waitingLate,
              GetParam().refused || !GetParam().serveLate ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, WaitingOn,
                         testing::Values(WaitOnCase { "RefusedAsEverIfNotAsked",
                                                      false,
                                                      10000,
                                                      Milliseconds(1000),
                                                      {},
                                                      Milliseconds(100),
                                                      true },
                                         WaitOnCase { "WhileRoomComesFree",
                                                      true,
                                                      10000,
                                                      Milliseconds(1000),
                                                      {},
                                                      Milliseconds(400),
                                                      false },
                                         WaitOnCase { "UntilItsCallerWouldBeGone",
                                                      true,
                                                      10000,
                                                      Milliseconds(500),
                                                      {},
                                                      Milliseconds(420),
                                                      true },
                                         WaitOnCase { "UntilItsResultIsWorthNothing",
                                                      true,
                                                      10000,
                                                      Milliseconds(1000),
                                                      {},
                                                      Milliseconds(600),
                                                      true },
                                         WaitOnCase { "NotWhileRoomComesTooSlowly",
                                                      true,
                                                      1000,
                                                      Milliseconds(1000),
                                                      {},
                                                      Milliseconds(100),
                                                      true },
                                         WaitOnCase { "NotWhileNothingIsKnown",
                                                      true,
                                                      0,
                                                      Milliseconds(1000),
                                                      {},
                                                      Milliseconds(100),
                                                      true },
                                         WaitOnCase { "NotWithoutPatienceBeyondTheObjective",
                                                      true,
                                                      10000,
                                                      Milliseconds(160),
                                                      {},
                                                      Milliseconds(100),
                                                      true },
                                         WaitOnCase { "NotIfItWouldBeginAfterTheTimeout", true,
                                                      2500, Milliseconds(5000), Milliseconds(300),
                                                      Milliseconds(100), true },
                                         WaitOnCase { "NotBeyondTheQueuesTimeout", true, 10000,
                                                      Milliseconds(1000), Milliseconds(300),
                                                      Milliseconds(300), true },
                                         WaitOnCase { "NotWithATimeoutWithinTheObjective", true,
                                                      10000, Milliseconds(1000), Milliseconds(60),
                                                      Milliseconds(100), true }),
                         [](const auto &tested) { return tested.param.name; });

struct LateStartCase
{
    const char *name;

    // For how long the agent tells of free room
    Milliseconds rested;
    std::uint32_t tasks;
    std::int64_t taskCores;
    std::int64_t free;

    // Another job of the size of the agent waits, and can be on time for 160 ms
    bool onTimeWaits;
    std::vector<std::string> started;
};

class LateStarts : public testing::TestWithParam<LateStartCase>
{ };

// A late job that waits on, at an agent of one core.
TEST_P(LateStarts, TakeOnlyRoomThatNobodyElseWants)
{
    BusyBench bench(withForecast(true));
    bench.freedPerSecond = 10000;
    bench.tell(0);
    bench.taskCores = GetParam().taskCores;
    bench.submitPatient("late", Milliseconds(1000), GetParam().tasks);
    ASSERT_TRUE(bench.wait(Milliseconds(200), 0).answers.empty());
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(1000);
    if (GetParam().onTimeWaits)
        bench.submit("on-time", { step });
    EXPECT_EQ(startedIn(bench.wait(GetParam().rested, GetParam().free)), GetParam().started);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, LateStarts,
        testing::Values(
                LateStartCase {
                        "RoomThatStaysFree", Milliseconds(120), 1, 1000, 1000, false, { "late" } },
                LateStartCase {
                        "NotRoomThatIsJustFree", Milliseconds(20), 1, 1000, 1000, false, {} },
                LateStartCase { "AsAWhole", Milliseconds(120), 2, 500, 1000, false, { "late" } },
                LateStartCase { "NotInPart", Milliseconds(120), 2, 500, 500, false, {} },
                LateStartCase {
                        "OnTimeGoesFirst", Milliseconds(20), 1, 1000, 1000, true, { "on-time" } },
                LateStartCase { "RoomThatIsTooSmallForOthers",
                                Milliseconds(120),
                                1,
                                500,
                                500,
                                false,
                                { "late" } },
                LateStartCase { "NotWhileOnTimeWaits", Milliseconds(120), 1, 500, 500, true, {} }),
        [](const auto &tested) { return tested.param.name; });

// Its later steps need no room yet.
TEST(LateStart, NeedsRoomForItsFirstStepOnly)
{
    BusyBench bench(withForecast(true));
    bench.freedPerSecond = 20000;
    bench.tell(0);
    jobs::JobSpec spec;
    spec.id = "late";
    spec.traits = bench.traits;
    spec.steps.resize(2);
    spec.steps[0].tasks = spec.steps[1].tasks = 1;
    spec.steps[0].demand = spec.steps[1].demand = { 1000, 10, 0 };
    spec.steps[0].estimate = spec.steps[1].estimate = Milliseconds(50);
    spec.steps[1].after = { 0 };
    JobTerms terms = bench.terms();
    terms.patienceUntil = bench.now + Milliseconds(1000);
    submit(bench.scheduler, spec, terms, bench.now, &bench.number);
    ASSERT_TRUE(bench.wait(Milliseconds(200), 0).answers.empty());
    EXPECT_EQ(startsIn(bench.wait(Milliseconds(120), 1000)), 1U);
}

// What a job that has begun holds would be wasted.
TEST(LateStart, DoesNotHoldUpWhatHasBegun)
{
    SchedulerSettings settings = withForecast(true);
    settings.mostPassedOver = 1;
    BusyBench bench(settings);
    bench.freedPerSecond = 20000;
    bench.report("agent-0", { endOf("running", 0, 1, RunOutcome::Done) }, 1000);
    bench.submit("begun", 2);
    bench.wait(Milliseconds(500), 0);
    // All room that comes free is this entry's.
    addTo(bench.scheduler.freed["align"].own[0], settings.shareSpan, 20000, bench.now);
    bench.taskCores = 600;
    bench.timeout = Milliseconds(9000);
    bench.submitPatient("late", Milliseconds(9000), 2);
    bench.wait(Milliseconds(100), 0);
    ASSERT_EQ(bench.scheduler.queue.rbegin()->group, Rank::Hopeless);
    EXPECT_EQ(outlook(bench.scheduler, bench.now).waitingLate, 1U);
    EXPECT_EQ(startedIn(bench.wait(Milliseconds(20), 1000)), std::vector<std::string> { "begun" });
}

// A start that waits at an agent holds room back from all that is on time.
TEST(LateStart, NeverWaitsAtAnAgent)
{
    BusyBench bench(withForecast(true));
    bench.scheduler.leastUrgent = 1;
    bench.freedPerSecond = 10000;
    bench.tell(0);
    bench.submitPatient("late", Milliseconds(1000));
    bench.wait(Milliseconds(200), 0);
    for (const AgentSend &send : bench.wait(Milliseconds(120), 1000).sends) {
        if (const auto *start = std::get_if<jobs::StartTasks>(&send.message)) {
            EXPECT_EQ(start->maxWait, Milliseconds(0));
        }
    }
    EXPECT_EQ(bench.scheduler.counters.servedLate, 0U);
    bench.report("agent-0", { endOf("late", 0, 1, RunOutcome::Done) });
    EXPECT_EQ(bench.scheduler.counters.servedLate, 1U);
}

// [SECTION] Long overloads

struct LongSpellCase
{
    const char *name;

    // Late jobs wait, and the spell of waiting has lasted so long
    std::size_t jobs;
    Milliseconds lasted;

    // Thousandths of a core that late jobs got of late
    double taken;
    std::size_t waiting;
};

class LongSpells : public testing::TestWithParam<LongSpellCase>
{ };

// Jobs of one core and 100 ms; all would begin in time by the forecast.
TEST_P(LongSpells, LetAsManyWaitAsLateJobsGotRoomFor)
{
    BusyBench bench(withForecast(true));
    bench.freedPerSecond = 100000;
    bench.tell(0);
    for (std::size_t i = 0; i < GetParam().jobs; ++i)
        bench.submitPatient("job-" + std::to_string(i), Milliseconds(5000));
    LateSpell &spell = bench.scheduler.lateSpells["align"];
    spell.since = bench.now - GetParam().lasted;
    spell.seenAt = bench.now;
    spell.taken = { GetParam().taken, bench.now };
    bench.wait(Milliseconds(100), 0);
    EXPECT_EQ(outlook(bench.scheduler, bench.now).waitingLate, GetParam().waiting);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, LongSpells,
        testing::Values(LongSpellCase { "AllWhileItIsYoung", 5, Milliseconds(0), 0, 5 },
                        LongSpellCase { "TwoToTryOnceItIsOld", 5, Milliseconds(2000), 0, 2 },
                        LongSpellCase { "MoreWhereLateJobsGotRoom", 5, Milliseconds(2000), 10000,
                                        4 }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Coming back

// Those who are turned away together come back spread over a while.
TEST(ComingBack, IsSpreadOverThoseWhoAreRefusedTogether)
{
    BusyBench bench(withForecast(false));
    bench.freedPerSecond = 2000;
    bench.waiting = { { 0, 1000 } };
    bench.tell(0);
    bench.priority = 1;
    std::set<Milliseconds> times;
    for (int i = 0; i < 20; ++i) {
        for (const JobAnswer &answer : bench.submit("job-" + std::to_string(i), 1).answers)
            times.insert(answer.retryAfter);
    }
    ASSERT_GT(times.size(), 15U);
    EXPECT_GE(*times.begin(), Milliseconds(1000));
    EXPECT_GT(*times.rbegin() - *times.begin(), Milliseconds(500));
}

} // namespace
} // namespace foxwing::scheduler
