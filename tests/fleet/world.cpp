/*
    The fleet in virtual time: its callers, entries and agents.

    [SECTION] World
    [SECTION] Events
    [SECTION] Callers
    [SECTION] Entries
    [SECTION] Agents
*/
#include <algorithm>

#include "worldparts.h"

namespace foxwing::test {

// [SECTION] World

World::World(const WorldSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
    m_end = m_now + settings.length;
    for (int i = 0; i < settings.entries; ++i) {
        m_entries.push_back(std::make_unique<Entry>());
        m_entries.back()->sessions.resize(static_cast<std::size_t>(settings.agents));
    }
    std::uniform_int_distribution<int> offset(0, 100000);
    for (int i = 0; i < settings.agents; ++i) {
        m_agents.push_back(std::make_unique<Agent>());
        const double rate = i % 2 == 0 ? 1.0 : 0.98;
        m_agents.back()->endpoint =
                std::make_unique<FakeEndpoint>("life-" + std::to_string(++m_lastLife), rate,
                                               Milliseconds(offset(m_random)));
        m_agents.back()->endpoint->tellsBorn = !settings.livesHaveNoDate;
        m_agents.back()->endpoint->keepsFence = !settings.fencesIgnored;
    }
}

World::~World() = default;

// [SECTION] Events

void World::at(Time when, std::function<void()> job)
{
    m_events.push({ when, ++m_order, std::move(job) });
}

Time World::clockOf(const Process &process) const
{
    return m_now - process.slept;
}

// What a process does for a while is put off until its host goes on.
void World::suspend(Process &process, Milliseconds span)
{
    process.frozenUntil = m_now + span;
    if (m_settings.clocksStopAsleep)
        process.slept += span;
}

void World::on(Process &process, Milliseconds delay, std::function<void()> job)
{
    const std::uint64_t endpointIncarnation = process.endpointIncarnation;
    at(m_now + delay, [this, &process, endpointIncarnation, job = std::move(job)]() mutable {
        if (!process.up || process.endpointIncarnation != endpointIncarnation)
            return;
        if (m_now < process.frozenUntil)
            return at(process.frozenUntil,
                      [this, &process, endpointIncarnation, job = std::move(job)] {
                          if (process.up && process.endpointIncarnation == endpointIncarnation)
                              on(process, Milliseconds(0), job);
                      });
        job();
    });
}

WorldOutcome World::play()
{
    for (int i = 0; i < m_settings.entries; ++i)
        restartEntry(i, Milliseconds(0));
    for (int i = 0; i < m_settings.agents; ++i)
        restartAgent(i, Milliseconds(0));
    at(m_now + Milliseconds(2000), [this] { submitJobs(); });
    drawFaults();
    while (!m_events.empty() && m_now < m_end + Tail) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.when);
        event.job();
        check();
    }
    return m_outcome;
}

// [SECTION] Callers

void World::submitJobs()
{
    if (m_now >= m_end)
        return;
    std::uniform_int_distribution<int> tasks(1, 8);
    std::uniform_int_distribution<int> span(40, m_settings.longestTask);
    std::uniform_int_distribution<int> cores(1000, 2200);
    jobs::JobSpec spec;
    spec.id = nameOf("job", static_cast<int>(++m_lastJob));
    spec.traits.durable = false;
    jobs::StepSpec step;
    step.tasks = static_cast<std::uint32_t>(tasks(m_random));
    step.estimate = Milliseconds(span(m_random));
    step.demand = { cores(m_random), 64, 0 };
    spec.steps = { step };
    m_specs[spec.id] = spec;
    ++m_outcome.submitted;
    submit(spec, m_now);
    at(m_now + m_settings.betweenJobs, [this] { submitJobs(); });
}

void World::submit(const jobs::JobSpec &spec, Time firstSent)
{
    std::uniform_int_distribution<int> any(0, m_settings.entries - 1);
    const int chosen = any(m_random);
    const std::uint64_t call = ++m_lastCall;
    Entry &entry = *m_entries[static_cast<std::size_t>(chosen)];
    if (!entry.up)
        return at(m_now + ResendAfter, [this, spec, firstSent] {
            if (m_now < firstSent + Milliseconds(4000))
                submit(spec, firstSent);
        });
    m_calls[call] = { spec, chosen, m_now > firstSent };
    ++m_callers[spec.id];
    on(entry, wayOfCall(call, chosen), [this, call, chosen, spec] { takeIn(chosen, call, spec); });
}

// How long the call is on its way. One that is held up is given up by its caller before it comes,
// and the end of its connection comes with it.
Milliseconds World::wayOfCall(std::uint64_t call, int entry)
{
    if (m_now >= m_callsHeldUntil)
        return LinkDelay;
    at(m_now + HeldCallGivenUp, [this, call, entry] {
        m_entries[static_cast<std::size_t>(entry)]->endsUnread.insert(call);
        callerLost(call);
    });
    std::uniform_int_distribution<std::int64_t> way(HeldCallGivenUp.count() + 1,
                                                    LongestHeldCall.count());
    return Milliseconds(way(m_random));
}

