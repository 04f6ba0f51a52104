/*
    The types of the two clocks of foxwing.

    Use Time for everything that measures durations inside one process: leases, deadlines, retries.
    It includes the time while the host was suspended, which std::chrono::steady_clock does not: an
    entry that trusted its leases after a suspension would start what others have started meanwhile.

    Use WallTime only for dates that are exchanged between hosts, such as the time in a submission
    id. State machines take either as an argument; only code that does I/O reads a clock.

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

// Time since the host's boot, including suspension. A separate type, so that the compiler rejects
// comparisons with clocks that stop during suspension.
struct HostClock
{
    using duration = Microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<HostClock, duration>;
};

// A point on the host's clock, meaningless on another host.
using Time = HostClock::time_point;

// A date, as accurate as the hosts' clocks are synchronized. Never used to end a lease.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// [SECTION] Conversions

// Fractional milliseconds, for output.
inline double toMilliseconds(Microseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace foxwing
