/*
    Simulation of the schedule tests.

    [SECTION] Network
    [SECTION] Processes
    [SECTION] Callers
    [SECTION] Faults
    [SECTION] Run
*/
#include "simulationstate.h"

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

bool chance(Simulation &simulation, double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(simulation.random) < probability;
}

std::int64_t randomBetween(Simulation &simulation, std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(simulation.random);
}

} // namespace

WallTime wallTimeOf(const Simulation &simulation, const Process &process)
{
    const auto passed = std::chrono::duration_cast<Milliseconds>(simulation.now.time_since_epoch());
    return WallTime(Milliseconds(WallStartMs) + passed + process.clockSkew);
}

namespace {

// [SECTION] Network

std::string linkKey(const std::string &from, const std::string &to)
{
    return from + ">" + to;
}

void deliverLater(Simulation &simulation, const std::string &from, const std::string &to,
                  const Message &message)
{
    Microseconds delay(simulation.scripted ? 500 : randomBetween(simulation, 300, 1500));
    if (simulation.faultsEnabled && chance(simulation, 0.02))
        delay = Milliseconds(randomBetween(simulation, 5, 3000));
    simulation.network.push({ simulation.now + delay, simulation.sequence++, from, to, message });
}

void sendMessage(Simulation &simulation, const std::string &from, const std::string &to,
                 const Message &message)
{
    ++simulation.report.messages;
    const bool lost = simulation.blockedLinks.count(linkKey(from, to)) != 0
            || (simulation.faultsEnabled && from != to && chance(simulation, 0.03));
    if (!lost)
        deliverLater(simulation, from, to, message);
    if (!lost && simulation.faultsEnabled && chance(simulation, 0.03))
        deliverLater(simulation, from, to, message);
    const bool noticed = lost && chance(simulation, 0.5);
    if (!noticed)
        return;
    // The sender notices the loss, as by a closed connection.
    Process &sender = simulation.processes.at(from);
    if (const auto toAgent = node::narrow<agent::ToAgent>(message); toAgent && sender.entry)
        entry::sendFailed(*sender.entry, *toAgent, simulation.now);
}

// [SECTION] Processes

} // namespace

void execute(Simulation &simulation, Process &process, agent::AgentActions &&actions)
{
    for (agent::Outgoing &send : actions.sends)
        sendMessage(simulation, process.id, send.to, node::widen(std::move(send.message)));
    for (const agent::EndpointCall &call : actions.calls) {
        ++simulation.report.starts;
        const std::string key = call.ref.job + "#" + std::to_string(call.ref.task);
        const int count = ++simulation.starts[key];
        const std::string team = call.ref.job.substr(0, call.ref.job.find('/'));
        const bool isRepeatable = call.payload.find("repeatable") != std::string::npos;
        if (count > 1 && !isRepeatable)
            recordViolation(simulation, "started twice: " + key);
        if (simulation.reportedNotRun.count(call.ref.job) != 0)
            recordViolation(simulation, "started after \"not run\" was reported: " + key);
        const Milliseconds duration = simulation.scripted
                ? simulation.taskTime
                : Milliseconds(randomBetween(simulation, 20, 900));
        simulation.running.push_back(
                { simulation.now + duration, process.id, process.incarnation, call.ref });
    }
    for (const agent::EndpointStop &stop : actions.stops) {
        for (RunningTask &running : simulation.running) {
            const bool same = running.process == process.id && running.ref.job == stop.ref.job
                    && running.ref.task == stop.ref.task;
            if (same)
                running.endsAt = std::min(running.endsAt, simulation.now + Milliseconds(1));
        }
    }
}

void execute(Simulation &simulation, Process &process, entry::EntryActions &&actions)
{
    for (entry::Outgoing &send : actions.sends) {
        Message message =
                std::visit([](auto &outgoing) { return node::widen(std::move(outgoing)); },
                           send.message);
        sendMessage(simulation, process.id, send.to, message);
    }
    for (const entry::Reply &reply : actions.replies)
        checkReply(simulation, reply);
}

