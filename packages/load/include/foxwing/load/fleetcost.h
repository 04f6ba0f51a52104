/*
    What each role of a fleet sends and holds at rest, worked out from the fleet's size.

    The capacity page foretells with this; a test holds it against the decisions that the daemon
    runs.

        FleetShape shape;
        shape.entries = 184;
        shape.agents = 800;
        const FleetCost cost = costAtRest(shape);

    [SECTION] Shape
    [SECTION] Cost
*/
#pragma once

#include <cstddef>

#include <foxwing/base/time.h>
#include <foxwing/scheduler/scheduler.h>
#include <foxwing/subset/subset.h>

namespace foxwing::load {

// [SECTION] Shape

struct FleetShape
{
    std::size_t entries = 1;
    std::size_t agents = 1;
    std::size_t controlHosts = 1;
    subset::SubsetSettings subset;
    scheduler::SchedulerSettings scheduler;

    // Between two signs of life on a connection with a control host, each way
    Milliseconds controlHeartbeatInterval { 500 };
};

// [SECTION] Cost

struct RoleCost
{
    // With agents at an entry, with entries at an agent; on average
    double sessions = 0;

    // Inside the fleet; callers and endpoints are not in it
    double connections = 0;

    // Sent and heard
    double messagesPerSecond = 0;
};

struct FleetCost
{
    RoleCost entry;
    RoleCost agent;
    RoleCost control;
};

// Where nothing runs and nobody comes or goes.
FleetCost costAtRest(const FleetShape &shape);

} // namespace foxwing::load
