/*
    Control: which nodes are live, what is declared, and which nodes have applied it.

    The leader passes in heartbeats and ticks, and gets updates for nodes and commands to propose to
    the consensus group. A command takes effect when committed() is called with it, after the group
    has committed it.

        ControlState control = makeControl(settings, cluster, now, wallNow);
        ControlActions actions = handleHeartbeat(control, heartbeat, now, wallNow);
        for (const Command &command : actions.proposals)
            ...

    [SECTION] Settings
    [SECTION] State
    [SECTION] Actions
    [SECTION] Functions
*/
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <foxwing/base/time.h>
#include <foxwing/control/cluster.h>
#include <foxwing/control/messages.h>

namespace foxwing::control {

// [SECTION] Settings

struct ControlSettings
{
    // Id of this host
    std::string self;

    // A node without a heartbeat for this long is lost. Must exceed the entries' control lease.
    Milliseconds nodeTimeout { 2500 };

    // At least this long between changes of membership, so that entries which join or leave within
    // it share one new view.
    Milliseconds minViewInterval { 300 };

    // Number of entries that store each claim
    std::uint32_t replicaCount = 2;

    // Upper bound of the difference between hosts' clocks; added to the time of a loss.
    Milliseconds clockSkew { 2000 };

    // A node that is disconnected from control accepts new work for this long.
    Milliseconds configurationLease { 10000 };

    // How long a lost agent stays listed: as long as agents retain what they started.
    Seconds agentRetention { 900 };
};

// [SECTION] State

struct NodeRecord
{
    Heartbeat last;
    Time lastReceivedAt {};
    bool live = true;

    // When an incarnation of this node ended last; milliseconds since 1970
    std::int64_t lostAt = 0;
    Time lostSince {};
};

struct ControlCounters
{
    std::uint64_t heartbeats = 0;
    std::uint64_t views = 0;
    std::uint64_t nodesLost = 0;
    std::uint64_t restarts = 0;
    std::uint64_t changesSent = 0;
};

struct ControlState
{
    ControlSettings settings;
    ClusterState cluster;

    // Not replicated: nodes report it again after a change of leader.
    std::map<std::string, NodeRecord> nodes;
    std::uint64_t agentsVersion = 1;

    // Agents lost before this time may be missing from the list; milliseconds since 1970.
    std::int64_t agentsCompleteSince = 0;

    // Whether a proposed view is not committed yet
    bool viewProposed = false;
    Time nextViewAt {};
    std::set<std::uint32_t> readyShards;

    // Shares of teams' quotas, and the quotas as declared at quotasRevision
    ShareTable shares;
    std::vector<TeamQuota> quotas;
    std::uint64_t quotasRevision = 0;

    // Detects pauses of this process, which are not silence of the nodes.
    Time lastTickAt {};
    bool hasTicked = false;

    // No new view is proposed before this time, so that nodes can send heartbeats to a new leader.
    Time viewsAllowedAt {};
    ControlCounters counters;
};

// How many live nodes there are, and which of them have not applied a revision.
struct RolloutStatus
{
    std::uint64_t revision = 0;
    std::uint32_t nodes = 0;
    std::vector<std::string> lagging;
};

// [SECTION] Actions

struct Outgoing
{
    std::string to;
    FromControl message;
};

struct ControlActions
{
    std::vector<Outgoing> sends;
    std::vector<Command> proposals;
};

// [SECTION] Functions

ControlState makeControl(const ControlSettings &settings, ClusterState cluster, Time now,
                         WallTime wallNow);

ControlActions handleHeartbeat(ControlState &control, const Heartbeat &heartbeat, Time now,
                               WallTime wallNow);

// Applies a command that the consensus group has committed.
ChangeResult committed(ControlState &control, const Command &command);

ControlActions tick(ControlState &control, Time now, WallTime wallNow);

// How far a revision has been applied, by the nodes' last reports.
RolloutStatus rolloutStatus(const ControlState &control, std::uint64_t revision);

} // namespace foxwing::control
