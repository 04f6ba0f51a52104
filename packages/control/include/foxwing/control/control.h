/*
    Control: who is alive, what is declared, and what is in force where.

    The leader feeds beats, operators' changes and ticks in, and gets updates for nodes and commands
    to be written to the journal. A command takes effect when committed() is called with it, which
    the shell does once it lasts.

        ControlState control = makeControl(settings);
        ControlActions actions = handleHeartbeat(control, beat, now, wallNow);
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
    // This host
    std::string self;
    // A node that has not beaten for this long is dead. Longer than the entries' master lease.
    Milliseconds nodeTimeout { 2500 };

    // Entries that come and go within this time make one new view.
    Milliseconds minViewInterval { 300 };

    // Entries that keep each claim.
    std::uint32_t replicaCount = 2;

    // Added to the date of a loss, for clocks that differ.
    Milliseconds clockSkew { 2000 };

    // A node that is cut off from control takes no new work after this long; until then it may.
    Milliseconds configurationLease { 10000 };

    // A dead agent is remembered this long: as long as what it may have started.
    Seconds agentRetention { 900 };
};

// [SECTION] State

struct NodeRecord
{
    Heartbeat last;
    Time lastReceivedAt {};
    bool live = true;

    // When a life of this node ended last; milliseconds since 1970.
    std::int64_t lostAt = 0;
    Time deadSince {};
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

    // Volatile: every node tells it anew after a change of leader.
    std::map<std::string, NodeRecord> nodes;
    std::uint64_t agentsVersion = 1;

    // Agents that were lost before this date may be missing from the list; milliseconds since 1970.
    std::int64_t agentsCompleteSince = 0;

    // A view that was proposed and is not committed yet.
    bool viewProposed = false;
    Time nextViewAt {};
    std::set<std::uint32_t> readyShards;

    // Shares of teams' quotas, and the quotas as declared at this revision
    ShareTable shares;
    std::vector<TeamQuota> quotas;
    std::uint64_t quotasRevision = 0;

    // To tell our own pause from everybody else's silence.
    Time lastTick {};
    bool ticked = false;

    // Views wait until nodes had the time to beat to a new leader.
    Time viewsAllowedAt {};
    ControlCounters counters;
};

// Who lags behind a revision.
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

ControlActions handleHeartbeat(ControlState &control, const Heartbeat &beat, Time now,
                               WallTime wallNow);

// A command of this host's journal lasts: apply it.
ChangeResult committed(ControlState &control, const Command &command);

ControlActions tick(ControlState &control, Time now, WallTime wallNow);

// How far a revision is in force, as far as nodes have reported.
RolloutStatus rolloutStatus(const ControlState &control, std::uint64_t revision);

} // namespace foxwing::control
