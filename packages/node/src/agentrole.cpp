/*
    Executes the agent's actions and exports its counters.

    [SECTION] Role
*/
#include "agentrole.h"

#include <foxwing/node/log.h>

namespace foxwing::node {

// [SECTION] Role

namespace {

agent::AgentSettings withIncarnation(agent::AgentSettings settings, std::uint64_t incarnation)
{
    settings.incarnation = incarnation;
    return settings;
}

} // namespace

AgentRole::AgentRole(const settings::Settings &settings, std::uint64_t incarnation, EventLoop &loop,
                     MessageRouter &router)
    : m_state(agent::makeAgent(withIncarnation(settings.agent, incarnation)))
    , m_router(router)
    , m_endpoint(settings.endpoint, loop,
                 [this](const agent::TaskRef &ref, agent::TaskEnd end, std::string body) {
                     execute(agent::endpointDone(m_state, ref, end, std::move(body), steadyNow()));
                 })
{ }

void AgentRole::execute(agent::AgentActions &&actions)
{
    for (agent::Outgoing &send : actions.sends)
        m_router.send(send.to, widen(std::move(send.message)));
    for (const agent::EndpointCall &call : actions.calls)
        m_endpoint.call(call);
    for (const agent::EndpointStop &stop : actions.stops)
        m_endpoint.stop(stop, steadyNow());
}

void AgentRole::receive(const agent::ToAgent &message)
{
    execute(agent::handle(m_state, message, steadyNow()));
}

void AgentRole::applyUpdate(const control::Update &update)
{
    if (update.view.number == 0)
        return;
    std::vector<agent::OwnerCandidate> entries;
    for (const claims::Member &member : update.view.members)
        entries.push_back({ member.replica.id, member.replica.incarnation, member.dataCentre });
    execute(agent::setEntries(m_state, std::move(entries), steadyNow()));
}

void AgentRole::tick(bool configurationStale)
{
    const Time now = steadyNow();
    const std::string owner = m_state.lease.owner;
    if (m_state.configurationStale != configurationStale)
        logEvent(LogLevel::Warning, "configuration",
                 { { "state", configurationStale ? "stale" : "confirmed" } });
    m_state.configurationStale = configurationStale;
    execute(agent::tick(m_state, now));
    m_endpoint.tick(now);
    if (m_state.lease.owner != owner)
        logEvent(LogLevel::Info, "owner",
                 { { "from", owner },
                   { "to", m_state.lease.owner },
                   { "epoch", std::to_string(m_state.lease.epoch) } });
}

void AgentRole::leave()
{
    logEvent(LogLevel::Info, "leaving", { { "role", "agent" } });
    execute(agent::leave(m_state, steadyNow()));
}

bool AgentRole::drained() const
{
    return agent::drained(m_state);
}

void AgentRole::addSamples(std::vector<metrics::Sample> &samples) const
{
    const agent::AgentCounters &counters = m_state.counters;
    const auto count = [&](const char *name, const char *help, std::uint64_t value) {
        samples.push_back({ name, help, static_cast<double>(value), false });
    };
    count("foxwing_agent_starts_total", "Tasks started at the endpoint", counters.starts);
    count("foxwing_agent_refusals_total", "Starts refused", counters.refusals);
    count("foxwing_agent_duplicates_total", "Duplicate starts", counters.duplicates);
    count("foxwing_agent_voids_total", "Attempts voided before they started", counters.voids);
    count("foxwing_agent_stops_total", "Tasks requested to stop", counters.cancels);
    count("foxwing_agent_resends_total", "Results resent", counters.resends);
    count("foxwing_agent_owner_changes_total", "Changes of the lease's owner",
          counters.ownerChanges);
    samples.push_back({ "foxwing_agent_running", "Running tasks",
                        static_cast<double>(m_state.running.size()), true });
    samples.push_back({ "foxwing_agent_unsettled_bytes",
                        "Bytes of results not yet acknowledged by their owners",
                        static_cast<double>(m_state.unsettledBytes), true });
    samples.push_back({ "foxwing_agent_jobs_remembered", "Retained jobs",
                        static_cast<double>(m_state.jobs.size()), true });
    const auto addPerTeam = [&](const char *name, const char *help, auto value) {
        for (const auto &usage : m_state.usage)
            samples.push_back({ std::string(name) + "{team=\"" + usage.first + "\"}", help,
                                value(usage.second), false });
    };
    addPerTeam("foxwing_agent_team_starts_total", "Starts of a team",
               [](const agent::TeamUsage &usage) { return static_cast<double>(usage.starts); });
    addPerTeam("foxwing_agent_team_run_seconds_total", "Run time of a team",
               [](const agent::TeamUsage &usage) {
                   return static_cast<double>(usage.runTime.count()) / 1e6;
               });
}

} // namespace foxwing::node
