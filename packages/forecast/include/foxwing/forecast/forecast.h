/*
    How long work will wait for room, from what all agents tell: the starts of all entries that wait
    there, and the pace at which room comes free.

    Every entry makes the same forecast of the same news. It decides what is refused at once, what
    is late and still worth waiting for, and when a caller should come back.

        Picture picture = makePicture();
        addAgent(picture, news, now);        // for each agent of the service
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
    std::vector<jobs::WaitingRoom> waiting;
    std::uint32_t freedPerSecond = 0;
    Time heardAt {};
};

// One service as a whole.
struct Picture
{
    // By priority, most urgent first
    std::vector<jobs::WaitingRoom> waiting;

    // Thousandths of a core: free in pieces that may be too small, and coming free each second
    std::int64_t freeMilliCores = 0;
    double freedPerSecond = 0;

    // Of the oldest news in it
    Microseconds age { 0 };
};

// A job as the forecast sees it.
struct Wanted
{
    std::uint32_t priority = 0;

    // Thousandths of a core of all its tasks that wait
    std::int64_t milliCores = 0;

    // Work that waits at this entry and goes before it
    std::int64_t beforeIt = 0;
};

// [SECTION] Functions

// News older than this is left out: the agent may be cut off.
constexpr Milliseconds OldestNews { 500 };

void addAgent(Picture &picture, const AgentNews &news, Time now);

// Until what goes before it, and the job itself, have found room. Nothing is known, and nothing
// returned, while no room came free of late.
std::optional<Milliseconds> expectedWait(const Picture &picture, const Wanted &wanted);

// When a caller that is refused now should come back: once what waits has found room, and some
// chance, from 0 to 1, on top so that not all come back together.
Milliseconds comeBackAfter(const Picture &picture, const Wanted &wanted, double chance);

} // namespace foxwing::forecast
