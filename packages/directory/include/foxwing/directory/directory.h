/*
    Service directory: the nodes of a fleet, as a control host knows them.

    Every process keeps a connection to each control host that it knows of and announces itself on
    it. The directory is held in memory only: a control host that restarts rebuilds it within one
    heartbeat. Entries receive agents, all roles receive control hosts.

        DirectoryState directory;
        nodeAnnounced(directory, connection, info);
        DirectoryUpdate update = updateFor(directory, Role::Entry, sentRevision);

    A process first receives the full list, then only the changes that concern its role. So a fleet
    that starts is listed to each entry once, not again with every group of new nodes.

    [SECTION] Nodes
    [SECTION] Messages
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <foxwing/jobs/job.h>

namespace foxwing::directory {

// [SECTION] Nodes

enum class Role {
    Control,
    Entry,
    Agent,
};
constexpr Role lastOf(Role)
{
    return Role::Agent;
}

const char *toString(Role role);

struct NodeInfo
{
    // Host name from the platform; for logs only
    std::string name;
    Role role = Role::Entry;

    // Where other processes of the fleet connect to it
    std::string address;

    // Differs after each restart of the process
    std::uint64_t incarnation = 0;

    // Control only: its id in the consensus group
    std::string groupId;
    std::string dataCentre;

    // Agents only, once the endpoint has reported it: its service, labels and capacity. Later
    // changes of capacity are not distributed here; connected entries get them from the agent.
    std::string service;
    std::vector<std::string> labels;
    jobs::ResourceVector capacity;
};
template<class Fields>
void describe(Fields &fields, NodeInfo &node)
{
    fields("name", node.name);
    fields("role", node.role);
    fields("address", node.address);
    fields("incarnation", node.incarnation);
    fields("groupId", node.groupId);
    fields("dataCentre", node.dataCentre);
    fields("service", node.service);
    fields("labels", node.labels);
    fields("capacity", node.capacity);
}

// Whether data centre, service and labels are equal.
bool sameAttributes(const NodeInfo &left, const NodeInfo &right);

// [SECTION] Messages

// First frame on a connection, in both directions.
struct Announce
{
    NodeInfo node;
};
template<class Fields>
void describe(Fields &fields, Announce &announce)
{
    fields("node", announce.node);
}

// Keeps a connection alive; sent in both directions.
struct NodeHeartbeat
{
    std::uint64_t number = 0;
};
template<class Fields>
void describe(Fields &fields, NodeHeartbeat &heartbeat)
{
    fields("number", heartbeat.number);
}

struct DirectoryUpdate
{
    // The list is complete for the receiver's role; otherwise it holds only the changes since the
    // last update on this connection.
    bool full = true;
    std::vector<NodeInfo> nodes;

    // Addresses that are no longer listed
    std::vector<std::string> removed;

    // Number of connected entries, between which capacity is shared
    std::uint32_t entries = 0;
};
template<class Fields>
void describe(Fields &fields, DirectoryUpdate &update)
{
    fields("whole", update.full);
    fields("nodes", update.nodes);
    fields("gone", update.removed);
    fields("entries", update.entries);
}

// [SECTION] State

struct DirectorySettings
{
    // Nodes above this number are not listed: several times the largest fleet, with those that were
    // replaced within disconnectedRetention.
    std::size_t maxNodes = 10000;

    // How long a disconnected node stays listed. It may be restarting, so its address is still
    // worth trying.
    Milliseconds disconnectedRetention { 10000 };

    // Removed addresses that are kept for incremental updates. A receiver that is further behind
    // gets the full list. Exceeds what is removed within the 20 ms between two updates.
    std::size_t maxRemovals = 256;
};

struct KnownNode
{
    NodeInfo info;

    // The connection of its latest announcement
    std::uint64_t connection = 0;
    bool connected = false;
    Time disconnectedAt {};

    // Revision at which it was added in this role, or last changed its attributes
    std::uint64_t listedRevision = 0;
};

// An address that was removed from the list.
struct RemovedNode
{
    std::string address;
    Role role = Role::Entry;
    std::uint64_t revision = 0;
};

struct DirectoryState
{
    DirectorySettings settings;

    // By address
    std::map<std::string, KnownNode> nodes;

    // Incremented by each change that any role receives
    std::uint64_t revision = 0;

    // Latest change of control hosts, which all roles receive
    std::uint64_t controlRevision = 0;

    // Oldest first
    std::deque<RemovedNode> removed;

    // Revision of the newest removal that is no longer kept
    std::uint64_t compactedRevision = 0;
};

// [SECTION] Functions

// Returns false if the node is unknown and the directory is full.
bool nodeAnnounced(DirectoryState &directory, std::uint64_t connection, const NodeInfo &node);
void connectionLost(DirectoryState &directory, std::uint64_t connection, Time now);

// Removes nodes whose disconnected retention has expired.
void tick(DirectoryState &directory, Time now);

// Revision of the latest change that a node of this role receives.
std::uint64_t revisionFor(const DirectoryState &directory, Role role);

// Changes that a node of this role has not received since sentRevision; 0 gives the full list.
DirectoryUpdate updateFor(const DirectoryState &directory, Role role, std::uint64_t sentRevision);

// Control hosts that are connected now.
std::vector<NodeInfo> connectedControls(const DirectoryState &directory);

} // namespace foxwing::directory
