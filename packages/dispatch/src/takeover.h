/*
    Inside the dispatcher: taking over the jobs of a dead owner.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/dispatch/dispatcher.h>

namespace foxwing::dispatch {

// [SECTION] Functions

// Sends the fence to every agent that has not answered it, when it is due.
void sendFences(Dispatcher &dispatcher, Job &job, Time now, Actions &actions);

// Takes in what one agent knows. Ends the collection when it was the last.
void takeFenced(Dispatcher &dispatcher, Job &job, const agent::Fenced &fenced, Time now,
                Actions &actions);

// Repeats fences and ends collections whose time is over.
void tickCollections(Dispatcher &dispatcher, Time now, Actions &actions);

// Goes on with what is known once every agent has answered or been given up.
void endCollection(Dispatcher &dispatcher, Job &job, Time now, Actions &actions);

} // namespace foxwing::dispatch
