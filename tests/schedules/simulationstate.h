/*
    Internal state of the simulation, shared by schedules and sessions.

    [SECTION] Parameters
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <foxwing/agent/agent.h>
#include <foxwing/control/control.h>
#include <foxwing/control/reporter.h>
#include <foxwing/entry/entry.h>
#include <foxwing/node/message.h>

#include "simulation.h"

namespace foxwing::schedules {

using node::Message;

// [SECTION] Parameters

constexpr std::uint32_t EntryCount = 3;
constexpr std::uint32_t AgentCount = 3;
constexpr std::uint32_t SubmissionCount = 6;
constexpr Milliseconds FaultDuration { 7000 };
constexpr Milliseconds RecoveryDuration { 18000 };
constexpr Milliseconds TickInterval { 50 };
constexpr Milliseconds HeartbeatInterval { 400 };
constexpr Milliseconds CommitDelay { 4 };
constexpr std::int64_t WallStartMs = 1'796'000'000'000;
constexpr char ServiceName[] = "svc";

// [SECTION] State

struct Delivery
{
    Time at {};
    std::uint64_t sequence = 0;
    std::string from;
    std::string to;
    Message message;

    bool operator<(const Delivery &other) const
    {
        return at != other.at ? at > other.at : sequence > other.sequence;
    }
};

// A process of any role.
struct Process
{
    std::string id;
    bool isUp = false;
    Time pausedUntil {};
    Time restartAt {};
    std::uint64_t incarnation = 0;
    Milliseconds clockSkew { 0 };
    control::Reporter reporter;
    Time nextHeartbeatAt {};

    // Exactly one of these is set, by role
    std::unique_ptr<entry::EntryState> entry;
    std::unique_ptr<agent::AgentState> agent;
    std::unique_ptr<control::ControlState> control;
    bool isEntry = false;
    bool isAgent = false;

    std::vector<Delivery> deferred;
};

struct RunningTask
{
    Time endsAt {};
    std::string process;
    std::uint64_t incarnation = 0;
    agent::TaskRef ref;
};

struct Proposal
{
    Time at {};
    control::Command command;
};

// A submission that callers may send several times.
struct Submission
{
    entry::SubmitRequest request;
    // A single request, for which the entry creates the id
    bool anonymous = false;
};

struct PendingReply
{
    std::size_t submission = 0;
    std::string process;
    std::uint64_t incarnation = 0;
    Time deadline {};
    bool isLookup = false;
};

struct Simulation
{
    std::mt19937_64 random;
    Time now {};
    std::uint64_t sequence = 0;
    std::priority_queue<Delivery> network;
    std::map<std::string, Process> processes;
    std::vector<RunningTask> running;
    std::vector<Proposal> proposals;
    control::ClusterState committedState;
    std::set<std::string> blockedLinks;
    bool faultsEnabled = true;

    std::vector<Submission> submissions;
    std::map<entry::WaiterId, PendingReply> pendingReplies;
    entry::WaiterId nextWaiter = 1;

    // Starts at endpoints, by "job#task".
    std::map<std::string, int> starts;
    // Jobs that were reported as "not run" to a caller.
    std::set<std::string> reportedNotRun;
    Report report;

    // Sessions only: no random faults, run time of the next tasks, and whether the next one to end
    // fails
    bool scripted = false;
    Milliseconds taskTime { 0 };
    bool failNext = false;
    std::vector<std::string> transcript;
};

// [SECTION] Functions

// The wall time on the clock of a process.
WallTime wallTimeOf(const Simulation &simulation, const Process &process);

void recordViolation(Simulation &simulation, const std::string &what);

// "team/submission", and the result that the endpoint gives for one of its tasks.
std::string keyOf(const entry::SubmitRequest &request);
std::string expectedResult(const std::string &job, std::size_t task);

// Checks a reply: complete results of the caller's own job, only one reply, and "not run" only if
// no task ran.
void checkReply(Simulation &simulation, const entry::Reply &reply);

// Checks that callers of running entries get a reply by their deadline, with some tolerance.
void checkPendingReplies(Simulation &simulation);

// Checks that all tasks of a submission made after the end of the faults have run.
void checkRecovery(Simulation &simulation, std::size_t number);

// Executes the actions that a process returned.
void execute(Simulation &simulation, Process &process, agent::AgentActions &&actions);
void execute(Simulation &simulation, Process &process, entry::EntryActions &&actions);

// Ends a process; its memory is lost.
void crash(Simulation &simulation, Process &process);

// Starts all processes and creates the submissions.
void setUp(Simulation &simulation);

// Delivers messages and ticks processes until the given time.
void advanceTo(Simulation &simulation, Time until);

} // namespace foxwing::schedules
