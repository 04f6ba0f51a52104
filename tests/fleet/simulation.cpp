/*
    The simulated fleet: callers, entries and agents.

    [SECTION] Simulation
    [SECTION] Events
    [SECTION] Callers
    [SECTION] Entries
    [SECTION] Agents
*/
#include <algorithm>

#include "simulationparts.h"

namespace foxwing::test {

// [SECTION] Simulation

Simulation::Simulation(const SimulationSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    m_end = m_now + settings.duration;
    for (int i = 0; i < settings.entries; ++i) {
        m_entries.push_back(std::make_unique<Entry>());
        m_entries.back()->sessions.resize(static_cast<std::size_t>(settings.agents));
    }
    std::uniform_int_distribution<int> offset(0, 100000);
    for (int i = 0; i < settings.agents; ++i) {
        m_agents.push_back(std::make_unique<Agent>());
        const double rate = i % 2 == 0 ? 1.0 : 0.98;
        m_agents.back()->endpoint =
                std::make_unique<FakeEndpoint>("life-" + std::to_string(++m_lastIncarnation), rate,
                                               Milliseconds(offset(m_random)));
        m_agents.back()->endpoint->reportsStartTime = !settings.startTimesNotReported;
        m_agents.back()->endpoint->checksFence = !settings.fencesIgnored;
    }
}

Simulation::~Simulation() = default;

// [SECTION] Events

void Simulation::at(Time when, std::function<void()> callback)
{
    m_events.push({ when, ++m_lastSequence, std::move(callback) });
}

Time Simulation::clockOf(const Process &process) const
{
    return m_now - process.suspendedTime;
}

// Delays all events of the process until its host resumes.
void Simulation::suspend(Process &process, Milliseconds duration)
{
    process.suspendedUntil = m_now + duration;
    if (m_settings.clocksStopWhenSuspended)
        process.suspendedTime += duration;
}

void Simulation::on(Process &process, Milliseconds delay, std::function<void()> callback)
{
    const std::uint64_t incarnation = process.incarnation;
    at(m_now + delay, [this, &process, incarnation, callback = std::move(callback)]() mutable {
        if (!process.isUp || process.incarnation != incarnation)
            return;
        if (m_now < process.suspendedUntil)
            return at(process.suspendedUntil,
                      [this, &process, incarnation, callback = std::move(callback)] {
                          if (process.isUp && process.incarnation == incarnation)
                              on(process, Milliseconds(0), callback);
                      });
        callback();
    });
}

SimulationReport Simulation::run()
{
    for (int i = 0; i < m_settings.entries; ++i)
        restartEntry(i, Milliseconds(0));
    for (int i = 0; i < m_settings.agents; ++i)
        restartAgent(i, Milliseconds(0));
    at(m_now + Milliseconds(2000), [this] { submitJobs(); });
    scheduleFaults();
    while (!m_events.empty() && m_now < m_end + DrainDuration) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.when);
        event.callback();
        checkInvariants();
    }
    return m_report;
}

// [SECTION] Callers

void Simulation::submitJobs()
{
    if (m_now >= m_end)
        return;
    std::uniform_int_distribution<int> tasks(1, 8);
    std::uniform_int_distribution<int> taskTime(40, m_settings.maxTaskTime);
    std::uniform_int_distribution<int> cores(1000, 2200);
    jobs::JobSpec spec;
    spec.id = makeName("job", static_cast<int>(++m_lastJob));
    spec.traits.durable = false;
    jobs::StepSpec step;
    step.tasks = static_cast<std::uint32_t>(tasks(m_random));
    step.estimate = Milliseconds(taskTime(m_random));
    step.demand = { cores(m_random), 64, 0 };
    spec.steps = { step };
    m_specs[spec.id] = spec;
    ++m_report.submitted;
    submit(spec, m_now);
    at(m_now + m_settings.jobInterval, [this] { submitJobs(); });
}

