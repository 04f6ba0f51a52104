/*
    Faults injected into the simulated fleet, and the invariants checked after each step.

    [SECTION] Control
    [SECTION] Faults
    [SECTION] Crashing tasks
    [SECTION] Resets
    [SECTION] Invariants
*/
#include "simulationparts.h"

namespace foxwing::test {

// [SECTION] Control

std::string Simulation::dataCentreOf(int agent) const
{
    return makeName("dc", agent % DataCentres);
}

void Simulation::changeCordon(const std::string &dataCentre, bool cordoned)
{
    // While control is unavailable nothing is committed: the operator retries.
    if (m_now < m_controlUnavailableUntil)
        return at(m_controlUnavailableUntil,
                  [this, dataCentre, cordoned] { changeCordon(dataCentre, cordoned); });
    catalog::AgreedState state;
    state.cordons = m_cordons;
    const catalog::CordonCommand command { dataCentre, cordoned, m_cordons.revision };
    if (catalog::apply(state, command) != catalog::ApplyResult::Changed)
        return;
    m_cordons = state.cordons;
    if (cordoned)
        m_cordonedSince[dataCentre] = m_now;
    else
        m_cordonedSince.erase(dataCentre);
    for (int i = 0; i < m_settings.agents; ++i)
        sendCordonsToAgent(i);
    for (int i = 0; i < m_settings.entries; ++i)
        sendCordonsToEntry(i);
}

// The committed cordons reach a process after a network delay, or once control is available again.
void Simulation::sendCordonsToAgent(int number)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    std::uniform_int_distribution<std::int64_t> delay(1, MaxUpdateDelay.count());
    on(agent, Milliseconds(delay(m_random)), [this, number] {
        Agent &target = *m_agents[static_cast<std::size_t>(number)];
        const Time reachable = std::max(m_controlUnavailableUntil, target.partitionedUntil);
        if (m_now < reachable)
            return on(target, std::chrono::ceil<Milliseconds>(reachable - m_now),
                      [this, number] { sendCordonsToAgent(number); });
        execute(number,
                runner::handleCordons(target.state, m_cordons, runner::CordonSource::Control,
                                      clockOf(target)));
    });
}

void Simulation::sendCordonsToEntry(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    std::uniform_int_distribution<std::int64_t> delay(1, MaxUpdateDelay.count());
    on(entry, Milliseconds(delay(m_random)), [this, number] {
        Entry &target = *m_entries[static_cast<std::size_t>(number)];
        if (m_now < m_controlUnavailableUntil)
            return on(target, std::chrono::ceil<Milliseconds>(m_controlUnavailableUntil - m_now),
                      [this, number] { sendCordonsToEntry(number); });
        target.knowsCordons = true;
        execute(number, scheduler::applyCordons(target.state, m_cordons, clockOf(target)));
    });
}

// A task started at the agent's endpoint.
void Simulation::recordStart(int agent)
{
    const auto since = m_cordonedSince.find(dataCentreOf(agent));
    if (since != m_cordonedSince.end() && m_now > since->second + MaxCordonDelay)
        recordViolation(m_report.startsCordoned, "task started in cordoned " + since->first);
    const Agent &target = *m_agents[static_cast<std::size_t>(agent)];
    if (target.endpoint->leaving && target.leavingAcknowledgedAt
        && m_now > *target.leavingAcknowledgedAt + MaxLeavingDelay)
        recordViolation(m_report.startsLeaving,
                        "task started at leaving " + target.endpoint->endpointIncarnation);
}

// [SECTION] Faults

void Simulation::scheduleFaults()
{
    if (m_settings.faults.empty())
        return;
    std::uniform_int_distribution<int> count(1, m_settings.maxFaults);
    std::uniform_int_distribution<std::size_t> kind(0, m_settings.faults.size() - 1);
    std::uniform_int_distribution<std::int64_t> when(2500, m_settings.duration.count());
    for (int i = count(m_random); i > 0; --i) {
        const Fault fault = m_settings.faults[kind(m_random)];
        at(m_now + Milliseconds(when(m_random)), [this, fault] { injectFault(fault); });
    }
}

