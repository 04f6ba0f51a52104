/*
    The submissions of an experiment, generated from its seed before anything is sent.

    [SECTION] Types
    [SECTION] Functions
*/
#pragma once

#include <foxwing/load/experiment.h>

namespace foxwing::load {

// [SECTION] Types

struct PlannedJob
{
    // From the start of the experiment
    Microseconds at { 0 };
    std::size_t mix = 0;
    std::vector<Milliseconds> tasks;
    Milliseconds estimate { 0 };
    bool resubmit = false;
    bool cancel = false;
};

// [SECTION] Functions

// Open loop: arrival times don't depend on answers. Sorted by time.
std::optional<std::vector<PlannedJob>> makePlan(const Experiment &experiment, Error *reason);

// The shortest possible time: that of the longest task, since all tasks may run in parallel.
Milliseconds idealTime(const PlannedJob &job);

} // namespace foxwing::load
