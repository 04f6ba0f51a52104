/*
    Who is there: the processes of a fleet, as a control host hears of them.

    Every process keeps a connection to every control host that it knows of, and announces itself on
    it. A control host keeps what it was told in memory only: a host that restarts learns it anew
    within a beat. Entries learn of agents, everybody learns of control hosts.

        DirectoryState directory;
        nodeAnnounced(directory, connection, info, now);
        DirectoryUpdate update = updateFor(directory, Role::Entry);

    [SECTION] Nodes
    [SECTION] Messages
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <foxwing/base/time.h>

namespace foxwing::directory {

// [SECTION] Nodes

enum class Role {
    Control,
    Entry,
    Agent,
};

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
};
template<class Fields>
void describe(Fields &fields, NodeInfo &node)
{
    fields("name", node.name);
    fields("role", node.role);
    fields("address", node.address);
    fields("incarnation", node.incarnation);
    fields("groupId", node.groupId);
}

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
    std::vector<NodeInfo> nodes;

    // Entries that are there, for shares of the room
    std::uint32_t entries = 0;
};
template<class Fields>
void describe(Fields &fields, DirectoryUpdate &update)
{
    fields("nodes", update.nodes);
    fields("entries", update.entries);
}

// [SECTION] State

struct DirectorySettings
{
    // A node whose connections are gone is listed for so long: it may be restarting, and its
    // address is worth a try.
    Milliseconds keepGone { 10000 };
};

struct KnownNode
{
    NodeInfo info;

    // The connection that it announced itself on last
    std::uint64_t connection = 0;
    bool connected = false;
    Time goneAt {};
};

struct DirectoryState
{
    DirectorySettings settings;

    // By address
    std::map<std::string, KnownNode> nodes;

    // Rises with each change.
    std::uint64_t revision = 0;
};

// [SECTION] Functions

void nodeAnnounced(DirectoryState &directory, std::uint64_t connection, const NodeInfo &node);
void connectionLost(DirectoryState &directory, std::uint64_t connection, Time now);

// Forgets who has been gone for long.
void tick(DirectoryState &directory, Time now);

// What a node of this role needs to know.
DirectoryUpdate updateFor(const DirectoryState &directory, Role role);

// The control hosts that are connected now.
std::vector<NodeInfo> connectedControls(const DirectoryState &directory);

} // namespace foxwing::directory
