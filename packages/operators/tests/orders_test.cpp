/*
    Random schedules of cordon commands: paused hosts, delayed requests and messages, changes of
    leader, lost answers, and an operator that retries.

    Checks that an acknowledged command is in effect, and stays so until the operator sends another
    one, whatever is still in flight. With any one of the guards removed, a violation must be found.

    [SECTION] Simulation
    [SECTION] Log
    [SECTION] Hosts
    [SECTION] Operator
    [SECTION] Tests
*/
#include <functional>
#include <gtest/gtest.h>
#include <queue>
#include <random>

#include <foxwing/operators/operators.h>

namespace foxwing::operators {
namespace {

// [SECTION] Simulation

constexpr int HostCount = 3;
constexpr Milliseconds TickInterval { 20 };
constexpr Milliseconds SimulatedDuration { 60000 };

// How long the operator waits for an answer, and how long it retries one command.
constexpr Milliseconds AnswerTimeout { 1000 };
constexpr Milliseconds CommandTimeout { 5000 };
const std::string North = "north";

enum class Guard {
    None,

    // Commands change nothing unless based on the current revision.
    BaseRevision,

    // A host rejects commands after a pause.
    PauseCheck,

    // Hosts drop the calls of an operator that has closed its connection.
    CallerCheck,
};

struct Proposal
{
    int host = 0;
    std::uint64_t call = 0;
    catalog::Command command;
    std::uint64_t index = 0;
};

struct ControlHost
{
    OperatorState operators;
    catalog::AgreedState agreed;
    std::uint64_t applied = 0;
    Time pausedUntil {};

    // By call: the operator's request, or the host and call that it was forwarded for
    std::map<std::uint64_t, std::uint64_t> requests;
    std::map<std::uint64_t, std::pair<int, std::uint64_t>> peers;
};

struct Simulation
{
    explicit Simulation(std::uint64_t seed, Guard disabledGuard)
        : random(seed)
        , disabled(disabledGuard)
        , hosts(HostCount)
    {
        if (disabled == Guard::PauseCheck)
            for (ControlHost &host : hosts)
                host.operators.settings.pauseThreshold = std::chrono::hours(1);
    }

    std::int64_t between(std::int64_t min, std::int64_t max)
    {
        return std::uniform_int_distribution<std::int64_t>(min, max)(random);
    }

    bool chance(int percent) { return between(1, 100) <= percent; }

    void after(Microseconds delay, std::function<void()> action)
    {
        events.push({ now + delay, ++sequence, std::move(action) });
    }

    // Runs an action on a host once it is not paused.
    void runOn(int host, Microseconds delay, const std::function<void()> &action)
    {
        after(delay, [this, host, action] {
            const Time until = hosts[static_cast<std::size_t>(host)].pausedUntil;
            if (now < until)
                return runOn(host, until - now, action);
            action();
        });
    }

    // Delay of a message between two processes; one in ten is long.
    Microseconds messageDelay()
    {
        return Milliseconds(chance(10) ? between(300, 4000) : between(1, 4));
    }

    struct Event
    {
        Time when {};
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.when, other.sequence) < std::tie(when, sequence);
        }
    };

    std::mt19937_64 random;
    Guard disabled;
    Time now { Seconds(100) };
    std::uint64_t sequence = 0;
    std::priority_queue<Event> events;

    // The group: leader, log, proposals that are not committed yet, and the state
    std::vector<ControlHost> hosts;
    int leader = 0;
    std::uint64_t term = 1;
    std::vector<std::pair<catalog::Command, std::uint64_t>> log;
    std::vector<Proposal> proposals;
    catalog::AgreedState agreed;

    // The operator: the wanted state, the request that it waits for, and what was acknowledged last
    bool wanted = false;
    std::uint64_t request = 0;
    Time issuedAt {};
    std::optional<bool> acknowledged;
    std::uint64_t acknowledgements = 0;
    std::vector<std::string> violations;
};

