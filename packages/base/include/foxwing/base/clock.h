/*
    Readings of the clocks. Only shells include this: code that decides takes the time as an
    argument.

    [SECTION] Functions
*/
#pragma once

#include <time.h>

#include <foxwing/base/time.h>

namespace foxwing {

// [SECTION] Functions

// Now on the host's clock, which goes on while the host is suspended.
//
// Timers of the libraries stop for that time and fire late; what they wake looks at this clock, so
// it finds its deadline passed within the timer's own span of the host's return.
inline Time steadyNow()
{
    timespec reading {};
    // Fails for an unknown clock only.
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return Time(std::chrono::duration_cast<Microseconds>(
            Seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec)));
}

// Now as a date; may jump either way.
inline WallTime wallClockNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace foxwing
