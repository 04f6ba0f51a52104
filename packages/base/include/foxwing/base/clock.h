/*
    Reads the clocks. Include this only in code that does I/O: state machines take the time as an
    argument.

    [SECTION] Functions
*/
#pragma once

#include <time.h>

#include <foxwing/base/time.h>

namespace foxwing {

// [SECTION] Functions

// The current time on the host's clock, which includes the time while the host is suspended.
//
// Library timers stop while the host is suspended, so they fire late. Their handlers compare
// deadlines with this clock, and so notice a missed one at most one timer interval after resume.
inline Time steadyNow()
{
    timespec reading {};
    // Fails only for an unknown clock.
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return Time(std::chrono::duration_cast<Microseconds>(
            Seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec)));
}

// The current date; may jump forward or backward.
inline WallTime wallClockNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace foxwing
