/*
    The control hosts that an entry or agent keeps connections to: the seeds, and those that control
    hosts list.

    The number is limited. A host that was listed while the table was full is added when a place
    becomes free: directory updates are incremental, so it would not be listed again.

        PeerTable table;
        if (addPeer(table, address, now))
            ... dial it ...
        const PeerChanges changes = tick(table, seeds, now);

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <map>
#include <set>

#include <foxwing/directory/directory.h>

namespace foxwing::fleet {

// [SECTION] State

struct PeerTableSettings
{
    // Of up to 23 control hosts, any twelve include a member of each majority.
    std::size_t maxPeers = 12;

    // A host that is neither a seed nor listed, and was unreachable for this long, is removed.
    // Otherwise replaced hosts would fill the table over time.
    Milliseconds retention { 30000 };
};

struct KnownPeer
{
    bool connected = false;
    Time lastReceivedAt {};

    // When it was last listed, or configured as a seed
    Time listedAt {};

    // Control hosts that it lists
    std::set<std::string> lists;
};

struct PeerTable
{
    PeerTableSettings settings;

    // By address
    std::map<std::string, KnownPeer> peers;
};

struct PeerChanges
{
    // Peers to disconnect
    std::vector<std::string> dropped;

    // Peers to dial
    std::vector<std::string> added;
};

// [SECTION] Functions

// Adds a host that was listed or configured; returns true if it is new and the table had a place.
bool addPeer(PeerTable &table, const std::string &address, Time now);

// Applies a peer's directory update; returns the hosts to dial.
std::vector<std::string> applyUpdate(PeerTable &table, const std::string &from,
                                     const directory::DirectoryUpdate &update, Time now);

void connected(PeerTable &table, const std::string &address, Time now);
void recordReceived(PeerTable &table, const std::string &address, Time now);
void connectionLost(PeerTable &table, const std::string &address);

// Removes peers past their retention, and adds listed hosts in their places.
PeerChanges tick(PeerTable &table, const std::vector<std::string> &seeds, Time now);

} // namespace foxwing::fleet
