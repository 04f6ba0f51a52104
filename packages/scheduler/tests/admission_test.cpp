/*
    Which jobs are taken in, and which are refused at once.

    [SECTION] Admission
*/
#include "bench.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Admission

struct AdmissionCase
{
    const char *name;
    jobs::JobTraits traits;
    std::int64_t taskCores;
    std::optional<JobOutcome> outcome;
};

class Admission : public testing::TestWithParam<AdmissionCase>
{ };

TEST_P(Admission, AnswersAtOnceWhatItCantServe)
{
    Bench bench({ 4000 });
    bench.traits = GetParam().traits;
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { GetParam().taskCores, 10, 0 };
    step.estimate = Milliseconds(100);
    const SchedulerActions actions = bench.submit("job", { step });
    ASSERT_EQ(actions.answers.size(), GetParam().outcome ? 1U : 0U);
    if (GetParam().outcome) {
        EXPECT_EQ(actions.answers[0].outcome, *GetParam().outcome);
        EXPECT_FALSE(actions.answers[0].reason.empty());
        EXPECT_TRUE(bench.scheduler.jobs.empty());
    }
}

INSTANTIATE_TEST_SUITE_P(
        Scheduler, Admission,
        testing::Values(
                AdmissionCase { "BestEffort", { false, false, false, false }, 1000, {} },
                AdmissionCase { "Kept", { true, false, false, false }, 1000, JobOutcome::NotRun },
                AdmissionCase { "Gang", { false, true, false, false }, 1000, JobOutcome::NotRun },
                AdmissionCase {
                        "Lasting", { false, false, true, false }, 1000, JobOutcome::NotRun },
                AdmissionCase { "Timed", { false, false, false, true }, 1000, JobOutcome::NotRun },
                AdmissionCase {
                        "FitsNowhere", { false, false, false, false }, 5000, JobOutcome::Failed }),
        [](const auto &tested) { return tested.param.name; });

TEST(SchedulerAdmission, RefusesWhatWouldWaitTooLong)
{
    Bench bench({ 1000 });
    std::size_t refused = 0;
    for (int i = 0; i < 30; ++i) {
        for (const JobAnswer &answer : bench.submit("job-" + std::to_string(i), 1).answers) {
            EXPECT_EQ(answer.outcome, JobOutcome::NotRun);
            EXPECT_GT(answer.retryAfter, Milliseconds(0));
            ++refused;
        }
    }
    EXPECT_GT(refused, 10U);
    EXPECT_LT(refused, 29U);
}

struct ArrivalCase
{
    const char *name;
    std::uint32_t percent;

    // Jobs of priority 1 that wait already, of one task each
    int waiting;
    std::uint32_t priority;
    bool refused;
};

class Arrivals : public testing::TestWithParam<ArrivalCase>
{ };

// Of late 2500 thousandths of a core came free within 300 ms, and a job has 70 ms until it counts
// as late: in twice that time room for one task comes free, and not for two.
TEST_P(Arrivals, AreRefusedAtOnceIfTheRoomThatComesFreeIsTooLittle)
{
    SchedulerSettings settings;
    settings.refuseAtArrivalPercent = GetParam().percent;
    Bench bench({ 3000 }, settings);
    bench.priority = 1;
    bench.submit("running", 3);
    bench.report("agent-0", { endOf("running", 0, 1, RunOutcome::Done) }, 0);
    bench.report("agent-0", { endOf("running", 1, 1, RunOutcome::Done) }, 0);
    bench.report("agent-0", { endOf("running", 2, 1, RunOutcome::Done) }, 0);
    bench.now += Milliseconds(55);
    for (int i = 0; i < GetParam().waiting; ++i)
        bench.submit("waiting-" + std::to_string(i), 1);
    bench.priority = GetParam().priority;
    const SchedulerActions actions = bench.submit("job", 1);
    ASSERT_EQ(actions.answers.size(), GetParam().refused ? 1U : 0U);
    if (GetParam().refused) {
        EXPECT_EQ(actions.answers[0].outcome, JobOutcome::NotRun);
    }
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Arrivals,
                         testing::Values(ArrivalCase { "NothingWaits", 200, 0, 1, false },
                                         ArrivalCase { "OneWaits", 200, 1, 1, false },
                                         ArrivalCase { "TwoWait", 200, 2, 1, true },
                                         ArrivalCase { "MoreUrgentThanWhatWaits", 200, 2, 0,
                                                       false },
                                         ArrivalCase { "SwitchedOff", 0, 2, 1, false }),
                         [](const auto &tested) { return tested.param.name; });

// A body of 256 KiB can name more tasks than there is memory for.
TEST(SchedulerAdmission, RefusesMoreTasksThanAJobMayHaveBeforeItMakesThem)
{
    Bench bench({ 4000 });
    jobs::StepSpec step;
    step.tasks = 100000;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(100);
    const SchedulerActions actions = bench.submit("job", std::vector<jobs::StepSpec>(10000, step));
    ASSERT_EQ(actions.answers.size(), 1U);
    EXPECT_EQ(actions.answers[0].outcome, JobOutcome::NotRun);
}

TEST(SchedulerAdmission, TheSameIdJoinsTheJobThatIsAtWork)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    const std::uint64_t first = bench.number;
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 0U);
    EXPECT_EQ(bench.number, first);
}

