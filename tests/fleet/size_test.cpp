/*
    The cost of sessions for one host must not grow with the size of the fleet. Runs the scheduler
    and the runner of the daemon in virtual time and counts all messages.

    Simulates the entry with the largest subset and all its agents, and an agent with the average
    number of sessions (rounded up). Both have the same load at every size.

    [SECTION] Fleet
    [SECTION] Costs
    [SECTION] Tests
*/
#include <gtest/gtest.h>

#include <foxwing/load/fleetcost.h>
#include <foxwing/runner/runner.h>

namespace foxwing::test {
namespace {

const Time Start { Seconds(1000) };
constexpr Milliseconds TickInterval { 20 };
constexpr Milliseconds Duration { 5000 };
constexpr std::size_t DataCentres = 5;

// [SECTION] Fleet

struct FleetSize
{
    std::size_t entries = 0;
    std::size_t agents = 0;
};

std::string agentName(std::size_t number)
{
    return "agent-" + std::to_string(number);
}

directory::DirectoryUpdate makeDirectoryUpdate(const FleetSize &size)
{
    directory::DirectoryUpdate update;
    update.entries = static_cast<std::uint32_t>(size.entries);
    for (std::size_t i = 0; i < size.agents; ++i) {
        directory::NodeInfo node;
        node.role = directory::Role::Agent;
        node.address = agentName(i);
        node.dataCentre = "dc-" + std::to_string(i % DataCentres);
        node.service = "render";
        update.nodes.push_back(node);
    }
    return update;
}

std::vector<std::string> chooseAgents(std::size_t entry, const directory::DirectoryUpdate &update)
{
    subset::SubsetState subset = subset::makeSubset(subset::SubsetSettings(),
                                                    "entry-" + std::to_string(entry),
                                                    "dc-" + std::to_string(entry % DataCentres));
    subset::applyUpdate(subset, "control", update);
    // The subset grows in steps, up to its final size.
    std::vector<std::string> chosen;
    std::vector<std::string> added;
    Time now = Start;
    do {
        added = subset::choose(subset, now).added;
        chosen.insert(chosen.end(), added.begin(), added.end());
        for (const std::string &agent : added)
            subset::sessionOpened(subset, agent);
        now += subset.settings.growInterval;
    } while (!added.empty());
    return chosen;
}

jobs::EndpointView makeEndpointView()
{
    jobs::EndpointView view;
    view.endpointIncarnation = "life";
    view.service = "render";
    view.capacity = { 16000, 32768, 0 };
    view.free = view.capacity;
    view.maxStarts = 100;
    return view;
}

// [SECTION] Costs

struct HostCost
{
    std::size_t sessions = 0;
    std::size_t sent = 0;
    std::size_t received = 0;

    // Endpoints examined to place the tasks of one entry
    std::uint64_t endpointsTried = 0;

