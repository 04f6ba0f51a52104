/*
    The table of control hosts to connect to.

    [SECTION] Functions
*/
#include "peertable.h"

#include <algorithm>

namespace foxwing::fleet {

// [SECTION] Functions

bool addPeer(PeerTable &table, const std::string &address, Time now)
{
    const auto known = table.peers.find(address);
    if (known != table.peers.end()) {
        known->second.listedAt = now;
        return false;
    }
    if (table.peers.size() >= table.settings.maxPeers)
        return false;
    table.peers[address].listedAt = now;
    return true;
}

std::vector<std::string> applyUpdate(PeerTable &table, const std::string &from,
                                     const directory::DirectoryUpdate &update, Time now)
{
    std::set<std::string> &lists = table.peers[from].lists;
    if (update.full)
        lists.clear();
    for (const std::string &address : update.removed)
        lists.erase(address);
    std::vector<std::string> added;
    for (const directory::NodeInfo &node : update.nodes) {
        // An address may be reused by a node of another role.
        if (node.role != directory::Role::Control) {
            lists.erase(node.address);
            continue;
        }
        lists.insert(node.address);
        if (addPeer(table, node.address, now))
            added.push_back(node.address);
    }
    return added;
}

void connected(PeerTable &table, const std::string &address, Time now)
{
    KnownPeer &peer = table.peers[address];
    peer.connected = true;
    peer.lastReceivedAt = now;
}

void recordReceived(PeerTable &table, const std::string &address, Time now)
{
    table.peers[address].lastReceivedAt = now;
}

void connectionLost(PeerTable &table, const std::string &address)
{
    KnownPeer &peer = table.peers[address];
    peer.connected = false;
    peer.lists.clear();
}

namespace {

std::set<std::string> listed(const PeerTable &table)
{
    std::set<std::string> all;
    for (const auto &[address, peer] : table.peers)
        all.insert(peer.lists.begin(), peer.lists.end());
    return all;
}

} // namespace

PeerChanges tick(PeerTable &table, const std::vector<std::string> &seeds, Time now)
{
    PeerChanges changes;
    std::set<std::string> desired = listed(table);
    desired.insert(seeds.begin(), seeds.end());
    for (const auto &[address, peer] : table.peers) {
        const Milliseconds retention = table.settings.retention;
        if (!peer.connected && desired.count(address) == 0 && now >= peer.listedAt + retention
            && now >= peer.lastReceivedAt + retention)
            changes.dropped.push_back(address);
    }
    for (const std::string &address : changes.dropped)
        table.peers.erase(address);
    for (const std::string &address : desired) {
        if (table.peers.count(address) == 0 && addPeer(table, address, now))
            changes.added.push_back(address);
    }
    return changes;
}

} // namespace foxwing::fleet
