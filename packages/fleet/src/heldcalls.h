/*
    Calls that arrive just after an entry's start, before it has received the catalog.

    After a power failure entries are up 0.1 to 0.3 s before control has a quorum. Refusing calls in
    that time would reject work while all endpoints are free. So a call is held until the catalog
    arrives, and then processed as of its time of arrival, or refused after holdTimeout. Calls that
    arrive after startupGrace are refused at once, since control may be down for long.

        HeldCalls held;
        held.startedAt = now;
        if (!hold(held, exchange, now))
            ... refuse ...
        for (HeldCall &call : takeExpired(held, now)) ... refuse ...
        for (HeldCall &call : takeAll(held)) ... process as of call.receivedAt ...

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
    // Few jobs can still be completed in time after a longer wait: the shortest are late after
    // 0.15 s, those with 0.2 s of work after 0.38 s.
    Milliseconds holdTimeout { 250 };

    // From the entry's start. After a power failure three of five control hosts are back 0.3 s
    // after the first entry is up.
    Milliseconds startupGrace { 1000 };

    // More than one entry of the largest fleet receives within holdTimeout; each takes a few
    // kilobytes.
    std::size_t maxCalls = 1000;
};

struct HeldCall
{
    fabric::ExchangePtr exchange;
    Time receivedAt {};
};

struct HeldCalls
{
    HoldSettings settings;
    Time startedAt {};

    // Oldest first
    std::deque<HeldCall> calls;
};

// [SECTION] Functions

// Returns false if the call is to be refused at once.
bool hold(HeldCalls &held, const fabric::ExchangePtr &exchange, Time now);

// Removes and returns calls that have reached holdTimeout.
std::vector<HeldCall> takeExpired(HeldCalls &held, Time now);

// Removes and returns all calls; use once the catalog has arrived.
std::vector<HeldCall> takeAll(HeldCalls &held);

} // namespace foxwing::fleet