void Simulation::submit(const jobs::JobSpec &spec, Time firstSent)
{
    std::uniform_int_distribution<int> any(0, m_settings.entries - 1);
    const int chosen = any(m_random);
    const std::uint64_t call = ++m_lastCall;
    Entry &entry = *m_entries[static_cast<std::size_t>(chosen)];
    if (!entry.isUp)
        return at(m_now + ResendAfter, [this, spec, firstSent] {
            if (m_now < firstSent + Milliseconds(4000))
                submit(spec, firstSent);
        });
    m_calls[call] = { spec, chosen, m_now > firstSent };
    ++m_callers[spec.id];
    on(entry, callDelay(call, chosen),
       [this, call, chosen, spec] { receiveCall(chosen, call, spec); });
}

// Network delay of the call. The caller of a delayed call times out before it arrives; the call and
// the close of the connection then arrive together.
Milliseconds Simulation::callDelay(std::uint64_t call, int entry)
{
    if (m_now >= m_callsDelayedUntil)
        return LinkDelay;
    at(m_now + CallerTimeout, [this, call, entry] {
        m_entries[static_cast<std::size_t>(entry)]->unreadCloses.insert(call);
        closeAndResend(call);
    });
    std::uniform_int_distribution<std::int64_t> delay(CallerTimeout.count() + 1,
                                                      MaxCallDelay.count());
    return Milliseconds(delay(m_random));
}

void Simulation::receiveCall(int number, std::uint64_t call, const jobs::JobSpec &spec)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    const bool disconnected = entry.unreadCloses.count(call) != 0;
    if (disconnected && !m_settings.callersNotProbed)
        return;
    probeCallers(number);
    scheduler::JobOptions options;
    // Derived from the job's number, so that a resent job keeps its priority
    options.priority = static_cast<std::uint32_t>(std::stoul(spec.id.substr(spec.id.find('-') + 1)))
            % m_settings.priorities;
    options.queue = "queue-" + std::to_string(options.priority);
    options.service = "service";
    options.maxAttempts = 3;
    options.stretch = 1.6;
    options.targetLatency = Milliseconds(60);
    options.startDeadline = clockOf(entry) + Milliseconds(1500);
    std::uint64_t job = 0;
    const auto actions = scheduler::submit(entry.state, spec, options, clockOf(entry), &job);
    entry.calls[job] = call;
    if (disconnected)
        handleClosedLater(number, job, call);
    execute(number, actions);
}

void Simulation::closeAndResend(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const jobs::JobSpec spec = found->second.spec;
    closeCall(call);
    at(m_now + ResendAfter, [this, spec, sent = m_now] { submit(spec, sent); });
}

void Simulation::closeCall(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const std::string &job = found->second.spec.id;
    if (--m_callers[job] == 0)
        m_unwantedSince[job] = m_now;
    m_calls.erase(found);
}

void Simulation::handleAnswer(int number, const scheduler::JobAnswer &answer)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    const auto call = entry.calls.find(answer.number);
    if (call == entry.calls.end())
        return;
    const auto found = m_calls.find(call->second);
    const std::string id = found == m_calls.end() ? "" : found->second.spec.id;
    switch (answer.outcome) {
    case scheduler::JobOutcome::Completed:
        ++m_report.completed;
        break;
    case scheduler::JobOutcome::Failed:
        ++m_report.failed;
        break;
    case scheduler::JobOutcome::NotRun:
        ++m_report.notRun;
        if (m_startedJobs.count(id) != 0 && !found->second.resent)
            ++m_report.falseNotRun;
        break;
    case scheduler::JobOutcome::TimedOut:
        ++m_report.timedOut;
        m_report.othersTimedOut += id.empty() || isCrashing(id) ? 0 : 1;
        // A job that crashes endpoints is resent after this answer, as if it had not been answered.
        if (!id.empty() && isCrashing(id) && m_now < m_end)
            at(m_now + ResendAfter,
               [this, spec = m_specs.at(id), sent = m_now] { submit(spec, sent); });
        break;
    }
    closeCall(call->second);
    entry.calls.erase(call);
}

// [SECTION] Entries

