/*
    The world of the schedule tests.

    [SECTION] Network
    [SECTION] Processes
    [SECTION] Callers
    [SECTION] Faults
    [SECTION] Run
*/
#include "worldstate.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>

#include <foxwing/agent/agent.h>
#include <foxwing/base/guards.h>
#include <foxwing/base/submissionid.h>
#include <foxwing/control/control.h>
#include <foxwing/control/reporter.h>
#include <foxwing/entry/entry.h>
#include <foxwing/node/message.h>

namespace foxwing::schedules {

namespace {

bool chance(World &world, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(world.random) < probability;
}

std::int64_t between(World &world, std::int64_t least, std::int64_t most)
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(world.random);
}

} // namespace

WallTime wallOf(const World &world, const Process &process)
{
    const auto passed = std::chrono::duration_cast<Milliseconds>(world.now.time_since_epoch());
    return WallTime(Milliseconds(WallStartMs) + passed + process.skew);
}

namespace {

// [SECTION] Network

std::string cutKey(const std::string &from, const std::string &to)
{
    return from + ">" + to;
}

void deliverLater(World &world, const std::string &from, const std::string &to,
                  const Message &message)
{
    Microseconds delay(world.session ? 500 : between(world, 300, 1500));
    if (world.chaos && chance(world, 0.02))
        delay = Milliseconds(between(world, 5, 3000));
    world.network.push({ world.now + delay, world.order++, from, to, message });
}

void sendMessage(World &world, const std::string &from, const std::string &to,
                 const Message &message)
{
    ++world.report.messages;
    const bool lost = world.cut.count(cutKey(from, to)) != 0
            || (world.chaos && from != to && chance(world, 0.03));
    if (!lost)
        deliverLater(world, from, to, message);
    if (!lost && world.chaos && chance(world, 0.03))
        deliverLater(world, from, to, message);
    const bool noticed = lost && chance(world, 0.5);
    if (!noticed)
        return;
    // The sender learns that this one failed, as from a closed connection.
    Process &sender = world.processes.at(from);
    if (const auto toAgent = node::narrow<agent::ToAgent>(message); toAgent && sender.entry)
        entry::sendFailed(*sender.entry, *toAgent, world.now);
}

// [SECTION] Processes

} // namespace

void carryOut(World &world, Process &process, agent::AgentActions &&actions)
{
    for (agent::Outgoing &send : actions.sends)
        sendMessage(world, process.id, send.to, node::widen(std::move(send.message)));
    for (const agent::EndpointCall &call : actions.calls) {
        ++world.report.starts;
        const std::string key = call.ref.job + "#" + std::to_string(call.ref.task);
        const int count = ++world.starts[key];
        const std::string team = call.ref.job.substr(0, call.ref.job.find('/'));
        const bool mayRepeat = call.payload.find("repeatable") != std::string::npos;
        if (count > 1 && !mayRepeat)
            violate(world, "started twice: " + key);
        if (world.saidNotRun.count(call.ref.job) != 0)
            violate(world, "started after \"not run\" was said: " + key);
        const Milliseconds span = world.session ? world.taskTime
                                                : Milliseconds(between(world, 20, 900));
        world.running.push_back({ world.now + span, process.id, process.incarnation, call.ref });
    }
    for (const agent::EndpointStop &stop : actions.stops) {
        for (RunningTask &running : world.running) {
            const bool same = running.process == process.id && running.ref.job == stop.ref.job
                    && running.ref.task == stop.ref.task;
            if (same)
                running.endsAt = std::min(running.endsAt, world.now + Milliseconds(1));
        }
    }
}

void carryOut(World &world, Process &process, entry::EntryActions &&actions)
{
    for (entry::Outgoing &send : actions.sends) {
        Message message = std::visit([](auto &held) { return node::widen(std::move(held)); },
                                     send.message);
        sendMessage(world, process.id, send.to, message);
    }
    for (const entry::Reply &reply : actions.replies)
        checkReply(world, reply);
}

