/*
    Event-loop lag of this process, and whether it should withdraw from load balancing.

    A process that gets too little CPU time answers late without noticing, since it measures a call
    from when it reads it. The delay of event-loop turns shows it: each turn begins late by the time
    that the loop spent before.

    While the process lags, a call's time counts from when it was received instead of when it was
    read. The process also withdraws for a bounded time: it asks its callers to use other processes.
    It doesn't know whether those have withdrawn too, so it withdraws at random, briefly and rarely.

        LagState lag = makeLag(settings);
        if (recordTurn(lag, dueAt, now)) ... log the change ...
        if (isLagging(lag)) ... subtract the time a call has waited unread ...
        if (isWithdrawn(lag)) ... fail the readiness check ...
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

    // The process withdraws above this average lag; zero: never.
    Milliseconds withdrawAbove { 0 };

    // It no longer lags when the average is below this and below half of withdrawAbove.
    Milliseconds resumeBelow { 5 };

    // Time constant of the average
    Milliseconds window { 500 };

    // Maximum delay counted for one turn, so that the average falls in bounded time
    Milliseconds maxDelay { 500 };

    // Slow turns during startup must not keep a new process out of service.
    Milliseconds startupGrace { 3000 };

    // Minimum duration of a withdrawal. Long enough for a load balancer that checks every second
    // and needs two failures to stop sending new connections.
    Milliseconds minWithdrawal { 2500 };

    // Maximum duration, exceeded by at most one turn: a process that always lags must not stay out
    // of service.
    Milliseconds maxWithdrawal { 3800 };

    // Minimum time in service between two withdrawals, as a multiple of the duration of the last
    // one. Bounds the time out of service of a process that always lags.
    std::uint32_t serviceRatio = 15;

    // Connections are closed this long after the start of a withdrawal. Earlier, the load balancer
    // could send a reconnecting caller back to this process.
    Milliseconds closeAfter { 2000 };

    // Probability that a lagging process withdraws, in percent, so that not all do at once. The
    // others draw again after the interval below, when the first are back.
    std::uint32_t withdrawPercent = 75;
    Milliseconds redrawInterval { 4000 };
};

// [SECTION] State

// Window of the median filter, which ignores single long turns.
constexpr std::size_t MedianTurns = 3;

struct LagState
{
    LagSettings settings;
    std::mt19937_64 random;

    // Delays of the last turns (ring buffer)
    std::array<Microseconds, MedianTurns> delays {};
    std::size_t next = 0;

    // Moving average of the turns' delays
    Microseconds averageDelay { 0 };

    // Time of the last turn; unset before the first
    Time lastTurnAt {};

    // Whether the process lags, with hysteresis
    bool lagging = false;

    // Whether it has withdrawn, since when, and the earliest time of the next withdrawal
    bool withdrawn = false;
    Time withdrawnSince {};
    Time nextWithdrawalAt {};
    std::uint64_t withdrawals = 0;
};

// [SECTION] Functions

LagState makeLag(const LagSettings &settings);

// Records a turn that was due at dueAt and began now; the first one only starts the measurement.
// True if the process has withdrawn or returned by it.
bool recordTurn(LagState &lag, Time dueAt, Time now);

bool isWithdrawn(const LagState &lag);

// Whether to close connections after their answers, so that callers use other processes.
bool closesConnections(const LagState &lag);

// Whether calls wait long before they are read, whether or not the process has withdrawn.
bool isLagging(const LagState &lag);

} // namespace foxwing::lag
