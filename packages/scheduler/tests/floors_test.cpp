/*
    Queues below their floor: what their jobs go by, whose starts wait at agents, and what counts as
    asked and refused.

    [SECTION] Helpers
    [SECTION] Standings
    [SECTION] Order
    [SECTION] Waiting at agents
    [SECTION] Counted
    [SECTION] Log
*/
#include <algorithm>
#include <functional>

#include "bench.h"

namespace foxwing::scheduler {
namespace {

// [SECTION] Helpers

constexpr std::uint32_t Floor = 60;

SchedulerSettings withFloor(std::uint32_t percent)
{
    SchedulerSettings settings;
    settings.waitingQueues = WaitingQueues::AllButLeast;
    settings.shares.guaranteedPercent = percent;
    return settings;
}

// A job of one task of the queue that has this priority.
SchedulerActions submitTo(Bench &bench, std::uint32_t priority, const std::string &id)
{
    jobs::JobSpec spec;
    spec.id = id;
    spec.steps = { {} };
    spec.steps[0].tasks = 1;
    spec.steps[0].demand = { 1000, 10, 0 };
    spec.steps[0].estimate = Milliseconds(100);
    spec.traits = bench.traits;
    bench.priority = priority;
    JobTerms terms = bench.terms();
    terms.queue = "queue-" + std::to_string(priority);
    return submit(bench.scheduler, spec, terms, bench.now, &bench.number);
}

// Each queue of the list has asked for work; those below their floor were refused all of it.
void setStandings(Bench &bench, const std::vector<std::uint32_t> &queues,
                  const std::set<std::uint32_t> &below)
{
    for (const std::uint32_t priority : queues) {
        submitTo(bench, priority, "first-" + std::to_string(priority));
        if (below.count(priority) > 0)
            shares::recordRefused(bench.scheduler.shares, "queue-" + std::to_string(priority),
                                  100000, bench.now);
    }
    bench.pass(Milliseconds(1));
}

const QueueStanding &standing(const Bench &bench, std::uint32_t priority)
{
    return bench.scheduler.standings.at("queue-" + std::to_string(priority));
}

// [SECTION] Standings

struct StandingCase
{
    const char *name;
    std::uint32_t floor;
    std::vector<std::uint32_t> queues;
    std::set<std::uint32_t> below;

