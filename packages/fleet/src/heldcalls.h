/*
    Calls that come to an entry in the first moments after its start, before it has been told the
    queues.

    After a loss of all power entries are there 0.1 to 0.3 s before a quorum of control is. Refusing
    what comes in that time turns away work although all endpoints are empty. So a call is held for
    a short while; then either the queues are known and it is treated as if it had been taken up
    when it came, or it is refused. An entry that knows no queues long after its start refuses at
    once: control may be down for long.

        HeldCalls held;
        held.startedAt = now;
        if (!hold(held, exchange, now))
            ... refuse ...
        for (HeldCall &call : expired(held, now)) ... refuse ...
        for (HeldCall &call : release(held)) ... go on as of call.cameAt ...

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <deque>

#include <foxwing/base/time.h>
#include <foxwing/fabric/httpserver.h>

namespace foxwing::fleet {

// [SECTION] State

struct HoldSettings
{
    // The shortest jobs have 0.15 s until they are late, those of 0.2 s work 0.38 s; beyond this
    // time few can still be served in time.
    Milliseconds mostHold { 250 };

    // From an entry's start; three of five control hosts that lost power together were back 0.3 s
    // after the first entry.
    Milliseconds startupGrace { 1000 };

    // More than come to one entry of the largest fleet within mostHold; each takes some kilobytes.
    std::size_t mostCalls = 1000;
};

struct HeldCall
{
    fabric::ExchangePtr exchange;
    Time cameAt {};
};

struct HeldCalls
{
    HoldSettings settings;
    Time startedAt {};

    // Oldest first
    std::deque<HeldCall> calls;
};

// [SECTION] Functions

// False if the call is to be refused at once.
bool hold(HeldCalls &held, const fabric::ExchangePtr &exchange, Time now);

// Calls that have waited for too long; they are held no more.
std::vector<HeldCall> expired(HeldCalls &held, Time now);

// All calls, once the queues are known.
std::vector<HeldCall> release(HeldCalls &held);

} // namespace foxwing::fleet
