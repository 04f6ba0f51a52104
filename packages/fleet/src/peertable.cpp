/*
    The table of control hosts to connect to.

    [SECTION] Functions
*/
#include "peertable.h"

#include <algorithm>

namespace foxwing::fleet {

// [SECTION] Functions

bool keep(PeerBook &book, const std::string &address, Time now)
{
    const auto known = book.peers.find(address);
    if (known != book.peers.end()) {
        known->second.listedAt = now;
        return false;
    }
    if (book.peers.size() >= book.settings.mostPeers)
        return false;
    book.peers[address].listedAt = now;
    return true;
}

std::vector<std::string> applyUpdate(PeerBook &book, const std::string &from,
                                     const directory::DirectoryUpdate &update, Time now)
{
    std::set<std::string> &lists = book.peers[from].lists;
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
        if (keep(book, node.address, now))
            added.push_back(node.address);
    }
    return added;
}

void connected(PeerBook &book, const std::string &address, Time now)
{
    KnownPeer &peer = book.peers[address];
    peer.connected = true;
    peer.lastReceivedAt = now;
}

void heard(PeerBook &book, const std::string &address, Time now)
{
    book.peers[address].lastReceivedAt = now;
}

void connectionLost(PeerBook &book, const std::string &address)
{
    KnownPeer &peer = book.peers[address];
    peer.connected = false;
    peer.lists.clear();
}

namespace {

std::set<std::string> listed(const PeerBook &book)
{
    std::set<std::string> all;
    for (const auto &[address, peer] : book.peers)
        all.insert(peer.lists.begin(), peer.lists.end());
    return all;
}

} // namespace

PeerChanges tick(PeerBook &book, const std::vector<std::string> &seeds, Time now)
{
    PeerChanges changes;
    std::set<std::string> wanted = listed(book);
    wanted.insert(seeds.begin(), seeds.end());
    for (const auto &[address, peer] : book.peers) {
        const Milliseconds span = book.settings.forgetAfter;
        if (!peer.connected && wanted.count(address) == 0 && now >= peer.listedAt + span
            && now >= peer.lastReceivedAt + span)
            changes.dropped.push_back(address);
    }
    for (const std::string &address : changes.dropped)
        book.peers.erase(address);
    for (const std::string &address : wanted) {
        if (book.peers.count(address) == 0 && keep(book, address, now))
            changes.added.push_back(address);
    }
    return changes;
}

} // namespace foxwing::fleet