void World::takeIn(int number, std::uint64_t call, const jobs::JobSpec &spec)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    const bool gone = entry.endsUnread.count(call) != 0;
    if (gone && !m_settings.callersNotSeen)
        return;
    seeCallers(number);
    scheduler::JobOptions options;
    // By the job's number, so that it stays the same when it is sent again
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
    if (gone)
        readEndLater(number, job, call);
    carryOut(number, actions);
}

void World::callerLost(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const jobs::JobSpec spec = found->second.spec;
    closeCall(call);
    at(m_now + ResendAfter, [this, spec, sent = m_now] { submit(spec, sent); });
}

void World::closeCall(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const std::string &job = found->second.spec.id;
    if (--m_callers[job] == 0)
        m_unwantedSince[job] = m_now;
    m_calls.erase(found);
}

void World::answered(int number, const scheduler::JobAnswer &answer)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    const auto call = entry.calls.find(answer.number);
    if (call == entry.calls.end())
        return;
    const auto found = m_calls.find(call->second);
    const std::string id = found == m_calls.end() ? "" : found->second.spec.id;
    switch (answer.outcome) {
    case scheduler::JobOutcome::Completed:
        ++m_outcome.completed;
        break;
    case scheduler::JobOutcome::Failed:
        ++m_outcome.failed;
        break;
    case scheduler::JobOutcome::NotRun:
        ++m_outcome.notRun;
        if (m_began.count(id) != 0 && !found->second.resent)
            ++m_outcome.falseNotRun;
        break;
    case scheduler::JobOutcome::TimedOut:
        ++m_outcome.timedOut;
        m_outcome.othersTimedOut += id.empty() || isCrashing(id) ? 0 : 1;
        // After such an answer the job is sent again, as after none.
        if (!id.empty() && isCrashing(id) && m_now < m_end)
            at(m_now + ResendAfter,
               [this, spec = m_specs.at(id), sent = m_now] { submit(spec, sent); });
        break;
    }
    closeCall(call->second);
    entry.calls.erase(call);
}

// [SECTION] Entries

void World::restartEntry(int number, Milliseconds after)
{
    at(m_now + after, [this, number] {
        Entry &entry = *m_entries[static_cast<std::size_t>(number)];
        entry.up = true;
        ++entry.endpointIncarnation;
        entry.lastTurn = clockOf(entry);
        scheduler::SchedulerSettings settings = m_settings.scheduler;
        settings.seed = m_random();
        entry.state = scheduler::makeScheduler(settings);
        entry.state.entryCount = static_cast<std::uint32_t>(m_settings.entries);
        entry.calls.clear();
        entry.endsUnread.clear();
        entry.watch = {};
        entry.knowsCordons = false;
        tellEntry(number);
        for (Session &session : entry.sessions)
            session.open = false;
        tickEntry(number);
    });
}

void World::tickEntry(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    // As the daemon's shell does after a pause.
    if (clockOf(entry) - entry.lastTurn >= Milliseconds(400)) {
        carryOut(number, scheduler::closeAllJobs(entry.state, "stood still", clockOf(entry)));
        for (int agent = 0; agent < m_settings.agents; ++agent)
            disconnect(number, agent);
    }
    entry.lastTurn = clockOf(entry);
    for (int agent = 0; agent < m_settings.agents; ++agent)
        connect(number, agent);
    seeCallers(number);
    carryOut(number, scheduler::tick(entry.state, clockOf(entry)));
    on(entry, TickInterval, [this, number] { tickEntry(number); });
}

bool World::pathOpen(int entry, int agent) const
{
    const Agent &to = *m_agents[static_cast<std::size_t>(agent)];
    return m_entries[static_cast<std::size_t>(entry)]->up && to.up && m_now >= to.cutUntil;
}

void World::connect(int number, int agentNumber)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    Agent &agent = *m_agents[static_cast<std::size_t>(agentNumber)];
    Session &session = entry.sessions[static_cast<std::size_t>(agentNumber)];
    if (session.open || m_now < session.backAt || !pathOpen(number, agentNumber))
        return;
    session.open = true;
    session.number = ++m_lastSession;
    carryOut(number,
             scheduler::agentConnected(entry.state, nameOf("agent", agentNumber), clockOf(entry)));
    std::optional<catalog::Cordons> known;
    if (entry.knowsCordons)
        known = entry.state.cordons;
    on(agent, LinkDelay, [this, agentNumber, number, known, id = session.number] {
        Agent &opened = *m_agents[static_cast<std::size_t>(agentNumber)];
        if (known)
            carryOut(agentNumber,
                     runner::handleCordons(opened.state, *known, runner::CordonSource::Entry,
                                           clockOf(opened)));
        carryOut(agentNumber,
                 runner::openSession(opened.state, id, nameOf("entry", number), clockOf(opened)));
    });
}

