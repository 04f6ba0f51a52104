/*
    The state of the world of the schedule tests, for the schedules themselves and for sessions.

    [SECTION] Size and faults
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

#include "world.h"

namespace foxwing::schedules {

using node::Message;

// [SECTION] Size and faults

constexpr std::uint32_t EntryCount = 3;
constexpr std::uint32_t AgentCount = 3;
constexpr std::uint32_t SubmissionCount = 6;
constexpr Milliseconds ChaosSpan { 7000 };
constexpr Milliseconds HealSpan { 18000 };
constexpr Milliseconds TickInterval { 50 };
constexpr Milliseconds BeatInterval { 400 };
constexpr Milliseconds CommitDelay { 4 };
constexpr std::int64_t WallStartMs = 1'796'000'000'000;
constexpr char ServiceName[] = "svc";

// [SECTION] State

struct Delivery
{
    Time at {};
    std::uint64_t order = 0;
    std::string from;
    std::string to;
    Message message;

    bool operator<(const Delivery &other) const
    {
        return at != other.at ? at > other.at : order > other.order;
    }
};

// What every process has, whatever its role.
struct Process
{
    std::string id;
    bool up = false;
    Time pausedUntil {};
    Time restartAt {};
    std::uint64_t incarnation = 0;
    Milliseconds skew { 0 };
    control::Reporter reporter;
    Time nextHeartbeat {};

    // Exactly one of these, by role
    std::unique_ptr<entry::EntryState> entry;
    std::unique_ptr<agent::AgentState> agent;
    std::unique_ptr<control::ControlState> control;
    bool isEntry = false;
    bool isAgent = false;

    std::vector<Delivery> heldBack;
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

// One piece of work that callers ask for, perhaps many times.
struct Work
{
    entry::SubmitRequest request;
    bool anonymous = false;
};

struct Waiting
{
    std::size_t work = 0;
    std::string process;
    std::uint64_t incarnation = 0;
    Time deadline {};
    bool lookUp = false;
};

struct World
{
    std::mt19937_64 random;
    Time now {};
    std::uint64_t order = 0;
    std::priority_queue<Delivery> network;
    std::map<std::string, Process> processes;
    std::vector<RunningTask> running;
    std::vector<Proposal> proposals;
    control::ClusterState durable;
    std::set<std::string> cut;
    bool chaos = true;

    std::vector<Work> works;
    std::map<entry::WaiterId, Waiting> waiting;
    entry::WaiterId nextWaiter = 1;

    // Starts that endpoints saw, by "job#task".
    std::map<std::string, int> starts;
    // Jobs of which somebody was told "not run".
    std::set<std::string> saidNotRun;
    Report report;

    // Sessions only: the time of the next tasks, and whether one is to fail
    bool session = false;
    Milliseconds taskTime { 0 };
    bool failNext = false;
    std::vector<std::string> transcript;
};

// [SECTION] Functions

// The date by a process's own clock.
WallTime wallOf(const World &world, const Process &process);

// Notes that a promise was broken.
void violate(World &world, const std::string &what);

// "team/submission", and what the endpoint answers for one task of it.
std::string keyOf(const entry::SubmitRequest &request);
std::string expectedResult(const std::string &job, std::size_t task);

// One reply to a caller: whole, its own, once, and "not run" only if nothing ran.
void checkReply(World &world, const entry::Reply &reply);

// Callers of live entries are answered by their deadline and a little more.
void checkWaiting(World &world);

// After everything has healed, new work must complete.
void checkRecovery(World &world, std::size_t fresh);

// Sends, starts and answers what a process decided.
void carryOut(World &world, Process &process, agent::AgentActions &&actions);
void carryOut(World &world, Process &process, entry::EntryActions &&actions);

// Ends a process; what it had in memory is gone.
void crash(World &world, Process &process);

// All processes, started, and the work that callers will ask for.
void setUp(World &world);

// Delivers and ticks until that time.
void advanceWorld(World &world, Time until);

} // namespace foxwing::schedules
