/*
    Inside the entry: waiters, joins between entries, and the one answer of each submission.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/entry/entry.h>

namespace foxwing::entry {

// [SECTION] Functions

// Adds a caller to those who wait for a job.
void addWaiter(EntryState &entry, Pending &pending, WaiterId waiter);

// Answers everybody who waits and forgets the pending submission.
void conclude(EntryState &entry, const std::string &key, const dispatch::Answer &answer,
              EntryActions &actions);

// One caller's reply, counted.
void reply(EntryState &entry, WaiterId waiter, const std::string &key,
           const dispatch::Answer &answer, EntryActions &actions);

// Asks the home of the claim, or asks it again.
void sendAsk(EntryState &entry, const std::string &key, Pending &pending, Time now,
             EntryActions &actions);

// Asks the owner for the answer, or to run the work that was handed to it, or asks it again.
void sendJoin(EntryState &entry, const std::string &key, Pending &pending, Time now,
              EntryActions &actions);

// Tells the home that nothing of a job ran, or tells it again.
void sendRelease(EntryState &entry, const std::string &key, Pending &pending, Time now,
                 EntryActions &actions);

// Another entry's caller waits for a job of ours.
void handleJoin(EntryState &entry, const Join &join, EntryActions &actions);

dispatch::Answer makeAnswer(Outcome outcome, ErrorKind kind, std::string message);

} // namespace foxwing::entry