// [SECTION] Log

void execute(Simulation &simulation, int number, OperatorActions &&actions);

GroupStatus groupOf(Simulation &simulation, int number)
{
    GroupStatus group;
    group.isReadyLeader = simulation.leader == number;
    group.isElected = group.isReadyLeader;
    group.reachesLeader = !group.isReadyLeader;
    group.agreed = &simulation.hosts[static_cast<std::size_t>(number)].agreed;
    return group;
}

// Each host applies committed commands in order, a little later.
void applyCommitted(Simulation &simulation, int number)
{
    ControlHost &host = simulation.hosts[static_cast<std::size_t>(number)];
    while (host.applied < simulation.log.size()) {
        const auto &[command, term] = simulation.log[host.applied++];
        const catalog::ApplyResult applied = catalog::apply(host.agreed, command);
        execute(simulation, number,
                committed(host.operators, host.applied, term, applied, groupOf(simulation, number),
                          simulation.now));
    }
}

void commit(Simulation &simulation, catalog::Command command)
{
    auto &cordon = std::get<catalog::CordonCommand>(command);
    if (simulation.disabled == Guard::BaseRevision)
        cordon.basedOn = simulation.agreed.cordons.revision;
    const bool before = catalog::isCordoned(simulation.agreed.cordons, North);
    catalog::apply(simulation.agreed, command);
    const bool changed = catalog::isCordoned(simulation.agreed.cordons, North) != before;
    if (changed && simulation.acknowledged && *simulation.acknowledged != cordon.cordoned
        && simulation.wanted == *simulation.acknowledged)
        simulation.violations.emplace_back("an outdated command undid an acknowledged one");
    simulation.log.emplace_back(command, simulation.term);
    for (int i = 0; i < HostCount; ++i)
        simulation.runOn(i, Milliseconds(simulation.between(1, 90)),
                         [&simulation, i] { applyCommitted(simulation, i); });
}

// Proposals of the previous leader are either committed now or never.
void changeLeader(Simulation &simulation)
{
    for (const Proposal &proposal : std::vector<Proposal>(std::move(simulation.proposals))) {
        if (simulation.chance(50))
            commit(simulation, proposal.command);
    }
    simulation.proposals.clear();
    simulation.leader = static_cast<int>(simulation.between(0, HostCount - 1));
    ++simulation.term;
    simulation.after(Milliseconds(simulation.between(500, 6000)),
                     [&simulation] { changeLeader(simulation); });
}

void propose(Simulation &simulation, int number, std::uint64_t call)
{
    ControlHost &host = simulation.hosts[static_cast<std::size_t>(number)];
    const auto found = host.operators.calls.find(call);
    if (found == host.operators.calls.end() || simulation.leader != number)
        return;
    const auto command = commandOf(found->second.request);
    const std::uint64_t index = simulation.log.size() + simulation.proposals.size() + 1;
    simulation.proposals.push_back({ number, call, *command, index });
    execute(simulation, number,
            proposed(host.operators, call, index, simulation.term, groupOf(simulation, number),
                     simulation.now));
    simulation.after(Milliseconds(simulation.between(5, 40)),
                     [&simulation, term = simulation.term] {
                         if (term != simulation.term || simulation.proposals.empty())
                             return;
                         const Proposal first = simulation.proposals.front();
                         simulation.proposals.erase(simulation.proposals.begin());
                         commit(simulation, first.command);
                     });
}

// [SECTION] Hosts

void receiveCall(Simulation &simulation, int number, OperatorCall call, std::uint64_t request,
                 std::optional<std::pair<int, std::uint64_t>> peer)
{
    ControlHost &host = simulation.hosts[static_cast<std::size_t>(number)];
    std::uint64_t added = 0;
    OperatorActions actions = addCall(host.operators, std::move(call), groupOf(simulation, number),
                                      simulation.now, &added);
    if (peer)
        host.peers[added] = *peer;
    else
        host.requests[added] = request;
    execute(simulation, number, std::move(actions));
}

