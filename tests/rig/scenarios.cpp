/*
    Scenarios of the load replay.

    [SECTION] Scenarios
*/
#include "rig.h"

namespace foxwing::test {

// [SECTION] Scenarios

RigSettings longOverload(std::uint64_t seed)
{
    RigSettings settings;
    settings.seed = seed;
    settings.bursts = { { Milliseconds(1000), Milliseconds(5000), 1.25, "" },
                        { Milliseconds(1500), Milliseconds(4500), 1.6, "long" } };
    settings.faults = { { EndpointFault::Kind::Fails, Milliseconds(1500), Milliseconds(6000), 10 },
                        { EndpointFault::Kind::Unreachable, Milliseconds(1000), Milliseconds(5000),
                          14 } };
    return settings;
}

RigSettings shortOverload(std::uint64_t seed)
{
    RigSettings settings = longOverload(seed);
    settings.duration = Milliseconds(5000);
    settings.callerTimeout = Milliseconds(2000);
    settings.bursts = { { Milliseconds(1000), Milliseconds(2200), 1.5, "" } };
    for (EndpointFault &fault : settings.faults)
        fault.until = Milliseconds(2200);
    return settings;
}

RigSettings competingQueues(std::uint64_t seed)
{
    RigSettings settings;
    settings.seed = seed;
    settings.entries = { 5, 3, 3 };
    settings.agents = { 21, 21, 21 };
    settings.callers = { 0.39, 0.34, 0.27 };
    settings.speeds = { 1.0, 1.0, 1.3 };
    settings.cores = { 32000, 32000, 48000 };
    settings.queues = { { "short", 0, 3, 227, Milliseconds(60), 8, 32, 2.9, 3000 },
                        { "middle", 1, 2, 660, Milliseconds(200), 2, 8, 1, 3000 },
                        { "long", 2, 4, 41, Milliseconds(900), 4, 16, 16, 3000 } };
    settings.callerTimeout = Milliseconds(2000);
    settings.bursts = { { Milliseconds(1000), Milliseconds(7000), 2.1, "long" } };
    settings.faults = { { EndpointFault::Kind::Fails, Milliseconds(0), Milliseconds(6000), 12 },
                        { EndpointFault::Kind::Unreachable, Milliseconds(500), Milliseconds(6500),
                          25 } };
    settings.duration = Milliseconds(9000);
    return settings;
}

RigSettings unevenEndpoints(std::uint64_t seed)
{
    RigSettings settings;
    settings.seed = seed;
    settings.entries = { 6, 5, 3 };
    settings.agents = { 26, 25, 25 };
    settings.callers = { 0.36, 0.30, 0.34 };
    settings.speeds = { 0.6, 1.0, 1.6 };
    settings.cores = { 32000, 32000, 48000 };
    settings.queues = {
        { "short", 0, 3, 200, Milliseconds(51), 8, 32, 2.9, 3600, 0.03, 7 },
        { "middle", 1, 3, 580, Milliseconds(170), 2, 8, 1, 3600, 0.03, 7 },
        { "long", 2, 4, 36, Milliseconds(760), 4, 16, 16, 3600, 0.03, 7 },
    };
    settings.callerTimeout = Milliseconds(2000);
    settings.bursts = { { Milliseconds(1000), Milliseconds(5000), 1.5, "" } };
    settings.faults = { { EndpointFault::Kind::Unreachable, Milliseconds(1000), Milliseconds(5000),
                          10 } };
    return settings;
}

RigSettings cordonedDataCentre(std::uint64_t seed)
{
    RigSettings settings;
    settings.seed = seed;
    settings.duration = Milliseconds(6000);
    settings.cordons = { { Milliseconds(1000), Milliseconds(5000), 1 } };
    return settings;
}

} // namespace foxwing::test
