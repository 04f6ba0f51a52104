/*
    The agent: one small process beside each endpoint, and the last guard before a task starts.

    Make an AgentState with makeAgent(), feed it messages, endpoint events and ticks, and carry out
    the AgentActions that each call returns. Nothing in here reads a clock or talks to anybody:

        AgentState agent = makeAgent(settings);
        AgentActions actions = handle(agent, Message(start), now);
        for (const EndpointCall &call : actions.calls)
            ...

    A task starts only if the message names this incarnation of the agent, comes from the owner that
    holds the slot lease in its present epoch, is not fenced, not voided, not seen, and a slot is
    free. Everything else is answered with a proof that it did not start.

    [SECTION] Settings
    [SECTION] State
    [SECTION] Actions
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include <foxwing/agent/messages.h>

namespace foxwing::agent {

// [SECTION] Settings

struct AgentSettings
{
    // Identity
    std::string id;
    std::uint64_t incarnation = 0;
    std::string service;
    std::string dataCentre;

    // Tasks that the endpoint runs at the same time.
    std::uint32_t slots = 8;

    // An owner that has not answered an offer for this long loses the lease.
    Milliseconds leaseDuration { 1500 };

    // Offers are renewed this often; must be well under leaseDuration.
    Milliseconds offerInterval { 400 };

    // An unsettled result is sent again after this long, then with doubled waits.
    Milliseconds resendInterval { 500 };
    Milliseconds maxResendInterval { 8000 };

    // A job is remembered for this long after its last task here ended. Must be at least as long as
    // entries keep claims, so that no forgotten start can be repeated.
    Seconds retention { 900 };

    // A settled result is kept this long, and within this many bytes, for an entry that takes over.
    Seconds settledRetention { 30 };
    std::size_t settledBytes = 16U << 20U;

    // Bytes of results whose owners have not settled them; above it nothing new is started.
    std::size_t unsettledBytes = 64U << 20U;
};

// An entry that could own this agent's slots, as control last told.
struct OwnerCandidate
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
};

// [SECTION] State

enum class Phase {
    Running,
    Finished,
    Settled,
    Voided,
};

struct Assignment
{
    // Identity
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;

    // Progress
    Phase phase = Phase::Running;
    bool cancelSent = false;
    Time startedAt {};
    Time deadline {};
    Microseconds runTime { 0 };

    // Result, until settled
    TaskEnd end = TaskEnd::Failed;
    std::string body;
    bool bodyKept = true;
    Time nextSend {};
    Milliseconds resendDelay { 0 };
};

struct JobRecord
{
    std::string team;
    std::string owner;

    // Starts of a lower epoch are refused.
    std::uint64_t fenceEpoch = 0;
    std::vector<Assignment> assignments;
    Time lastTouched {};
};

// A settled result that is still kept.
struct SettledResult
{
    TaskRef ref;
    Time settledAt {};
};

struct Lease
{
    std::string owner;
    std::uint64_t ownerIncarnation = 0;
    std::uint64_t epoch = 0;
    Time expiresAt {};
    Time nextOffer {};
};

// What a team used here, counted once for each start.
struct TeamUsage
{
    std::uint64_t starts = 0;
    Microseconds runTime { 0 };
};

struct AgentCounters
{
    std::uint64_t starts = 0;
    std::uint64_t refusals = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t voids = 0;
    std::uint64_t cancels = 0;
    std::uint64_t resends = 0;
    std::uint64_t ownerChanges = 0;
};

struct AgentState
{
    AgentSettings settings;

    // Ownership
    Lease lease;
    std::vector<OwnerCandidate> entries;
    bool leaving = false;

    // A configuration that could not be confirmed for too long: nothing new is started.
    bool configurationStale = false;

    // Work
    std::unordered_map<std::string, JobRecord> jobs;
    std::deque<std::string> ageQueue;
    std::vector<TaskRef> running;
    std::vector<TaskRef> unsettled;
    std::size_t unsettledBytes = 0;
    std::deque<SettledResult> settled;
    std::size_t settledBytes = 0;

    // Measures
    std::unordered_map<std::string, TeamUsage> usage;
    AgentCounters counters;
};

// [SECTION] Actions

struct Outgoing
{
    std::string to;
    FromAgent message;
};

// Call the endpoint with this task; report the end with endpointDone().
struct EndpointCall
{
    TaskRef ref;
    std::string team;
    std::string payload;
    Microseconds timeLeft { 0 };
};

// Tell the endpoint to stop this task; its call still ends by itself.
struct EndpointStop
{
    TaskRef ref;
};

struct AgentActions
{
    std::vector<Outgoing> sends;
    std::vector<EndpointCall> calls;
    std::vector<EndpointStop> stops;
};

// [SECTION] Functions

// A fresh agent that knows nothing. The incarnation must differ from every earlier one of this id.
AgentState makeAgent(const AgentSettings &settings);

// One message from an entry.
AgentActions handle(AgentState &agent, const ToAgent &message, Time now);

// The endpoint answered, or the call to it ended in some other way.
AgentActions endpointDone(AgentState &agent, const TaskRef &ref, TaskEnd end, std::string body,
                          Time now);

// Control's newest list of entries; a dead owner loses the lease at once.
AgentActions setEntries(AgentState &agent, std::vector<OwnerCandidate> entries, Time now);

// The endpoint leaves: nothing new starts from now on, what runs is finished.
AgentActions leave(AgentState &agent, Time now);

// Renews leases, repeats results, ends overdue tasks, forgets old jobs. Call it every few
// milliseconds; doing so more often changes nothing.
AgentActions tick(AgentState &agent, Time now);

// Whether nothing runs and every result is settled, so that the process may end.
bool drained(const AgentState &agent);

// The entry that should own an agent: the highest rendezvous weight among those of its own data
// centre, or among all if there are none. Empty when there are no entries.
const OwnerCandidate *preferredOwner(const std::string &agentId, const std::string &dataCentre,
                                     const std::vector<OwnerCandidate> &entries,
                                     const std::string &excluded);

} // namespace foxwing::agent
