/*
    How long work of a queue really takes, against what its callers guess.

    A caller's guess is often off by half, but not at random around the truth: guesses scatter more
    widely than the work does. So the expected time lies between the guess and what is usual for
    the queue. Per queue the line through the logarithms of guesses and of measured times is kept,
    with old jobs fading; until enough jobs have been seen it stays near the guess itself.

        RunTimes times;
        noteRunTime(times, guess, measured);
        Milliseconds expected = expectedRunTime(times, guess);

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <foxwing/base/time.h>

namespace foxwing::scheduler {

// [SECTION] State

struct RunTimeSettings
{
    // A sample's weight falls to a third after so many later ones. Some seconds of a busy queue's
    // jobs, so that a change in the work shows within that time.
    double memory = 400;

    // The guesses are believed as if so many jobs had confirmed them.
    double trustInGuesses = 20;

    // Jobs that this many guesses' worth above or below were held up or cut short by something
    // else.
    double mostFactor = 5;
};

// Weighted sums over past jobs; x is the logarithm of the guess, y that of measured over guess.
struct RunTimes
{
    RunTimeSettings settings;
    double weight = 0;
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
};

// [SECTION] Functions

// A job's guessed and measured longest chain of work, waiting left out. Spans of zero are passed
// over.
void noteRunTime(RunTimes &times, Milliseconds guess, Microseconds measured);

// What work with this guess will take.
Milliseconds expectedRunTime(const RunTimes &times, Milliseconds guess);

} // namespace foxwing::scheduler
