/*
    What befalls the fleet in virtual time, and what must hold all the same.

    [SECTION] Control
    [SECTION] Faults
    [SECTION] Crashing tasks
    [SECTION] Resets
    [SECTION] Promises
*/
#include "worldparts.h"

namespace foxwing::test {

// [SECTION] Control

std::string World::dataCentreOf(int agent) const
{
    return nameOf("dc", agent % DataCentres);
}

void World::changeCordon(const std::string &dataCentre, bool cordoned)
{
    // Without control nothing is agreed on: the operator goes on asking.
    if (m_now < m_controlAwayUntil)
        return at(m_controlAwayUntil,
                  [this, dataCentre, cordoned] { changeCordon(dataCentre, cordoned); });
    catalog::AgreedState state;
    state.cordons = m_cordons;
    const catalog::CordonCommand order { dataCentre, cordoned, m_cordons.revision };
    if (catalog::apply(state, order) != catalog::ApplyResult::Changed)
        return;
    m_cordons = state.cordons;
    if (cordoned)
        m_cordonedSince[dataCentre] = m_now;
    else
        m_cordonedSince.erase(dataCentre);
    for (int i = 0; i < m_settings.agents; ++i)
        tellAgent(i);
    for (int i = 0; i < m_settings.entries; ++i)
        tellEntry(i);
}

// A process is told what is agreed when the news reaches it, or once control is back.
void World::tellAgent(int number)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    std::uniform_int_distribution<std::int64_t> way(1, LongestNews.count());
    on(agent, Milliseconds(way(m_random)), [this, number] {
        Agent &told = *m_agents[static_cast<std::size_t>(number)];
        const Time reachable = std::max(m_controlAwayUntil, told.cutUntil);
        if (m_now < reachable)
            return on(told, std::chrono::ceil<Milliseconds>(reachable - m_now),
                      [this, number] { tellAgent(number); });
        carryOut(number,
                 runner::handleCordons(told.state, m_cordons, runner::CordonSource::Control,
                                       clockOf(told)));
    });
}

void World::tellEntry(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    std::uniform_int_distribution<std::int64_t> way(1, LongestNews.count());
    on(entry, Milliseconds(way(m_random)), [this, number] {
        Entry &told = *m_entries[static_cast<std::size_t>(number)];
        if (m_now < m_controlAwayUntil)
            return on(told, std::chrono::ceil<Milliseconds>(m_controlAwayUntil - m_now),
                      [this, number] { tellEntry(number); });
        told.knowsCordons = true;
        carryOut(number, scheduler::applyCordons(told.state, m_cordons, clockOf(told)));
    });
}

// A task began at the agent's endpoint.
void World::noteStart(int agent)
{
    const auto since = m_cordonedSince.find(dataCentreOf(agent));
    if (since != m_cordonedSince.end() && m_now > since->second + CordonBound)
        violate(m_outcome.startsCordoned, "a start in cordoned " + since->first);
    const Agent &starter = *m_agents[static_cast<std::size_t>(agent)];
    if (starter.endpoint->leaving && starter.toldLeavingAt
        && m_now > *starter.toldLeavingAt + LeavingBound)
        violate(m_outcome.startsLeaving,
                "a start at leaving " + starter.endpoint->endpointIncarnation);
}

// [SECTION] Faults

void World::drawFaults()
{
    if (m_settings.faults.empty())
        return;
    std::uniform_int_distribution<int> count(1, m_settings.mostFaults);
    std::uniform_int_distribution<std::size_t> kind(0, m_settings.faults.size() - 1);
    std::uniform_int_distribution<std::int64_t> when(2500, m_settings.length.count());
    for (int i = count(m_random); i > 0; --i) {
        const Fault fault = m_settings.faults[kind(m_random)];
        at(m_now + Milliseconds(when(m_random)), [this, fault] { strike(fault); });
    }
}

