/*
    Which waiting job goes next, and what decisions do not depend on.

    [SECTION] Order
*/
#include "bench.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Order

struct OrderCase
{
    const char *name;
    Order order;
    const char *first;
};

class Orders : public testing::TestWithParam<OrderCase>
{ };

// An early job with much time, and a later one with little.
TEST_P(Orders, DecideWhichJobGoesNext)
{
    SchedulerSettings settings;
    settings.order = GetParam().order;
    Bench bench({ 1000 }, settings);
    bench.submit("running", 1);
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(200);
    bench.submit("patient", { step });
    bench.now += Milliseconds(5);
    step.estimate = Milliseconds(50);
    bench.submit("urgent", { step });
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("running", 0, 1, RunOutcome::Done) },
                                                  1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, GetParam().first);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Orders,
                         testing::Values(OrderCase { "LatestBegin", Order::LatestBegin, "urgent" },
                                         OrderCase { "Newest", Order::Newest, "urgent" },
                                         OrderCase { "Priority", Order::Priority, "urgent" },
                                         OrderCase { "LeastWork", Order::LeastWork, "urgent" },
                                         OrderCase { "FirstCome", Order::FirstCome, "patient" }),
                         [](const auto &tested) { return tested.param.name; });

struct WidthCase
{
    const char *name;
    Order order;
    const char *first;
};

class Widths : public testing::TestWithParam<WidthCase>
{ };

// A wide job came first, a narrow one with as much time after it; only one task finds room.
TEST_P(Widths, CountWhereLeastWorkGoesFirst)
{
    SchedulerSettings settings;
    settings.order = GetParam().order;
    Bench bench({ 1000 }, settings);
    bench.submit("running", 1);
    bench.submit("wide", 4);
    bench.now += Milliseconds(1);
    bench.submit("narrow", 1);
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("running", 0, 1, RunOutcome::Done) },
                                                  1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, GetParam().first);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Widths,
                         testing::Values(WidthCase { "Priority", Order::Priority, "wide" },
                                         WidthCase { "LeastWork", Order::LeastWork, "narrow" }),
                         [](const auto &tested) { return tested.param.name; });

TEST(SchedulerOrder, NamesAreReadBack)
{
    for (const Order order :
         { Order::LatestBegin, Order::Newest, Order::FirstCome, Order::Priority, Order::LeastWork })
        EXPECT_EQ(orderNamed(toString(order)), order);
    EXPECT_FALSE(orderNamed("sideways"));
    for (const Placement placement : { Placement::Fastest, Placement::Random, Placement::MostRoom })
        EXPECT_EQ(placementNamed(toString(placement)), placement);
    EXPECT_FALSE(placementNamed("sideways"));
}

// What a decision depends on: not on what queues, services, jobs and data centres are called.
struct Names
{
    const char *queue;
    const char *service;
    const char *job;
    const char *dataCentre;
};

class RenamedWorlds : public testing::TestWithParam<Names>
{ };

// A busy second of two queues on three endpoints that differ in pace: all starts, stops and
// answers.
std::vector<std::string> decisionsUnder(const Names &names)
{
    SchedulerState scheduler = makeScheduler({});
    Time now(Seconds(100));
    for (int i = 0; i < 3; ++i) {
        jobs::SessionAccepted welcome;
        welcome.endpoint = makeView(4000);
        welcome.endpoint.service = names.service;
        welcome.endpoint.dataCentre = names.dataCentre;
        welcome.endpoint.slowdownPermille = 800 + 300 * static_cast<std::uint32_t>(i);
        agentConnected(scheduler, "agent-" + std::to_string(i), now);
        agentWelcomed(scheduler, "agent-" + std::to_string(i), welcome, now);
    }
    std::vector<std::string> decisions;
    const auto note = [&](const SchedulerActions &actions) {
        for (const AgentSend &send : actions.sends) {
            const auto *start = std::get_if<jobs::StartTasks>(&send.message);
            decisions.push_back(send.agent + " " + std::to_string(send.message.index()) + " "
                                + std::to_string(start ? start->starts.size() : 0) + " "
                                + std::to_string(start ? start->estimate.count() : 0));
        }
        for (const JobAnswer &answer : actions.answers)
            decisions.push_back(std::to_string(answer.number) + " " + toString(answer.outcome));
    };
    for (int i = 0; i < 100; ++i) {
        now += Milliseconds(10);
        jobs::StepSpec step;
        step.tasks = 1 + static_cast<std::uint32_t>(i % 5);
        step.demand = { 700, 10, 0 };
        step.estimate = Milliseconds(50 + 17 * (i % 7));
        jobs::JobSpec spec;
        spec.id = names.job + std::to_string(i);
        spec.steps = { step };
        JobTerms terms;
        terms.queue = names.queue + std::to_string(i % 2);
        terms.service = names.service;
        terms.priority = static_cast<std::uint32_t>(i % 2);
        terms.attempts = 2;
        terms.stretch = 1.6;
        terms.targetLatency = Milliseconds(60);
        terms.beginBy = now + Milliseconds(1500);
        std::uint64_t number = 0;
        note(submit(scheduler, spec, terms, now, &number));
        for (auto &[name, agent] : scheduler.agents)
            agent.heardAt = now;
        jobs::AgentUpdate update;
        const std::string name = "agent-" + std::to_string(i % 3);
        update.startsHandled = scheduler.agents.at(name).startsSent;
        update.free = { std::int64_t { 700 } * (i % 4), 10000, 0 };
        update.maxStarts = 1000;
        note(agentUpdated(scheduler, name, update, now));
        note(tick(scheduler, now));
    }
    return decisions;
}