void Simulation::injectFault(Fault fault)
{
    std::uniform_int_distribution<std::size_t> entryIndex(0, m_entries.size() - 1);
    std::uniform_int_distribution<std::size_t> agentIndex(0, m_agents.size() - 1);
    std::uniform_int_distribution<int> duration(200, 4000);
    const std::size_t entryNumber = entryIndex(m_random);
    const std::size_t agentNumber = agentIndex(m_random);
    Entry &entry = *m_entries[entryNumber];
    Agent &agent = *m_agents[agentNumber];
    const Milliseconds faultDuration(duration(m_random));
    const auto later = [&](auto callback) { at(m_now + faultDuration, callback); };
    switch (fault) {
    case Fault::EntryKill:
        if (!entry.isUp)
            return;
        entry.isUp = false;
        for (int i = 0; i < m_settings.agents; ++i) {
            Session &session = entry.sessions[static_cast<std::size_t>(i)];
            // Half of the kills are power failures, which close no connections.
            if (session.open && faultDuration.count() % 2 == 0)
                on(*m_agents[static_cast<std::size_t>(i)], LinkDelay,
                   [this, i, id = session.number] {
                       Agent &target = *m_agents[static_cast<std::size_t>(i)];
                       execute(i, runner::closeSession(target.state, id, clockOf(target)));
                   });
            session.open = false;
        }
        for (const auto &[number, call] : std::map<std::uint64_t, std::uint64_t>(entry.calls))
            closeAndResend(call);
        restartEntry(static_cast<int>(entryNumber), faultDuration);
        break;
    case Fault::EntrySuspend:
        suspend(entry, faultDuration);
        break;
    case Fault::AgentKill:
        if (!agent.isUp)
            return;
        for (int i = 0; i < m_settings.entries; ++i)
            disconnect(i, static_cast<int>(agentNumber));
        agent.isUp = false;
        restartAgent(static_cast<int>(agentNumber), faultDuration);
        break;
    case Fault::AgentSuspend:
        suspend(agent, faultDuration);
        break;
    case Fault::Partition:
        agent.partitionedUntil = m_now + faultDuration;
        break;
    case Fault::LateCommands:
        agent.lateUntil = m_now + faultDuration;
        break;
    case Fault::EndpointCrash:
        agent.endpoint->crash("life-" + std::to_string(++m_lastIncarnation));
        break;
    case Fault::EndpointRestart:
        restartEndpoint(static_cast<int>(agentNumber));
        break;
    case Fault::SessionsReleased:
        if (entry.isUp)
            on(entry, Milliseconds(0), [this, entryNumber] {
                constexpr int Rounds = 40;
                releaseSessions(static_cast<int>(entryNumber), Rounds);
            });
        break;
    case Fault::EndpointLeaves:
        agent.endpoint->leaving = true;
        on(agent, Milliseconds(0),
           [this, agentNumber] { sendHeartbeat(static_cast<int>(agentNumber)); });
        later([this, agentNumber] { restartEndpoint(static_cast<int>(agentNumber)); });
        break;
    case Fault::EndpointUnreachable:
        agent.unreachable = true;
        later([this, agentNumber] { m_agents[agentNumber]->unreachable = false; });
        break;
    case Fault::EndpointStall:
        agent.endpoint->stalls = true;
        later([this, agentNumber] { m_agents[agentNumber]->endpoint->stalls = false; });
        break;
    case Fault::EndpointSlow:
        agent.endpoint->slowdown = 6;
        later([this, agentNumber] { m_agents[agentNumber]->endpoint->slowdown = 1; });
        break;
    case Fault::EndpointFails:
        agent.endpoint->failsAll = true;
        later([this, agentNumber] { m_agents[agentNumber]->endpoint->failsAll = false; });
        break;
    case Fault::CallerReconnects:
        disconnectCaller(static_cast<int>(entryNumber), true);
        break;
    case Fault::CallerCancels:
        disconnectCaller(static_cast<int>(entryNumber), false);
        break;
    case Fault::ConnectionsReset:
        loseCallersSilently();
        at(m_now + ResendAfter - ResetBeforeResend, [this] { resetAll(); });
        break;
    case Fault::CallsDelayed:
        m_callsDelayedUntil = std::max(m_callsDelayedUntil, m_now + faultDuration);
        break;
    case Fault::Cordon:
        changeCordon(dataCentreOf(static_cast<int>(agentNumber)), true);
        later([this, agentNumber] {
            changeCordon(dataCentreOf(static_cast<int>(agentNumber)), false);
        });
        break;
    case Fault::ControlUnavailable:
        m_controlUnavailableUntil = std::max(m_controlUnavailableUntil, m_now + faultDuration);
        break;
    }
}

