/*
    A node's side of the talk with control: beats out, updates in.

    Tells late updates from current ones, so that a configuration never goes back, and knows since
    when control has confirmed what the node applies.

        Reporter reporter = makeReporter(identity);
        Beat beat = nextHeartbeat(reporter, now);
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
    Time at {};
};

struct Reporter
{
    // What every beat says; number, revision and view are filled in.
    Heartbeat identity;

    // Beats that are under way.
    std::deque<SentHeartbeat> sent;
    std::uint64_t number = 0;

    // What the node has
    std::uint64_t revision = 0;
    std::uint64_t view = 0;
    std::uint64_t viewUpdate = 0;
    std::uint64_t agentsVersion = 0;

    // When the beat was sent that control answered last.
    Time confirmedAt {};
    bool confirmed = false;
};

// [SECTION] Functions

Reporter makeReporter(const Heartbeat &identity);

Heartbeat nextHeartbeat(Reporter &reporter, Time now);

// Whether an update is current and not older than what the node has; if so, when the beat was sent
// that it answers, and the caller must apply it.
std::optional<Time> acceptUpdate(Reporter &reporter, const Update &update);

// Whether control has not confirmed the configuration for this long.
bool isStale(const Reporter &reporter, Milliseconds lease, Time now);

} // namespace foxwing::control