namespace {

void execute(Simulation &simulation, Process &process, control::ControlActions &&actions)
{
    for (control::Outgoing &send : actions.sends)
        sendMessage(simulation, process.id, send.to, node::widen(std::move(send.message)));
    for (control::Command &command : actions.proposals)
        simulation.proposals.push_back({ simulation.now + CommitDelay, std::move(command) });
}

entry::Registry registry()
{
    entry::Registry result;
    result.services[ServiceName] = entry::Service { ServiceName, 100, 1000, Milliseconds(60000) };
    return result;
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

void startProcess(Simulation &simulation, Process &process)
{
    process.isUp = true;
    process.pausedUntil = {};
    process.incarnation = static_cast<std::uint64_t>(
            wallTimeOf(simulation, process).time_since_epoch().count());
    process.deferred.clear();
    process.nextHeartbeatAt = simulation.now;
    if (process.isEntry)
        startEntry(process);
    else if (process.isAgent)
        startAgent(process);
    else
        process.control = std::make_unique<control::ControlState>(
                control::makeControl({}, simulation.committedState, simulation.now,
                                     wallTimeOf(simulation, process)));
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

void applyUpdate(Simulation &simulation, Process &process, const control::Update &update)
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
        execute(simulation, process, agent::setEntries(*process.agent, entries, simulation.now));
        return;
    }
    claims::renewControlLease(process.entry->claims, *sentAt);
    if (update.hasAgents) {
        process.entry->agents = { {}, update.agentsCompleteSince };
        for (const control::AgentStatus &status : update.agents)
            process.entry->agents.agents.push_back(
                    { status.id, status.service, status.lostAt, status.live });
    }
    if (update.view.number != 0)
        execute(simulation, process, entry::setView(*process.entry, update.view, simulation.now));
}

// Prints every delivered message that contains the text in FOXWING_TRACE.
void trace(const Simulation &simulation, const std::string &to, const Message &message)
{
    static const char *filter = std::getenv("FOXWING_TRACE");
    if (!filter)
        return;
    const std::string text = writeJson(encodeMessage(message));
    if (text.find(filter) != std::string::npos)
        std::printf("%9.3f %s <- %s\n", toMilliseconds(simulation.now.time_since_epoch()),
                    to.c_str(), text.c_str());
}

// Periodic traffic that concerns no single submission.
bool isBackgroundTraffic(const Message &message)
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

void recordDelivery(Simulation &simulation, const std::string &from, const std::string &to,
                    const Message &message)
{
    if (!simulation.scripted || isBackgroundTraffic(message))
        return;
    std::string text = writeJson(encodeMessage(message));
    for (std::size_t i = 0; i < simulation.submissions.size(); ++i) {
        const std::string &id = simulation.submissions[i].request.submission;
        for (std::size_t at = text.find(id); !id.empty() && at != std::string::npos;
             at = text.find(id))
            text.replace(at, id.size(), "SUBMISSION-" + std::to_string(i));
    }
    simulation.transcript.push_back(from + " -> " + to + " " + text);
}

void receive(Simulation &simulation, Process &process, const Message &message)
{
    trace(simulation, process.id, message);
    const WallTime wallTime = wallTimeOf(simulation, process);
    if (process.agent) {
        if (const auto received = node::narrow<agent::ToAgent>(message))
            execute(simulation, process, agent::handle(*process.agent, *received, simulation.now));
    } else if (process.entry) {
        entry::EntryState &state = *process.entry;
        if (const auto received = node::narrow<agent::FromAgent>(message))
            execute(simulation, process, entry::handleAgent(state, *received, simulation.now));
        else if (const auto claim = node::narrow<claims::ClaimMessage>(message))
            execute(simulation, process,
                    entry::handleClaim(state, *claim, simulation.now, wallTime));
        else if (const auto other = node::narrow<entry::EntryMessage>(message))
            execute(simulation, process, entry::handleEntry(state, *other, simulation.now));
    } else if (const auto *heartbeat = std::get_if<control::Heartbeat>(&message)) {
        execute(simulation, process,
                control::handleHeartbeat(*process.control, *heartbeat, simulation.now, wallTime));
    }
    if (const auto *update = std::get_if<control::Update>(&message); update && !process.control)
        applyUpdate(simulation, process, *update);
}

void tickProcess(Simulation &simulation, Process &process)
{
    const WallTime wallTime = wallTimeOf(simulation, process);
    if (process.control)
        return execute(simulation, process,
                       control::tick(*process.control, simulation.now, wallTime));
    if (process.entry)
        execute(simulation, process, entry::tick(*process.entry, simulation.now, wallTime));
    else
        execute(simulation, process, agent::tick(*process.agent, simulation.now));
    const bool requested = process.entry && std::exchange(process.entry->heartbeatRequested, false);
    if (simulation.now < process.nextHeartbeatAt && !requested)
        return;
    control::Heartbeat heartbeat = control::nextHeartbeat(process.reporter, simulation.now);
    const bool shardsMoving = process.entry && !claims::allShardsActive(process.entry->claims);
    if (process.entry)
        heartbeat.readyShards = claims::readyShards(process.entry->claims);
    process.nextHeartbeatAt = simulation.now + (shardsMoving ? TickInterval : HeartbeatInterval);
    sendMessage(simulation, process.id, "control", heartbeat);
}

// [SECTION] Callers

Submission makeSubmission(Simulation &simulation, std::size_t number)
{
    Submission submission;
    entry::SubmitRequest &request = submission.request;
    request.team = "team" + std::to_string(number % 2);
    request.service = ServiceName;
    request.workClass = "class";
    request.timeLeft = Milliseconds(randomBetween(simulation, 500, 12000));
    submission.anonymous = number + 1 == SubmissionCount;
    request.request = submission.anonymous;
    request.repeatable = submission.anonymous && chance(simulation, 0.5);
    const std::int64_t tasks = submission.anonymous ? 1 : randomBetween(simulation, 1, 4);
    for (std::int64_t i = 0; i < tasks; ++i)
        request.payloads.emplace_back(request.repeatable ? "repeatable" : "once");
    request.digest = "digest " + std::to_string(number);
    return submission;
}

std::vector<Process *> runningEntries(Simulation &simulation)
{
    std::vector<Process *> entries;
    for (auto &item : simulation.processes) {
        Process &process = item.second;
        if (process.entry && process.isUp && simulation.now >= process.pausedUntil)
            entries.push_back(&process);
    }
    return entries;
}

void submitAtRandomEntry(Simulation &simulation, std::size_t number)
{
    const std::vector<Process *> entries = runningEntries(simulation);
    if (entries.empty())
        return;
    Process &process = *entries[static_cast<std::size_t>(
            randomBetween(simulation, 0, static_cast<std::int64_t>(entries.size()) - 1))];
    Submission &submission = simulation.submissions[number];
    entry::SubmitRequest request = submission.request;
    if (!submission.anonymous && request.submission.empty()) {
        const Milliseconds clockSkew(randomBetween(simulation, -300, 300));
        request.submission = makeSubmissionId(wallTimeOf(simulation, process) + clockSkew,
                                              simulation.random);
        submission.request.submission = request.submission;
    }
    request.waiter = simulation.nextWaiter++;
    simulation.pendingReplies[request.waiter] = { number, process.id, process.incarnation,
                                                  simulation.now + request.timeLeft, false };
    execute(simulation, process,
            entry::submit(*process.entry, request, simulation.now,
                          wallTimeOf(simulation, process)));
}

void fetchOrCancelAtRandomEntry(Simulation &simulation, std::size_t number, bool cancelling)
{
    const std::vector<Process *> entries = runningEntries(simulation);
    const entry::SubmitRequest &request = simulation.submissions[number].request;
    if (entries.empty() || request.submission.empty())
        return;
    Process &process = *entries[static_cast<std::size_t>(
            randomBetween(simulation, 0, static_cast<std::int64_t>(entries.size()) - 1))];
    const entry::WaiterId waiter = simulation.nextWaiter++;
    const Time deadline = simulation.now + Milliseconds(2000);
    simulation.pendingReplies[waiter] = { number, process.id, process.incarnation, deadline, true };
    execute(simulation, process,
            cancelling ? entry::cancel(*process.entry, waiter, request.team, request.submission,
                                       deadline, simulation.now)
                       : entry::fetch(*process.entry, waiter, request.team, request.submission,
                                      deadline, simulation.now));
}

// [SECTION] Faults

} // namespace

