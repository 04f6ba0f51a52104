/*
    Decides when callers are probed before their jobs are placed.

    A loss of agent sessions often takes the callers' connections down too. The closed connection
    may go unnoticed while the entry handles its agents; a job placed in that time would run here
    while its caller's retry runs on another entry. So for a while after a loss, each caller is
    probed before its job is placed.

        CallerProbeState probes;
        recordSessionLost(probes, now);
        for (std::uint64_t number : callersToProbe(probes, scheduler, now))
            ... check the caller's connection; abandon() the job if it is closed ...

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <foxwing/scheduler/scheduler.h>

namespace foxwing::scheduler {

// [SECTION] State

struct CallerProbeSettings
{
    // Callers are probed for this long after the last loss: until a caller that lost its entry has
    // retried, and the runs of lost agents have certainly stopped.
    Milliseconds probeWindow { 2000 };

    // Minimum time between probes, so that sessions lost or restored one after another don't cost a
    // probe each.
    Milliseconds probeInterval { 5 };
};

struct CallerProbeState
{
    CallerProbeSettings settings;

    // Callers are probed until then.
    Time until {};

    // Times of the last probe, and of the last loss that made one due
    Time lastProbeAt {};
    Time lastLossAt {};
};

// [SECTION] Functions

// A session with an agent was lost: a probe is due at once.
void recordSessionLost(CallerProbeState &probes, Time now);

// If a probe is due, returns the open jobs that may be placed next (with waiting tasks or uncertain
// runs) and counts the probe as done.
std::vector<std::uint64_t> callersToProbe(CallerProbeState &probes, const SchedulerState &scheduler,
                                          Time now);

} // namespace foxwing::scheduler
