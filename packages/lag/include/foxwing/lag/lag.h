/*
    How far this process is behind with its own work, and whether it should take less.

    A host that was slowed down, or has too small a share of a processor for the calls it gets,
    answers everything late and does not know it: its own clock starts when it reads a call. The
    loop's timer tells: it fires late by what the loop had to do before it.

        LagState lag;
        noteTurn(lag, dueAt, now);
        if (standsBack(lag)) ... is not ready, refuses what it can't serve in time ...

    [SECTION] Settings
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <cstdint>

#include <foxwing/base/time.h>

namespace foxwing::lag {

// [SECTION] Settings

struct LagSettings
{
    // Behind by this much, averaged over the span, the process stands back; zero: never.
    Milliseconds standBackAbove { 0 };

    // It takes work again once it is behind by less than this.
    Milliseconds takeAgainBelow { 5 };

    // Turns count for about this long.
    Milliseconds span { 500 };

    // It stands back for no shorter and no longer than this at a time, so that callers neither
    // swing between entries nor lose one for good.
    Milliseconds leastPause { 1000 };
    Milliseconds mostPause { 5000 };
};

// [SECTION] State

struct LagState
{
    LagSettings settings;

    // How late the loop's turns were of late
    Microseconds behind { 0 };
    Time at {};

    bool back = false;
    Time backSince {};
    std::uint64_t timesBack = 0;
};

// [SECTION] Functions

// A turn that was due at dueAt began now. True if whether it stands back has changed by it.
bool noteTurn(LagState &lag, Time dueAt, Time now);

bool standsBack(const LagState &lag);

// What a call that is read now has probably waited already, unread.
Microseconds unreadWait(const LagState &lag);

} // namespace foxwing::lag
