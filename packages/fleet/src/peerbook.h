/*
    Which control hosts an entry or agent keeps connections to: the seeds, and those that control
    hosts list.

    There is room for a few only. A host that is listed while the places are taken gets the next one
    that comes free: lists are told as differences, so nobody names it again.

        PeerBook book;
        if (keep(book, address, now))
            ... dial it ...
        const PeerChanges changes = tick(book, seeds, now);

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <map>
#include <set>

#include <foxwing/directory/directory.h>

namespace foxwing::fleet {

// [SECTION] State

struct PeerBookSettings
{
    // Of up to 23 control hosts, twelve always hold one of any majority.
    std::size_t mostPeers = 12;

    // A host that is neither a seed nor listed any more, and was out of reach for this long, is
    // gone for good; over a long day hosts that were replaced would take all the places.
    Milliseconds forgetAfter { 30000 };
};

struct KnownPeer
{
    bool connected = false;
    Time heardAt {};

    // When it was last named to this process
    Time listedAt {};

    // The control hosts that it lists
    std::set<std::string> lists;
};

struct PeerBook
{
    PeerBookSettings settings;

    // By address
    std::map<std::string, KnownPeer> peers;
};

struct PeerChanges
{
    // No longer to be dialled
    std::vector<std::string> dropped;

    // To be dialled from now on
    std::vector<std::string> added;
};

// [SECTION] Functions

// A host was named; true if it is new and has got a place.
bool keep(PeerBook &book, const std::string &address, Time now);

// A peer has told what changed in its list; the hosts that are to be dialled for it.
std::vector<std::string> applyUpdate(PeerBook &book, const std::string &from,
                                     const directory::DirectoryUpdate &update, Time now);

void connected(PeerBook &book, const std::string &address, Time now);
void heard(PeerBook &book, const std::string &address, Time now);
void connectionLost(PeerBook &book, const std::string &address);

// Forgets who is gone for good, and gives the places to others that are listed.
PeerChanges tick(PeerBook &book, const std::vector<std::string> &seeds, Time now);

} // namespace foxwing::fleet
