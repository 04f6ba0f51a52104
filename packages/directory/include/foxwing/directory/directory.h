/*
    Who is there: the processes of a fleet, as a control host hears of them.

    Every process keeps a connection to every control host that it knows of, and announces itself on
    it. A control host keeps what it was told in memory only: a host that restarts learns it anew
    within a beat. Entries learn of agents, everybody learns of control hosts.

        DirectoryState directory;
        nodeAnnounced(directory, connection, info);
        DirectoryUpdate update = updateFor(directory, Role::Entry, toldRevision);

    A process is told everything once, and after that only what changed and concerns its role. In
    whole lists, a fleet of 300 that starts ten at a time names 4,650 nodes to each entry; so it
    names 300.

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
    // The platform's name of the host; for logs
    std::string name;
    Role role = Role::Entry;

    // Where other processes of the fleet reach it
    std::string address;

    // Tells one life of the process from the next
    std::uint64_t incarnation = 0;

    // Control only: its id in the agreement group
    std::string groupId;
    std::string dataCentre;

    // Agents only, once their endpoint has said it: what it serves, its labels, and its room. Room
    // that changes later is not told anew; entries in touch with the agent hear of it there.
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

// Whether both say the same of where the node is and of its endpoint.
bool describesSame(const NodeInfo &left, const NodeInfo &right);

// [SECTION] Messages

// The first frame on a connection, and its answer.
struct Announce
{
    NodeInfo node;
};
template<class Fields>
void describe(Fields &fields, Announce &announce)
{
    fields("node", announce.node);
}

// Keeps a connection known as alive, both ways.
struct NodeBeat
{
    std::uint64_t number = 0;
};
template<class Fields>
void describe(Fields &fields, NodeBeat &beat)
{
    fields("number", beat.number);
}

struct DirectoryUpdate
{
    // Everything that the receiver needs to know; otherwise only what changed since it was told
    // last on this connection.
    bool whole = true;
    std::vector<NodeInfo> nodes;

    // Addresses that are listed no more
    std::vector<std::string> gone;

    // Entries that are there, for shares of the room
    std::uint32_t entries = 0;
};
template<class Fields>
void describe(Fields &fields, DirectoryUpdate &update)
{
    fields("whole", update.whole);
    fields("nodes", update.nodes);
    fields("gone", update.gone);
    fields("entries", update.entries);
}

// [SECTION] State

struct DirectorySettings
{
    // A node whose connections are gone is listed for so long: it may be restarting, and its
    // address is worth a try.
    Milliseconds keepGone { 10000 };

    // Addresses that left the list and are remembered for those who have not been told yet. Who is
    // further behind is told everything. More than leave within the 20 ms between two tellings.
    std::size_t mostGone = 256;
};

struct KnownNode
{
    NodeInfo info;

    // The connection that it announced itself on last
    std::uint64_t connection = 0;
    bool connected = false;
    Time goneAt {};

    // When it came into the list, in this role
    std::uint64_t listedIn = 0;
};

// An address that left the list.
struct GoneNode
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

    // Rises with each change that some role is told of.
    std::uint64_t revision = 0;

    // The last change of control hosts, which all roles are told of
    std::uint64_t controlRevision = 0;

    // Oldest first
    std::deque<GoneNode> gone;

    // The newest of those that are no longer remembered
    std::uint64_t forgottenRevision = 0;
};

// [SECTION] Functions

void nodeAnnounced(DirectoryState &directory, std::uint64_t connection, const NodeInfo &node);
void connectionLost(DirectoryState &directory, std::uint64_t connection, Time now);

// Forgets who has been gone for long.
void tick(DirectoryState &directory, Time now);

// The last change that a node of this role needs to be told of.
std::uint64_t revisionFor(const DirectoryState &directory, Role role);

// What a node of this role needs to know and has not been told by this revision; 0: nothing was.
DirectoryUpdate updateFor(const DirectoryState &directory, Role role, std::uint64_t told);

// The control hosts that are connected now.
std::vector<NodeInfo> connectedControls(const DirectoryState &directory);

} // namespace foxwing::directory
