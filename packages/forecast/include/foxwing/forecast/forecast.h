/*
    Estimates how long work will wait for capacity, from the reports of all agents: the starts of
    all entries that wait there, and the rate at which capacity is released.

    All entries compute the same estimate from the same reports. It decides which jobs are refused
    on arrival, which late jobs may still wait, and when a refused caller should retry.

        Picture picture;
        addAgent(picture, news, now);        // for each agent of the service
        picture.share = share;
        const std::optional<Milliseconds> wait = expectedWait(picture, wanted);

    [SECTION] Picture
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <foxwing/base/time.h>
#include <foxwing/jobs/messages.h>

namespace foxwing::forecast {

// [SECTION] Picture

// Latest report of one agent.
struct AgentNews
{
    std::int64_t freeMilliCores = 0;
    std::vector<jobs::PriorityBacklog> waiting;
    std::uint32_t freedPerSecond = 0;
    Time heardAt {};
};

// Load of one service, summed over its agents.
struct ServiceLoad
{
    // By priority, most urgent first
    std::vector<jobs::PriorityBacklog> waiting;

    // Free capacity of each endpoint that has any, and capacity released per second by all of
    // them; in thousandths of a core
    std::vector<std::int64_t> free;
    double freedPerSecond = 0;

    // Fraction of released capacity that goes to this entry; the queues of other entries are
    // unknown.
    double share = 1;

    // Age of the oldest report included
    Microseconds age { 0 };
};

// A job's demand, as input of an estimate.
struct JobDemand
{
    std::uint32_t priority = 0;

    // Demand of one task and of all waiting tasks, in thousandths of a core
    std::int64_t taskMilliCores = 0;
    std::int64_t milliCores = 0;

    // Work queued ahead of it at this entry, in thousandths of a core
    std::int64_t queuedAhead = 0;
};

// [SECTION] Functions

// Older reports are ignored: the agent may be disconnected.
constexpr Milliseconds OldestNews { 500 };

// Upper bound of an estimate; prevents overflow when waits are added up.
constexpr Milliseconds LongestWait = std::chrono::hours(1);

// Bounds of the result of estimateRetryAfter()
constexpr Milliseconds MinRetryAfter { 100 };
constexpr Milliseconds MaxRetryAfter { 4000 };

void addAgent(ServiceLoad &serviceLoad, const AgentNews &news, Time now);

// Whether any work is waiting ahead of the job.
bool hasWorkAhead(const ServiceLoad &serviceLoad, const JobDemand &wanted);

// Time until the work ahead of the job and the job itself have capacity. Empty if unknown: too
// little is free now and no capacity was released recently.
std::optional<Milliseconds> expectedWait(const ServiceLoad &serviceLoad, const JobDemand &wanted);

// Delay after which a refused caller should retry: the expected wait, plus up to as much again.
// `chance` is a random number from 0 to 1; it spreads the retries of different callers.
Milliseconds estimateRetryAfter(const ServiceLoad &serviceLoad, const JobDemand &wanted,
                                double chance);

} // namespace foxwing::forecast
