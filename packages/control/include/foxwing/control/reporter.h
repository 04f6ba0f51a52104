/*
    A node's side of the exchange with control: sends heartbeats, accepts updates.

    Rejects late updates, so that the configuration never goes back to an older one, and records
    when control last confirmed the configuration that the node applies.

        Reporter reporter = makeReporter(identity);
        Heartbeat heartbeat = nextHeartbeat(reporter, now);
        if (std::optional<Time> sentAt = acceptUpdate(reporter, update))
            ...

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <deque>

#include <foxwing/base/time.h>
#include <foxwing/control/messages.h>

namespace foxwing::control {

// [SECTION] State

struct SentHeartbeat
{
    std::uint64_t number = 0;
    Time sentAt {};
};

struct Reporter
{
    // Template of every heartbeat; nextHeartbeat() fills in the number and the versions below.
    Heartbeat identity;

    // Heartbeats that are not answered yet, oldest first
    std::deque<SentHeartbeat> unanswered;
    std::uint64_t number = 0;

    // What the node has applied
    std::uint64_t revision = 0;
    std::uint64_t view = 0;
    std::uint64_t viewUpdate = 0;
    std::uint64_t agentsVersion = 0;

    // When the last heartbeat that control answered was sent, and whether there was one.
    Time confirmedAt {};
    bool confirmed = false;
};

// [SECTION] Functions

Reporter makeReporter(const Heartbeat &identity);

Heartbeat nextHeartbeat(Reporter &reporter, Time now);

// Accepts an update that answers a current heartbeat and is not older than what the node has.
// Returns when that heartbeat was sent, and the caller must apply the update; otherwise returns
// nothing.
std::optional<Time> acceptUpdate(Reporter &reporter, const Update &update);

// Whether control has not confirmed the configuration within the lease.
bool isStale(const Reporter &reporter, Milliseconds lease, Time now);

} // namespace foxwing::control
