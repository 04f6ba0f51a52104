/*
    Predicts how long jobs of a queue run, from their callers' estimates and past jobs.

    Callers' estimates are often off by half, and scatter more widely than the run times. So the
    expected time lies between the estimate and the queue's usual time. Each queue has a linear
    regression of measured on estimated time, in logarithms, in which old jobs decay; until enough
    jobs were seen, it stays near the estimate.

        RunTimeModel model;
        recordRunTime(model, estimate, measured);
        Milliseconds expected = expectedRunTime(model, estimate);

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <foxwing/base/time.h>

namespace foxwing::scheduler {

// [SECTION] State

struct RunTimeModelSettings
{
    // A sample's weight falls to 1/e after this many later ones. Covers a few seconds of a busy
    // queue, so that a change in the work shows within that time.
    double decaySamples = 400;

    // Weight of the prior: estimates are trusted as if this many jobs had confirmed them.
    double priorSamples = 20;

    // Bound of measured over estimated time, either way; jobs beyond it were held up or cut short
    // by something else.
    double maxFactor = 5;
};

// Weighted sums over past jobs; x is the logarithm of the estimate, y that of measured over
// estimated time.
struct RunTimeModel
{
    RunTimeModelSettings settings;
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
};

// [SECTION] Functions

// Adds a job's estimated and measured critical path, waits excluded. Ignores durations of zero.
void recordRunTime(RunTimeModel &model, Milliseconds estimate, Microseconds measured);

// The predicted run time of work with this estimate.
Milliseconds expectedRunTime(const RunTimeModel &model, Milliseconds estimate);

} // namespace foxwing::scheduler
