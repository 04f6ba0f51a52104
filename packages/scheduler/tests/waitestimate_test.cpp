/*
    Decisions by the forecast: refusal at arrival, late jobs that keep waiting, and when callers
    retry.

    [SECTION] Helpers
    [SECTION] Arrivals
    [SECTION] Late jobs
    [SECTION] Long overloads
    [SECTION] Retry times
*/
#include "fixture.h"

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

// One agent of 1000 millicores, all in use by an earlier job.
struct BusyFixture : SchedulerFixture
{
    explicit BusyFixture(const SchedulerSettings &settings)
        : SchedulerFixture({ 1000 }, settings)
    {
        submit("running", 1);
        sendUpdate(0);
    }

    // An update with this free capacity and the test's rate.
    SchedulerActions sendUpdate(std::int64_t free)
    {
        jobs::AgentUpdate update;
        update.startsHandled = scheduler.agents.at("agent-0").startsSent;
        update.free = { free, 10000, 0 };
        update.maxStarts = 1000;
        update.waiting = waiting;
        update.freedPerSecond = freedPerSecond;
        return agentUpdated(scheduler, "agent-0", update, now);
    }

    // Lets time pass in ticks, with the same update in each.
    SchedulerActions wait(Milliseconds duration, std::int64_t free)
    {
        constexpr Milliseconds Tick { 20 };
        SchedulerActions all;
        for (Milliseconds passed { 0 }; passed < duration; passed += Tick) {
            now += Tick;
            for (SchedulerActions one : { sendUpdate(free), tick(scheduler, now) }) {
                all.answers.insert(all.answers.end(), one.answers.begin(), one.answers.end());
                all.sends.insert(all.sends.end(), one.sends.begin(), one.sends.end());
            }
        }
        return all;
    }

    SchedulerActions submitWithDeadline(const std::string &id,
                                        std::optional<Milliseconds> callerTimeout,
                                        std::uint32_t tasks = 1)
    {
        jobs::JobSpec spec;
        spec.id = id;
        spec.traits = traits;
        spec.steps.resize(1);
        spec.steps[0].tasks = tasks;
        spec.steps[0].demand = { taskMilliCores, 10, 0 };
        spec.steps[0].estimate = Milliseconds(100);
        JobOptions jobOptions = options();
        if (callerTimeout)
            jobOptions.callerDeadline = now + *callerTimeout;
        if (startTimeout)
            jobOptions.startDeadline = now + *startTimeout;
        return scheduler::submit(scheduler, spec, jobOptions, now, &number);
    }

    std::vector<jobs::PriorityBacklog> waiting;
    std::uint32_t freedPerSecond = 0;
    std::optional<Milliseconds> startTimeout;
    std::int64_t taskMilliCores = 1000;
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

    // Millicores that wait at the agent with priority 0
    std::int64_t waitingAtAgent;
    std::uint32_t priority;

    // Age of the agent's update
    Milliseconds age;
    bool refused;
};

class ForecastArrivals : public testing::TestWithParam<ForecastCase>
{ };

// A job of 1000 millicores has 70 ms until it counts as late, and may wait for twice that. While
// its own share is not known, the entry counts on all freed capacity.
TEST_P(ForecastArrivals, AreRefusedIfTheyCannotBeOnTime)
{
    SchedulerSettings settings;
    settings.forecast = GetParam().forecast;
    BusyFixture fixture(settings);
    fixture.freedPerSecond = GetParam().freedPerSecond;
    if (GetParam().waitingAtAgent > 0)
        fixture.waiting = { { 0, GetParam().waitingAtAgent } };
    fixture.sendUpdate(0);
    fixture.now += GetParam().age;
    fixture.priority = GetParam().priority;
    const SchedulerActions actions = fixture.submit("job", 1);
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
                ForecastCase { "CapacityComesInTime", true, 20000, 1000, 1, Milliseconds(0),
                               false },
                ForecastCase { "TooLittleComes", true, 10000, 1000, 1, Milliseconds(0), true },
                ForecastCase { "NothingGoesBeforeIt", true, 1000, 0, 1, Milliseconds(0), false },
                ForecastCase { "LessUrgentWaitsThere", true, 10000, 0, 0, Milliseconds(0), false },
                ForecastCase { "NothingWasFreed", true, 0, 1000, 1, Milliseconds(0), false },
                ForecastCase { "TheAgentIsCutOff", true, 10000, 1000, 1, Milliseconds(501), false },
                ForecastCase { "SwitchedOff", false, 10000, 1000, 1, Milliseconds(0), false }),
        [](const auto &tested) { return tested.param.name; });