    std::size_t messages() const { return sent + received; }
};

void answerSends(scheduler::SchedulerState &entry, const scheduler::SchedulerActions &actions,
                 Time now, HostCost &cost)
{
    for (const scheduler::AgentSend &send : actions.sends) {
        ++cost.sent;
        jobs::AgentUpdate update;
        update.free = makeEndpointView().free;
        update.maxStarts = makeEndpointView().maxStarts;
        if (const auto *start = std::get_if<jobs::StartTasks>(&send.message)) {
            update.startsHandled = entry.agents.at(send.agent).startsSent;
            for (const jobs::StartTasks::Start &started : start->starts)
                update.ended.push_back(
                        { { { start->job, 0, start->step, started.index }, started.run },
                          jobs::RunOutcome::Done,
                          jobs::StartRefusal::None,
                          start->estimate });
        }
        ++cost.received;
        scheduler::agentUpdated(entry, send.agent, update, now);
    }
}

// A busy entry gets a job of eight tasks in each tick.
HostCost costOfEntry(const std::vector<std::string> &agents, bool busy)
{
    HostCost cost;
    cost.sessions = agents.size();
    scheduler::SchedulerState entry = scheduler::makeScheduler(scheduler::SchedulerSettings());
    for (const std::string &agent : agents) {
        scheduler::agentConnected(entry, agent, Start);
        scheduler::agentAccepted(entry, agent, { 1, makeEndpointView(), {} }, Start);
    }
    int jobs = 0;
    for (Time now = Start; now < Start + Duration; now += TickInterval) {
        answerSends(entry, scheduler::tick(entry, now), now, cost);
        if (!busy)
            continue;
        jobs::JobSpec spec;
        spec.id = "job-" + std::to_string(++jobs);
        jobs::StepSpec step;
        step.tasks = 8;
        step.demand = { 1600, 64, 0 };
        step.estimate = Milliseconds(60);
        spec.steps.push_back(step);
        scheduler::JobOptions options;
        options.service = "render";
        options.stretch = 1.6;
        options.targetLatency = Milliseconds(60);
        options.startDeadline = now + Seconds(1);
        std::uint64_t number = 0;
        answerSends(entry, scheduler::submit(entry, spec, options, now, &number), now, cost);
    }
    cost.endpointsTried = entry.counters.endpointsTried;
    return cost;
}

// An agent with heartbeats from all its entries
HostCost costOfAgent(std::size_t sessions)
{
    HostCost cost;
    cost.sessions = sessions;
    const Milliseconds heartbeatInterval = scheduler::SchedulerSettings().heartbeatInterval;
    runner::RunnerState agent = runner::makeRunner(runner::RunnerSettings(), 1, 1);
    agent.incarnationState.described = true;
    agent.incarnationState.clean = true;
    agent.incarnationState.clockSample = Milliseconds(0);
    agent.incarnationState.clockSampledAt = Start;
    agent.cordonsKnown = true;
    agent.endpoint.endpointIncarnation.id = "life";
    agent.endpoint.capacity = makeEndpointView().capacity;
    std::uint64_t heartbeat = 0;
    Time nextHeartbeat = Start;
    for (std::uint64_t session = 1; session <= sessions; ++session)
        runner::openSession(agent, session, "entry-" + std::to_string(session), Start);
    for (Time now = Start; now < Start + Duration; now += TickInterval) {
        cost.sent += runner::tick(agent, now).updates.size();
        if (now < nextHeartbeat)
            continue;
        nextHeartbeat += heartbeatInterval;
        ++heartbeat;
        for (std::uint64_t session = 1; session <= sessions; ++session) {
            ++cost.received;
            cost.sent += runner::handleSessionHeartbeat(agent, session, { heartbeat, false }, now)
                                 .updates.size();
        }
    }
    return cost;
}

struct CountedCost
{
    HostCost busyEntry;
    HostCost idleEntry;
    HostCost agent;
};

CountedCost costOf(const FleetSize &size)
{
    const directory::DirectoryUpdate update = makeDirectoryUpdate(size);
    std::map<std::string, std::size_t> sessionsByAgent;
    std::vector<std::string> largest;
    for (std::size_t entry = 0; entry < size.entries; ++entry) {
        const std::vector<std::string> chosen = chooseAgents(entry, update);
        for (const std::string &agent : chosen)
            ++sessionsByAgent[agent];
        if (chosen.size() > largest.size())
            largest = chosen;
    }
    std::size_t sessions = 0;
    for (const auto &[agent, count] : sessionsByAgent)
        sessions += count;
    CountedCost cost;
    cost.busyEntry = costOfEntry(largest, true);
    cost.idleEntry = costOfEntry(largest, false);
    cost.agent = costOfAgent((sessions + size.agents - 1) / size.agents);
    return cost;
}

// [SECTION] Tests

// Allowed cost of a host in a fleet ten times as large, at the same load per host, in percent
constexpr std::size_t MaxGrowthPercent = 130;

TEST(FleetSize, CostPerHostIsIndependentOfSize)
{
    const CountedCost small = costOf({ 36, 164 });
    const CountedCost large = costOf({ 360, 1640 });
    EXPECT_GT(small.busyEntry.messages(), 0U);
    EXPECT_GT(small.agent.messages(), 0U);
    EXPECT_LE(large.busyEntry.messages() * 100, small.busyEntry.messages() * MaxGrowthPercent);
    EXPECT_LE(large.busyEntry.endpointsTried * 100,
              small.busyEntry.endpointsTried * MaxGrowthPercent);
    EXPECT_LE(large.agent.messages() * 100, small.agent.messages() * MaxGrowthPercent);
    EXPECT_LE(large.agent.sessions * 100, small.agent.sessions * MaxGrowthPercent);
}

// The cost model that the capacity page uses, by size of the fleet
class PredictedCost : public testing::TestWithParam<FleetSize>
{ };

TEST_P(PredictedCost, MatchesCountedCostAtRest)
{
    const CountedCost counted = costOf(GetParam());
    load::FleetShape shape;
    shape.entries = GetParam().entries;
    shape.agents = GetParam().agents;
    shape.controlHosts = 0;
    const load::FleetCost predicted = load::costAtRest(shape);
    EXPECT_EQ(static_cast<double>(counted.idleEntry.sessions), predicted.entry.sessions);
    const double seconds = std::chrono::duration<double>(Duration).count();
    const auto expectNear = [&](const HostCost &host, double messagesPerSecond) {
        EXPECT_NEAR(static_cast<double>(host.messages()) / seconds, messagesPerSecond,
                    messagesPerSecond * 0.1);
    };
    expectNear(counted.idleEntry, predicted.entry.messagesPerSecond);
    // The number of sessions is rounded up to a whole number; the prediction is not.
    expectNear(counted.agent,
               predicted.agent.messagesPerSecond * static_cast<double>(counted.agent.sessions)
                       / predicted.agent.sessions);
}

INSTANTIATE_TEST_SUITE_P(FleetSize, PredictedCost,
                         testing::Values(FleetSize { 6, 24 }, FleetSize { 55, 240 },
                                         FleetSize { 360, 1640 }, FleetSize { 60, 2000 }),
                         [](const auto &given) {
                             return "Agents" + std::to_string(given.param.agents);
                         });

} // namespace
} // namespace foxwing::test