// Its first heartbeat is sent at once.
void Simulation::restartEndpoint(int number)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    agent.endpoint->restart(m_now);
    agent.leavingAcknowledgedAt.reset();
    on(agent, CommandDelay, [this, number] { sendHeartbeat(number); });
}

// Resets the connection of one caller, which may resend its job to any entry.
void Simulation::disconnectCaller(int number, bool resends)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    if (!entry.isUp || entry.calls.empty())
        return;
    on(entry, LinkDelay, [this, number, resends, job = entry.calls.begin()->first] {
        Entry &target = *m_entries[static_cast<std::size_t>(number)];
        const auto call = target.calls.find(job);
        if (call == target.calls.end())
            return;
        const std::uint64_t lost = call->second;
        target.calls.erase(call);
        execute(number, scheduler::abandon(target.state, job, clockOf(target)));
        if (resends)
            closeAndResend(lost);
        else
            closeCall(lost);
    });
}

// [SECTION] Crashing tasks

bool Simulation::isCrashing(const std::string &job) const
{
    return m_settings.crashingEvery != 0
            && std::stoul(job.substr(job.find('-') + 1)) % m_settings.crashingEvery == 0;
}

// Checks the start of a task that crashes endpoints, and schedules the crash half way through the
// run.
void Simulation::recordCrashingStart(int agent, const jobs::RunId &id)
{
    if (!isCrashing(id.task.job))
        return;
    if (m_crashes[id.task] >= CrashLimit && ++m_startsAfterLimit[id.task] > StartsAfterLimit)
        recordViolation(m_report.startsCrashing,
                        "task started of " + id.task.job + ", which crashes endpoints");
    at(m_now + m_specs.at(id.task.job).steps[0].estimate / 2,
       [this, agent, id] { crashEndpoint(agent, id); });
}

void Simulation::crashEndpoint(int number, const jobs::RunId &id)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    if (agent.endpoint->runs().count(id) == 0)
        return;
    // The crash counts for all tasks of the job that run there.
    for (const auto &[other, run] : agent.endpoint->runs()) {
        if (other.task.job == id.task.job)
            ++m_crashes[other.task];
    }
    agent.endpoint->crash("life-" + std::to_string(++m_lastIncarnation));
}

// [SECTION] Resets

// Every second caller loses its entry; the entry does not notice it.
void Simulation::loseCallersSilently()
{
    for (auto &entry : m_entries) {
        for (const auto &[job, call] : std::map<std::uint64_t, std::uint64_t>(entry->calls)) {
            if (m_random() % 2 == 0)
                closeAndResend(call);
        }
    }
}

void Simulation::resetAll()
{
    for (int i = 0; i < m_settings.entries; ++i) {
        if (!m_entries[static_cast<std::size_t>(i)]->isUp)
            continue;
        resetCallers(i);
        resetSessions(i);
    }
}

// All callers' connections are closed; the entry reads that late or never.
void Simulation::resetCallers(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    for (const auto &[job, call] : std::map<std::uint64_t, std::uint64_t>(entry.calls)) {
        entry.unreadCloses.insert(call);
        closeAndResend(call);
        handleClosedLater(number, job, call);
    }
}

