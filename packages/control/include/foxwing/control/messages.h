/*
    Messages between nodes and control.

    Every node sends a heartbeat about once a second. Control answers each with an Update that has
    what the node lacks: changed resources, the newest view, the newest list of agents.

    [SECTION] Heartbeat
    [SECTION] Update
    [SECTION] Variant
*/
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <foxwing/claims/view.h>
#include <foxwing/control/quota.h>
#include <foxwing/control/resources.h>

namespace foxwing::control {

// [SECTION] Heartbeat

struct Heartbeat
{
    static constexpr const char *Type = "beat";

    // Identity
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address;
    std::string dataCentre;
    bool isEntry = false;
    bool isAgent = false;

    // Agents only
    std::string service;
    std::uint32_t slots = 0;

    // Increases with each heartbeat of this incarnation; returned in the Update.
    std::uint64_t number = 0;

    // What the node has applied
    std::uint64_t revision = 0;
    std::uint64_t view = 0;
    std::uint64_t viewUpdate = 0;
    std::uint64_t agentsVersion = 0;

    // Entries only: shards that can become active in that view
    std::vector<std::uint32_t> readyShards;

    // Entries only: teams with a quota for which something changed or tasks wait
    std::vector<ShareReport> shares;

    // The node has drained and shuts down: control need not wait for the node timeout.
    bool leaving = false;
};
template<class Fields>
void describe(Fields &fields, Heartbeat &heartbeat)
{
    fields("id", heartbeat.id);
    fields("incarnation", heartbeat.incarnation);
    fields("address", heartbeat.address);
    fields("dataCentre", heartbeat.dataCentre);
    fields("isEntry", heartbeat.isEntry);
    fields("isAgent", heartbeat.isAgent);
    fields("service", heartbeat.service);
    fields("slots", heartbeat.slots);
    fields("number", heartbeat.number);
    fields("revision", heartbeat.revision);
    fields("view", heartbeat.view);
    fields("viewUpdate", heartbeat.viewUpdate);
    fields("agentsVersion", heartbeat.agentsVersion);
    fields("readyShards", heartbeat.readyShards);
    fields("shares", heartbeat.shares);
    fields("leaving", heartbeat.leaving);
}

// [SECTION] Update

// A live agent, or one that was lost recently.
struct AgentStatus
{
    std::string id;
    std::string address;
    std::string service;

    // When an incarnation of it ended last; milliseconds since 1970, 0 for never
    std::int64_t lostAt = 0;
    bool live = false;
};
template<class Fields>
void describe(Fields &fields, AgentStatus &agent)
{
    fields("id", agent.id);
    fields("address", agent.address);
    fields("service", agent.service);
    fields("lostAt", agent.lostAt);
    fields("live", agent.live);
}

struct Update
{
    static constexpr const char *Type = "update";

    // Id of the control host that sent it
    std::string from;

    // Of the heartbeat that this answers
    std::uint64_t number = 0;
    std::uint64_t incarnation = 0;

    // Resources up to this revision: all of them if reset is set, otherwise those that changed
    // since the node's revision.
    std::uint64_t revision = 0;
    bool reset = false;
    std::vector<Resource> changes;

    // Absent (number 0) unless newer than the node's
    claims::View view;

    // Entries only: all agents, if the node's list has another version
    std::uint64_t agentsVersion = 0;
    bool hasAgents = false;
    std::vector<AgentStatus> agents;

    // Agents lost before this time may be missing; milliseconds since 1970.
    std::int64_t agentsCompleteSince = 0;

    // Entries only: shares of quotas that differ from those the entry reported
    std::vector<ShareGrant> shares;
};
template<class Fields>
void describe(Fields &fields, Update &update)
{
    fields("from", update.from);
    fields("number", update.number);
    fields("incarnation", update.incarnation);
    fields("revision", update.revision);
    fields("reset", update.reset);
    fields("changes", update.changes);
    fields("view", update.view);
    fields("agentsVersion", update.agentsVersion);
    fields("hasAgents", update.hasAgents);
    fields("agents", update.agents);
    fields("agentsSince", update.agentsCompleteSince);
    fields("shares", update.shares);
}

// [SECTION] Variant

using ToControl = std::variant<Heartbeat>;
using FromControl = std::variant<Update>;

} // namespace foxwing::control
