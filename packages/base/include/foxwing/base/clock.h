/*
    Readings of the clocks. Only shells include this: code that decides takes the time as an
    argument.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/base/time.h>

namespace foxwing {

// [SECTION] Functions

// Now on this process's monotonic clock.
inline Time steadyNow()
{
    return std::chrono::time_point_cast<Microseconds>(std::chrono::steady_clock::now());
}

// Now as a date; may jump either way.
inline WallTime wallClockNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace foxwing