void Simulation::restartEntry(int number, Milliseconds after)
{
    at(m_now + after, [this, number] {
        Entry &entry = *m_entries[static_cast<std::size_t>(number)];
        entry.isUp = true;
        ++entry.incarnation;
        entry.lastTickAt = clockOf(entry);
        scheduler::SchedulerSettings settings = m_settings.scheduler;
        settings.seed = m_random();
        entry.state = scheduler::makeScheduler(settings);
        entry.state.entryCount = static_cast<std::uint32_t>(m_settings.entries);
        entry.calls.clear();
        entry.unreadCloses.clear();
        entry.probes = {};
        entry.knowsCordons = false;
        sendCordonsToEntry(number);
        for (Session &session : entry.sessions)
            session.open = false;
        tickEntry(number);
    });
}

void Simulation::tickEntry(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    // As the daemon does after a pause (checkPause() in entryrole.cpp)
    if (clockOf(entry) - entry.lastTickAt >= Milliseconds(400)) {
        execute(number, scheduler::closeAllJobs(entry.state, "entry was paused", clockOf(entry)));
        for (int agent = 0; agent < m_settings.agents; ++agent)
            disconnect(number, agent);
    }
    entry.lastTickAt = clockOf(entry);
    for (int agent = 0; agent < m_settings.agents; ++agent)
        connect(number, agent);
    probeCallers(number);
    execute(number, scheduler::tick(entry.state, clockOf(entry)));
    on(entry, TickInterval, [this, number] { tickEntry(number); });
}

bool Simulation::isReachable(int entry, int agent) const
{
    const Agent &to = *m_agents[static_cast<std::size_t>(agent)];
    return m_entries[static_cast<std::size_t>(entry)]->isUp && to.isUp
            && m_now >= to.partitionedUntil;
}

void Simulation::connect(int number, int agentNumber)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    Agent &agent = *m_agents[static_cast<std::size_t>(agentNumber)];
    Session &session = entry.sessions[static_cast<std::size_t>(agentNumber)];
    if (session.open || m_now < session.reopenAt || !isReachable(number, agentNumber))
        return;
    session.open = true;
    session.number = ++m_lastSession;
    execute(number,
            scheduler::agentConnected(entry.state, makeName("agent", agentNumber), clockOf(entry)));
    std::optional<catalog::Cordons> known;
    if (entry.knowsCordons)
        known = entry.state.cordons;
    on(agent, LinkDelay, [this, agentNumber, number, known, id = session.number] {
        Agent &opened = *m_agents[static_cast<std::size_t>(agentNumber)];
        if (known)
            execute(agentNumber,
                    runner::handleCordons(opened.state, *known, runner::CordonSource::Entry,
                                          clockOf(opened)));
        execute(agentNumber,
                runner::openSession(opened.state, id, makeName("entry", number), clockOf(opened)));
    });
}

void Simulation::disconnect(int number, int agentNumber)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    Session &session = entry.sessions[static_cast<std::size_t>(agentNumber)];
    if (!session.open)
        return;
    session.open = false;
    if (entry.isUp)
        on(entry, Milliseconds(0), [this, number, agentNumber] {
            Entry &target = *m_entries[static_cast<std::size_t>(number)];
            scheduler::recordSessionLost(target.probes, clockOf(target));
            execute(number,
                    scheduler::agentLost(target.state, makeName("agent", agentNumber),
                                         clockOf(target)));
        });
    // A partitioned agent does not notice it.
    if (isReachable(number, agentNumber))
        on(*m_agents[static_cast<std::size_t>(agentNumber)], LinkDelay,
           [this, agentNumber, id = session.number] {
               Agent &target = *m_agents[static_cast<std::size_t>(agentNumber)];
               execute(agentNumber, runner::closeSession(target.state, id, clockOf(target)));
           });
}

// Repeats every three ticks; the next tick of the entry reconnects.
void Simulation::releaseSessions(int number, int rounds)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    if (rounds == 0)
        return;
    for (int agent = 0; agent < m_settings.agents; ++agent) {
        Session &session = entry.sessions[static_cast<std::size_t>(agent)];
        if (!session.open || !scheduler::releaseAgent(entry.state, makeName("agent", agent)))
            continue;
        session.open = false;
        if (isReachable(number, agent))
            on(*m_agents[static_cast<std::size_t>(agent)], LinkDelay,
               [this, agent, id = session.number] {
                   Agent &target = *m_agents[static_cast<std::size_t>(agent)];
                   execute(agent, runner::closeSession(target.state, id, clockOf(target)));
               });
    }
    on(entry, TickInterval * 3, [this, number, rounds] { releaseSessions(number, rounds - 1); });
}

