/*
    The two clocks of foxwing, as types.

    Use Time for everything that measures a span inside one process: leases, deadlines, retries.
    Use WallTime only for what crosses machines as a date: the time inside a submission id.
    Code that decides takes either as an argument; only the I/O shell reads a clock.

    [SECTION] Types
    [SECTION] Conversions
*/
#pragma once

#include <chrono>
#include <cstdint>

namespace foxwing {

// [SECTION] Types

using Microseconds = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

// A point on this process's monotonic clock. Means nothing to another process.
using Time = std::chrono::time_point<std::chrono::steady_clock, Microseconds>;

// A date, as far as the hosts' clocks agree. Never used to end a lease.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// [SECTION] Conversions

// Milliseconds as a floating number, for people and for plots.
inline double toMilliseconds(Microseconds span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace foxwing