    // In the order of the queues
    std::vector<std::uint32_t> effective;
    std::set<std::uint32_t> yielding;
};

std::ostream &operator<<(std::ostream &out, const StandingCase &tested)
{
    return out << tested.name;
}

class Standings : public testing::TestWithParam<StandingCase>
{ };

TEST_P(Standings, FollowFromWhatQueuesWereServed)
{
    Bench bench({ 100000 }, withFloor(GetParam().floor));
    setStandings(bench, GetParam().queues, GetParam().below);
    std::vector<std::uint32_t> effective;
    std::set<std::uint32_t> yielding;
    for (const std::uint32_t priority : GetParam().queues) {
        effective.push_back(standing(bench, priority).effective);
        if (standing(bench, priority).yields)
            yielding.insert(priority);
    }
    EXPECT_EQ(effective, GetParam().effective);
    EXPECT_EQ(yielding, GetParam().yielding);
}

INSTANTIATE_TEST_SUITE_P(
        Floors, Standings,
        testing::Values(
                StandingCase { "AllServed", Floor, { 0, 1, 2 }, {}, { 0, 1, 2 }, {} },
                StandingCase { "NoFloor", 0, { 0, 1, 2 }, { 2 }, { 0, 1, 2 }, {} },
                StandingCase { "TheLeastUrgent", Floor, { 0, 1, 2 }, { 2 }, { 0, 1, 1 }, { 1 } },
                StandingCase { "TheMiddleOne", Floor, { 0, 1, 2 }, { 1 }, { 0, 1, 2 }, {} },
                StandingCase { "TheMostUrgent", Floor, { 0, 1, 2 }, { 0 }, { 0, 1, 2 }, {} },
                // Where floors can't be met, priorities decide.
                StandingCase { "AllBelow", Floor, { 0, 1, 2 }, { 0, 1, 2 }, { 0, 1, 2 }, {} },
                StandingCase { "BothButFirst", Floor, { 0, 1, 2 }, { 1, 2 }, { 0, 1, 2 }, {} },
                // Nothing stands between them, and the most urgent one never gives way.
                StandingCase { "TwoQueues", Floor, { 0, 5 }, { 5 }, { 0, 5 }, {} },
                StandingCase { "Four", Floor, { 0, 1, 2, 3 }, { 3 }, { 0, 1, 2, 2 }, { 1, 2 } },
                StandingCase {
                        "TwoOfFour", Floor, { 0, 1, 2, 3 }, { 2, 3 }, { 0, 1, 1, 1 }, { 1 } },
                StandingCase { "OneQueue", Floor, { 4 }, { 4 }, { 4 }, {} }),
        [](const auto &tested) { return tested.param.name; });

TEST(Floors, EndWhenTheQueueIsServedAgain)
{
    Bench bench({ 1000000 }, withFloor(Floor));
    setStandings(bench, { 0, 1, 2 }, { 2 });
    EXPECT_EQ(standing(bench, 2).effective, 1U);
    for (int i = 0; i < 4; ++i)
        submitTo(bench, 2, "served-" + std::to_string(i));
    bench.pass(Milliseconds(1));
    EXPECT_EQ(standing(bench, 2).effective, 2U);
    EXPECT_FALSE(standing(bench, 1).yields);
}

// A queue of another service has no part in the room.
TEST(Floors, HoldWithinAService)
{
    Bench bench({ 1000000 }, withFloor(Floor));
    setStandings(bench, { 0, 1, 2 }, {});
    bench.scheduler.standings.at("queue-1").service = "other";
    shares::recordRefused(bench.scheduler.shares, "queue-2", 100000, bench.now);
    bench.pass(Milliseconds(1));
    EXPECT_EQ(standing(bench, 2).effective, 2U);
    EXPECT_FALSE(standing(bench, 1).yields);
}

TEST(Floors, ForgetQueuesThatAreGone)
{
    Bench bench({ 1000000 }, withFloor(Floor));
    setStandings(bench, { 0, 1, 2 }, { 2 });
    keepQueues(bench.scheduler, { "queue-0", "queue-1" });
    EXPECT_EQ(bench.scheduler.standings.count("queue-2"), 0U);
    bench.pass(Milliseconds(1));
    EXPECT_FALSE(standing(bench, 1).yields);
}

// A queue that is declared anew with another priority goes by it at once.
TEST(Floors, FollowAQueueOfAnotherPriority)
{
    Bench bench({ 1000000 }, withFloor(Floor));
    setStandings(bench, { 0, 1, 2 }, { 2 });
    bench.scheduler.standings.at("queue-2").priority = 7;
    submitTo(bench, 2, "declared-anew");
    EXPECT_EQ(standing(bench, 2).effective, 2U);
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

class FloorOrder : public testing::TestWithParam<OrderCase>
{ };

// Jobs that wait already change their place, and leave it as they were queued.
TEST_P(FloorOrder, ChangesWithTheStanding)
{
    Bench bench({ 3000 }, withFloor(Floor));
    setStandings(bench, { 0, 1, 2 }, {});
    for (const std::uint32_t priority : { 2, 1, 0 })
        submitTo(bench, priority, "job-" + std::to_string(priority));
    bench.scheduler.settings.waitPercent = 0;
    for (const std::uint32_t priority : GetParam().below)
        shares::recordRefused(bench.scheduler.shares, "queue-" + std::to_string(priority), 1000000,
                              bench.now);
    bench.pass(Milliseconds(1));
    std::vector<std::string> order;
    for (const QueueKey &key : bench.scheduler.queue)
        order.push_back(bench.scheduler.jobs.at(key.number).spec.id);
    EXPECT_EQ(order, GetParam().order);
    bench.pass(Milliseconds(3000));
    EXPECT_TRUE(bench.scheduler.queue.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Floors, FloorOrder,
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

class FloorWaiting : public testing::TestWithParam<WaitCase>
{ };

TEST_P(FloorWaiting, LeavesFreedRoomToAQueueBelowItsFloor)
{
    Bench bench({ 20000 }, withFloor(Floor));
    setStandings(bench, { 0, 1, 2 }, GetParam().below);
    bench.report("agent-0", {}, 0);
    const SchedulerActions actions = submitTo(bench, GetParam().priority, "job");
    EXPECT_EQ(startsIn(actions), GetParam().waits ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Floors, FloorWaiting,
                         testing::Values(WaitCase { "MostUrgent", {}, 0, true },
                                         WaitCase { "Middle", {}, 1, true },
                                         WaitCase { "LeastUrgent", {}, 2, false },
                                         WaitCase { "MostUrgentThoughLeastBelow", { 2 }, 0, true },
                                         WaitCase { "MiddleWhileLeastBelow", { 2 }, 1, false },
                                         WaitCase { "LeastWhileBelow", { 2 }, 2, false },
                                         WaitCase { "MiddleWhileBothBelow", { 1, 2 }, 1, true }),
                         [](const auto &tested) { return tested.param.name; });

// The start goes by the priority that its queue was raised to, at agents too.
TEST(Floors, AreToldToAgents)
{
    Bench bench({ 1000000 }, withFloor(Floor));
    setStandings(bench, { 0, 1, 2 }, { 2 });
    const SchedulerActions actions = submitTo(bench, 2, "job");
    ASSERT_EQ(actions.sends.size(), 1U);
    EXPECT_EQ(std::get<jobs::StartTasks>(actions.sends[0].message).priority, 1U);
}

// [SECTION] Counted

struct CountedCase
{
    const char *name;
    std::function<void(Bench &)> happens;
    std::uint64_t asked;
    std::uint64_t refused;
};

std::ostream &operator<<(std::ostream &out, const CountedCase &tested)
{
    return out << tested.name;
}

class Counted : public testing::TestWithParam<CountedCase>
{ };

TEST_P(Counted, AsAskedAndRefused)
{
    Bench bench({ 1000 });
    GetParam().happens(bench);
    const shares::QueueShare share = bench.scheduler.shares.queues["queue"];
    EXPECT_EQ(share.requestedJobs, GetParam().asked);
    EXPECT_EQ(share.refusedJobs, GetParam().refused);
}

void submitUnsuited(Bench &bench)
{
    jobs::StepSpec step;
    step.tasks = 1;
    step.demand = { 2000, 10, 0 };
    step.estimate = Milliseconds(100);
    bench.submit("too-large", { step });
}

INSTANTIATE_TEST_SUITE_P(Floors, Counted,
                         testing::Values(CountedCase { "Placed",
                                                       [](Bench &b) { b.submit("job", 1); }, 1, 0 },
                                         CountedCase { "SentAgainWhileAtWork",
                                                       [](Bench &b) {
                                                           b.submit("job", 1);
                                                           b.submit("job", 1);
                                                       },
                                                       1, 0 },
                                         CountedCase { "NoRoomInTime",
                                                       [](Bench &b) {
                                                           b.submit("first", 1);
                                                           b.submit("job", 1);
                                                           b.pass(Milliseconds(1600));
                                                       },
                                                       2, 1 },
                                         CountedCase { "RefusedAtOnce",
                                                       [](Bench &b) {
                                                           b.submit("first", 1);
                                                           b.submit("before", 100);
                                                           b.submit("job", 1);
                                                       },
                                                       3, 1 },
                                         CountedCase { "NotServed",
                                                       [](Bench &b) {
                                                           b.traits.gang = true;
                                                           b.submit("job", 1);
                                                       },
                                                       0, 0 },
                                         CountedCase { "TooLargeForAll", submitUnsuited, 0, 0 },
                                         CountedCase { "EntryStoodStill",
                                                       [](Bench &b) {
                                                           b.submit("first", 1);
                                                           b.submit("job", 1);
                                                           giveUpAll(b.scheduler, "it stood still",
                                                                     b.now);
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

TEST(Floors, AreLoggedOnceAChange)
{
    Bench bench({ 1000000 }, withFloor(Floor));
    setStandings(bench, { 0, 1, 2 }, {});
    shares::recordRefused(bench.scheduler.shares, "queue-2", 100000, bench.now);
    EXPECT_EQ(countOf(bench.pass(Milliseconds(1)), "queue-below-floor"), 1U);
    EXPECT_EQ(countOf(bench.pass(Milliseconds(1)), "queue-below-floor"), 0U);
    EXPECT_EQ(countOf(bench.pass(Milliseconds(7000)), "queue-above-floor"), 1U);
}

} // namespace
} // namespace foxwing::scheduler
