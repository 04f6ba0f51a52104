/*
    Queues below their guaranteed share: their effective priority, whose starts wait at agents, and
    what counts as requested and refused.

    [SECTION] Helpers
    [SECTION] Queue status
    [SECTION] Order
    [SECTION] Waiting at agents
    [SECTION] Counting
    [SECTION] Log
*/
#include <algorithm>
#include <functional>

#include "fixture.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Helpers

constexpr std::uint32_t Guarantee = 60;

SchedulerSettings withGuarantee(std::uint32_t percent)
{
    SchedulerSettings settings;
    settings.waitingQueues = WaitingQueues::AllButLeast;
    settings.shares.guaranteedPercent = percent;
    return settings;
}

// A job of one task, in the queue of this priority.
SchedulerActions submitTo(SchedulerFixture &fixture, std::uint32_t priority, const std::string &id)
{
    jobs::JobSpec spec;
    spec.id = id;
    spec.steps = { {} };
    spec.steps[0].tasks = 1;
    spec.steps[0].demand = { 1000, 10, 0 };
    spec.steps[0].estimate = Milliseconds(100);
    spec.traits = fixture.traits;
    fixture.priority = priority;
    JobOptions options = fixture.options();
    options.queue = "queue-" + std::to_string(priority);
    return submit(fixture.scheduler, spec, options, fixture.now, &fixture.number);
}

// Each of the queues requests work; those in below get all of it refused.
void setStatuses(SchedulerFixture &fixture, const std::vector<std::uint32_t> &queues,
                 const std::set<std::uint32_t> &below)
{
    for (const std::uint32_t priority : queues) {
        submitTo(fixture, priority, "first-" + std::to_string(priority));
        if (below.count(priority) > 0)
            shares::recordRefused(fixture.scheduler.shares, "queue-" + std::to_string(priority),
                                  100000, fixture.now);
    }
    fixture.advance(Milliseconds(1));
}

const QueueStatus &statusOf(const SchedulerFixture &fixture, std::uint32_t priority)
{
    return fixture.scheduler.queueStatuses.at("queue-" + std::to_string(priority));
}

// [SECTION] Queue status

struct StatusCase
{
    const char *name;
    std::uint32_t guarantee;
    std::vector<std::uint32_t> queues;
    std::set<std::uint32_t> below;

    // In the order of queues
    std::vector<std::uint32_t> effective;
    std::set<std::uint32_t> yielding;
};

std::ostream &operator<<(std::ostream &out, const StatusCase &tested)
{
    return out << tested.name;
}

class QueueStatuses : public testing::TestWithParam<StatusCase>
{ };

TEST_P(QueueStatuses, FollowServedShares)
{
    SchedulerFixture fixture({ 100000 }, withGuarantee(GetParam().guarantee));
    setStatuses(fixture, GetParam().queues, GetParam().below);
    std::vector<std::uint32_t> effective;
    std::set<std::uint32_t> yielding;
    for (const std::uint32_t priority : GetParam().queues) {
        effective.push_back(statusOf(fixture, priority).effective);
        if (statusOf(fixture, priority).yields)
            yielding.insert(priority);
    }
    EXPECT_EQ(effective, GetParam().effective);
    EXPECT_EQ(yielding, GetParam().yielding);
}

INSTANTIATE_TEST_SUITE_P(
        Guarantees, QueueStatuses,
        testing::Values(
                StatusCase { "AllServed", Guarantee, { 0, 1, 2 }, {}, { 0, 1, 2 }, {} },
                StatusCase { "NoGuarantee", 0, { 0, 1, 2 }, { 2 }, { 0, 1, 2 }, {} },
                StatusCase { "TheLeastUrgent", Guarantee, { 0, 1, 2 }, { 2 }, { 0, 1, 1 }, { 1 } },
                StatusCase { "TheMiddleOne", Guarantee, { 0, 1, 2 }, { 1 }, { 0, 1, 2 }, {} },
                StatusCase { "TheMostUrgent", Guarantee, { 0, 1, 2 }, { 0 }, { 0, 1, 2 }, {} },
                // If shares can't be met, priorities decide.
                StatusCase { "AllBelow", Guarantee, { 0, 1, 2 }, { 0, 1, 2 }, { 0, 1, 2 }, {} },
                StatusCase { "BothButFirst", Guarantee, { 0, 1, 2 }, { 1, 2 }, { 0, 1, 2 }, {} },
                // There is no queue in between, and the most urgent one never yields.
                StatusCase { "TwoQueues", Guarantee, { 0, 5 }, { 5 }, { 0, 5 }, {} },
                StatusCase { "Four", Guarantee, { 0, 1, 2, 3 }, { 3 }, { 0, 1, 2, 2 }, { 1, 2 } },
                StatusCase {
                        "TwoOfFour", Guarantee, { 0, 1, 2, 3 }, { 2, 3 }, { 0, 1, 1, 1 }, { 1 } },
                StatusCase { "OneQueue", Guarantee, { 4 }, { 4 }, { 4 }, {} }),
        [](const auto &tested) { return tested.param.name; });

