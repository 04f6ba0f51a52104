/*
    What one host of a fleet spends on sessions, at ten times the hosts: the decisions that the
    daemon runs, in virtual time, with every message counted.

    One entry is played with all agents that it chose, and one agent with all entries that chose it,
    the busiest of each kind. Both carry the same load at every size.

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
constexpr Milliseconds Turn { 20 };
constexpr Milliseconds Span { 5000 };
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

directory::DirectoryUpdate listOf(const FleetSize &size)
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

std::vector<std::string> chosenBy(std::size_t entry, const directory::DirectoryUpdate &list)
{
    subset::SubsetState subset = subset::makeSubset(subset::SubsetSettings(),
                                                    "entry-" + std::to_string(entry),
                                                    "dc-" + std::to_string(entry % DataCentres));
    subset::applyUpdate(subset, "control", list);
    // It grows in steps, up to all agents.
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

jobs::EndpointView viewOfEndpoint()
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
    std::size_t heard = 0;

    // Endpoints that were looked at for the work of one entry
    std::uint64_t endpointsTried = 0;

    std::size_t messages() const { return sent + heard; }
};

void answerSends(scheduler::SchedulerState &entry, const scheduler::SchedulerActions &actions,
                 Time now, HostCost &cost)
{
    for (const scheduler::AgentSend &send : actions.sends) {
        ++cost.sent;
        jobs::AgentUpdate update;
        update.free = viewOfEndpoint().free;
        update.maxStarts = viewOfEndpoint().maxStarts;
        if (const auto *start = std::get_if<jobs::StartTasks>(&send.message)) {
            update.startsHandled = entry.agents.at(send.agent).startsSent;
            for (const jobs::StartTasks::Start &started : start->starts)
                update.ended.push_back(
                        { { { start->job, 0, start->step, started.index }, started.run },
                          jobs::RunOutcome::Done,
                          jobs::StartRefusal::None,
                          start->estimate });
        }
        ++cost.heard;
        scheduler::agentUpdated(entry, send.agent, update, now);
    }
}

// An entry, busy if it is sent a job of eight tasks in each turn.
HostCost costOfEntry(const std::vector<std::string> &agents, bool busy)
{
    HostCost cost;
    cost.sessions = agents.size();
    scheduler::SchedulerState entry = scheduler::makeScheduler(scheduler::SchedulerSettings());
    for (const std::string &agent : agents) {
        scheduler::agentConnected(entry, agent, Start);
        scheduler::agentAccepted(entry, agent, { 1, viewOfEndpoint(), {} }, Start);
    }
    int jobs = 0;
    for (Time now = Start; now < Start + Span; now += Turn) {
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

// An agent whose entries beat as entries do.
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
    agent.endpoint.capacity = viewOfEndpoint().capacity;
    std::uint64_t heartbeat = 0;
    Time nextBeat = Start;
    for (std::uint64_t session = 1; session <= sessions; ++session)
        runner::openSession(agent, session, "entry-" + std::to_string(session), Start);
    for (Time now = Start; now < Start + Span; now += Turn) {
        cost.sent += runner::tick(agent, now).updates.size();
        if (now < nextBeat)
            continue;
        nextBeat += heartbeatInterval;
        ++heartbeat;
        for (std::uint64_t session = 1; session <= sessions; ++session) {
            ++cost.heard;
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
    const directory::DirectoryUpdate list = listOf(size);
    std::map<std::string, std::size_t> reachedBy;
    std::vector<std::string> most;
    for (std::size_t entry = 0; entry < size.entries; ++entry) {
        const std::vector<std::string> chosen = chosenBy(entry, list);
        for (const std::string &agent : chosen)
            ++reachedBy[agent];
        if (chosen.size() > most.size())
            most = chosen;
    }
    std::size_t sessions = 0;
    for (const auto &[agent, count] : reachedBy)
        sessions += count;
    CountedCost cost;
    cost.busyEntry = costOfEntry(most, true);
    cost.idleEntry = costOfEntry(most, false);
    cost.agent = costOfAgent((sessions + size.agents - 1) / size.agents);
    return cost;
}

// [SECTION] Tests

// The aim for a host of a fleet ten times as large, at the same load a host, in percent.
constexpr std::size_t MostGrowthPercent = 130;

TEST(FleetSize, AHostOfTwoThousandCostsWhatOneOfTwoHundredDoes)
{
    const CountedCost small = costOf({ 36, 164 });
    const CountedCost large = costOf({ 360, 1640 });
    EXPECT_GT(small.busyEntry.messages(), 0U);
    EXPECT_GT(small.agent.messages(), 0U);
    EXPECT_LE(large.busyEntry.messages() * 100, small.busyEntry.messages() * MostGrowthPercent);
    EXPECT_LE(large.busyEntry.endpointsTried * 100,
              small.busyEntry.endpointsTried * MostGrowthPercent);
    EXPECT_LE(large.agent.messages() * 100, small.agent.messages() * MostGrowthPercent);
    EXPECT_LE(large.agent.sessions * 100, small.agent.sessions * MostGrowthPercent);
}

// What the capacity page foretells, by size of the fleet.
class Foretold : public testing::TestWithParam<FleetSize>
{ };

TEST_P(Foretold, IsWhatIsCountedAtRest)
{
    const CountedCost counted = costOf(GetParam());
    load::FleetShape shape;
    shape.entries = GetParam().entries;
    shape.agents = GetParam().agents;
    shape.controlHosts = 0;
    const load::FleetCost foretold = load::costAtRest(shape);
    EXPECT_EQ(static_cast<double>(counted.idleEntry.sessions), foretold.entry.sessions);
    const double span = std::chrono::duration<double>(Span).count();
    const auto within = [&](const HostCost &host, double messagesPerSecond) {
        EXPECT_NEAR(static_cast<double>(host.messages()) / span, messagesPerSecond,
                    messagesPerSecond * 0.1);
    };
    within(counted.idleEntry, foretold.entry.messagesPerSecond);
    // The busiest agent's sessions are whole.
    within(counted.agent,
           foretold.agent.messagesPerSecond * static_cast<double>(counted.agent.sessions)
                   / foretold.agent.sessions);
}

INSTANTIATE_TEST_SUITE_P(FleetSize, Foretold,
                         testing::Values(FleetSize { 6, 24 }, FleetSize { 55, 240 },
                                         FleetSize { 360, 1640 }, FleetSize { 60, 2000 }),
                         [](const auto &tested) {
                             return "Agents" + std::to_string(tested.param.agents);
                         });

} // namespace
} // namespace foxwing::test
