/*
    The order in which waiting jobs of one service get free slots.

    Teams come first: the team that has used least run time for its weight is next. Within a team
   the job with the fewest tasks left is next, unless some job has been passed over for longer than
   the bound; then the oldest is. All operations take logarithmic time in the number of teams or
   jobs.

        pushJob(queue, "team", 1.0, "team/id", 8, now);
        if (const std::string *key = nextJob(queue, now))
            ...

    [SECTION] Settings
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include <foxwing/base/time.h>

namespace foxwing::dispatch {

// [SECTION] Settings

enum class QueueOrder {
    // Fair between teams, fewest remaining tasks first within one.
    FairFewestRemaining,
    // The baseline: first come, first served over all teams.
    FirstCome,
};

struct QueueSettings
{
    QueueOrder order = QueueOrder::FairFewestRemaining;

    // A job that has waited this long goes before smaller ones of its team.
    Milliseconds starvationLimit { 2000 };
};

// [SECTION] State

struct SizeOrder
{
    std::uint32_t remaining = 0;
    std::uint64_t arrival = 0;
    std::string key;

    bool operator<(const SizeOrder &other) const
    {
        if (remaining != other.remaining)
            return remaining < other.remaining;
        return arrival < other.arrival;
    }
};

struct AgeOrder
{
    std::uint64_t arrival = 0;
    Time arrivedAt {};
    std::string key;

    bool operator<(const AgeOrder &other) const { return arrival < other.arrival; }
};

struct TeamOrder
{
    double virtualTime = 0;
    std::string team;

    bool operator<(const TeamOrder &other) const
    {
        if (virtualTime != other.virtualTime)
            return virtualTime < other.virtualTime;
        return team < other.team;
    }
};

struct TeamQueue
{
    double weight = 1;

    // Microseconds of run time charged so far, divided by the weight.
    double virtualTime = 0;

    // At its quota: nothing of the team is chosen until something of it ends.
    bool blocked = false;

    std::set<SizeOrder> bySize;
    std::set<AgeOrder> byAge;
};

struct QueuedJob
{
    std::string team;
    std::uint32_t remaining = 0;
    std::uint64_t arrival = 0;
    Time arrivedAt {};
};

struct FairQueue
{
    QueueSettings settings;
    std::unordered_map<std::string, TeamQueue> teams;
    std::unordered_map<std::string, QueuedJob> jobs;

    // Teams that have something waiting.
    std::set<TeamOrder> active;
    std::set<AgeOrder> byAge;
    std::uint64_t nextArrival = 0;

    // Where a team that was idle starts again: idling earns no credit.
    double virtualNow = 0;
};

// [SECTION] Functions

// Adds a job with so many waiting tasks; a job that is there gets the new count instead.
void pushJob(FairQueue &queue, const std::string &team, double weight, const std::string &key,
             std::uint32_t remaining, Time now);

// Sets how many tasks of a job wait; at 0 the job leaves the queue.
void setRemaining(FairQueue &queue, const std::string &key, std::uint32_t remaining);

// The job whose task gets the next free slot, or null if none waits.
const std::string *nextJob(const FairQueue &queue, Time now);

// Keeps a team that is at its quota from being chosen, or lets it be chosen again.
void blockTeam(FairQueue &queue, const std::string &team, bool blocked);

// Charges a team for run time, or gives some back if the span is negative.
void chargeTeam(FairQueue &queue, const std::string &team, Microseconds runTime);

} // namespace foxwing::dispatch