void World::disconnect(int number, int agentNumber)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    Session &session = entry.sessions[static_cast<std::size_t>(agentNumber)];
    if (!session.open)
        return;
    session.open = false;
    if (entry.up)
        on(entry, Milliseconds(0), [this, number, agentNumber] {
            Entry &told = *m_entries[static_cast<std::size_t>(number)];
            scheduler::recordSessionLost(told.watch, clockOf(told));
            carryOut(number,
                     scheduler::agentLost(told.state, nameOf("agent", agentNumber), clockOf(told)));
        });
    // Behind a cut the agent learns nothing of it.
    if (pathOpen(number, agentNumber))
        on(*m_agents[static_cast<std::size_t>(agentNumber)], LinkDelay,
           [this, agentNumber, id = session.number] {
               Agent &told = *m_agents[static_cast<std::size_t>(agentNumber)];
               carryOut(agentNumber, runner::closeSession(told.state, id, clockOf(told)));
           });
}

// Every few turns for a while; the next turn of the entry connects again.
void World::releaseSessions(int number, int turns)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    if (turns == 0)
        return;
    for (int agent = 0; agent < m_settings.agents; ++agent) {
        Session &session = entry.sessions[static_cast<std::size_t>(agent)];
        if (!session.open || !scheduler::releaseAgent(entry.state, nameOf("agent", agent)))
            continue;
        session.open = false;
        if (pathOpen(number, agent))
            on(*m_agents[static_cast<std::size_t>(agent)], LinkDelay,
               [this, agent, id = session.number] {
                   Agent &told = *m_agents[static_cast<std::size_t>(agent)];
                   carryOut(agent, runner::closeSession(told.state, id, clockOf(told)));
               });
    }
    on(entry, TickInterval * 3, [this, number, turns] { releaseSessions(number, turns - 1); });
}

void World::sendToAgent(int number, const scheduler::AgentSend &send)
{
    const int agentNumber = std::stoi(send.agent.substr(send.agent.find('-') + 1));
    const Session session = m_entries[static_cast<std::size_t>(number)]
                                    ->sessions[static_cast<std::size_t>(agentNumber)];
    if (!session.open || !pathOpen(number, agentNumber))
        return;
    on(*m_agents[static_cast<std::size_t>(agentNumber)], LinkDelay,
       [this, agentNumber, id = session.number, message = send.message] {
           Agent &taker = *m_agents[static_cast<std::size_t>(agentNumber)];
           runner::RunnerState &state = taker.state;
           const Time now = clockOf(taker);
           if (const auto *start = std::get_if<jobs::StartTasks>(&message))
               carryOut(agentNumber, runner::startTasks(state, id, *start, now));
           else if (const auto *stop = std::get_if<jobs::StopRuns>(&message))
               carryOut(agentNumber, runner::stopRuns(state, id, *stop, now));
           else
               carryOut(agentNumber,
                        runner::handleSessionHeartbeat(state, id,
                                                       std::get<jobs::SessionHeartbeat>(message),
                                                       now));
       });
}

void World::carryOut(int number, const scheduler::SchedulerActions &actions)
{
    for (const scheduler::AgentSend &send : actions.sends)
        sendToAgent(number, send);
    for (const scheduler::JobAnswer &answer : actions.answers)
        answered(number, answer);
    for (const std::string &name : actions.closes)
        disconnect(number, std::stoi(name.substr(name.find('-') + 1)));
}

// [SECTION] Agents

void World::restartAgent(int number, Milliseconds after)
{
    at(m_now + after, [this, number] {
        Agent &agent = *m_agents[static_cast<std::size_t>(number)];
        agent.up = true;
        ++agent.endpointIncarnation;
        // Without a disk a new life can only guess a higher fence; the endpoint corrects it.
        m_lastFence += m_settings.fenceRises ? 1000 : 0;
        agent.state = runner::makeRunner(m_settings.runner, agent.endpointIncarnation, m_lastFence);
        agent.toldLeavingAt.reset();
        tellAgent(number);
        heartbeat(number);
        tickAgent(number);
    });
}

void World::tickAgent(int number)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    carryOut(number, runner::tick(agent.state, clockOf(agent)));
    on(agent, TickInterval, [this, number] { tickAgent(number); });
}

void World::heartbeat(int number)
{
    report(number);
    on(*m_agents[static_cast<std::size_t>(number)], BeatInterval,
       [this, number] { heartbeat(number); });
}