void forwardCall(Simulation &simulation, int number, std::uint64_t call)
{
    const ControlHost &host = simulation.hosts[static_cast<std::size_t>(number)];
    OperatorCall forwardedCall;
    forwardedCall.request = host.operators.calls.at(call).request;
    forwardedCall.fromPeer = true;
    simulation.runOn(simulation.leader, simulation.messageDelay(),
                     [&simulation, number, call, forwardedCall, to = simulation.leader] {
                         receiveCall(simulation, to, forwardedCall, 0,
                                     std::make_pair(number, call));
                     });
}

void answerPeer(Simulation &simulation, std::pair<int, std::uint64_t> peer, OperatorAnswer answer)
{
    answer.number = peer.second;
    simulation.runOn(peer.first, simulation.messageDelay(), [&simulation, peer, answer] {
        ControlHost &forwarder = simulation.hosts[static_cast<std::size_t>(peer.first)];
        execute(simulation, peer.first,
                peerAnswered(forwarder.operators, answer, groupOf(simulation, peer.first),
                             simulation.now));
    });
}

void answerOperator(Simulation &simulation, std::uint64_t request, OperatorOutcome outcome);

void execute(Simulation &simulation, int number, OperatorActions &&actions)
{
    ControlHost &host = simulation.hosts[static_cast<std::size_t>(number)];
    for (const OperatorAnswer &reply : actions.answers) {
        const auto peer = host.peers.find(reply.number);
        if (peer != host.peers.end())
            answerPeer(simulation, peer->second, reply);
        else if (simulation.chance(90))
            answerOperator(simulation, host.requests[reply.number], reply.outcome);
    }
    for (const std::uint64_t call : actions.forwards)
        forwardCall(simulation, number, call);
    for (const std::uint64_t call : actions.proposals)
        propose(simulation, number, call);
}

void tickHost(Simulation &simulation, int number)
{
    ControlHost &host = simulation.hosts[static_cast<std::size_t>(number)];
    // A connection that the operator has closed is noticed within one event loop iteration.
    for (const auto &[call, request] : host.requests) {
        if (request != simulation.request && simulation.disabled != Guard::CallerCheck)
            dropCall(host.operators, call);
    }
    execute(simulation, number, tick(host.operators, groupOf(simulation, number), simulation.now));
    simulation.runOn(number, TickInterval, [&simulation, number] { tickHost(simulation, number); });
}

void pauseRandomHost(Simulation &simulation)
{
    ControlHost &host =
            simulation.hosts[static_cast<std::size_t>(simulation.between(0, HostCount - 1))];
    host.pausedUntil = simulation.now + Milliseconds(simulation.between(100, 4000));
    simulation.after(Milliseconds(simulation.between(500, 5000)),
                     [&simulation] { pauseRandomHost(simulation); });
}

// [SECTION] Operator

void sendRequest(Simulation &simulation);

void issueNextCommand(Simulation &simulation)
{
    simulation.wanted = !simulation.wanted;
    simulation.issuedAt = simulation.now;
    sendRequest(simulation);
}

