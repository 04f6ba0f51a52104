/*
    How far this process is behind with its own work, and whether it should take less.

    A host that was slowed down, or has too small a share of a processor for the calls it gets,
    answers everything late and does not know it: its own clock starts when it reads a call. The
    loop's turns tell: each begins late by what the loop had to do before it.

    For a process that is behind, a call's time counts from when it came and not from when it is
    read. For a bounded time it also stands back: it asks its callers to go elsewhere. It can't see
   whether the other processes of its kind stand back too, so it does so by chance, for a short
   time, and seldom.

        LagState lag = makeLag(settings);
        if (recordTurn(lag, dueAt, now)) ... log the change ...
        if (isLagging(lag)) ... take off a call's time what it has waited unread ...
        if (isWithdrawn(lag)) ... answer that it is not ready ...
        if (closesConnections(lag)) ... close connections after their answers ...

    [SECTION] Settings
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <array>
#include <cstdint>
#include <random>

#include <foxwing/base/time.h>

namespace foxwing::lag {

// [SECTION] Settings

struct LagSettings
{
    std::uint64_t seed = 1;

    // Behind by more than this, averaged over the span, the process stands back; zero: never.
    Milliseconds withdrawAbove { 0 };

    // It is no longer behind below this, or below half of the bound above if that is less.
    Milliseconds takeAgainBelow { 5 };

    // Turns count for about this long.
    Milliseconds span { 500 };

    // No turn counts as later than this, so that the average falls in bounded time.
    Milliseconds maxDelay { 500 };

    // What a process does first takes longer than usual; it must not delay its coming into use.
    Milliseconds startupGrace { 3000 };

    // It stands back for no shorter than this at a time: a balancer that asks every second and
    // wants two misses has then had no new connections sent here for a moment at least.
    Milliseconds leastPause { 2500 };

    // And for hardly longer, a turn at the most: a process that is always behind must not be lost
    // for good.
    Milliseconds mostPause { 3800 };

    // Between two pauses it takes work for at least so many times as long as the last one took,
    // so that always being behind costs a small and known part of its time.
    std::uint32_t workForPauses = 15;

    // Connections are closed only so long after it began to stand back: before the balancer has
    // noticed, a caller that connects anew would come back to this process.
    Milliseconds noticedAfter { 2000 };

    // Of the processes that are behind at one time so many stand back, in percent, so that not
    // all leave at once. The others ask again after the pause below, when the first are there
    // again.
    std::uint32_t standBackPercent = 75;
    Milliseconds askAgainAfter { 4000 };
};

// [SECTION] State

// Of how many turns the middle one counts: a single long turn is then no sign.
constexpr std::size_t JudgedTurns = 3;

struct LagState
{
    LagSettings settings;
    std::mt19937_64 random;

    // How late the last turns were, the oldest overwritten first
    std::array<Microseconds, JudgedTurns> late {};
    std::size_t next = 0;

    // How late turns were of late, on average over time
    Microseconds averageDelay { 0 };

    // The last turn; unset before the first
    Time at {};

    // Behind, with a lower bound for its end than for its beginning
    bool slow = false;

    // Whether it stands back, since when, and the earliest time for the next pause
    bool back = false;
    Time withdrawnSince {};
    Time mayStandBackFrom {};
    std::uint64_t withdrawals = 0;
};

// [SECTION] Functions

LagState makeLag(const LagSettings &settings);

// A turn that was due at dueAt began now; the first one only begins the measure. True if whether it
// stands back has changed by it.
bool recordTurn(LagState &lag, Time dueAt, Time now);

bool isWithdrawn(const LagState &lag);

// Whether callers that were answered should go elsewhere with their next call.
bool closesConnections(const LagState &lag);

// Whether calls lose much of their time before they are read, standing back or not.
bool isLagging(const LagState &lag);

} // namespace foxwing::lag
