/*
    The two clocks of foxwing, as types.

    Use Time for everything that measures a span inside one process: leases, deadlines, retries. It
    counts the time for which the host was suspended, which the library's steady clock leaves out:
   an entry that believed its leases after such a pause would start what others have started since.
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

// Rises evenly since the host began, suspended or not. A type of its own, so that the compiler
// refuses to compare it with readings of a clock that stops.
struct HostClock
{
    using duration = Microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<HostClock, duration>;
};

// A point on the host's clock. Means nothing to another host.
using Time = HostClock::time_point;

// A date, as far as the hosts' clocks agree. Never used to end a lease.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// [SECTION] Conversions

// Milliseconds as a floating number, for people and for plots.
inline double toMilliseconds(Microseconds span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace foxwing