// One heartbeat, which the agent acknowledges.
void World::report(int number)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    FakeEndpoint &endpoint = *agent.endpoint;
    if (agent.dark)
        return;
    runner::EndpointReport report;
    report.endpointIncarnation.id = endpoint.endpointIncarnation;
    if (endpoint.tellsBorn)
        report.endpointIncarnation.startedAt = endpoint.startedAt;
    report.service = "service";
    report.dataCentre = m_settings.agentsIgnoreCordons ? "" : dataCentreOf(number);
    report.capacity = Capacity;
    report.sequence = ++endpoint.beats;
    report.clock = endpoint.clock(m_now);
    report.leaving = endpoint.leaving;
    carryOut(number, runner::handleHeartbeat(agent.state, report, clockOf(agent)));
    if (endpoint.leaving && !agent.toldLeavingAt)
        agent.toldLeavingAt = m_now;
}

// An order goes out, may be done late and unanswered, and is result once.
template<class Order, class Do, class Answered>
void World::order(int number, const Order &order, Milliseconds wait, Do run, Answered back)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> lateBy(2000, 12000);
    const bool late = m_now < agent.lateUntil && percent(m_random) < 40;
    const bool lost = late || agent.dark;
    const Time doneAt = m_now + (late ? Milliseconds(lateBy(m_random)) : OrderDelay + wait);
    if (!agent.dark)
        at(doneAt, [this, number, order, run, back, lost] {
            Agent &here = *m_agents[static_cast<std::size_t>(number)];
            if (here.dark && !lost)
                on(here, OrderTimeout, [back] { back({}); });
            if (here.dark)
                return;
            const auto result = run(*here.endpoint, order);
            if (!lost)
                on(here, OrderDelay, [back, result] { back(result); });
        });
    if (lost)
        on(agent, wait + OrderTimeout, [back] { back({}); });
}

void World::carryOut(int number, const runner::RunnerActions &actions)
{
    for (const runner::StopCommand &stop : actions.stops)
        order(
                number, stop, Milliseconds(0),
                [this](FakeEndpoint &endpoint, const runner::StopCommand &wanted) {
                    return endpoint.stop(wanted, m_now);
                },
                [this, number, id = stop.id](const runner::CommandResult &result) {
                    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
                    carryOut(number,
                             runner::handleStopResult(agent.state, id, result, clockOf(agent)));
                });
    for (const runner::StartCommand &start : actions.starts)
        order(
                number, start, Milliseconds(0),
                [this, number](FakeEndpoint &endpoint, const runner::StartCommand &wanted) {
                    const Milliseconds work = m_specs.at(wanted.id.task.job).steps[0].estimate;
                    const bool wasThere = endpoint.runs().count(wanted.id) != 0;
                    const auto result = endpoint.start(wanted, m_now, work);
                    if (result.status == runner::CommandStatus::Ok && !wasThere)
                        noteCrashing(number, wanted.id);
                    if (result.status == runner::CommandStatus::Ok)
                        m_began.insert(wanted.id.task.job);
                    if (result.status == runner::CommandStatus::Ok)
                        noteStart(number);
                    return result;
                },
                [this, number, id = start.id](const runner::CommandResult &result) {
                    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
                    carryOut(number,
                             runner::handleStartResult(agent.state, id, result, clockOf(agent)));
                });
    if (actions.poll) {
        const runner::PollCommand &poll = *actions.poll;
        order(
                number, poll, std::min(poll.wait, Milliseconds(30)),
                [this](FakeEndpoint &endpoint, const runner::PollCommand &wanted) {
                    return endpoint.poll(wanted, m_now);
                },
                [this, number, id = poll.number](const runner::PollResult &seen) {
                    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
                    carryOut(number,
                             runner::handlePollResult(agent.state, id, seen, clockOf(agent)));
                });
    }
    const auto deliver = [&](std::uint64_t session, auto message, auto handle) {
        for (int i = 0; i < m_settings.entries; ++i) {
            Entry &entry = *m_entries[static_cast<std::size_t>(i)];
            const Session &known = entry.sessions[static_cast<std::size_t>(number)];
            if (!known.open || known.number != session || !pathOpen(i, number))
                continue;
            on(entry, LinkDelay, [this, i, number, session, message, handle] {
                Entry &to = *m_entries[static_cast<std::size_t>(i)];
                const Session &now = to.sessions[static_cast<std::size_t>(number)];
                if (!now.open || now.number != session)
                    return;
                seeCallers(i);
                carryOut(i, handle(to.state, nameOf("agent", number), message, clockOf(to)));
            });
        }
    };
    const auto told = [this](auto message) {
        if (m_settings.crashesNotTold)
            message.crashed.clear();
        return message;
    };
    for (const auto &[session, message] : actions.acceptances)
        deliver(session, told(message), scheduler::agentAccepted);
    for (const auto &[session, message] : actions.updates)
        deliver(session, told(message), scheduler::agentUpdated);
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