void crash(Simulation &simulation, Process &process)
{
    ++simulation.report.crashes;
    process.isUp = false;
    process.entry.reset();
    process.agent.reset();
    process.control.reset();
    process.deferred.clear();
    process.restartAt = simulation.now + Milliseconds(randomBetween(simulation, 50, 4000));
    for (auto it = simulation.pendingReplies.begin(); it != simulation.pendingReplies.end();)
        it = it->second.process == process.id ? simulation.pendingReplies.erase(it) : std::next(it);
    const auto onProcess = [&](const RunningTask &task) { return task.process == process.id; };
    simulation.running.erase(std::remove_if(simulation.running.begin(), simulation.running.end(),
                                            onProcess),
                             simulation.running.end());
    if (process.id == "control")
        simulation.proposals.clear();
}

namespace {

void injectFault(Simulation &simulation)
{
    auto target = simulation.processes.begin();
    std::advance(target,
                 randomBetween(simulation, 0,
                               static_cast<std::int64_t>(simulation.processes.size()) - 1));
    Process &process = target->second;
    const std::int64_t fault = randomBetween(simulation, 0, 9);
    if (fault < 3 && process.isUp)
        crash(simulation, process);
    else if (fault < 6 && process.isUp)
        process.pausedUntil = simulation.now + Milliseconds(randomBetween(simulation, 100, 6000));
    else if (fault < 8) {
        for (auto &other : simulation.processes) {
            simulation.blockedLinks.insert(linkKey(process.id, other.first));
            if (fault == 6)
                simulation.blockedLinks.insert(linkKey(other.first, process.id));
        }
    } else {
        simulation.blockedLinks.clear();
    }
}

// [SECTION] Run

void endTasks(Simulation &simulation)
{
    std::vector<RunningTask> ended;
    for (std::size_t i = 0; i < simulation.running.size();) {
        const Process &process = simulation.processes.at(simulation.running[i].process);
        if (simulation.running[i].endsAt > simulation.now || simulation.now < process.pausedUntil) {
            ++i;
            continue;
        }
        ended.push_back(simulation.running[i]);
        simulation.running.erase(simulation.running.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const RunningTask &task : ended) {
        Process &process = simulation.processes.at(task.process);
        if (!process.agent || process.incarnation != task.incarnation)
            continue;
        const bool fails = std::exchange(simulation.failNext, false)
                || (simulation.faultsEnabled && chance(simulation, 0.03));
        execute(simulation, process,
                agent::endpointDone(*process.agent, task.ref,
                                    fails ? agent::TaskEnd::Failed : agent::TaskEnd::Succeeded,
                                    expectedResult(task.ref.job, task.ref.task), simulation.now));
    }
}

void commitProposals(Simulation &simulation)
{
    Process &process = simulation.processes.at("control");
    if (!process.control || simulation.now < process.pausedUntil)
        return;
    std::vector<Proposal> proposals;
    proposals.swap(simulation.proposals);
    for (Proposal &proposal : proposals) {
        if (proposal.at > simulation.now) {
            simulation.proposals.push_back(std::move(proposal));
            continue;
        }
        control::applyCommand(simulation.committedState, proposal.command);
        control::committed(*process.control, proposal.command);
    }
}

void deliverDue(Simulation &simulation, Time until)
{
    while (!simulation.network.empty() && simulation.network.top().at <= until) {
        const Delivery delivery = simulation.network.top();
        simulation.network.pop();
        simulation.now = std::max(simulation.now, delivery.at);
        const auto found = simulation.processes.find(delivery.to);
        if (found == simulation.processes.end() || !found->second.isUp)
            continue;
        Process &process = found->second;
        if (simulation.now < process.pausedUntil)
            process.deferred.push_back(delivery);
        else {
            recordDelivery(simulation, delivery.from, delivery.to, delivery.message);
            receive(simulation, process, delivery.message);
        }
        commitProposals(simulation);
    }
    simulation.now = until;
}

void tickAll(Simulation &simulation)
{
    endTasks(simulation);
    commitProposals(simulation);
    for (auto &item : simulation.processes) {
        Process &process = item.second;
        if (!process.isUp && simulation.now >= process.restartAt)
            startProcess(simulation, process);
        if (!process.isUp || simulation.now < process.pausedUntil)
            continue;
        std::vector<Delivery> deliveries;
        deliveries.swap(process.deferred);
        for (const Delivery &delivery : deliveries) {
            recordDelivery(simulation, delivery.from, delivery.to, delivery.message);
            receive(simulation, process, delivery.message);
        }
        tickProcess(simulation, process);
    }
}

void addProcess(Simulation &simulation, const std::string &id, bool isEntry, bool isAgent)
{
    Process &process = simulation.processes[id];
    process.id = id;
    process.isEntry = isEntry;
    process.isAgent = isAgent;
    process.clockSkew = Milliseconds(randomBetween(simulation, -400, 400));
    startProcess(simulation, process);
}

} // namespace

void setUp(Simulation &simulation)
{
    addProcess(simulation, "control", false, false);
    for (std::uint32_t i = 0; i < EntryCount; ++i)
        addProcess(simulation, "entry" + std::to_string(i), true, false);
    for (std::uint32_t i = 0; i < AgentCount; ++i)
        addProcess(simulation, "agent" + std::to_string(i), false, true);
    for (std::size_t i = 0; i < SubmissionCount; ++i)
        simulation.submissions.push_back(makeSubmission(simulation, i));
}

void advanceTo(Simulation &simulation, Time until)
{
    while (simulation.now < until) {
        deliverDue(simulation, std::min(until, simulation.now + TickInterval));
        tickAll(simulation);
    }
}

namespace {

void runRandomActions(Simulation &simulation)
{
    const auto number = static_cast<std::size_t>(randomBetween(simulation, 0, SubmissionCount - 1));
    if (chance(simulation, 0.12))
        submitAtRandomEntry(simulation, number);
    // A caller without a reply often resubmits at two entries at once.
    if (chance(simulation, 0.04)) {
        submitAtRandomEntry(simulation, number);
        submitAtRandomEntry(simulation, number);
    }
    if (chance(simulation, 0.01))
        fetchOrCancelAtRandomEntry(simulation, number, chance(simulation, 0.3));
    if (chance(simulation, 0.06))
        injectFault(simulation);
}

void endFaults(Simulation &simulation)
{
    simulation.faultsEnabled = false;
    simulation.blockedLinks.clear();
    for (auto &item : simulation.processes)
        item.second.pausedUntil = std::min(item.second.pausedUntil, simulation.now);
}

} // namespace

Report runSchedule(std::uint64_t seed)
{
    Simulation simulation;
    simulation.random.seed(seed);
    simulation.now = Time(Milliseconds(1000));
    setUp(simulation);
    const Time faultsStartAt = simulation.now + Milliseconds(1500);
    const Time faultsEndAt = faultsStartAt + FaultDuration;
    // By then the clocks have passed the loss cutoff of shards that lost all replicas.
    const Time finalSubmitAt = faultsEndAt + Milliseconds(11000);
    const Time end = faultsEndAt + RecoveryDuration;
    bool finalSubmitted = false;
    while (simulation.now < end) {
        deliverDue(simulation, simulation.now + TickInterval);
        tickAll(simulation);
        if (simulation.now >= faultsStartAt && simulation.now < faultsEndAt)
            runRandomActions(simulation);
        if (simulation.faultsEnabled && simulation.now >= faultsEndAt)
            endFaults(simulation);
        if (!finalSubmitted && simulation.now >= finalSubmitAt) {
            finalSubmitted = true;
            for (std::size_t i = 0; i + 1 < SubmissionCount; ++i)
                submitAtRandomEntry(simulation, i);
            simulation.submissions.push_back(makeSubmission(simulation, 0));
            simulation.submissions.back().request.timeLeft = Milliseconds(5000);
            submitAtRandomEntry(simulation, simulation.submissions.size() - 1);
        }
    }
    checkPendingReplies(simulation);
    checkRecovery(simulation, simulation.submissions.size() - 1);
    for (const auto &item : simulation.processes) {
        if (!item.second.entry)
            continue;
        simulation.report.takeovers += item.second.entry->dispatcher.counters.takeovers;
        simulation.report.joins += item.second.entry->counters.joins;
    }
    return simulation.report;
}

} // namespace foxwing::schedules