void Simulation::sendToAgent(int number, const scheduler::AgentSend &send)
{
    const int agentNumber = std::stoi(send.agent.substr(send.agent.find('-') + 1));
    const Session session = m_entries[static_cast<std::size_t>(number)]
                                    ->sessions[static_cast<std::size_t>(agentNumber)];
    if (!session.open || !isReachable(number, agentNumber))
        return;
    on(*m_agents[static_cast<std::size_t>(agentNumber)], LinkDelay,
       [this, agentNumber, id = session.number, message = send.message] {
           Agent &target = *m_agents[static_cast<std::size_t>(agentNumber)];
           runner::RunnerState &state = target.state;
           const Time now = clockOf(target);
           if (const auto *start = std::get_if<jobs::StartTasks>(&message))
               execute(agentNumber, runner::startTasks(state, id, *start, now));
           else if (const auto *stop = std::get_if<jobs::StopRuns>(&message))
               execute(agentNumber, runner::stopRuns(state, id, *stop, now));
           else
               execute(agentNumber,
                       runner::handleSessionHeartbeat(state, id,
                                                      std::get<jobs::SessionHeartbeat>(message),
                                                      now));
       });
}

void Simulation::execute(int number, const scheduler::SchedulerActions &actions)
{
    for (const scheduler::AgentSend &send : actions.sends)
        sendToAgent(number, send);
    for (const scheduler::JobAnswer &answer : actions.answers)
        handleAnswer(number, answer);
    for (const std::string &name : actions.closes)
        disconnect(number, std::stoi(name.substr(name.find('-') + 1)));
}

// [SECTION] Agents

void Simulation::restartAgent(int number, Milliseconds after)
{
    at(m_now + after, [this, number] {
        Agent &agent = *m_agents[static_cast<std::size_t>(number)];
        agent.isUp = true;
        ++agent.incarnation;
        // Agents store no fence; a new incarnation starts with a higher one, which the endpoint may
        // correct.
        m_lastFence += m_settings.fenceIncreases ? 1000 : 0;
        agent.state = runner::makeRunner(m_settings.runner, agent.incarnation, m_lastFence);
        agent.leavingAcknowledgedAt.reset();
        sendCordonsToAgent(number);
        startHeartbeats(number);
        tickAgent(number);
    });
}

void Simulation::tickAgent(int number)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    execute(number, runner::tick(agent.state, clockOf(agent)));
    on(agent, TickInterval, [this, number] { tickAgent(number); });
}

void Simulation::startHeartbeats(int number)
{
    sendHeartbeat(number);
    on(*m_agents[static_cast<std::size_t>(number)], HeartbeatInterval,
       [this, number] { startHeartbeats(number); });
}

// One heartbeat of the endpoint, acknowledged by the agent
void Simulation::sendHeartbeat(int number)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    FakeEndpoint &endpoint = *agent.endpoint;
    if (agent.unreachable)
        return;
    runner::EndpointReport report;
    report.endpointIncarnation.id = endpoint.endpointIncarnation;
    if (endpoint.reportsStartTime)
        report.endpointIncarnation.startedAt = endpoint.startedAt;
    report.service = "service";
    report.dataCentre = m_settings.agentsIgnoreCordons ? "" : dataCentreOf(number);
    report.capacity = Capacity;
    report.sequence = ++endpoint.heartbeats;
    report.clock = endpoint.clock(m_now);
    report.leaving = endpoint.leaving;
    execute(number, runner::handleHeartbeat(agent.state, report, clockOf(agent)));
    if (endpoint.leaving && !agent.leavingAcknowledgedAt)
        agent.leavingAcknowledgedAt = m_now;
}