struct ShareCase
{
    const char *name;

    // Runs of priority 0 and 2 that end here, of 1000 millicores each
    std::uint32_t urgentEnds;
    std::uint32_t otherEnds;
    std::uint32_t priority;
    double share;
};

class Shares : public testing::TestWithParam<ShareCase>
{ };

// Agents have reported four such ends. A queue does not get what more urgent jobs take.
TEST_P(Shares, AreThePartOfFreedCapacityForAPriority)
{
    SchedulerFixture fixture({ 1000 }, withForecast(false));
    addTo(fixture.scheduler.reportedFreed["align"], fixture.scheduler.settings.shareWindow, 4000,
          fixture.now);
    std::map<std::uint32_t, DecayingSum> &own = fixture.scheduler.freed["align"].own;
    const Milliseconds window = fixture.scheduler.settings.shareWindow;
    addTo(own[0], window, 1000.0 * GetParam().urgentEnds, fixture.now);
    addTo(own[2], window, 1000.0 * GetParam().otherEnds, fixture.now);
    EXPECT_NEAR(shareFor(fixture.scheduler, "align", GetParam().priority, fixture.now),
                GetParam().share, 0.001);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Shares,
                         testing::Values(ShareCase { "AllOfTheMostUrgent", 1, 1, 0, 0.5 },
                                         ShareCase { "TheRestOfTheOthers", 1, 1, 2, 0.25 },
                                         ShareCase { "MoreThanReported", 5, 0, 0, 1 },
                                         ShareCase { "AtLeastTheMinimum", 1, 0, 2, 0.01 }),
                         [](const auto &tested) { return tested.param.name; });

// [SECTION] Late jobs

struct LateWaitCase
{
    const char *name;
    bool serveLate;
    std::uint32_t freedPerSecond;
    std::optional<Milliseconds> callerTimeout;
    std::optional<Milliseconds> startTimeout;

    // Time since the job's arrival
    Milliseconds after;
    bool refused;
};

class LateWaits : public testing::TestWithParam<LateWaitCase>
{ };

