/*
    How long work will wait for room, from what all agents tell: the starts of all entries that wait
    there, and the pace at which room comes free.

    Every entry makes the same forecast of the same news. It decides what is refused at once, what
    is late and still worth waiting for, and when a caller should come back.

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

// What one agent has told last.
struct AgentNews
{
    std::int64_t freeMilliCores = 0;
    std::vector<jobs::PriorityBacklog> waiting;
    std::uint32_t freedPerSecond = 0;
    Time lastReceivedAt {};
};

// One service as a whole.
struct ServiceLoad
{
    // By priority, most urgent first
    std::vector<jobs::PriorityBacklog> waiting;

    // Thousandths of a core: free at each endpoint that has any, and coming free each second at all
    // of them
    std::vector<std::int64_t> free;
    double freedPerSecond = 0;

    // Part of the freed room that comes to this entry: what waits at the others is not told
    double share = 1;

    // Of the oldest news in it
    Microseconds age { 0 };
};

// A job as the forecast sees it.
struct JobDemand
{
    std::uint32_t priority = 0;

    // Thousandths of a core of one task, and of all its tasks that wait
    std::int64_t taskMilliCores = 0;
    std::int64_t milliCores = 0;

    // Work that waits at this entry and goes before it
    std::int64_t queuedAhead = 0;
};

// [SECTION] Functions

// News older than this is left out: the agent may be cut off.
constexpr Milliseconds OldestNews { 500 };

// A forecast says no more than this; sums of longer waits would overflow.
constexpr Milliseconds LongestWait = std::chrono::hours(1);

// What estimateRetryAfter() answers with.
constexpr Milliseconds MinRetryAfter { 100 };
constexpr Milliseconds MaxRetryAfter { 4000 };

void addAgent(ServiceLoad &serviceLoad, const AgentNews &news, Time now);

// Whether anything waits that goes before the job.
bool hasWorkAhead(const ServiceLoad &serviceLoad, const JobDemand &wanted);

// Until what goes before it, and the job itself, have found room. Nothing is known, and nothing
// returned, while no room came free of late and too little is free.
std::optional<Milliseconds> expectedWait(const ServiceLoad &serviceLoad, const JobDemand &wanted);

// When a caller that is refused now should come back: once what waits has found room, and up to as
// long again by chance, from 0 to 1, so that not all come back together.
Milliseconds estimateRetryAfter(const ServiceLoad &serviceLoad, const JobDemand &wanted,
                                double chance);

} // namespace foxwing::forecast
