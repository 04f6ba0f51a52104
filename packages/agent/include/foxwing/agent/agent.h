/*
    The agent: one small process beside each endpoint, with the final check before a task starts.

    Make an AgentState with makeAgent(), feed it messages, endpoint events and ticks, and apply the
    AgentActions that each call returns. Nothing in here reads a clock or does I/O:

        AgentState agent = makeAgent(settings);
        AgentActions actions = handle(agent, Message(start), now);
        for (const EndpointCall &call : actions.calls)
            ...

    A task starts only if the message names this incarnation of the agent, comes from the owner that
    holds the slot lease in its current epoch, is not fenced, voided or a duplicate, and a slot is
    free. Any other start is refused with NotStarted, a guarantee that this attempt never starts; a
    duplicate gets the result of its attempt, if there is one.

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

    // Number of tasks that the endpoint runs concurrently.
    std::uint32_t slots = 8;

    // An owner that has not answered an offer for this long loses the lease.
    Milliseconds leaseDuration { 1500 };

    // Interval between lease offers; must be well under leaseDuration.
    Milliseconds offerInterval { 400 };

    // An unsettled result is resent after this interval, which doubles each time up to the maximum.
    Milliseconds resendInterval { 500 };
    Milliseconds maxResendInterval { 8000 };

    // A job is kept this long after its last task here ended. Must be at least the claim retention
    // of the entries, so that no start is repeated after its record has expired.
    Seconds retention { 900 };

    // Limits in time and bytes on settled results, which are kept for an entry that takes over.
    Seconds settledRetention { 30 };
    std::size_t settledBytes = 16U << 20U;

    // Limit on the bytes of unsettled results; once it is reached, no new task starts.
    std::size_t unsettledBytes = 64U << 20U;
};

// An entry that can own this agent's slots, as last reported by control.
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
    bool stopSent = false;
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

// Usage of one team at this agent, counted once per start.
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

    // The configuration has not been confirmed for too long: no new task starts.
    bool configurationStale = false;

    // Work
    std::unordered_map<std::string, JobRecord> jobs;
    std::deque<std::string> expiryQueue;
    std::vector<TaskRef> running;
    std::vector<TaskRef> unsettled;
    std::size_t unsettledBytes = 0;
    std::deque<SettledResult> settled;
    std::size_t settledBytes = 0;

    // Metrics
    std::unordered_map<std::string, TeamUsage> usage;
    AgentCounters counters;
};

// [SECTION] Actions

struct Outgoing
{
    std::string to;
    FromAgent message;
};

// Call the endpoint with this task; report the outcome with endpointDone().
struct EndpointCall
{
    TaskRef ref;
    std::string team;
    std::string payload;
    Microseconds timeLeft { 0 };
};

// Ask the endpoint to stop this task; its call still ends with endpointDone().
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

// An agent without a lease or jobs. The incarnation must differ from every earlier one of this id.
AgentState makeAgent(const AgentSettings &settings);

// Handles one message from an entry.
AgentActions handle(AgentState &agent, const ToAgent &message, Time now);

// Reports the end of a call to the endpoint: an answer, a failure or a cancellation.
AgentActions endpointDone(AgentState &agent, const TaskRef &ref, TaskEnd end, std::string body,
                          Time now);

// Sets the live entries as reported by control. An owner not among them loses the lease at once.
AgentActions setEntries(AgentState &agent, std::vector<OwnerCandidate> entries, Time now);

// The endpoint is leaving: no new task starts, running tasks are finished.
AgentActions leave(AgentState &agent, Time now);

// Renews the lease, resends results, stops overdue tasks and removes expired jobs. Call it every
// few milliseconds; calling it more often has no further effect.
AgentActions tick(AgentState &agent, Time now);

// Whether no task runs and every result is settled, so that the process may exit.
bool drained(const AgentState &agent);

// The entry that should own an agent: the highest rendezvous weight among those of its own data
// centre, or among all if there are none. `excluded` is chosen only if it is the only entry. Null
// if there are no entries.
const OwnerCandidate *preferredOwner(const std::string &agentId, const std::string &dataCentre,
                                     const std::vector<OwnerCandidate> &entries,
                                     const std::string &excluded);

} // namespace foxwing::agent
