/*
    Tests of the agent: which starts it refuses, how it reports results, who holds its lease.

    [SECTION] Helpers
    [SECTION] Refusals
    [SECTION] Results
    [SECTION] Leases
*/
#include <foxwing/agent/agent.h>

#include <gtest/gtest.h>

namespace foxwing::agent {
namespace {

// [SECTION] Helpers

constexpr Time StartTime { Milliseconds(1000) };

AgentState leasedAgent()
{
    AgentSettings settings;
    settings.id = "worker-1";
    settings.incarnation = 7;
    settings.service = "svc";
    settings.slots = 2;
    AgentState agent = makeAgent(settings);
    setEntries(agent, { { "entry-a", 1, "" } }, StartTime);
    return agent;
}

Start validStart(std::uint32_t task = 0)
{
    Start start;
    start.ref = { "team/job", task, 0 };
    start.team = "team";
    start.owner = "entry-a";
    start.ownerIncarnation = 1;
    start.jobEpoch = 1;
    start.leaseEpoch = 1;
    start.agentIncarnation = 7;
    start.timeLeft = Milliseconds(1000);
    return start;
}

template<class Message>
const Message *onlyMessage(const AgentActions &actions)
{
    return actions.sends.size() == 1 ? std::get_if<Message>(&actions.sends[0].message) : nullptr;
}

// [SECTION] Refusals

struct StartRefusal
{
    const char *name;
    void (*modify)(AgentState &, Start &);
    RefusalCause cause;
};

class Refusal : public testing::TestWithParam<StartRefusal>
{ };

TEST_P(Refusal, IsReportedAndFinal)
{
    AgentState agent = leasedAgent();
    Start start = validStart();
    GetParam().modify(agent, start);
    AgentActions actions = handle(agent, start, StartTime);
    EXPECT_TRUE(actions.calls.empty());
    const auto *refused = onlyMessage<NotStarted>(actions);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->cause, GetParam().cause);
    // The same attempt must not start once the cause is gone either.
    agent = AgentState(agent);
    agent.leaving = false;
    agent.running.clear();
    agent.unsettledBytes = 0;
    actions = handle(agent, validStart(), StartTime);
    EXPECT_TRUE(actions.calls.empty());
}

INSTANTIATE_TEST_SUITE_P(
        Table, Refusal,
        testing::Values(
                StartRefusal { "OtherIncarnation",
                               [](AgentState &, Start &start) { start.agentIncarnation = 6; },
                               RefusalCause::WrongIncarnation },
                StartRefusal { "StaleLease",
                               [](AgentState &, Start &start) { start.leaseEpoch = 0; },
                               RefusalCause::WrongLease },
                StartRefusal { "OtherOwner",
                               [](AgentState &, Start &start) { start.owner = "entry-b"; },
                               RefusalCause::WrongLease },
                StartRefusal { "OwnerRestarted",
                               [](AgentState &, Start &start) { start.ownerIncarnation = 2; },
                               RefusalCause::WrongLease },
                StartRefusal { "Fenced",
                               [](AgentState &agent, Start &) {
                                   handle(agent, Fence { "team/job", 2, "entry-b" }, StartTime);
                               },
                               RefusalCause::Fenced },
                StartRefusal { "Voided",
                               [](AgentState &agent, Start &start) {
                                   handle(agent, Void { "entry-a", start.ref, 7 }, StartTime);
                               },
                               RefusalCause::AlreadyVoided },
                StartRefusal { "Cancelled",
                               [](AgentState &agent, Start &start) {
                                   handle(agent, Cancel { "entry-a", { start.ref }, 7 }, StartTime);
                               },
                               RefusalCause::AlreadyVoided },
                StartRefusal { "Leaving",
                               [](AgentState &agent, Start &) { leave(agent, StartTime); },
                               RefusalCause::Leaving },
                StartRefusal { "NoTimeLeft",
                               [](AgentState &, Start &start) { start.timeLeft = Microseconds(0); },
                               RefusalCause::DeadlinePassed },
                StartRefusal { "NoSlot",
                               [](AgentState &agent, Start &) {
                                   handle(agent, validStart(1), StartTime);
                                   handle(agent, validStart(2), StartTime);
                               },
                               RefusalCause::NoFreeSlot },
                StartRefusal { "TooManyResults",
                               [](AgentState &agent, Start &) {
                                   agent.unsettledBytes = agent.settings.unsettledBytes;
                               },
                               RefusalCause::TooManyUnsettled }),
        [](const testing::TestParamInfo<StartRefusal> &given) { return given.param.name; });

// [SECTION] Results

TEST(Agent, RunsDuplicateStartsOnce)
{
    AgentState agent = leasedAgent();
    EXPECT_EQ(handle(agent, validStart(), StartTime).calls.size(), 1U);
    EXPECT_TRUE(handle(agent, validStart(), StartTime).calls.empty());
    endpointDone(agent, validStart().ref, TaskEnd::Succeeded, "result", StartTime);
    const AgentActions repeated = handle(agent, validStart(), StartTime);
    EXPECT_TRUE(repeated.calls.empty());
    const auto *finished = onlyMessage<Finished>(repeated);
    ASSERT_NE(finished, nullptr);
    EXPECT_EQ(finished->body, "result");
    EXPECT_EQ(agent.usage["team"].starts, 1U);
}

TEST(Agent, ResendsResultsUntilSettled)
{
    AgentState agent = leasedAgent();
    handle(agent, validStart(), StartTime);
    endpointDone(agent, validStart().ref, TaskEnd::Succeeded, "result", StartTime);
    EXPECT_FALSE(drained(agent));
    int resends = 0;
    for (Time now = StartTime; now < StartTime + Seconds(10); now += Milliseconds(50)) {
        for (const Outgoing &send : tick(agent, now).sends)
            resends += std::holds_alternative<Finished>(send.message) ? 1 : 0;
    }
    EXPECT_EQ(resends, 4); // after 0.5, 1.5, 3.5 and 7.5 seconds
    handle(agent, Settle { { validStart().ref } }, StartTime + Seconds(10));
    EXPECT_TRUE(drained(agent));
    EXPECT_EQ(agent.unsettledBytes, 0U);
}

TEST(Agent, ReportsTasksToANewOwner)
{
    AgentState agent = leasedAgent();
    handle(agent, validStart(0), StartTime);
    handle(agent, validStart(1), StartTime);
    endpointDone(agent, validStart(0).ref, TaskEnd::Succeeded, "result", StartTime);
    handle(agent, Settle { { validStart(0).ref } }, StartTime);
    const AgentActions actions = handle(agent, Fence { "team/job", 2, "entry-b" }, StartTime);
    const auto *fenced = onlyMessage<Fenced>(actions);
    ASSERT_NE(fenced, nullptr);
    ASSERT_EQ(fenced->tasks.size(), 2U);
    EXPECT_TRUE(fenced->tasks[0].finished);
    EXPECT_EQ(fenced->tasks[0].body, "result") << "settled results are kept for a takeover";
    EXPECT_FALSE(fenced->tasks[1].finished);
    const AgentActions done = endpointDone(agent, validStart(1).ref, TaskEnd::Succeeded, "late",
                                           StartTime);
    EXPECT_EQ(done.sends.at(0).to, "entry-b");
}

TEST(Agent, ExpiresJobsAndSettledResults)
{
    AgentState agent = leasedAgent();
    Time now = StartTime;
    for (int i = 0; i < 2000; ++i) {
        Start start = validStart();
        start.ref.job = "team/job" + std::to_string(i);
        handle(agent, start, now);
        endpointDone(agent, start.ref, TaskEnd::Succeeded, std::string(1000, 'x'), now);
        handle(agent, Settle { { start.ref } }, now);
        now += Seconds(1);
        tick(agent, now);
    }
    EXPECT_LE(agent.jobs.size(), 905U);
    EXPECT_LE(agent.settledBytes, 32000U);
}

TEST(Agent, StopsOverdueTasks)
{
    AgentState agent = leasedAgent();
    handle(agent, validStart(), StartTime);
    EXPECT_TRUE(tick(agent, StartTime + Milliseconds(999)).stops.empty());
    EXPECT_EQ(tick(agent, StartTime + Milliseconds(1000)).stops.size(), 1U);
    EXPECT_TRUE(tick(agent, StartTime + Milliseconds(1010)).stops.empty())
            << "the stop is sent once";
    const AgentActions done = endpointDone(agent, validStart().ref, TaskEnd::Cancelled, "",
                                           StartTime + Milliseconds(1020));
    EXPECT_EQ(onlyMessage<Finished>(done)->end, TaskEnd::DeadlinePassed);
}

// [SECTION] Leases

TEST(Agent, MovesLeaseFromUnresponsiveOwner)
{
    AgentState agent = leasedAgent();
    setEntries(agent, { { "entry-a", 1, "" }, { "entry-b", 1, "" } }, StartTime);
    const std::string first = agent.lease.owner;
    const std::uint64_t epoch = agent.lease.epoch;
    for (Time now = StartTime; now < StartTime + Milliseconds(1600); now += Milliseconds(50))
        tick(agent, now);
    EXPECT_NE(agent.lease.owner, first);
    EXPECT_GT(agent.lease.epoch, epoch);
}

TEST(Agent, TransfersLeaseOnlyForItsOwner)
{
    AgentState agent = leasedAgent();
    setEntries(agent, { { "entry-a", 1, "" }, { "entry-b", 1, "" } }, StartTime);
    const std::string owner = agent.lease.owner;
    const std::string other = owner == "entry-a" ? "entry-b" : "entry-a";
    const std::uint64_t epoch = agent.lease.epoch;
    handle(agent, TransferLease { other, other, epoch, 7 }, StartTime);
    handle(agent, TransferLease { owner, other, epoch - 1, 7 }, StartTime);
    handle(agent, TransferLease { owner, "nobody", epoch, 7 }, StartTime);
    EXPECT_EQ(agent.lease.owner, owner);
    handle(agent, TransferLease { owner, other, epoch, 7 }, StartTime);
    EXPECT_EQ(agent.lease.owner, other);
    EXPECT_EQ(agent.lease.epoch, epoch + 1);
}

} // namespace
} // namespace foxwing::agent
