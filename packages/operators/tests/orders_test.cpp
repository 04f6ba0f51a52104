/*
    Random schedules of cordon commands: hosts are paused, requests and messages are delayed,
   leaders change, answers are lost, and an operator retries.

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

constexpr int Hosts = 3;
constexpr Milliseconds TickInterval { 20 };
constexpr Milliseconds Length { 60000 };

// How long the operator waits for an answer, and how long it retries one command.
constexpr Milliseconds AnswerPatience { 1000 };
constexpr Milliseconds OrderPatience { 5000 };
const std::string North = "north";

enum class Guard {
    None,

    // Commands are not checked against the revision that they are based on.
    Basis,

    // A host accepts all calls after a pause.
    Pause,

    // Hosts don't notice that the operator has closed its connection.
    CallerGone,
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
    Time frozenUntil {};

    // By call: the operator's request, or the host and call that it was forwarded for
    std::map<std::uint64_t, std::uint64_t> requests;
    std::map<std::uint64_t, std::pair<int, std::uint64_t>> peers;
};

struct World
{
    explicit World(std::uint64_t seed, Guard without)
        : random(seed)
        , missing(without)
        , hosts(Hosts)
    {
        if (missing == Guard::Pause)
            for (ControlHost &host : hosts)
                host.operators.settings.pauseThreshold = std::chrono::hours(1);
    }

    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(random);
    }

    bool chance(int percent) { return between(1, 100) <= percent; }

    void after(Microseconds span, std::function<void()> job)
    {
        events.push({ now + span, ++order, std::move(job) });
    }

    // On a host, as soon as it is not paused.
    void on(int host, Microseconds span, const std::function<void()> &job)
    {
        after(span, [this, host, job] {
            const Time until = hosts[static_cast<std::size_t>(host)].frozenUntil;
            if (now < until)
                return on(host, until - now, job);
            job();
        });
    }

    // Delay of a message between two processes; one in ten is long.
    Microseconds way() { return Milliseconds(chance(10) ? between(300, 4000) : between(1, 4)); }

    struct Event
    {
        Time when {};
        std::uint64_t order = 0;
        std::function<void()> job;
        bool operator<(const Event &other) const
        {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };

    std::mt19937_64 random;
    Guard missing;
    Time now { Seconds(100) };
    std::uint64_t order = 0;
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
    Time orderedAt {};
    std::optional<bool> acknowledged;
    std::uint64_t acknowledgements = 0;
    std::vector<std::string> violations;
};

// [SECTION] Log

void carryOut(World &world, int number, OperatorActions &&actions);

GroupStatus viewOf(World &world, int number)
{
    GroupStatus view;
    view.isReadyLeader = world.leader == number;
    view.isElected = view.isReadyLeader;
    view.reachesLeader = !view.isReadyLeader;
    view.agreed = &world.hosts[static_cast<std::size_t>(number)].agreed;
    return view;
}

// Each host applies committed commands in order, a little later.
void applyAt(World &world, int number)
{
    ControlHost &host = world.hosts[static_cast<std::size_t>(number)];
    while (host.applied < world.log.size()) {
        const auto &[command, term] = world.log[host.applied++];
        const catalog::ApplyResult applied = catalog::apply(host.agreed, command);
        carryOut(world, number,
                 committed(host.operators, host.applied, term, applied, viewOf(world, number),
                           world.now));
    }
}

void commit(World &world, catalog::Command command)
{
    auto &order = std::get<catalog::CordonCommand>(command);
    if (world.missing == Guard::Basis)
        order.basedOn = world.agreed.cordons.revision;
    const bool before = catalog::isCordoned(world.agreed.cordons, North);
    catalog::apply(world.agreed, command);
    const bool changed = catalog::isCordoned(world.agreed.cordons, North) != before;
    if (changed && world.acknowledged && *world.acknowledged != order.cordoned
        && world.wanted == *world.acknowledged)
        world.violations.emplace_back("an old order has undone one that was acknowledged");
    world.log.emplace_back(command, world.term);
    for (int i = 0; i < Hosts; ++i)
        world.on(i, Milliseconds(world.between(1, 90)), [&world, i] { applyAt(world, i); });
}

// Proposals of the previous leader are either committed now or never.
void changeLeader(World &world)
{
    for (const Proposal &proposal : std::vector<Proposal>(std::move(world.proposals))) {
        if (world.chance(50))
            commit(world, proposal.command);
    }
    world.proposals.clear();
    world.leader = static_cast<int>(world.between(0, Hosts - 1));
    ++world.term;
    world.after(Milliseconds(world.between(500, 6000)), [&world] { changeLeader(world); });
}

void propose(World &world, int number, std::uint64_t call)
{
    ControlHost &host = world.hosts[static_cast<std::size_t>(number)];
    const auto found = host.operators.calls.find(call);
    if (found == host.operators.calls.end() || world.leader != number)
        return;
    const auto command = commandOf(found->second.request);
    const std::uint64_t index = world.log.size() + world.proposals.size() + 1;
    world.proposals.push_back({ number, call, *command, index });
    carryOut(world, number,
             proposed(host.operators, call, index, world.term, viewOf(world, number), world.now));
    world.after(Milliseconds(world.between(5, 40)), [&world, term = world.term] {
        if (term != world.term || world.proposals.empty())
            return;
        const Proposal first = world.proposals.front();
        world.proposals.erase(world.proposals.begin());
        commit(world, first.command);
    });
}

// [SECTION] Hosts

void take(World &world, int number, OperatorCall call, std::uint64_t request,
          std::optional<std::pair<int, std::uint64_t>> peer)
{
    ControlHost &host = world.hosts[static_cast<std::size_t>(number)];
    std::uint64_t added = 0;
    OperatorActions actions = addCall(host.operators, std::move(call), viewOf(world, number),
                                      world.now, &added);
    if (peer)
        host.peers[added] = *peer;
    else
        host.requests[added] = request;
    carryOut(world, number, std::move(actions));
}

void handOver(World &world, int number, std::uint64_t call)
{
    const ControlHost &host = world.hosts[static_cast<std::size_t>(number)];
    OperatorCall handed;
    handed.request = host.operators.calls.at(call).request;
    handed.fromPeer = true;
    world.on(world.leader, world.way(), [&world, number, call, handed, to = world.leader] {
        take(world, to, handed, 0, std::make_pair(number, call));
    });
}

void answerPeer(World &world, std::pair<int, std::uint64_t> peer, OperatorAnswer answer)
{
    answer.number = peer.second;
    world.on(peer.first, world.way(), [&world, peer, answer] {
        ControlHost &asked = world.hosts[static_cast<std::size_t>(peer.first)];
        carryOut(world, peer.first,
                 peerAnswered(asked.operators, answer, viewOf(world, peer.first), world.now));
    });
}

void tellOperator(World &world, std::uint64_t request, OperatorOutcome outcome);

void carryOut(World &world, int number, OperatorActions &&actions)
{
    ControlHost &host = world.hosts[static_cast<std::size_t>(number)];
    for (const OperatorAnswer &given : actions.answers) {
        const auto peer = host.peers.find(given.number);
        if (peer != host.peers.end())
            answerPeer(world, peer->second, given);
        else if (world.chance(90))
            tellOperator(world, host.requests[given.number], given.outcome);
    }
    for (const std::uint64_t call : actions.forwards)
        handOver(world, number, call);
    for (const std::uint64_t call : actions.proposals)
        propose(world, number, call);
}

void tickHost(World &world, int number)
{
    ControlHost &host = world.hosts[static_cast<std::size_t>(number)];
    // A connection that the operator has closed is noticed within one turn of the event loop.
    for (const auto &[call, request] : host.requests) {
        if (request != world.request && world.missing != Guard::CallerGone)
            dropCall(host.operators, call);
    }
    carryOut(world, number, tick(host.operators, viewOf(world, number), world.now));
    world.on(number, TickInterval, [&world, number] { tickHost(world, number); });
}

void freezeOne(World &world)
{
    ControlHost &host = world.hosts[static_cast<std::size_t>(world.between(0, Hosts - 1))];
    host.frozenUntil = world.now + Milliseconds(world.between(100, 4000));
    world.after(Milliseconds(world.between(500, 5000)), [&world] { freezeOne(world); });
}

// [SECTION] Operator

void ask(World &world);

void giveNextOrder(World &world)
{
    world.wanted = !world.wanted;
    world.orderedAt = world.now;
    ask(world);
}

// Sends a new request on a new connection; the previous connection is closed. Its end is seen along
// with delayed requests on it, unless the host was paused and has not read it yet.
void ask(World &world)
{
    if (world.now >= world.orderedAt + OrderPatience) {
        // The outcome of the command is unknown.
        world.acknowledged.reset();
        return giveNextOrder(world);
    }
    const std::uint64_t request = ++world.request;
    const int number = static_cast<int>(world.between(0, Hosts - 1));
    OperatorCall call;
    call.request = catalog::CordonCommand { North, world.wanted, 0 };
    const bool endIsSeen = world.chance(50);
    world.after(world.way(), [&world, number, call, request, endIsSeen] {
        const bool late = request != world.request;
        if (late && world.missing != Guard::CallerGone)
            return;
        const bool frozen = world.now < world.hosts[static_cast<std::size_t>(number)].frozenUntil;
        world.on(number, Milliseconds(0), [&world, number, call, request, frozen, endIsSeen] {
            if (request != world.request && (!frozen || endIsSeen)
                && world.missing != Guard::CallerGone)
                return;
            take(world, number, call, request, std::nullopt);
        });
    });
    world.after(AnswerPatience, [&world, request] {
        if (request == world.request)
            ask(world);
    });
}

void tellOperator(World &world, std::uint64_t request, OperatorOutcome outcome)
{
    world.after(Milliseconds(world.between(1, 4)), [&world, request, outcome] {
        if (request != world.request)
            return;
        if (outcome != OperatorOutcome::Accepted) {
            ++world.request;
            return world.after(Milliseconds(50), [&world, next = world.request] {
                if (next == world.request)
                    ask(world);
            });
        }
        ++world.request;
        ++world.acknowledgements;
        world.acknowledged = world.wanted;
        if (catalog::isCordoned(world.agreed.cordons, North) != world.wanted)
            world.violations.emplace_back("an order was acknowledged and is not in force");
        world.after(Milliseconds(world.between(0, 1500)), [&world] { giveNextOrder(world); });
    });
}

// [SECTION] Tests

std::vector<std::string> play(std::uint64_t seed, Guard without, std::uint64_t *acknowledgements)
{
    World world(seed, without);
    const Time end = world.now + Length;
    for (int i = 0; i < Hosts; ++i)
        tickHost(world, i);
    changeLeader(world);
    freezeOne(world);
    giveNextOrder(world);
    while (!world.events.empty() && world.events.top().when < end) {
        const World::Event event = world.events.top();
        world.events.pop();
        world.now = std::max(world.now, event.when);
        event.job();
    }
    *acknowledgements += world.acknowledgements;
    return world.violations;
}

struct GuardCase
{
    const char *name;
    Guard missing;
};

class OrderSchedules : public testing::TestWithParam<GuardCase>
{ };

TEST_P(OrderSchedules, KeepWhatWasAcknowledged)
{
    constexpr std::uint64_t Seeds = 2000;
    constexpr std::uint64_t LeastAcknowledged = 10;
    std::uint64_t acknowledgements = 0;
    std::string violation;
    for (std::uint64_t seed = 1; seed <= Seeds && violation.empty(); ++seed) {
        const std::vector<std::string> found = play(seed, GetParam().missing, &acknowledgements);
        if (!found.empty())
            violation = found.front() + ", seed " + std::to_string(seed);
    }
    if (GetParam().missing != Guard::None) {
        EXPECT_NE(violation, "") << "nobody missed the guard";
        return;
    }
    EXPECT_EQ(violation, "");
    EXPECT_GE(acknowledgements, Seeds * LeastAcknowledged);
}

INSTANTIATE_TEST_SUITE_P(Operators, OrderSchedules,
                         testing::Values(GuardCase { "AsBuilt", Guard::None },
                                         GuardCase { "WithoutBasis", Guard::Basis },
                                         GuardCase { "WithoutPause", Guard::Pause },
                                         GuardCase { "WithoutCallerGone", Guard::CallerGone }),
                         [](const auto &tested) { return tested.param.name; });

} // namespace
} // namespace foxwing::operators