TEST(Guarantees, EndWhenTheQueueIsServedAgain)
{
    SchedulerFixture fixture({ 1000000 }, withGuarantee(Guarantee));
    setStatuses(fixture, { 0, 1, 2 }, { 2 });
    EXPECT_EQ(statusOf(fixture, 2).effective, 1U);
    for (int i = 0; i < 4; ++i)
        submitTo(fixture, 2, "served-" + std::to_string(i));
    fixture.advance(Milliseconds(1));
    EXPECT_EQ(statusOf(fixture, 2).effective, 2U);
    EXPECT_FALSE(statusOf(fixture, 1).yields);
}

// Queues of different services don't share capacity.
TEST(Guarantees, ApplyWithinAService)
{
    SchedulerFixture fixture({ 1000000 }, withGuarantee(Guarantee));
    setStatuses(fixture, { 0, 1, 2 }, {});
    fixture.scheduler.queueStatuses.at("queue-1").service = "other";
    shares::recordRefused(fixture.scheduler.shares, "queue-2", 100000, fixture.now);
    fixture.advance(Milliseconds(1));
    EXPECT_EQ(statusOf(fixture, 2).effective, 2U);
    EXPECT_FALSE(statusOf(fixture, 1).yields);
}

TEST(Guarantees, ForgetQueuesThatAreGone)
{
    SchedulerFixture fixture({ 1000000 }, withGuarantee(Guarantee));
    setStatuses(fixture, { 0, 1, 2 }, { 2 });
    retainQueues(fixture.scheduler, { "queue-0", "queue-1" });
    EXPECT_EQ(fixture.scheduler.queueStatuses.count("queue-2"), 0U);
    fixture.advance(Milliseconds(1));
    EXPECT_FALSE(statusOf(fixture, 1).yields);
}

// A queue that is redeclared with another priority follows it at once.
TEST(Guarantees, FollowAChangedPriority)
{
    SchedulerFixture fixture({ 1000000 }, withGuarantee(Guarantee));
    setStatuses(fixture, { 0, 1, 2 }, { 2 });
    fixture.scheduler.queueStatuses.at("queue-2").priority = 7;
    submitTo(fixture, 2, "declared-anew");
    EXPECT_EQ(statusOf(fixture, 2).effective, 2U);
}

// [SECTION] Order

struct OrderCase
{
    const char *name;
    std::set<std::uint32_t> below;
    std::vector<std::string> order;
};

std::ostream &operator<<(std::ostream &out, const OrderCase &tested)
{
    return out << tested.name;
}

class GuaranteeOrder : public testing::TestWithParam<OrderCase>
{ };