TEST_P(RenamedWorlds, GiveTheSameDecisions)
{
    const std::vector<std::string> decisions = decisionsUnder({ "queue", "align", "job", "north" });
    EXPECT_GT(decisions.size(), 100U);
    EXPECT_EQ(decisionsUnder(GetParam()), decisions);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, RenamedWorlds,
                         testing::Values(Names { "zebra", "align", "job", "north" },
                                         Names { "queue", "tag", "job", "north" },
                                         Names { "queue", "align", "9f", "north" },
                                         Names { "queue", "align", "job", "a-very-long-name" }));

// A queue's priority goes before how little time a job of another queue has.
TEST(SchedulerOrder, PriorityGoesBeforeTheLatestBegin)
{
    Bench bench({ 1000 });
    bench.submit("running", 1);
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(50);
    bench.priority = 2;
    bench.submit("pressing", { step });
    step.estimate = Milliseconds(200);
    bench.priority = 0;
    bench.submit("first-class", { step });
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("running", 0, 1, RunOutcome::Done) },
                                                  1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, "first-class");
}

struct LateCase
{
    const char *name;
    bool refuseLate;

    // After the job came: 100 ms of work within 220 ms, so a latest begin at 120 ms and 50 ms of
    // margin
    Milliseconds waited;
    bool refused;
};

class LateJobs : public testing::TestWithParam<LateCase>
{ };

TEST_P(LateJobs, AreRefusedOnceTheyCannotBeOnTime)
{
    SchedulerSettings settings;
    settings.refuseLate = GetParam().refuseLate;
    settings.marginPercent = 50;
    Bench bench({ 1000 }, settings);
    bench.submit("running", 1);
    bench.submit("waiting", 1);
    const SchedulerActions actions = bench.pass(GetParam().waited);
    ASSERT_EQ(actions.answers.size(), GetParam().refused ? 1U : 0U);
    if (!GetParam().refused)
        return;
    EXPECT_EQ(actions.answers.at(0).outcome, JobOutcome::NotRun);
    EXPECT_GT(actions.answers.at(0).retryAfter, Milliseconds(0));
}

INSTANTIATE_TEST_SUITE_P(Scheduler, LateJobs,
                         testing::Values(LateCase { "StillOnTime", true, Milliseconds(60), false },
                                         LateCase { "PastTheMargin", true, Milliseconds(75), true },
                                         LateCase { "KeptWhereAsked", false, Milliseconds(75),
                                                    false }),
                         [](const auto &tested) { return tested.param.name; });

// Jobs of a queue that take twice what callers guess have half of the time that the guess leaves.
TEST(SchedulerOrder, ObjectivesFollowWhatTheQueuesJobsShowed)
{
    Bench bench({ 100000 });
    for (int i = 0; i < 300; ++i) {
        const std::string id = "past-" + std::to_string(i);
        bench.submit(id, 1);
        jobs::RunReport report = endOf(id, 0, 1, RunOutcome::Done);
        report.duration = Milliseconds(200);
        bench.report("agent-0", { report });
    }
    bench.submit("next", 1);
    const Job &job = bench.scheduler.jobs.at(bench.number);
    EXPECT_EQ(job.guessed, Milliseconds(100));
    EXPECT_NEAR(static_cast<double>(job.expected.count()), 200, 15);
    EXPECT_EQ(job.tasks.at(0).expected, job.expected);
}

TEST(SchedulerOrder, QueuesThatAreDeclaredNoMoreAreForgotten)
{
    Bench bench({ 100000 });
    bench.submit("job", 1);
    jobs::RunReport report = endOf("job", 0, 1, RunOutcome::Done);
    report.duration = Milliseconds(200);
    bench.report("agent-0", { report });
    keepQueues(bench.scheduler, { "queue" });
    EXPECT_EQ(bench.scheduler.runTimes.size(), 1U);
    keepQueues(bench.scheduler, { "another" });
    EXPECT_TRUE(bench.scheduler.runTimes.empty());
}

TEST(SchedulerOrder, AJobThatHasBegunGoesBeforeAMoreUrgentOne)
{
    Bench bench({ 1000 });
    jobs::StepSpec step;
    step.tasks = 2;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(200);
    bench.submit("begun", { step });
    step.estimate = Milliseconds(20);
    bench.submit("urgent", { step });
    const SchedulerActions actions = bench.report("agent-0",
                                                  { endOf("begun", 0, 1, RunOutcome::Done) }, 1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, "begun");
}

} // namespace
} // namespace foxwing::scheduler