void World::strike(Fault fault)
{
    std::uniform_int_distribution<std::size_t> anyEntry(0, m_entries.size() - 1);
    std::uniform_int_distribution<std::size_t> anyAgent(0, m_agents.size() - 1);
    std::uniform_int_distribution<int> span(200, 4000);
    const std::size_t entryNumber = anyEntry(m_random);
    const std::size_t agentNumber = anyAgent(m_random);
    Entry &entry = *m_entries[entryNumber];
    Agent &agent = *m_agents[agentNumber];
    const Milliseconds lasts(span(m_random));
    const auto later = [&](auto job) { at(m_now + lasts, job); };
    switch (fault) {
    case Fault::EntryKill:
        if (!entry.up)
            return;
        entry.up = false;
        for (int i = 0; i < m_settings.agents; ++i) {
            Session &session = entry.sessions[static_cast<std::size_t>(i)];
            // Half of the kills are losses of power, of which the agent is told nothing.
            if (session.open && lasts.count() % 2 == 0)
                on(*m_agents[static_cast<std::size_t>(i)], LinkDelay,
                   [this, i, id = session.number] {
                       Agent &told = *m_agents[static_cast<std::size_t>(i)];
                       carryOut(i, runner::closeSession(told.state, id, clockOf(told)));
                   });
            session.open = false;
        }
        for (const auto &[number, call] : std::map<std::uint64_t, std::uint64_t>(entry.calls))
            callerLost(call);
        restartEntry(static_cast<int>(entryNumber), lasts);
        break;
    case Fault::EntryFreeze:
        suspend(entry, lasts);
        break;
    case Fault::AgentKill:
        if (!agent.up)
            return;
        for (int i = 0; i < m_settings.entries; ++i)
            disconnect(i, static_cast<int>(agentNumber));
        agent.up = false;
        restartAgent(static_cast<int>(agentNumber), lasts);
        break;
    case Fault::AgentFreeze:
        suspend(agent, lasts);
        break;
    case Fault::Cut:
        agent.cutUntil = m_now + lasts;
        break;
    case Fault::LateOrders:
        agent.lateUntil = m_now + lasts;
        break;
    case Fault::EndpointCrash:
        agent.endpoint->crash("life-" + std::to_string(++m_lastLife));
        break;
    case Fault::EndpointAgain:
        endpointBeginsAgain(static_cast<int>(agentNumber));
        break;
    case Fault::SessionsReleased:
        if (entry.up)
            on(entry, Milliseconds(0), [this, entryNumber] {
                constexpr int Turns = 40;
                releaseSessions(static_cast<int>(entryNumber), Turns);
            });
        break;
    case Fault::EndpointLeaves:
        agent.endpoint->leaving = true;
        on(agent, Milliseconds(0), [this, agentNumber] { report(static_cast<int>(agentNumber)); });
        later([this, agentNumber] { endpointBeginsAgain(static_cast<int>(agentNumber)); });
        break;
    case Fault::EndpointDark:
        agent.dark = true;
        later([this, agentNumber] { m_agents[agentNumber]->dark = false; });
        break;
    case Fault::EndpointHang:
        agent.endpoint->hangs = true;
        later([this, agentNumber] { m_agents[agentNumber]->endpoint->hangs = false; });
        break;
    case Fault::EndpointSlow:
        agent.endpoint->slowness = 6;
        later([this, agentNumber] { m_agents[agentNumber]->endpoint->slowness = 1; });
        break;
    case Fault::EndpointFails:
        agent.endpoint->failsAll = true;
        later([this, agentNumber] { m_agents[agentNumber]->endpoint->failsAll = false; });
        break;
    case Fault::CallerLeaves:
        callerGoes(static_cast<int>(entryNumber), true);
        break;
    case Fault::CallerCancels:
        callerGoes(static_cast<int>(entryNumber), false);
        break;
    case Fault::AllReset:
        callersLostInSilence();
        at(m_now + ResendAfter - ResetBeforeResend, [this] { resetAll(); });
        break;
    case Fault::CallsHeldUp:
        m_callsHeldUntil = std::max(m_callsHeldUntil, m_now + lasts);
        break;
    case Fault::Cordon:
        changeCordon(dataCentreOf(static_cast<int>(agentNumber)), true);
        later([this, agentNumber] {
            changeCordon(dataCentreOf(static_cast<int>(agentNumber)), false);
        });
        break;
    case Fault::ControlAway:
        m_controlAwayUntil = std::max(m_controlAwayUntil, m_now + lasts);
        break;
    }
}

// Its first heartbeat comes at once.
void World::endpointBeginsAgain(int number)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    agent.endpoint->beginAgain(m_now);
    agent.toldLeavingAt.reset();
    on(agent, OrderDelay, [this, number] { report(number); });
}

// The connection of one caller is reset. One that comes back sends the job again, to any entry.
void World::callerGoes(int number, bool comesBack)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    if (!entry.up || entry.calls.empty())
        return;
    on(entry, LinkDelay, [this, number, comesBack, job = entry.calls.begin()->first] {
        Entry &left = *m_entries[static_cast<std::size_t>(number)];
        const auto call = left.calls.find(job);
        if (call == left.calls.end())
            return;
        const std::uint64_t lost = call->second;
        left.calls.erase(call);
        carryOut(number, scheduler::abandon(left.state, job, clockOf(left)));
        if (comesBack)
            callerLost(lost);
        else
            closeCall(lost);
    });
}

// [SECTION] Crashing tasks

bool World::isCrashing(const std::string &job) const
{
    return m_settings.crashingEvery != 0
            && std::stoul(job.substr(job.find('-') + 1)) % m_settings.crashingEvery == 0;
}

// A run began that may be of a task that crashes its endpoint half way through.
void World::noteCrashing(int agent, const jobs::RunId &id)
{
    if (!isCrashing(id.task.job))
        return;
    if (m_crashes[id.task] >= CrashesEnough && ++m_startsBeyond[id.task] > StartsBeyond)
        violate(m_outcome.startsCrashing,
                "a start of " + id.task.job + ", which crashes endpoints");
    at(m_now + m_specs.at(id.task.job).steps[0].estimate / 2,
       [this, agent, id] { crashUnder(agent, id); });
}