// Sends a request on a new connection and closes the previous one. A host that receives a delayed
// request on a closed connection also notices the close, unless it was paused in between and has
// not read the close yet.
void sendRequest(Simulation &simulation)
{
    if (simulation.now >= simulation.issuedAt + CommandTimeout) {
        // The outcome of the command is unknown.
        simulation.acknowledged.reset();
        return issueNextCommand(simulation);
    }
    const std::uint64_t request = ++simulation.request;
    const int number = static_cast<int>(simulation.between(0, HostCount - 1));
    OperatorCall call;
    call.request = catalog::CordonCommand { North, simulation.wanted, 0 };
    const bool closeIsSeen = simulation.chance(50);
    simulation.after(simulation.messageDelay(), [&simulation, number, call, request, closeIsSeen] {
        const bool late = request != simulation.request;
        if (late && simulation.disabled != Guard::CallerCheck)
            return;
        const bool paused = simulation.now
                < simulation.hosts[static_cast<std::size_t>(number)].pausedUntil;
        simulation.runOn(number, Milliseconds(0),
                         [&simulation, number, call, request, paused, closeIsSeen] {
                             if (request != simulation.request && (!paused || closeIsSeen)
                                 && simulation.disabled != Guard::CallerCheck)
                                 return;
                             receiveCall(simulation, number, call, request, std::nullopt);
                         });
    });
    simulation.after(AnswerTimeout, [&simulation, request] {
        if (request == simulation.request)
            sendRequest(simulation);
    });
}

void answerOperator(Simulation &simulation, std::uint64_t request, OperatorOutcome outcome)
{
    simulation.after(Milliseconds(simulation.between(1, 4)), [&simulation, request, outcome] {
        if (request != simulation.request)
            return;
        if (outcome != OperatorOutcome::Accepted) {
            ++simulation.request;
            return simulation.after(Milliseconds(50), [&simulation, next = simulation.request] {
                if (next == simulation.request)
                    sendRequest(simulation);
            });
        }
        ++simulation.request;
        ++simulation.acknowledgements;
        simulation.acknowledged = simulation.wanted;
        if (catalog::isCordoned(simulation.agreed.cordons, North) != simulation.wanted)
            simulation.violations.emplace_back("an acknowledged command is not in effect");
        simulation.after(Milliseconds(simulation.between(0, 1500)),
                         [&simulation] { issueNextCommand(simulation); });
    });
}

// [SECTION] Tests

std::vector<std::string> simulate(std::uint64_t seed, Guard disabledGuard,
                                  std::uint64_t *acknowledgements)
{
    Simulation simulation(seed, disabledGuard);
    const Time end = simulation.now + SimulatedDuration;
    for (int i = 0; i < HostCount; ++i)
        tickHost(simulation, i);
    changeLeader(simulation);
    pauseRandomHost(simulation);
    issueNextCommand(simulation);
    while (!simulation.events.empty() && simulation.events.top().when < end) {
        const Simulation::Event event = simulation.events.top();
        simulation.events.pop();
        simulation.now = std::max(simulation.now, event.when);
        event.action();
    }
    *acknowledgements += simulation.acknowledgements;
    return simulation.violations;
}

struct GuardCase
{
    const char *name;
    Guard disabled;
};

class CordonSchedules : public testing::TestWithParam<GuardCase>
{ };

TEST_P(CordonSchedules, PreserveAcknowledgedCommands)
{
    constexpr std::uint64_t Seeds = 2000;
    constexpr std::uint64_t MinAcknowledged = 10;
    std::uint64_t acknowledgements = 0;
    std::string violation;
    for (std::uint64_t seed = 1; seed <= Seeds && violation.empty(); ++seed) {
        const std::vector<std::string> found = simulate(seed, GetParam().disabled,
                                                        &acknowledgements);
        if (!found.empty())
            violation = found.front() + ", seed " + std::to_string(seed);
    }
    if (GetParam().disabled != Guard::None) {
        EXPECT_NE(violation, "") << "no violation found without this guard";
        return;
    }
    EXPECT_EQ(violation, "");
    EXPECT_GE(acknowledgements, Seeds * MinAcknowledged);
}

INSTANTIATE_TEST_SUITE_P(Operators, CordonSchedules,
                         testing::Values(GuardCase { "AllGuards", Guard::None },
                                         GuardCase { "WithoutBaseRevision", Guard::BaseRevision },
                                         GuardCase { "WithoutPauseCheck", Guard::PauseCheck },
                                         GuardCase { "WithoutCallerCheck", Guard::CallerCheck }),
                         [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::operators
