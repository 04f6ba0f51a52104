/*
    Weighted fair queue: the order in which waiting jobs of one service get free slots.

    The team with the least run time used per weight is served next. Within a team the job with the
    fewest remaining tasks is next, unless the oldest one has waited longer than the starvation
    limit. All operations take logarithmic time in the number of teams or jobs.

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
    // First come, first served over all teams; the baseline.
    FirstCome,
};

struct QueueSettings
{
    QueueOrder order = QueueOrder::FairFewestRemaining;

    // A job that has waited this long goes before smaller jobs of its team.
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

    // The team is at its quota: none of its jobs is chosen until one of its tasks ends.
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

    // Teams with waiting jobs that are not blocked.
    std::set<TeamOrder> active;
    std::set<AgeOrder> byAge;
    std::uint64_t nextArrival = 0;

    // Virtual time at which a team that was idle rejoins, so that idle time earns no credit.
    double virtualNow = 0;
};

// [SECTION] Functions

// Adds a job, or updates the number of its waiting tasks if it is queued already.
void pushJob(FairQueue &queue, const std::string &team, double weight, const std::string &key,
             std::uint32_t remaining, Time now);

// Sets the number of waiting tasks of a job; at 0 the job leaves the queue.
void setRemaining(FairQueue &queue, const std::string &key, std::uint32_t remaining);

// Returns the job whose task gets the next free slot, or null if none can be chosen.
const std::string *nextJob(const FairQueue &queue, Time now);

// Excludes a team that is at its quota from being chosen, or includes it again.
void blockTeam(FairQueue &queue, const std::string &team, bool blocked);

// Charges a team for run time; a negative time is refunded.
void chargeTeam(FairQueue &queue, const std::string &team, Microseconds runTime);

} // namespace foxwing::dispatch