void World::crashUnder(int number, const jobs::RunId &id)
{
    Agent &agent = *m_agents[static_cast<std::size_t>(number)];
    if (agent.endpoint->runs().count(id) == 0)
        return;
    // All tasks of the job that run there have their part in it.
    for (const auto &[other, run] : agent.endpoint->runs()) {
        if (other.task.job == id.task.job)
            ++m_crashes[other.task];
    }
    agent.endpoint->crash("life-" + std::to_string(++m_lastLife));
}

// [SECTION] Resets

// Every second caller loses its entry, which hears nothing of it.
void World::callersLostInSilence()
{
    for (auto &entry : m_entries) {
        for (const auto &[job, call] : std::map<std::uint64_t, std::uint64_t>(entry->calls)) {
            if (m_random() % 2 == 0)
                callerLost(call);
        }
    }
}

void World::resetAll()
{
    for (int i = 0; i < m_settings.entries; ++i) {
        if (!m_entries[static_cast<std::size_t>(i)]->up)
            continue;
        resetCallers(i);
        resetSessions(i);
    }
}

// The ends of all connections have come to the entry's host; the entry reads them late or never.
void World::resetCallers(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    for (const auto &[job, call] : std::map<std::uint64_t, std::uint64_t>(entry.calls)) {
        entry.endsUnread.insert(call);
        callerLost(call);
        readEndLater(number, job, call);
    }
}

void World::readEndLater(int number, std::uint64_t job, std::uint64_t call)
{
    std::uniform_int_distribution<std::int64_t> readAfter(1, LastEndRead.count());
    if (m_random() % 4 != 0)
        on(*m_entries[static_cast<std::size_t>(number)], Milliseconds(readAfter(m_random)),
           [this, number, job, call] { readEnd(number, job, call); });
}

void World::resetSessions(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    std::uniform_int_distribution<std::int64_t> backAfter(0, LastSessionBack.count());
    for (int agent = 0; agent < m_settings.agents; ++agent) {
        entry.sessions[static_cast<std::size_t>(agent)].backAt = m_now
                + Milliseconds(backAfter(m_random));
        disconnect(number, agent);
    }
}

void World::readEnd(int number, std::uint64_t job, std::uint64_t call)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    entry.endsUnread.erase(call);
    const auto found = entry.calls.find(job);
    // Another call may have joined the job since.
    if (found == entry.calls.end() || found->second != call)
        return;
    entry.calls.erase(found);
    carryOut(number, scheduler::abandon(entry.state, job, clockOf(entry)));
}

// As the daemon's shell does before what may place work.
void World::seeCallers(int number)
{
    Entry &entry = *m_entries[static_cast<std::size_t>(number)];
    if (m_settings.callersNotSeen)
        return;
    for (const std::uint64_t job :
         scheduler::callersToProbe(entry.watch, entry.state, clockOf(entry))) {
        const auto call = entry.calls.find(job);
        if (call != entry.calls.end() && entry.endsUnread.count(call->second) != 0)
            readEnd(number, job, call->second);
    }
}

// [SECTION] Promises

void World::violate(std::uint64_t &counter, const std::string &what)
{
    ++counter;
    if (m_outcome.firstViolation.empty())
        m_outcome.firstViolation = what + " at "
                + std::to_string(m_now.time_since_epoch().count() / 1000 - 1000000) + " ms";
}

void World::check()
{
    std::set<jobs::TaskId> running;
    for (const auto &agent : m_agents) {
        agent->endpoint->advance(m_now);
        jobs::ResourceVector used;
        for (const auto &[id, run] : agent->endpoint->runs()) {
            used += m_specs.at(id.task.job).steps[id.task.step].demand;
            if (!running.insert(id.task).second)
                violate(m_outcome.runsOverlapped, "two runs of " + id.task.job);
            const std::string &job = id.task.job;
            if (m_callers[job] == 0 && m_now > m_unwantedSince[job] + UnwantedRunBound)
                violate(m_outcome.runsUnwanted, "nobody waits for " + job);
        }
        if (!jobs::fits(used, Capacity))
            violate(m_outcome.roomExceeded,
                    "room exceeded at " + agent->endpoint->endpointIncarnation);
        checkHeldRuns(*agent);
    }
}

// Room that an agent holds for runs that are over serves nobody.
void World::checkHeldRuns(Agent &agent)
{
    const bool inReach = agent.up && !agent.dark && m_now >= agent.frozenUntil
            && m_now >= agent.lateUntil;
    std::map<jobs::RunId, Time> overSince;
    for (const auto &[id, run] : agent.state.runs) {
        if (!inReach || agent.endpoint->runs().count(id) != 0)
            continue;
        const auto known = agent.overSince.find(id);
        overSince[id] = known == agent.overSince.end() ? m_now : known->second;
        if (m_now > overSince[id] + LearnsOfEndBound)
            violate(m_outcome.runsHeld, "room is held for a run of " + id.task.job + ", over long");
    }
    agent.overSince.swap(overSince);
}

} // namespace foxwing::test