TEST(SchedulerAdmission, TheSameIdWaitsForTheRunsOfAnAbandonedJob)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    EXPECT_EQ(stopsIn(abandon(bench.scheduler, bench.number, bench.now)), 1U);
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 0U);
    EXPECT_EQ(startsIn(bench.report("agent-0", { endOf("job", 0, 1, RunOutcome::Stopped) })), 1U);
}

// A chain of jobs of one id: the first is abandoned with its run on, each of the others goes before
// that run is over.
struct ChainCase
{
    const char *name;

    // Callers that come and go while the first job's run is on
    int gone;
};

std::ostream &operator<<(std::ostream &out, const ChainCase &tested)
{
    return out << tested.name;
}

class Chains : public testing::TestWithParam<ChainCase>
{ };

TEST_P(Chains, OfOneIdBeginOnlyAfterTheFirstOnesRuns)
{
    Bench bench({ 4000 });
    bench.submit("job", 1);
    abandon(bench.scheduler, bench.number, bench.now);
    for (int i = 0; i < GetParam().gone; ++i) {
        EXPECT_EQ(startsIn(bench.submit("job", 1)), 0U);
        abandon(bench.scheduler, bench.number, bench.now);
    }
    EXPECT_EQ(startsIn(bench.submit("job", 1)), 0U);
    EXPECT_EQ(startsIn(bench.pass(Milliseconds(20))), 0U);
    const SchedulerActions ended = bench.report("agent-0",
                                                { endOf("job", 0, 1, RunOutcome::Stopped) });
    EXPECT_EQ(startsIn(ended), 1U);
    bench.report("agent-0", { endOf("job", 0, 1, RunOutcome::Done) });
    EXPECT_TRUE(bench.scheduler.jobs.empty());
    EXPECT_TRUE(bench.scheduler.byId.empty());
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Chains,
                         testing::Values(ChainCase { "NoneBetween", 0 },
                                         ChainCase { "OneBetween", 1 },
                                         ChainCase { "ThreeBetween", 3 }),
                         [](const auto &tested) { return tested.param.name; });

// A job of one task of 100 ms under these terms.
SchedulerActions submitOne(Bench &bench, const JobTerms &terms)
{
    jobs::JobSpec spec;
    spec.id = "job";
    spec.traits = bench.traits;
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(100);
    spec.steps = { step };
    return submit(bench.scheduler, spec, terms, bench.now, &bench.number);
}

// Room that comes free before the next tick, for a job that waits and whose caller waits for 100
// ms.
struct PatienceCase
{
    const char *name;
    Milliseconds after;
    std::size_t starts;
};

std::ostream &operator<<(std::ostream &out, const PatienceCase &tested)
{
    return out << tested.name;
}

class Patience : public testing::TestWithParam<PatienceCase>
{ };

TEST_P(Patience, EndsTheTimeInWhichAJobIsPlaced)
{
    Bench bench({ 1000 });
    bench.submit("first", 1);
    JobTerms terms = bench.terms();
    terms.patienceUntil = bench.now + Milliseconds(100);
    EXPECT_EQ(startsIn(submitOne(bench, terms)), 0U);
    bench.now += GetParam().after;
    const SchedulerActions freed = bench.report("agent-0",
                                                { endOf("first", 0, 1, RunOutcome::Done) });
    EXPECT_EQ(startsIn(freed), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Patience,
                         testing::Values(PatienceCase { "InTime", Milliseconds(99), 1 },
                                         PatienceCase { "Over", Milliseconds(100), 0 }),
                         [](const auto &tested) { return tested.param.name; });

// Calls that came while an entry did not know its queues yet. A job of 100 ms work has to begin
// within 120 ms of its call.
struct HeldCase
{
    const char *name;
    Milliseconds held;
    bool starts;
};

class Held : public testing::TestWithParam<HeldCase>
{ };

TEST_P(Held, JobsCountFromTheirCall)
{
    Bench bench({ 4000 });
    JobTerms terms = bench.terms();
    terms.cameAt = bench.now - GetParam().held;
    const SchedulerActions actions = submitOne(bench, terms);
    EXPECT_EQ(startsIn(actions), GetParam().starts ? 1U : 0U);
    ASSERT_EQ(actions.answers.size(), GetParam().starts ? 0U : 1U);
    if (!GetParam().starts) {
        EXPECT_EQ(actions.answers[0].outcome, JobOutcome::NotRun);
    }
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Held,
                         testing::Values(HeldCase { "NotAtAll", Milliseconds(0), true },
                                         HeldCase { "Shortly", Milliseconds(120), true },
                                         HeldCase { "TooLong", Milliseconds(121), false }),
                         [](const auto &tested) { return tested.param.name; });

// A queue that allows its jobs no more than their work: each is late from its first moment. It is
// tried all the same, and a call that was on its way for a millisecond is not a held one.
TEST(HeldJob, OfAQueueWithoutSlackIsTried)
{
    Bench bench({ 4000 });
    JobTerms terms = bench.terms();
    terms.stretch = 1.0;
    terms.targetLatency = Milliseconds(0);
    terms.cameAt = bench.now - Milliseconds(1);
    EXPECT_EQ(startsIn(submitOne(bench, terms)), 1U);
}

} // namespace
} // namespace foxwing::scheduler