void Simulation::handleClosedLater(int number, std::uint64_t job, std::uint64_t call)
{
    std::uniform_int_distribution<std::int64_t> readAfter(1, MaxCloseReadDelay.count());
    if (m_random() % 4 != 0)
        on(*m_entries[static_cast<std::size_t>(number)], Milliseconds(readAfter(m_random)),
           [this, number, job, call] { handleClosed(number, job, call); });
}

void Simulation::resetSessions(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    std::uniform_int_distribution<std::int64_t> reopenAfter(0, MaxReconnectDelay.count());
    for (int agent = 0; agent < m_settings.agents; ++agent) {
        entry.sessions[static_cast<std::size_t>(agent)].reopenAt = m_now
                + Milliseconds(reopenAfter(m_random));
        disconnect(number, agent);
    }
}

void Simulation::handleClosed(int number, std::uint64_t job, std::uint64_t call)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    entry.unreadCloses.erase(call);
    const auto found = entry.calls.find(job);
    // Another call may have joined the job meanwhile.
    if (found == entry.calls.end() || found->second != call)
        return;
    entry.calls.erase(found);
    execute(number, scheduler::abandon(entry.state, job, clockOf(entry)));
}

// As the daemon does before it may place tasks (probeCallers() in entryrole.cpp)
void Simulation::probeCallers(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    if (m_settings.callersNotProbed)
        return;
    for (const std::uint64_t job :
         scheduler::callersToProbe(entry.probes, entry.state, clockOf(entry))) {
        const auto call = entry.calls.find(job);
        if (call != entry.calls.end() && entry.unreadCloses.count(call->second) != 0)
            handleClosed(number, job, call->second);
    }
}

// [SECTION] Invariants

void Simulation::recordViolation(std::uint64_t &counter, const std::string &what)
{
    ++counter;
    if (m_report.firstViolation.empty())
        m_report.firstViolation = what + " at "
                + std::to_string(m_now.time_since_epoch().count() / 1000 - 1000000) + " ms";
}

void Simulation::checkInvariants()
{
    std::set<jobs::TaskId> running;
    for (const auto &agent : m_agents) {
        agent->endpoint->advance(m_now);
        jobs::ResourceVector used;
        for (const auto &[id, run] : agent->endpoint->runs()) {
            used += m_specs.at(id.task.job).steps[id.task.step].demand;
            if (!running.insert(id.task).second)
                recordViolation(m_report.runsOverlapped,
                                "two concurrent runs of a task of " + id.task.job);
            const std::string &job = id.task.job;
            if (m_callers[job] == 0 && m_now > m_unwantedSince[job] + MaxUnwantedRun)
                recordViolation(m_report.runsUnwanted,
                                "run goes on though no caller waits for " + job);
        }
        if (!jobs::fits(used, Capacity))
            recordViolation(m_report.capacityExceeded,
                            "capacity exceeded at " + agent->endpoint->endpointIncarnation);
        checkHeldRuns(*agent);
    }
}

// An agent must not hold capacity for runs that have ended.
void Simulation::checkHeldRuns(Agent &agent)
{
    const bool agentReachable = agent.isUp && !agent.unreachable && m_now >= agent.suspendedUntil
            && m_now >= agent.lateUntil;
    std::map<jobs::RunId, Time> endedSince;
    for (const auto &[id, run] : agent.state.runs) {
        if (!agentReachable || agent.endpoint->runs().count(id) != 0)
            continue;
        const auto known = agent.endedSince.find(id);
        endedSince[id] = known == agent.endedSince.end() ? m_now : known->second;
        if (m_now > endedSince[id] + MaxEndReportDelay)
            recordViolation(m_report.runsHeld,
                            "capacity is held for a run of " + id.task.job + ", which has ended");
    }
    agent.endedSince.swap(endedSince);
}

} // namespace foxwing::test