namespace {

void carryOut(World &world, Process &process, control::ControlActions &&actions)
{
    for (control::Outgoing &send : actions.sends)
        sendMessage(world, process.id, send.to, node::widen(std::move(send.message)));
    for (control::Command &command : actions.proposals)
        world.proposals.push_back({ world.now + CommitDelay, std::move(command) });
}

entry::Registry registry()
{
    entry::Registry made;
    made.services[ServiceName] = entry::Service { ServiceName, 100, 1000, Milliseconds(60000) };
    return made;
}

void startEntry(Process &process)
{
    entry::EntrySettings settings;
    settings.self = { process.id, process.incarnation };
    settings.dataCentre = process.id;
    settings.dispatch.id = process.id;
    settings.dispatch.incarnation = process.incarnation;
    settings.dispatch.dataCentre = process.id;
    settings.claims.self = settings.self;
    process.entry = std::make_unique<entry::EntryState>(entry::makeEntry(settings));
    process.entry->registry = registry();
}

void startAgent(Process &process)
{
    agent::AgentSettings settings;
    settings.id = process.id;
    settings.incarnation = process.incarnation;
    settings.service = ServiceName;
    settings.slots = 3;
    process.agent = std::make_unique<agent::AgentState>(agent::makeAgent(settings));
}

void startProcess(World &world, Process &process)
{
    process.up = true;
    process.pausedUntil = {};
    process.incarnation = static_cast<std::uint64_t>(
            wallOf(world, process).time_since_epoch().count());
    process.heldBack.clear();
    process.nextHeartbeat = world.now;
    if (process.isEntry)
        startEntry(process);
    else if (process.isAgent)
        startAgent(process);
    else
        process.control = std::make_unique<control::ControlState>(
                control::makeControl({}, world.durable, world.now, wallOf(world, process)));
    control::Heartbeat identity;
    identity.id = process.id;
    identity.incarnation = process.incarnation;
    identity.address = process.id;
    identity.dataCentre = process.id;
    identity.isEntry = process.isEntry;
    identity.isAgent = process.isAgent;
    identity.service = ServiceName;
    process.reporter = control::makeReporter(identity);
}

void applyUpdate(World &world, Process &process, const control::Update &update)
{
    const std::optional<Time> sentAt = control::acceptUpdate(process.reporter, update);
    if (!sentAt)
        return;
    if (process.agent) {
        if (update.view.number == 0)
            return;
        std::vector<agent::OwnerCandidate> entries;
        for (const claims::Member &member : update.view.members)
            entries.push_back({ member.replica.id, member.replica.incarnation, member.dataCentre });
        carryOut(world, process, agent::setEntries(*process.agent, entries, world.now));
        return;
    }
    claims::renewControlLease(process.entry->claims, *sentAt);
    if (update.hasAgents) {
        process.entry->agents = { {}, update.agentsCompleteSince };
        for (const control::AgentStatus &hint : update.agents)
            process.entry->agents.agents.push_back(
                    { hint.id, hint.service, hint.lostAt, hint.live });
    }
    if (update.view.number != 0)
        carryOut(world, process, entry::setView(*process.entry, update.view, world.now));
}

// FOXWING_TRACE names a piece of text: every delivered message that has it is printed.
void trace(const World &world, const std::string &to, const Message &message)
{
    static const char *wanted = std::getenv("FOXWING_TRACE");
    if (!wanted)
        return;
    const std::string text = writeJson(encodeMessage(message));
    if (text.find(wanted) != std::string::npos)
        std::printf("%9.3f %s <- %s\n", toMilliseconds(world.now.time_since_epoch()), to.c_str(),
                    text.c_str());
}

// Steady traffic that says nothing about a submission.
bool isUpkeep(const Message &message)
{
    return std::holds_alternative<control::Heartbeat>(message)
            || std::holds_alternative<control::Update>(message)
            || std::holds_alternative<agent::LeaseOffer>(message)
            || std::holds_alternative<agent::LeaseAccepted>(message)
            || std::holds_alternative<agent::TransferLease>(message)
            || std::holds_alternative<agent::KeepAlive>(message)
            || std::holds_alternative<entry::LoadReport>(message)
            || std::holds_alternative<claims::ShardPart>(message)
            || std::holds_alternative<claims::ShardPartAck>(message)
            || std::holds_alternative<claims::ShardsReady>(message);
}

void record(World &world, const std::string &from, const std::string &to, const Message &message)
{
    if (!world.session || isUpkeep(message))
        return;
    std::string text = writeJson(encodeMessage(message));
    for (std::size_t i = 0; i < world.works.size(); ++i) {
        const std::string &id = world.works[i].request.submission;
        for (std::size_t at = text.find(id); !id.empty() && at != std::string::npos;
             at = text.find(id))
            text.replace(at, id.size(), "SUBMISSION-" + std::to_string(i));
    }
    world.transcript.push_back(from + " -> " + to + " " + text);
}

void receive(World &world, Process &process, const Message &message)
{
    trace(world, process.id, message);
    const WallTime wall = wallOf(world, process);
    if (process.agent) {
        if (const auto held = node::narrow<agent::ToAgent>(message))
            carryOut(world, process, agent::handle(*process.agent, *held, world.now));
    } else if (process.entry) {
        entry::EntryState &state = *process.entry;
        if (const auto held = node::narrow<agent::FromAgent>(message))
            carryOut(world, process, entry::handleAgent(state, *held, world.now));
        else if (const auto claim = node::narrow<claims::ClaimMessage>(message))
            carryOut(world, process, entry::handleClaim(state, *claim, world.now, wall));
        else if (const auto other = node::narrow<entry::EntryMessage>(message))
            carryOut(world, process, entry::handleEntry(state, *other, world.now));
    } else if (const auto *beat = std::get_if<control::Heartbeat>(&message)) {
        carryOut(world, process,
                 control::handleHeartbeat(*process.control, *beat, world.now, wall));
    }
    if (const auto *update = std::get_if<control::Update>(&message); update && !process.control)
        applyUpdate(world, process, *update);
}

void tickProcess(World &world, Process &process)
{
    const WallTime wall = wallOf(world, process);
    if (process.control)
        return carryOut(world, process, control::tick(*process.control, world.now, wall));
    if (process.entry)
        carryOut(world, process, entry::tick(*process.entry, world.now, wall));
    else
        carryOut(world, process, agent::tick(*process.agent, world.now));
    const bool wanted = process.entry && std::exchange(process.entry->heartbeatRequested, false);
    if (world.now < process.nextHeartbeat && !wanted)
        return;
    control::Heartbeat beat = control::nextHeartbeat(process.reporter, world.now);
    const bool moving = process.entry && !claims::allShardsActive(process.entry->claims);
    if (process.entry)
        beat.readyShards = claims::readyShards(process.entry->claims);
    process.nextHeartbeat = world.now + (moving ? TickInterval : BeatInterval);
    sendMessage(world, process.id, "control", beat);
}

// [SECTION] Callers

Work makeWork(World &world, std::size_t number)
{
    Work work;
    entry::SubmitRequest &request = work.request;
    request.team = "team" + std::to_string(number % 2);
    request.service = ServiceName;
    request.workClass = "class";
    request.timeLeft = Milliseconds(between(world, 500, 12000));
    work.anonymous = number + 1 == SubmissionCount;
    request.request = work.anonymous;
    request.repeatable = work.anonymous && chance(world, 0.5);
    const std::int64_t tasks = work.anonymous ? 1 : between(world, 1, 4);
    for (std::int64_t i = 0; i < tasks; ++i)
        request.payloads.emplace_back(request.repeatable ? "repeatable" : "once");
    request.digest = "digest " + std::to_string(number);
    return work;
}

std::vector<Process *> liveEntries(World &world)
{
    std::vector<Process *> live;
    for (auto &item : world.processes) {
        Process &process = item.second;
        if (process.entry && process.up && world.now >= process.pausedUntil)
            live.push_back(&process);
    }
    return live;
}

void submitWork(World &world, std::size_t number)
{
    const std::vector<Process *> live = liveEntries(world);
    if (live.empty())
        return;
    Process &process = *live[static_cast<std::size_t>(
            between(world, 0, static_cast<std::int64_t>(live.size()) - 1))];
    Work &work = world.works[number];
    entry::SubmitRequest request = work.request;
    if (!work.anonymous && request.submission.empty()) {
        const Milliseconds skew(between(world, -300, 300));
        request.submission = makeSubmissionId(wallOf(world, process) + skew, world.random);
        work.request.submission = request.submission;
    }
    request.waiter = world.nextWaiter++;
    world.waiting[request.waiter] = { number, process.id, process.incarnation,
                                      world.now + request.timeLeft, false };
    carryOut(world, process,
             entry::submit(*process.entry, request, world.now, wallOf(world, process)));
}

void lookUpWork(World &world, std::size_t number, bool cancelling)
{
    const std::vector<Process *> live = liveEntries(world);
    const entry::SubmitRequest &request = world.works[number].request;
    if (live.empty() || request.submission.empty())
        return;
    Process &process = *live[static_cast<std::size_t>(
            between(world, 0, static_cast<std::int64_t>(live.size()) - 1))];
    const entry::WaiterId waiter = world.nextWaiter++;
    const Time deadline = world.now + Milliseconds(2000);
    world.waiting[waiter] = { number, process.id, process.incarnation, deadline, true };
    carryOut(world, process,
             cancelling ? entry::cancel(*process.entry, waiter, request.team, request.submission,
                                        deadline, world.now)
                        : entry::fetch(*process.entry, waiter, request.team, request.submission,
                                       deadline, world.now));
}

// [SECTION] Faults

} // namespace

