/*
    The cost of an idle fleet.

    [SECTION] Cost
*/
#include <foxwing/load/fleetcost.h>

#include <algorithm>

namespace foxwing::load {

// [SECTION] Cost

namespace {

double perSecond(Milliseconds interval)
{
    return 1000.0 / static_cast<double>(interval.count());
}

std::size_t sessionsOfEntry(const FleetShape &shape)
{
    const subset::SubsetSettings &settings = shape.subset;
    const std::size_t shared = settings.entriesPerAgent * shape.agents;
    const std::size_t size = std::max(settings.minSize,
                                      (shared + shape.entries - 1) / shape.entries);
    const bool connectsToAll = shape.agents * 100 <= size * settings.wholePercent;
    return connectsToAll ? shape.agents : size;
}

} // namespace

FleetCost costAtRest(const FleetShape &shape)
{
    const auto entries = static_cast<double>(shape.entries);
    const auto agents = static_cast<double>(shape.agents);
    const auto controlHosts = static_cast<double>(shape.controlHosts);
    // Each heartbeat is answered.
    const double perSession = 2 * perSecond(shape.scheduler.heartbeatInterval);
    const double perControlConnection = 2 * perSecond(shape.controlHeartbeatInterval);
    FleetCost cost;
    cost.entry.sessions = static_cast<double>(sessionsOfEntry(shape));
    cost.agent.sessions = cost.entry.sessions * entries / agents;
    for (RoleCost *role : { &cost.entry, &cost.agent }) {
        role->connections = role->sessions + controlHosts;
        role->messagesPerSecond = role->sessions * perSession + controlHosts * perControlConnection;
    }
    cost.control.connections = entries + agents + 2 * (controlHosts - 1);
    cost.control.messagesPerSecond = cost.control.connections * perControlConnection;
    return cost;
}

} // namespace foxwing::load
