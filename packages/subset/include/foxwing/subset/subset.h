/*
    Chooses the subset of agents that an entry keeps sessions with.

    A session costs a heartbeat every tenth of a second on both sides, even without work. With a
    session from each entry to each agent, the cost per host would grow with the fleet. So an entry
    uses a subset: most of it in its own data centre, the rest spread over the others in case the
    local one fails. Agents are ranked by rendezvous hashing: entries choose different agents, and
    adding or removing a host changes few sessions.

    The subset grows while work finds no free capacity in it, and by agents that match a job's
    requirements if it has none. Unreachable agents are replaced. Later it shrinks again, closing
    idle sessions one by one.

        SubsetState subset = makeSubset(settings, "entry-7", "north");
        applyUpdate(subset, controlHost, update);
        const SubsetChanges changes = choose(subset, now);
        ... connect to changes.added, close idle sessions of changes.surplus ...

    [SECTION] Settings
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <foxwing/catalog/agreedstate.h>
#include <foxwing/directory/directory.h>

namespace foxwing::subset {

// [SECTION] Settings

struct SubsetSettings
{
    // Minimum number of agents of each service, where the fleet has as many. Losing one of them
    // then costs less than a fiftieth of the reachable capacity.
    std::size_t minSize = 64;

    // Average number of entries with a session to an agent. With few entries, each uses more agents
    // than the minimum; otherwise no entry would reach some of them.
    std::size_t entriesPerAgent = 8;

    // A service with at most this many agents is used whole, since leaving out a few saves little.
    // In percent of the subset size
    std::size_t wholePercent = 150;

    // Part of the subset in the entry's own data centre, in percent
    std::size_t localPercent = 75;

    // Step by which the subset grows and shrinks, in percent of the minimum, and pauses between
    // steps, in which new sessions show whether they suffice. After a restart of control hosts few
    // entries may be known for a moment; the pause prevents connecting to all agents then.
    std::size_t stepPercent = 50;
    Milliseconds growInterval { 200 };
    Milliseconds shrinkInterval { 10000 };

    // Maximum size while work finds no free capacity, as a multiple of the usual size
    std::size_t maxGrowth = 4;

    // A chosen agent that is unreachable for this long no longer counts towards the size.
    Milliseconds replaceAfter { 1000 };

    // An agent that is no longer chosen keeps its session for this long in case it is chosen again.
    Milliseconds surplusRetention { 5000 };

    // Number of agents added for a requirement that no agent in the subset meets, and for how long
    std::size_t agentsPerRequirement = 4;
    Milliseconds requirementRetention { 30000 };
};

// [SECTION] State

struct ListedAgent
{
    directory::NodeInfo node;

    // Rendezvous weight for this entry; higher ranks first
    std::uint64_t weight = 0;

    // Control hosts that list it
    std::set<std::string> listedBy;

    // A session is open or being opened.
    bool hasSession = false;
    bool connected = false;

    // Start of the current time with a session but no connection
    Time disconnectedSince {};

    // The session is open but the agent is no longer chosen, and since when
    bool surplus = false;
    Time surplusSince {};

    // Chosen for a job's requirement until then
    Time requiredUntil {};
};

struct SubsetState
{
    SubsetSettings settings;
    std::string entry;
    std::string dataCentre;

    // By address
    std::map<std::string, ListedAgent> agents;

    // Number of live entries as counted by each control host
    std::map<std::string, std::uint32_t> entryCounts;

    // Data centres whose agents accept no new work
    catalog::Cordons cordons;

    // Target number of agents of each service, and the growth steps above the usual size in it
    std::size_t size = 0;
    std::size_t growthSteps = 0;
    Time resizedAt {};
    Time growthRequestedAt {};

    // Estimated number of entries that share the subset's capacity, including this one
    std::uint32_t sharingEntries = 1;

    // The input has changed since the last choice.
    bool changed = true;
    Time chosenAt {};
};

// What a task requires of an endpoint
struct Requirement
{
    std::string service;

    // Labels that it must have; empty: any endpoint
    std::string label;
    std::string rack;
    jobs::ResourceVector demand;
};

struct SubsetChanges
{
    // Agents to connect to
    std::vector<std::string> added;

    // No longer needed: close the session once no run of this entry is left there, then call
    // dropped().
    std::vector<std::string> surplus;

    // No longer listed and not connected
    std::vector<std::string> removed;
};

// [SECTION] Functions

SubsetState makeSubset(const SubsetSettings &settings, const std::string &entry,
                       const std::string &dataCentre);

// Applies a control host's update of agents and of the number of entries.
void applyUpdate(SubsetState &subset, const std::string &from,
                 const directory::DirectoryUpdate &update);

// Removes a control host that is no longer a peer, with the agents that only it lists.
void removeControlHost(SubsetState &subset, const std::string &host);
void applyCordons(SubsetState &subset, const catalog::Cordons &cordons);

void sessionOpened(SubsetState &subset, const std::string &agent);
void connectionLost(SubsetState &subset, const std::string &agent, Time now);

// Its session was closed because it was no longer needed.
void dropped(SubsetState &subset, const std::string &agent);

// Work has found no free capacity in the subset.
void requestGrowth(SubsetState &subset, Time now);

// Ensures that the subset has an agent that meets a job's requirement: if it has none, the next
// choice adds some. False if no listed agent meets it.
bool requireAgents(SubsetState &subset, const Requirement &requirement, Time now);

// Computes the changes to the sessions. Cheap if the input has not changed.
SubsetChanges choose(SubsetState &subset, Time now);

// Whether this entry prefers `left` to `right`.
bool ranksBefore(const ListedAgent *left, const ListedAgent *right);

// Number of agents with a session that is open or being opened.
std::size_t sessionCount(const SubsetState &subset);

} // namespace foxwing::subset
