/*
    Internal: waiters, joins between entries, and the single answer of each submission.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/entry/entry.h>

namespace foxwing::entry {

// [SECTION] Functions

// Adds a caller that waits for the answer.
void addWaiter(EntryState &entry, Pending &pending, WaiterId waiter);

// Answers all waiters and joined entries, and removes the pending submission.
void finishPending(EntryState &entry, const std::string &key, const dispatch::Answer &answer,
                   EntryActions &actions);

// Replies to one caller and counts the outcome.
void reply(EntryState &entry, WaiterId waiter, const std::string &key,
           const dispatch::Answer &answer, EntryActions &actions);

// Sends or resends the claim request to the claim's primary.
void sendClaimRequest(EntryState &entry, const std::string &key, Pending &pending, Time now,
                      EntryActions &actions);

// Sends or resends the handoff, or a join to get the answer, to the owner.
void sendJoin(EntryState &entry, const std::string &key, Pending &pending, Time now,
              EntryActions &actions);

// Reports to the primary, or reports again, that nothing of a job ran.
void sendRelease(EntryState &entry, const std::string &key, Pending &pending, Time now,
                 EntryActions &actions);

// A caller of another entry waits for a job of this one.
void handleJoin(EntryState &entry, const Join &join, EntryActions &actions);

dispatch::Answer makeAnswer(Outcome outcome, ErrorKind kind, std::string message);

} // namespace foxwing::entry
