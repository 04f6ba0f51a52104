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

#include <foxwing/runner/runner.h>
#include <foxwing/scheduler/scheduler.h>
#include <foxwing/subset/subset.h>

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
    subset::takeUpdate(subset, "control", list);
    return subset::choose(subset, Start).added;
}

jobs::EndpointView viewOfEndpoint()
{
    jobs::EndpointView view;
    view.life = "life";
    view.service = "render";
    view.capacity = { 16000, 32768, 0 };
    view.free = view.capacity;
    view.mostStarts = 100;
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
        update.mostStarts = viewOfEndpoint().mostStarts;
        if (const auto *start = std::get_if<jobs::StartTasks>(&send.message)) {
            update.startsTaken = entry.agents.at(send.agent).startsSent;
            for (const jobs::StartTasks::Start &started : start->starts)
                update.ended.push_back(
                        { { { start->job, 0, start->step, started.index }, started.run },
                          jobs::RunEnd::Done,
                          jobs::RefusedStart::None,
                          start->estimate });
        }
        ++cost.heard;
        scheduler::agentUpdated(entry, send.agent, update, now);
    }
}

// An entry that is sent a job of eight tasks in each turn.
HostCost costOfEntry(const std::vector<std::string> &agents)
{
    HostCost cost;
    cost.sessions = agents.size();
    scheduler::SchedulerState entry = scheduler::makeScheduler(scheduler::SchedulerSettings());
    for (const std::string &agent : agents) {
        scheduler::agentConnected(entry, agent, Start);
        scheduler::agentWelcomed(entry, agent, { 1, viewOfEndpoint() }, Start);
    }
    int jobs = 0;
    for (Time now = Start; now < Start + Span; now += Turn) {
        answerSends(entry, scheduler::tick(entry, now), now, cost);
        jobs::JobSpec spec;
        spec.id = "job-" + std::to_string(++jobs);
        jobs::StepSpec step;
        step.tasks = 8;
        step.room = { 1600, 64, 0 };
        step.estimate = Milliseconds(60);
        spec.steps.push_back(step);
        scheduler::JobTerms terms;
        terms.service = "render";
        terms.stretch = 1.6;
        terms.targetLatency = Milliseconds(60);
        terms.beginBy = now + Seconds(1);
        std::uint64_t number = 0;
        answerSends(entry, scheduler::submit(entry, spec, terms, now, &number), now, cost);
    }
    cost.endpointsTried = entry.counters.endpointsTried;
    return cost;
}

// An agent whose entries beat as entries do.
HostCost costOfAgent(std::size_t sessions)
{
    HostCost cost;
    cost.sessions = sessions;
    const Milliseconds beatInterval = scheduler::SchedulerSettings().beatInterval;
    runner::RunnerState agent = runner::makeRunner(runner::RunnerSettings(), 1, 1);
    agent.life.described = true;
    agent.life.clean = true;
    agent.life.clockSample = Milliseconds(0);
    agent.life.clockAt = Start;
    agent.cordonsKnown = true;
    agent.endpoint.life.id = "life";
    agent.endpoint.capacity = viewOfEndpoint().capacity;
    std::uint64_t beat = 0;
    Time nextBeat = Start;
    for (std::uint64_t session = 1; session <= sessions; ++session)
        runner::openSession(agent, session, "entry-" + std::to_string(session), Start);
    for (Time now = Start; now < Start + Span; now += Turn) {
        cost.sent += runner::tick(agent, now).updates.size();
        if (now < nextBeat)
            continue;
        nextBeat += beatInterval;
        ++beat;
        for (std::uint64_t session = 1; session <= sessions; ++session) {
            ++cost.heard;
            cost.sent += runner::sessionBeat(agent, session, { beat, false }, now).updates.size();
        }
    }
    return cost;
}

struct FleetCost
{
    HostCost entry;
    HostCost agent;
};

FleetCost costOf(const FleetSize &size)
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
    FleetCost cost;
    cost.entry = costOfEntry(most);
    cost.agent = costOfAgent((sessions + size.agents - 1) / size.agents);
    return cost;
}

// [SECTION] Tests

// The aim for a host of a fleet ten times as large, at the same load a host, in percent.
constexpr std::size_t MostGrowthPercent = 130;

TEST(FleetSize, AHostOfTwoThousandCostsWhatOneOfTwoHundredDoes)
{
    const FleetCost small = costOf({ 36, 164 });
    const FleetCost large = costOf({ 360, 1640 });
    EXPECT_GT(small.entry.messages(), 0U);
    EXPECT_GT(small.agent.messages(), 0U);
    EXPECT_LE(large.entry.messages() * 100, small.entry.messages() * MostGrowthPercent);
    EXPECT_LE(large.entry.endpointsTried * 100, small.entry.endpointsTried * MostGrowthPercent);
    EXPECT_LE(large.agent.messages() * 100, small.agent.messages() * MostGrowthPercent);
    EXPECT_LE(large.agent.sessions * 100, small.agent.sessions * MostGrowthPercent);
}

} // namespace
} // namespace foxwing::test
