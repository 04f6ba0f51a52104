/*
    All submissions of an experiment, made from its seed before anything is sent.

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
    Milliseconds declared { 0 };
    bool resubmit = false;
    bool cancel = false;
};

// [SECTION] Functions

// Open loop: arrivals do not wait for answers. Sorted by time.
std::optional<std::vector<PlannedJob>> makePlan(const Experiment &experiment, Error *reason);

// The time the work itself takes: its longest task, since all may run at once.
Milliseconds idealTime(const PlannedJob &job);

} // namespace foxwing::load