void crash(World &world, Process &process)
{
    ++world.report.crashes;
    process.up = false;
    process.entry.reset();
    process.agent.reset();
    process.control.reset();
    process.heldBack.clear();
    process.restartAt = world.now + Milliseconds(between(world, 50, 4000));
    for (auto it = world.waiting.begin(); it != world.waiting.end();)
        it = it->second.process == process.id ? world.waiting.erase(it) : std::next(it);
    const auto gone = [&](const RunningTask &task) { return task.process == process.id; };
    world.running.erase(std::remove_if(world.running.begin(), world.running.end(), gone),
                        world.running.end());
    if (process.id == "control")
        world.proposals.clear();
}

namespace {

void breakSomething(World &world)
{
    auto victim = world.processes.begin();
    std::advance(victim, between(world, 0, static_cast<std::int64_t>(world.processes.size()) - 1));
    Process &process = victim->second;
    const std::int64_t kind = between(world, 0, 9);
    if (kind < 3 && process.up)
        crash(world, process);
    else if (kind < 6 && process.up)
        process.pausedUntil = world.now + Milliseconds(between(world, 100, 6000));
    else if (kind < 8) {
        for (auto &other : world.processes) {
            world.cut.insert(cutKey(process.id, other.first));
            if (kind == 6)
                world.cut.insert(cutKey(other.first, process.id));
        }
    } else {
        world.cut.clear();
    }
}

// [SECTION] Run

void endTasks(World &world)
{
    std::vector<RunningTask> ended;
    for (std::size_t i = 0; i < world.running.size();) {
        const Process &process = world.processes.at(world.running[i].process);
        if (world.running[i].endsAt > world.now || world.now < process.pausedUntil) {
            ++i;
            continue;
        }
        ended.push_back(world.running[i]);
        world.running.erase(world.running.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const RunningTask &task : ended) {
        Process &process = world.processes.at(task.process);
        if (!process.agent || process.incarnation != task.incarnation)
            continue;
        const bool fails = std::exchange(world.failNext, false)
                || (world.chaos && chance(world, 0.03));
        carryOut(world, process,
                 agent::endpointDone(*process.agent, task.ref,
                                     fails ? agent::TaskEnd::Failed : agent::TaskEnd::Succeeded,
                                     expectedResult(task.ref.job, task.ref.task), world.now));
    }
}

void commitProposals(World &world)
{
    Process &process = world.processes.at("control");
    if (!process.control || world.now < process.pausedUntil)
        return;
    std::vector<Proposal> proposals;
    proposals.swap(world.proposals);
    for (Proposal &proposal : proposals) {
        if (proposal.at > world.now) {
            world.proposals.push_back(std::move(proposal));
            continue;
        }
        control::applyCommand(world.durable, proposal.command);
        control::committed(*process.control, proposal.command);
    }
}

void deliverDue(World &world, Time until)
{
    while (!world.network.empty() && world.network.top().at <= until) {
        const Delivery delivery = world.network.top();
        world.network.pop();
        world.now = std::max(world.now, delivery.at);
        const auto found = world.processes.find(delivery.to);
        if (found == world.processes.end() || !found->second.up)
            continue;
        Process &process = found->second;
        if (world.now < process.pausedUntil)
            process.heldBack.push_back(delivery);
        else {
            record(world, delivery.from, delivery.to, delivery.message);
            receive(world, process, delivery.message);
        }
        commitProposals(world);
    }
    world.now = until;
}

void tickWorld(World &world)
{
    endTasks(world);
    commitProposals(world);
    for (auto &item : world.processes) {
        Process &process = item.second;
        if (!process.up && world.now >= process.restartAt)
            startProcess(world, process);
        if (!process.up || world.now < process.pausedUntil)
            continue;
        std::vector<Delivery> held;
        held.swap(process.heldBack);
        for (const Delivery &delivery : held) {
            record(world, delivery.from, delivery.to, delivery.message);
            receive(world, process, delivery.message);
        }
        tickProcess(world, process);
    }
}

void addProcess(World &world, const std::string &id, bool isEntry, bool isAgent)
{
    Process &process = world.processes[id];
    process.id = id;
    process.isEntry = isEntry;
    process.isAgent = isAgent;
    process.skew = Milliseconds(between(world, -400, 400));
    startProcess(world, process);
}

} // namespace

void setUp(World &world)
{
    addProcess(world, "control", false, false);
    for (std::uint32_t i = 0; i < EntryCount; ++i)
        addProcess(world, "entry" + std::to_string(i), true, false);
    for (std::uint32_t i = 0; i < AgentCount; ++i)
        addProcess(world, "agent" + std::to_string(i), false, true);
    for (std::size_t i = 0; i < SubmissionCount; ++i)
        world.works.push_back(makeWork(world, i));
}

void advanceWorld(World &world, Time until)
{
    while (world.now < until) {
        deliverDue(world, std::min(until, world.now + TickInterval));
        tickWorld(world);
    }
}

namespace {

void actRandomly(World &world)
{
    const auto number = static_cast<std::size_t>(between(world, 0, SubmissionCount - 1));
    if (chance(world, 0.12))
        submitWork(world, number);
    // A caller that hears nothing often asks at two places at the same moment.
    if (chance(world, 0.04)) {
        submitWork(world, number);
        submitWork(world, number);
    }
    if (chance(world, 0.01))
        lookUpWork(world, number, chance(world, 0.3));
    if (chance(world, 0.06))
        breakSomething(world);
}

void heal(World &world)
{
    world.chaos = false;
    world.cut.clear();
    for (auto &item : world.processes)
        item.second.pausedUntil = std::min(item.second.pausedUntil, world.now);
}

} // namespace

Report runSchedule(std::uint64_t seed)
{
    World world;
    world.random.seed(seed);
    world.now = Time(Milliseconds(1000));
    setUp(world);
    const Time chaosFrom = world.now + Milliseconds(1500);
    const Time healAt = chaosFrom + ChaosSpan;
    // By then clocks have passed the floor of shards that were lost with all their replicas.
    const Time freshAt = healAt + Milliseconds(11000);
    const Time end = healAt + HealSpan;
    bool fresh = false;
    while (world.now < end) {
        deliverDue(world, world.now + TickInterval);
        tickWorld(world);
        if (world.now >= chaosFrom && world.now < healAt)
            actRandomly(world);
        if (world.chaos && world.now >= healAt)
            heal(world);
        if (!fresh && world.now >= freshAt) {
            fresh = true;
            for (std::size_t i = 0; i + 1 < SubmissionCount; ++i)
                submitWork(world, i);
            world.works.push_back(makeWork(world, 0));
            world.works.back().request.timeLeft = Milliseconds(5000);
            submitWork(world, world.works.size() - 1);
        }
    }
    checkWaiting(world);
    checkRecovery(world, world.works.size() - 1);
    for (const auto &item : world.processes) {
        if (!item.second.entry)
            continue;
        world.report.takeovers += item.second.entry->dispatcher.counters.takeovers;
        world.report.joins += item.second.entry->counters.joins;
    }
    return world.report;
}

} // namespace foxwing::schedules
