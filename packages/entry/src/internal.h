/*
    Internal interface between the source files of the entry.

    [SECTION] Actions
    [SECTION] Admission
    [SECTION] Claims
    [SECTION] Other entries
*/
#pragma once

#include <foxwing/entry/entry.h>

namespace foxwing::entry {

// [SECTION] Actions

// Appends actions of the dispatcher or the claim table. Callers of jobs that ended are answered.
void appendActions(EntryState &entry, dispatch::Actions &&from, Time now, EntryActions &actions);
void appendActions(claims::ClaimActions &&from, EntryActions &actions);

// [SECTION] Admission

// Returns "team/submission", which is unique in the whole system.
std::string keyOf(const std::string &team, const std::string &submission);

// Wraps an error as an answer.
dispatch::Answer errorAnswer(Error error);

// Returns an error while this entry accepts no work. A submission with an id may be running on
// another entry, so only one without is reported as "not run". Another entry can take either.
std::optional<Error> checkAvailability(const EntryState &entry, const SubmitRequest &request,
                                       Time now);

// Checks a request by itself. An invalid one can't have been accepted before.
std::optional<Error> validate(const EntryState &entry, const SubmitRequest &request,
                              WallTime wallNow);

// Converts a request for the dispatcher.
dispatch::JobSpec jobSpec(const std::string &key, const SubmitRequest &request, Time deadline);

// Adds a pending submission, to be claimed or run.
Pending &addPending(EntryState &entry, const std::string &key, const SubmitRequest &request,
                    Time deadline);

// Submits to the local dispatcher. The claim must be held, unless none is needed.
void runLocally(EntryState &entry, const std::string &key, Pending &pending, Time now,
                EntryActions &actions);

// Requests the claim from its primary, and repeats the request until it is answered.
void startClaim(EntryState &entry, const std::string &key, Pending &pending, Time now,
                EntryActions &actions);

// [SECTION] Claims

// Requests the claim again after the owner was lost or refused the handoff. If this entry has the
// body, it can take the job over.
void restartClaim(EntryState &entry, const std::string &key, Pending &pending, Time now,
                  EntryActions &actions);

// Handles the reply of a claim's primary.
void handleClaimResponse(EntryState &entry, const claims::ClaimResponse &response, Time now,
                         EntryActions &actions);

// The primary recorded that the job never runs, or found that another entry owns it by now.
void handleReleased(EntryState &entry, const claims::Released &released, EntryActions &actions);

// Takes over the job of a lost owner, once the list of agents is fresh.
void takeOver(EntryState &entry, const std::string &key, Pending &pending, Time now,
              EntryActions &actions);

// Answers the callers of jobs that ended. "Not run" waits for confirmation by the claim's primary.
void handleEndedJobs(EntryState &entry, const std::vector<std::string> &keys, Time now,
                     EntryActions &actions);

// [SECTION] Other entries

// Returns the peer that should own this submission, or nothing if this entry should.
std::optional<claims::EntryIdentity> choosePeer(EntryState &entry, const SubmitRequest &request,
                                                Time now);

// Sends the submission to another entry. A request without an id gets one, so that a repeated
// message can't run it twice.
void handOff(EntryState &entry, SubmitRequest request, const claims::EntryIdentity &owner, Time now,
             WallTime wallNow, EntryActions &actions);

// Accepts work from a peer. It is claimed like any other, and never handed off again.
void handleHandoff(EntryState &entry, const Handoff &handoff, Time now, EntryActions &actions);

// Handles the answer of the entry that runs a job for callers of this one.
void handleJoinAnswer(EntryState &entry, const JoinAnswer &joined, Time now, EntryActions &actions);

// Reports load to the peers, and moves a worker if one is due.
void balance(EntryState &entry, Time now, EntryActions &actions);

} // namespace foxwing::entry
