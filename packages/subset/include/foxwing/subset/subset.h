/*
    Which agents an entry keeps sessions with.

    A session costs a beat every tenth of a second at both ends, work or not. If each entry kept one
    with each agent, what a host spends on them would grow with the fleet. So an entry works with a
    subset: most of it in its own data centre, the rest spread over the others so that the loss of
    the own one finds sessions elsewhere. Agents are ranked by rendezvous hashing, so entries differ
    in their choice and a host that comes or goes changes few sessions.

    The subset grows while work finds no room in it, and by agents that a job needs and the subset
    lacks. Agents that can't be reached are replaced. It shrinks again later, one idle session at a
    time.

        SubsetState subset = makeSubset(settings, "entry-7", "north");
        takeUpdate(subset, controlHost, update);
        const SubsetChanges changes = choose(subset, now);
        ... dial changes.added, offer changes.spare to be dropped ...

    [SECTION] Settings
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <foxwing/catalog/agreed.h>
#include <foxwing/directory/directory.h>

namespace foxwing::subset {

// [SECTION] Settings

struct SubsetSettings
{
    // Agents of each service in the subset, where the fleet has more. One that is lost then takes
    // less than a fiftieth of the room in reach.
    std::size_t least = 64;

    // Entries that reach an agent on average. Where entries are few each works with more agents;
    // otherwise some agents would be in nobody's reach.
    std::size_t entriesPerAgent = 8;

    // A fleet that is larger than the subset by no more than this is taken whole: leaving out a few
    // saves next to nothing. In percent of the subset
    std::size_t wholePercent = 150;

    // Part of the subset in the entry's own data centre, in percent
    std::size_t homePercent = 75;

    // Steps in which the subset grows and shrinks, in percent of the least; between two of them,
    // new sessions have time to show whether they were enough. After a restart of control hosts,
    // few entries may be known for a moment: the pause keeps that from having all agents dialled.
    std::size_t stepPercent = 50;
    Milliseconds growPause { 200 };
    Milliseconds shrinkPause { 10000 };

    // While work finds no room the subset grows to this many times its usual size at the most.
    std::size_t mostGrowth = 4;

    // A chosen agent that is out of reach for this long no longer counts towards the size.
    Milliseconds replaceAfter { 1000 };

    // An agent that is chosen no more keeps its session for this long: it may be chosen again.
    Milliseconds spareFor { 5000 };

    // Agents that are added for a need that nobody in the subset meets, and for how long
    std::size_t perNeed = 4;
    Milliseconds needFor { 30000 };
};

// [SECTION] State

struct ListedAgent
{
    directory::NodeInfo node;

    // Its place for this entry; higher goes first
    std::uint64_t weight = 0;

    // Control hosts that list it
    std::set<std::string> listedBy;

    // A session is kept, or being opened.
    bool kept = false;
    bool connected = false;

    // Kept and not connected since then
    Time awaySince {};

    // Kept though it is not chosen any more, since then
    bool spare = false;
    Time spareSince {};

    // A job needs it.
    Time neededUntil {};
};

struct SubsetState
{
    SubsetSettings settings;
    std::string entry;
    std::string dataCentre;

    // By address
    std::map<std::string, ListedAgent> agents;

    // Entries that are there, by the control host that counted them
    std::map<std::string, std::uint32_t> entriesBy;

    // Data centres whose agents take nothing new
    catalog::Cordons cordons;

    // Agents of each service that are aimed at now, and by how many steps more than usual
    std::size_t size = 0;
    std::size_t widening = 0;
    Time changedAt {};
    Time wantedAt {};

    // Entries that share the room of the subset, this one included
    std::uint32_t sharingEntries = 1;

    // Something has changed since the last choice.
    bool changed = true;
    Time chosenAt {};
};

// What a task needs of an endpoint.
struct Need
{
    std::string service;

    // Labels it must have; empty ones are met by every endpoint
    std::string label;
    std::string rack;
    jobs::Room room;
};

struct SubsetChanges
{
    // To be dialled
    std::vector<std::string> added;

    // No longer needed: may be dropped once no run of this entry is left there. See dropped.
    std::vector<std::string> spare;

    // Listed no more and not connected: gone.
    std::vector<std::string> removed;
};

// [SECTION] Functions

SubsetState makeSubset(const SubsetSettings &settings, const std::string &entry,
                       const std::string &dataCentre);

// What a control host tells of agents and of the number of entries.
void takeUpdate(SubsetState &subset, const std::string &from,
                const directory::DirectoryUpdate &update);

// This control host is not kept as a peer any more: what only it lists is listed no more.
void forgetControlHost(SubsetState &subset, const std::string &host);
void takeCordons(SubsetState &subset, const catalog::Cordons &cordons);

void connected(SubsetState &subset, const std::string &agent);
void connectionLost(SubsetState &subset, const std::string &agent, Time now);

// Its session was given up as spare.
void dropped(SubsetState &subset, const std::string &agent);

// Work has found no room in the subset.
void wantMore(SubsetState &subset, Time now);

// A job needs this; false if no agent that is listed meets it. Where none of the subset does, a few
// that do are added at the next choice.
bool reach(SubsetState &subset, const Need &need, Time now);

// What has to change for the subset to be as it should. Cheap when nothing has changed.
SubsetChanges choose(SubsetState &subset, Time now);

// Whether the entry works with one rather than with the other.
bool goesFirst(const ListedAgent *left, const ListedAgent *right);

// Agents that sessions are kept with, or being opened.
std::size_t keptAgents(const SubsetState &subset);

} // namespace foxwing::subset
