/*
    Which waiting job goes next, and what decisions must not depend on.

    [SECTION] Order
*/
#include "fixture.h"

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

// An earlier job with much slack, and a later one with little.
TEST_P(Orders, DecideWhichJobGoesNext)
{
    SchedulerSettings settings;
    settings.order = GetParam().order;
    SchedulerFixture fixture({ 1000 }, settings);
    fixture.submit("running", 1);
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(200);
    fixture.submit("patient", { step });
    fixture.now += Milliseconds(5);
    step.estimate = Milliseconds(50);
    fixture.submit("urgent", { step });
    const SchedulerActions actions =
            fixture.report("agent-0", { runReport("running", 0, 1, RunOutcome::Done) }, 1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, GetParam().first);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Orders,
                         testing::Values(OrderCase { "LatestStart", Order::LatestStart, "urgent" },
                                         OrderCase { "Newest", Order::NewestFirst, "urgent" },
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

// A wide job, and after it a narrow one with the same slack; only one task fits.
TEST_P(Widths, MatterOnlyWithLeastWork)
{
    SchedulerSettings settings;
    settings.order = GetParam().order;
    SchedulerFixture fixture({ 1000 }, settings);
    fixture.submit("running", 1);
    fixture.submit("wide", 4);
    fixture.now += Milliseconds(1);
    fixture.submit("narrow", 1);
    const SchedulerActions actions =
            fixture.report("agent-0", { runReport("running", 0, 1, RunOutcome::Done) }, 1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, GetParam().first);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, Widths,
                         testing::Values(WidthCase { "Priority", Order::Priority, "wide" },
                                         WidthCase { "LeastWork", Order::LeastWork, "narrow" }),
                         [](const auto &tested) { return tested.param.name; });

TEST(SchedulerOrder, NamesRoundTrip)
{
    for (const Order order : { Order::LatestStart, Order::NewestFirst, Order::FirstCome,
                               Order::Priority, Order::LeastWork })
        EXPECT_EQ(parseOrder(toString(order)), order);
    EXPECT_FALSE(parseOrder("sideways"));
    for (const Placement placement : { Placement::Fastest, Placement::Random, Placement::MostFree })
        EXPECT_EQ(parsePlacement(toString(placement)), placement);
    EXPECT_FALSE(parsePlacement("sideways"));
}

// Decisions must not depend on the names of queues, services, jobs and data centres.
struct Names
{
    const char *queue;
    const char *service;
    const char *job;
    const char *dataCentre;
};

class RenamedSetups : public testing::TestWithParam<Names>
{ };

// All starts, stops and answers in a second of load by two queues on three endpoints of different
// speed.
std::vector<std::string> decisionsUnder(const Names &names)
{
    SchedulerState scheduler = makeScheduler({});
    Time now(Seconds(100));
    for (int i = 0; i < 3; ++i) {
        jobs::SessionAccepted accepted;
        accepted.endpoint = makeView(4000);
        accepted.endpoint.service = names.service;
        accepted.endpoint.dataCentre = names.dataCentre;
        accepted.endpoint.slowdownPermille = 800 + 300 * static_cast<std::uint32_t>(i);
        agentConnected(scheduler, "agent-" + std::to_string(i), now);
        agentAccepted(scheduler, "agent-" + std::to_string(i), accepted, now);
    }
    std::vector<std::string> decisions;
    const auto record = [&](const SchedulerActions &actions) {
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
        JobOptions options;
        options.queue = names.queue + std::to_string(i % 2);
        options.service = names.service;
        options.priority = static_cast<std::uint32_t>(i % 2);
        options.maxAttempts = 2;
        options.stretch = 1.6;
        options.targetLatency = Milliseconds(60);
        options.startDeadline = now + Milliseconds(1500);
        std::uint64_t number = 0;
        record(submit(scheduler, spec, options, now, &number));
        for (auto &[name, agent] : scheduler.agents)
            agent.lastReceivedAt = now;
        jobs::AgentUpdate update;
        const std::string name = "agent-" + std::to_string(i % 3);
        update.startsHandled = scheduler.agents.at(name).startsSent;
        update.free = { std::int64_t { 700 } * (i % 4), 10000, 0 };
        update.maxStarts = 1000;
        record(agentUpdated(scheduler, name, update, now));
        record(tick(scheduler, now));
    }
    return decisions;
}

TEST_P(RenamedSetups, GiveTheSameDecisions)
{
    const std::vector<std::string> decisions = decisionsUnder({ "queue", "align", "job", "north" });
    EXPECT_GT(decisions.size(), 100U);
    EXPECT_EQ(decisionsUnder(GetParam()), decisions);
}

INSTANTIATE_TEST_SUITE_P(Scheduler, RenamedSetups,
                         testing::Values(Names { "zebra", "align", "job", "north" },
                                         Names { "queue", "tag", "job", "north" },
                                         Names { "queue", "align", "9f", "north" },
                                         Names { "queue", "align", "job", "a-very-long-name" }));

// A more urgent priority comes before less slack.
TEST(SchedulerOrder, PriorityGoesBeforeTheLatestStart)
{
    SchedulerFixture fixture({ 1000 });
    fixture.submit("running", 1);
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(50);
    fixture.priority = 2;
    fixture.submit("pressing", { step });
    step.estimate = Milliseconds(200);
    fixture.priority = 0;
    fixture.submit("first-class", { step });
    const SchedulerActions actions =
            fixture.report("agent-0", { runReport("running", 0, 1, RunOutcome::Done) }, 1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, "first-class");
}

struct LateCase
{
    const char *name;
    bool refuseLate;

    // Since the job's arrival: 100 ms of work due within 220 ms, so a latest start at 120 ms, and a
    // margin of 50 ms
    Milliseconds waitedFor;
    bool refused;
};

class LateJobs : public testing::TestWithParam<LateCase>
{ };

TEST_P(LateJobs, AreRefusedOnceTheyCannotBeOnTime)
{
    SchedulerSettings settings;
    settings.refuseLate = GetParam().refuseLate;
    settings.marginPercent = 50;
    SchedulerFixture fixture({ 1000 }, settings);
    fixture.submit("running", 1);
    fixture.submit("waiting", 1);
    const SchedulerActions actions = fixture.advance(GetParam().waitedFor);
    ASSERT_EQ(actions.answers.size(), GetParam().refused ? 1U : 0U);
    if (!GetParam().refused)
        return;
    EXPECT_EQ(actions.answers.at(0).outcome, JobOutcome::NotRun);
    EXPECT_GT(actions.answers.at(0).retryAfter, Milliseconds(0));
}

INSTANTIATE_TEST_SUITE_P(Scheduler, LateJobs,
                         testing::Values(LateCase { "StillOnTime", true, Milliseconds(60), false },
                                         LateCase { "PastTheMargin", true, Milliseconds(75), true },
                                         LateCase { "KeptIfConfigured", false, Milliseconds(75),
                                                    false }),
                         [](const auto &tested) { return tested.param.name; });

// If a queue's jobs take twice their estimates, the expected time follows and leaves less slack.
TEST(SchedulerOrder, ObjectivesFollowTheQueuesPastJobs)
{
    SchedulerFixture fixture({ 100000 });
    for (int i = 0; i < 300; ++i) {
        const std::string id = "past-" + std::to_string(i);
        fixture.submit(id, 1);
        jobs::RunReport report = runReport(id, 0, 1, RunOutcome::Done);
        report.duration = Milliseconds(200);
        fixture.report("agent-0", { report });
    }
    fixture.submit("next", 1);
    const Job &job = fixture.scheduler.jobs.at(fixture.number);
    EXPECT_EQ(job.estimated, Milliseconds(100));
    EXPECT_NEAR(static_cast<double>(job.expected.count()), 200, 15);
    EXPECT_EQ(job.tasks.at(0).expected, job.expected);
}

TEST(SchedulerOrder, UndeclaredQueuesAreForgotten)
{
    SchedulerFixture fixture({ 100000 });
    fixture.submit("job", 1);
    jobs::RunReport report = runReport("job", 0, 1, RunOutcome::Done);
    report.duration = Milliseconds(200);
    fixture.report("agent-0", { report });
    retainQueues(fixture.scheduler, { "queue" });
    EXPECT_EQ(fixture.scheduler.runTimeModels.size(), 1U);
    retainQueues(fixture.scheduler, { "another" });
    EXPECT_TRUE(fixture.scheduler.runTimeModels.empty());
}

TEST(SchedulerOrder, AStartedJobGoesBeforeAMoreUrgentOne)
{
    SchedulerFixture fixture({ 1000 });
    jobs::StepSpec step;
    step.tasks = 2;
    step.demand = { 1000, 10, 0 };
    step.estimate = Milliseconds(200);
    fixture.submit("begun", { step });
    step.estimate = Milliseconds(20);
    fixture.submit("urgent", { step });
    const SchedulerActions actions = fixture.report("agent-0",
                                                    { runReport("begun", 0, 1, RunOutcome::Done) },
                                                    1000);
    ASSERT_EQ(startsIn(actions), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends.at(0).message).job, "begun");
}

} // namespace
} // namespace foxwing::scheduler