// Waiting jobs move in the queue, and can still be removed from it.
TEST_P(GuaranteeOrder, ChangesWithTheQueueStatus)
{
    SchedulerFixture fixture({ 3000 }, withGuarantee(Guarantee));
    setStatuses(fixture, { 0, 1, 2 }, {});
    for (const std::uint32_t priority : { 2, 1, 0 })
        submitTo(fixture, priority, "job-" + std::to_string(priority));
    fixture.scheduler.settings.maxShortfallPercent = 0;
    for (const std::uint32_t priority : GetParam().below)
        shares::recordRefused(fixture.scheduler.shares, "queue-" + std::to_string(priority),
                              1000000, fixture.now);
    fixture.advance(Milliseconds(1));
    std::vector<std::string> order;
    for (const QueueKey &key : fixture.scheduler.queue)
        order.push_back(fixture.scheduler.jobs.at(key.number).spec.id);
    EXPECT_EQ(order, GetParam().order);
    fixture.advance(Milliseconds(3000));
    EXPECT_TRUE(fixture.scheduler.queue.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Guarantees, GuaranteeOrder,
        testing::Values(OrderCase { "ByPriority", {}, { "job-0", "job-1", "job-2" } },
                        OrderCase { "BeforeTheMiddle", { 2 }, { "job-0", "job-2", "job-1" } },
                        OrderCase { "BothBelow", { 1, 2 }, { "job-0", "job-1", "job-2" } }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Waiting at agents

struct WaitCase
{
    const char *name;
    std::set<std::uint32_t> below;
    std::uint32_t priority;
    bool waits;
};

std::ostream &operator<<(std::ostream &out, const WaitCase &tested)
{
    return out << tested.name;
}

class GuaranteeWaiting : public testing::TestWithParam<WaitCase>
{ };

TEST_P(GuaranteeWaiting, LeavesFreedCapacityToAQueueBelowItsGuarantee)
{
    SchedulerFixture fixture({ 20000 }, withGuarantee(Guarantee));
    setStatuses(fixture, { 0, 1, 2 }, GetParam().below);
    fixture.report("agent-0", {}, 0);
    const SchedulerActions actions = submitTo(fixture, GetParam().priority, "job");
    EXPECT_EQ(startsIn(actions), GetParam().waits ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Guarantees, GuaranteeWaiting,
                         testing::Values(WaitCase { "MostUrgent", {}, 0, true },
                                         WaitCase { "Middle", {}, 1, true },
                                         WaitCase { "LeastUrgent", {}, 2, false },
                                         WaitCase { "MostUrgentThoughLeastBelow", { 2 }, 0, true },
                                         WaitCase { "MiddleWhileLeastBelow", { 2 }, 1, false },
                                         WaitCase { "LeastWhileBelow", { 2 }, 2, false },
                                         WaitCase { "MiddleWhileBothBelow", { 1, 2 }, 1, true }),
                         [](const auto &tested) { return tested.param.name; });

// Starts carry the raised priority, so that agents follow it too.
TEST(Guarantees, AreSentToAgents)
{
    SchedulerFixture fixture({ 1000000 }, withGuarantee(Guarantee));
    setStatuses(fixture, { 0, 1, 2 }, { 2 });
    const SchedulerActions actions = submitTo(fixture, 2, "job");
    ASSERT_EQ(actions.sends.size(), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends[0].message).priority, 1U);
}

// [SECTION] Counting

struct CountedCase
{
    const char *name;
    std::function<void(SchedulerFixture &)> act;
    std::uint64_t requested;
    std::uint64_t refused;
};

std::ostream &operator<<(std::ostream &out, const CountedCase &tested)
{
    return out << tested.name;
}

class Counted : public testing::TestWithParam<CountedCase>
{ };

TEST_P(Counted, AsRequestedAndRefused)
{
    SchedulerFixture fixture({ 1000 });
    GetParam().act(fixture);
    const shares::QueueShare share = fixture.scheduler.shares.queues["queue"];
    EXPECT_EQ(share.requestedJobs, GetParam().requested);
    EXPECT_EQ(share.refusedJobs, GetParam().refused);
}

void submitTooLarge(SchedulerFixture &fixture)
{
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 2000, 10, 0 };
    step.estimate = Milliseconds(100);
    fixture.submit("too-large", { step });
}

INSTANTIATE_TEST_SUITE_P(
        Guarantees, Counted,
        testing::Values(CountedCase { "Placed",
                                      [](SchedulerFixture &fixture) { fixture.submit("job", 1); },
                                      1, 0 },
                        CountedCase { "SentAgainWhileOpen",
                                      [](SchedulerFixture &fixture) {
                                          fixture.submit("job", 1);
                                          fixture.submit("job", 1);
                                      },
                                      1, 0 },
                        CountedCase { "NoCapacityInTime",
                                      [](SchedulerFixture &fixture) {
                                          fixture.submit("first", 1);
                                          fixture.submit("job", 1);
                                          fixture.advance(Milliseconds(1600));
                                      },
                                      2, 1 },
                        CountedCase { "RefusedAtOnce",
                                      [](SchedulerFixture &fixture) {
                                          fixture.submit("first", 1);
                                          fixture.submit("before", 100);
                                          fixture.submit("job", 1);
                                      },
                                      3, 1 },
                        CountedCase { "NotServed",
                                      [](SchedulerFixture &fixture) {
                                          fixture.traits.gang = true;
                                          fixture.submit("job", 1);
                                      },
                                      0, 0 },
                        CountedCase { "TooLargeForAll", submitTooLarge, 0, 0 },
                        CountedCase { "EntryWasPaused",
                                      [](SchedulerFixture &fixture) {
                                          fixture.submit("first", 1);
                                          fixture.submit("job", 1);
                                          closeAllJobs(fixture.scheduler, "this entry was paused",
                                                       fixture.now);
                                      },
                                      2, 0 }),
        [](const auto &tested) { return tested.param.name; });

// [SECTION] Log

std::size_t countOf(const SchedulerActions &actions, const std::string &name)
{
    return static_cast<std::size_t>(
            std::count_if(actions.events.begin(), actions.events.end(),
                          [&](const eventlog::Event &event) { return event.name() == name; }));
}

TEST(Guarantees, AreLoggedOncePerChange)
{
    SchedulerFixture fixture({ 1000000 }, withGuarantee(Guarantee));
    setStatuses(fixture, { 0, 1, 2 }, {});
    shares::recordRefused(fixture.scheduler.shares, "queue-2", 100000, fixture.now);
    EXPECT_EQ(countOf(fixture.advance(Milliseconds(1)), "queue-below-floor"), 1U);
    EXPECT_EQ(countOf(fixture.advance(Milliseconds(1)), "queue-below-floor"), 0U);
    EXPECT_EQ(countOf(fixture.advance(Milliseconds(7000)), "queue-above-floor"), 1U);
}

} // namespace
} // namespace foxwing::scheduler
