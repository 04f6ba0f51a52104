/*
    Estimates how long work will wait for capacity, from the reports of all agents: the starts of
    all entries that wait there, and the rate at which capacity is freed.

    All entries compute the same estimate from the same reports. It decides which jobs are refused
    on arrival, which late jobs may still wait, and when a refused caller should retry.

        ServiceLoad serviceLoad;
        addAgent(serviceLoad, report, now);        // for each agent of the service
        serviceLoad.share = share;
        const std::optional<Milliseconds> wait = expectedWait(serviceLoad, demand);

    [SECTION] Input
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <foxwing/base/time.h>
#include <foxwing/jobs/messages.h>

namespace foxwing::forecast {

// [SECTION] Input

// Latest report of one agent.
struct AgentReport
{
    std::int64_t freeMilliCores = 0;
    std::vector<jobs::PriorityBacklog> waiting;
    std::uint32_t freedPerSecond = 0;
    Time lastReceivedAt {};
};

// Load of one service, summed over its agents.
struct ServiceLoad
{
    // By priority, most urgent first
    std::vector<jobs::PriorityBacklog> waiting;

    // Free capacity of each endpoint that has any, and capacity freed per second by all of them; in
    // millicores
    std::vector<std::int64_t> free;
    double freedPerSecond = 0;

    // Fraction of freed capacity that goes to this entry; the queues of other entries are unknown.
    double share = 1;

    // Age of the oldest report included
    Microseconds age { 0 };
};

// A job's demand, as input of an estimate.
struct JobDemand
{
    std::uint32_t priority = 0;

    // Demand of one task and of all waiting tasks, in millicores
    std::int64_t taskMilliCores = 0;
    std::int64_t milliCores = 0;

    // Work queued ahead of it at this entry, in millicores
    std::int64_t queuedAhead = 0;
};

// [SECTION] Functions

// Older reports are ignored: the agent may be disconnected.
constexpr Milliseconds MaxReportAge { 500 };

// Upper bound of an estimate; prevents overflow when waits are added up.
constexpr Milliseconds MaxWait = std::chrono::hours(1);

// Bounds of the result of estimateRetryAfter()
constexpr Milliseconds MinRetryAfter { 100 };
constexpr Milliseconds MaxRetryAfter { 4000 };

void addAgent(ServiceLoad &serviceLoad, const AgentReport &report, Time now);

// Whether any work is waiting ahead of the job.
bool hasWorkAhead(const ServiceLoad &serviceLoad, const JobDemand &demand);

// Time until the work ahead of the job and the job itself have capacity. Empty if unknown: too
// little is free now and no capacity was freed recently.
std::optional<Milliseconds> expectedWait(const ServiceLoad &serviceLoad, const JobDemand &demand);

// Delay after which a refused caller should retry: the expected wait, plus up to as much again.
// `jitter`, a random number from 0 to 1, spreads the retries of different callers.
Milliseconds estimateRetryAfter(const ServiceLoad &serviceLoad, const JobDemand &demand,
                                double jitter);

} // namespace foxwing::forecast