// 100 ms of work due within 220 ms, which counts as late after 70 ms.
TEST_P(LateWaits, LastWhileTheJobStartsBeforeItsCallerIsGone)
{
    BusyFixture fixture(withForecast(GetParam().serveLate));
    fixture.freedPerSecond = GetParam().freedPerSecond;
    fixture.startTimeout = GetParam().startTimeout;
    fixture.sendUpdate(0);
    fixture.submitWithDeadline("job", GetParam().callerTimeout);
    const SchedulerActions actions = fixture.wait(GetParam().after, 0);
    ASSERT_EQ(actions.answers.size(), GetParam().refused ? 1U : 0U);
    if (GetParam().refused) {
        EXPECT_EQ(actions.answers[0].outcome, JobOutcome::NotRun);
    }
    EXPECT_EQ(forecastStatus(fixture.scheduler, fixture.now).waitingLate,
              GetParam().refused || !GetParam().serveLate ? 0U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, LateWaits,
                         testing::Values(LateWaitCase { "RefusedIfNotConfigured",
                                                        false,
                                                        10000,
                                                        Milliseconds(1000),
                                                        {},
                                                        Milliseconds(100),
                                                        true },
                                         LateWaitCase { "WhileCapacityIsFreed",
                                                        true,
                                                        10000,
                                                        Milliseconds(1000),
                                                        {},
                                                        Milliseconds(400),
                                                        false },
                                         LateWaitCase { "UntilItsCallerWouldBeGone",
                                                        true,
                                                        10000,
                                                        Milliseconds(500),
                                                        {},
                                                        Milliseconds(420),
                                                        true },
                                         LateWaitCase { "UntilItsResultIsOfNoUse",
                                                        true,
                                                        10000,
                                                        Milliseconds(1000),
                                                        {},
                                                        Milliseconds(600),
                                                        true },
                                         LateWaitCase { "NotWhileTooLittleIsFreed",
                                                        true,
                                                        1000,
                                                        Milliseconds(1000),
                                                        {},
                                                        Milliseconds(100),
                                                        true },
                                         LateWaitCase { "NotWhileNothingIsKnown",
                                                        true,
                                                        0,
                                                        Milliseconds(1000),
                                                        {},
                                                        Milliseconds(100),
                                                        true },
                                         LateWaitCase { "NotWithADeadlineWithinTheObjective",
                                                        true,
                                                        10000,
                                                        Milliseconds(160),
                                                        {},
                                                        Milliseconds(100),
                                                        true },
                                         LateWaitCase { "NotIfItWouldStartAfterTheTimeout", true,
                                                        2500, Milliseconds(5000), Milliseconds(300),
                                                        Milliseconds(100), true },
                                         LateWaitCase { "NotBeyondTheQueuesTimeout", true, 10000,
                                                        Milliseconds(1000), Milliseconds(300),
                                                        Milliseconds(300), true },
                                         LateWaitCase { "NotWithATimeoutWithinTheObjective", true,
                                                        10000, Milliseconds(1000), Milliseconds(60),
                                                        Milliseconds(100), true }),
                         [](const auto &tested) { return tested.param.name; });

struct LateStartCase
{
    const char *name;

    // For how long the agent reports free capacity
    Milliseconds reportedFor;
    std::uint32_t tasks;
    std::int64_t taskMilliCores;
    std::int64_t free;

    // Whether another job waits that needs the agent's whole capacity and can be on time for 160 ms
    bool onTimeWaits;
    std::vector<std::string> started;
};

class LateStarts : public testing::TestWithParam<LateStartCase>
{ };

// A late job that keeps waiting, at an agent of one core.
TEST_P(LateStarts, TakeOnlyCapacityThatNobodyElseNeeds)
{
    BusyFixture fixture(withForecast(true));
    fixture.freedPerSecond = 10000;
    fixture.sendUpdate(0);
    fixture.taskMilliCores = GetParam().taskMilliCores;
    fixture.submitWithDeadline("late", Milliseconds(1000), GetParam().tasks);
    ASSERT_TRUE(fixture.wait(Milliseconds(200), 0).answers.empty());
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(1000);
    if (GetParam().onTimeWaits)
        fixture.submit("on-time", { step });
    EXPECT_EQ(startedIn(fixture.wait(GetParam().reportedFor, GetParam().free)), GetParam().started);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, LateStarts,
        testing::Values(
                LateStartCase { "CapacityThatStaysFree",
                                Milliseconds(120),
                                1,
                                1000,
                                1000,
                                false,
                                { "late" } },
                LateStartCase {
                        "NotCapacityJustFreed", Milliseconds(20), 1, 1000, 1000, false, {} },
                LateStartCase { "AsAWhole", Milliseconds(120), 2, 500, 1000, false, { "late" } },
                LateStartCase { "NotInPart", Milliseconds(120), 2, 500, 500, false, {} },
                LateStartCase {
                        "OnTimeGoesFirst", Milliseconds(20), 1, 1000, 1000, true, { "on-time" } },
                LateStartCase { "CapacityTooSmallForOthers",
                                Milliseconds(120),
                                1,
                                500,
                                500,
                                false,
                                { "late" } },
                LateStartCase { "NotWhileOnTimeWaits", Milliseconds(120), 1, 500, 500, true, {} }),
        [](const auto &tested) { return tested.param.name; });

// Later steps need no capacity yet.
TEST(LateStart, NeedsCapacityForItsFirstStepOnly)
{
    BusyFixture fixture(withForecast(true));
    fixture.freedPerSecond = 20000;
    fixture.sendUpdate(0);
    jobs::JobSpec spec;
    spec.id = "late";
    spec.traits = fixture.traits;
    spec.steps.resize(2);
    spec.steps[0].tasks = spec.steps[1].tasks = 1;
    spec.steps[0].demand = spec.steps[1].demand = { 1000, 10, 0 };
    spec.steps[0].estimate = spec.steps[1].estimate = Milliseconds(50);
    spec.steps[1].after = { 0 };
    JobOptions options = fixture.options();
    options.callerDeadline = fixture.now + Milliseconds(1000);
    submit(fixture.scheduler, spec, options, fixture.now, &fixture.number);
    ASSERT_TRUE(fixture.wait(Milliseconds(200), 0).answers.empty());
    EXPECT_EQ(startsIn(fixture.wait(Milliseconds(120), 1000)), 1U);
}

// What a job that has started holds would be wasted.
TEST(LateStart, DoesNotDelayStartedJobs)
{
    SchedulerSettings settings = withForecast(true);
    settings.maxUnplaced = 1;
    BusyFixture fixture(settings);
    fixture.freedPerSecond = 20000;
    fixture.report("agent-0", { runReport("running", 0, 1, RunOutcome::Done) }, 1000);
    fixture.submit("begun", 2);
    fixture.wait(Milliseconds(500), 0);
    // This entry's share is all freed capacity.
    addTo(fixture.scheduler.freed["align"].own[0], settings.shareWindow, 20000, fixture.now);
    fixture.taskMilliCores = 600;
    fixture.startTimeout = Milliseconds(9000);
    fixture.submitWithDeadline("late", Milliseconds(9000), 2);
    fixture.wait(Milliseconds(100), 0);
    ASSERT_EQ(fixture.scheduler.queue.rbegin()->group, QueueGroup::Expired);
    EXPECT_EQ(forecastStatus(fixture.scheduler, fixture.now).waitingLate, 1U);
    EXPECT_EQ(startedIn(fixture.wait(Milliseconds(20), 1000)),
              std::vector<std::string> { "begun" });
}

// A start that waits at an agent holds capacity back from jobs that are on time.
TEST(LateStart, NeverWaitsAtAnAgent)
{
    BusyFixture fixture(withForecast(true));
    fixture.scheduler.leastUrgent = 1;
    fixture.freedPerSecond = 10000;
    fixture.sendUpdate(0);
    fixture.submitWithDeadline("late", Milliseconds(1000));
    fixture.wait(Milliseconds(200), 0);
    for (const AgentSend &send : fixture.wait(Milliseconds(120), 1000).sends) {
        if (const auto *start = std::get_if<jobs::StartTasks>(&send.message)) {
            EXPECT_EQ(start->maxWait, Milliseconds(0));
        }
    }
    EXPECT_EQ(fixture.scheduler.counters.servedLate, 0U);
    fixture.report("agent-0", { runReport("late", 0, 1, RunOutcome::Done) });
    EXPECT_EQ(fixture.scheduler.counters.servedLate, 1U);
}

// [SECTION] Long overloads

struct LongOverloadCase
{
    const char *name;

    // Late jobs that wait, and how long there have been such
    std::size_t jobs;
    Milliseconds duration;

    // Millicores recently given to late jobs
    double granted;
    std::size_t waiting;
};

class LongOverloads : public testing::TestWithParam<LongOverloadCase>
{ };

// Jobs of one core and 100 ms; by the forecast all of them would start in time.
TEST_P(LongOverloads, LetAsManyWaitAsLateJobsGotCapacityFor)
{
    BusyFixture fixture(withForecast(true));
    fixture.freedPerSecond = 100000;
    fixture.sendUpdate(0);
    for (std::size_t i = 0; i < GetParam().jobs; ++i)
        fixture.submitWithDeadline("job-" + std::to_string(i), Milliseconds(5000));
    LatePeriod &period = fixture.scheduler.latePeriods["align"];
    period.since = fixture.now - GetParam().duration;
    period.lastSeenAt = fixture.now;
    period.granted = { GetParam().granted, fixture.now };
    fixture.wait(Milliseconds(100), 0);
    EXPECT_EQ(forecastStatus(fixture.scheduler, fixture.now).waitingLate, GetParam().waiting);
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, LongOverloads,
        testing::Values(LongOverloadCase { "AllAtItsBeginning", 5, Milliseconds(0), 0, 5 },
                        LongOverloadCase { "TwoOnceItIsLong", 5, Milliseconds(2000), 0, 2 },
                        LongOverloadCase { "MoreIfLateJobsGotCapacity", 5, Milliseconds(2000),
                                           10000, 4 }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Retry times

// Callers refused together must not all retry together.
TEST(RetryTimes, AreSpreadOverCallersRefusedTogether)
{
    BusyFixture fixture(withForecast(false));
    fixture.freedPerSecond = 2000;
    fixture.waiting = { { 0, 1000 } };
    fixture.sendUpdate(0);
    fixture.priority = 1;
    std::set<Milliseconds> times;
    for (int i = 0; i < 20; ++i) {
        for (const JobAnswer &answer : fixture.submit("job-" + std::to_string(i), 1).answers)
            times.insert(answer.retryAfter);
    }
    ASSERT_GT(times.size(), 15U);
    EXPECT_GE(*times.begin(), Milliseconds(1000));
    EXPECT_GT(*times.rbegin() - *times.begin(), Milliseconds(500));
}

} // namespace
} // namespace foxwing::scheduler
