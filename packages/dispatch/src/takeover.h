/*
    Internal: takeover of the jobs of a lost owner.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/dispatch/dispatcher.h>

namespace foxwing::dispatch {

// [SECTION] Functions

// Sends the fence to every agent that has not acknowledged it, at most once per fence interval.
void sendFences(Dispatcher &dispatcher, Job &job, Time now, Actions &actions);

// Applies the task states that one agent reports. Ends the collection if it was the last agent.
void handleFenced(Dispatcher &dispatcher, Job &job, const agent::Fenced &fenced, Time now,
                  Actions &actions);

// Repeats fences and ends collections that have timed out.
void tickCollections(Dispatcher &dispatcher, Time now, Actions &actions);

// Continues or fails the job once every agent has answered or the collection has timed out.
void endCollection(Dispatcher &dispatcher, Job &job, Time now, Actions &actions);

} // namespace foxwing::dispatch
