/*
    Predicts connections and message rates of each role of an idle fleet from the fleet's size.

    The capacity page uses it; a test compares it with counts from the daemon's own state machines.

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

    // Between two heartbeats on a connection with a control host, in each direction
    Milliseconds controlHeartbeatInterval { 500 };
};

// [SECTION] Cost

struct RoleCost
{
    // Average number of sessions: of an entry with agents, or of an agent with entries
    double sessions = 0;

    // Between processes of the fleet, without callers and endpoints
    double connections = 0;

    // Sent and received
    double messagesPerSecond = 0;
};

struct FleetCost
{
    RoleCost entry;
    RoleCost agent;
    RoleCost control;
};

// The cost while no jobs run and no process starts or stops.
FleetCost costAtRest(const FleetShape &shape);

} // namespace foxwing::load
