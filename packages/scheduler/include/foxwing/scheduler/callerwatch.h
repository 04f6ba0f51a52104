/*
    Whose callers are to be looked at before their jobs are placed.

    A loss of sessions often takes the callers' connections along. The end of a caller's connection
    may lie unread while the entry deals with its agents; if the job were placed meanwhile, it would
    run here while its caller's next try runs elsewhere. So for a while after a loss, a job is
    placed only after a look whether its caller is still there.

        CallerWatch watch;
        noteSessionLost(watch, now);
        for (std::uint64_t number : callersToSee(watch, scheduler, now))
            ... look at the caller's connection; abandon() the job if it is gone ...

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <foxwing/scheduler/scheduler.h>

namespace foxwing::scheduler {

// [SECTION] State

struct CallerWatchSettings
{
    // After the last loss, callers are looked at for this long: until a caller that lost its entry
    // has sent the job again, and the runs of lost agents are certainly over.
    Milliseconds watchFor { 2000 };

    // Callers are not looked at again for this long, so that sessions that come back one after the
    // other don't cost a look each.
    Milliseconds trustFor { 5 };
};

struct CallerWatch
{
    CallerWatchSettings settings;

    // Callers are looked at until then.
    Time until {};

    // The last look, and the last loss that made a look due
    Time lookedAt {};
    Time lossAt {};
};

// [SECTION] Functions

// A session with an agent was lost: the next look is due at once.
void noteSessionLost(CallerWatch &watch, Time now);

// The open jobs that what comes next may place, those with work that waits or whose runs are
// uncertain, if a look at their callers is due; it counts as done.
std::vector<std::uint64_t> callersToSee(CallerWatch &watch, const SchedulerState &scheduler,
                                        Time now);

} // namespace foxwing::scheduler