// Sends a command to the endpoint. It may be executed late and unanswered; handle is called once.
template<class Command, class Do, class Handler>
void Simulation::sendCommand(int number, const Command &command, Milliseconds wait, Do run,
                             Handler handle)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> lateBy(2000, 12000);
    const bool late = m_now < agent.lateUntil && percent(m_random) < 40;
    const bool lost = late || agent.unreachable;
    const Time doneAt = m_now + (late ? Milliseconds(lateBy(m_random)) : CommandDelay + wait);
    if (!agent.unreachable)
        at(doneAt, [this, number, command, run, handle, lost] {
            Agent &target = *m_agents[static_cast<std::size_t>(number)];
            if (target.unreachable && !lost)
                on(target, CommandTimeout, [handle] { handle({}); });
            if (target.unreachable)
                return;
            const auto result = run(*target.endpoint, command);
            if (!lost)
                on(target, CommandDelay, [handle, result] { handle(result); });
        });
    if (lost)
        on(agent, wait + CommandTimeout, [handle] { handle({}); });
}

void Simulation::execute(int number, const runner::RunnerActions &actions)
{
    for (const runner::StopCommand &stop : actions.stops)
        sendCommand(
                number, stop, Milliseconds(0),
                [this](FakeEndpoint &endpoint, const runner::StopCommand &command) {
                    return endpoint.stop(command, m_now);
                },
                [this, number, id = stop.id](const runner::CommandResult &result) {
                    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
                    execute(number,
                            runner::handleStopResult(agent.state, id, result, clockOf(agent)));
                });
    for (const runner::StartCommand &start : actions.starts)
        sendCommand(
                number, start, Milliseconds(0),
                [this, number](FakeEndpoint &endpoint, const runner::StartCommand &command) {
                    const Milliseconds work = m_specs.at(command.id.task.job).steps[0].estimate;
                    const bool alreadyRuns = endpoint.runs().count(command.id) != 0;
                    const auto result = endpoint.start(command, m_now, work);
                    if (result.status == runner::CommandStatus::Ok && !alreadyRuns)
                        recordCrashingStart(number, command.id);
                    if (result.status == runner::CommandStatus::Ok)
                        m_startedJobs.insert(command.id.task.job);
                    if (result.status == runner::CommandStatus::Ok)
                        recordStart(number);
                    return result;
                },
                [this, number, id = start.id](const runner::CommandResult &result) {
                    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
                    execute(number,
                            runner::handleStartResult(agent.state, id, result, clockOf(agent)));
                });
    if (actions.poll) {
        const runner::PollCommand &poll = *actions.poll;
        sendCommand(
                number, poll, std::min(poll.wait, Milliseconds(30)),
                [this](FakeEndpoint &endpoint, const runner::PollCommand &command) {
                    return endpoint.poll(command, m_now);
                },
                [this, number, id = poll.number](const runner::PollResult &result) {
                    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
                    execute(number,
                            runner::handlePollResult(agent.state, id, result, clockOf(agent)));
                });
    }
    const auto deliver = [&](std::uint64_t session, auto message, auto handle) {
        for (int i = 0; i < m_settings.entries; ++i) {
            Entry &entry = *m_entries[static_cast<std::size_t>(i)];
            const Session &known = entry.sessions[static_cast<std::size_t>(number)];
            if (!known.open || known.number != session || !isReachable(i, number))
                continue;
            on(entry, LinkDelay, [this, i, number, session, message, handle] {
                Entry &to = *m_entries[static_cast<std::size_t>(i)];
                const Session &now = to.sessions[static_cast<std::size_t>(number)];
                if (!now.open || now.number != session)
                    return;
                probeCallers(i);
                execute(i, handle(to.state, makeName("agent", number), message, clockOf(to)));
            });
        }
    };
    const auto asReported = [this](auto message) {
        if (m_settings.crashesNotReported)
            message.crashed.clear();
        return message;
    };
    for (const auto &[session, message] : actions.acceptances)
        deliver(session, asReported(message), scheduler::agentAccepted);
    for (const auto &[session, message] : actions.updates)
        deliver(session, asReported(message), scheduler::agentUpdated);
    for (const std::uint64_t session : actions.closes) {
        for (int i = 0; i < m_settings.entries; ++i) {
            const Session &known = m_entries[static_cast<std::size_t>(i)]
                                           ->sessions[static_cast<std::size_t>(number)];
            if (known.number == session)
                disconnect(i, number);
        }
    }
}

} // namespace foxwing::test
