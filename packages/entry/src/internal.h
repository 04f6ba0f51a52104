/*
    Inside the entry: what its files share.

    [SECTION] Actions
    [SECTION] Admission
    [SECTION] Claims
    [SECTION] Other entries
*/
#pragma once

#include <foxwing/entry/entry.h>

namespace foxwing::entry {

// [SECTION] Actions

// Adds what the dispatcher or the claims want to the entry's actions; jobs that ended are answered.
void carry(EntryState &entry, dispatch::Actions &&from, Time now, EntryActions &actions);
void carry(claims::ClaimActions &&from, EntryActions &actions);

// [SECTION] Admission

// "team/submission", unique in the whole system.
std::string keyOf(const std::string &team, const std::string &submission);

// The answer that says an error.
dispatch::Answer refused(Error error);

// Why this entry can take nothing at present. An id may be running elsewhere, so only work
// without one is certain not to run; the same id is welcome at any other entry.
std::optional<Error> outOfService(const EntryState &entry, const SubmitRequest &request, Time now);

// What is wrong with a request by itself. It can't have been accepted before.
std::optional<Error> invalid(const EntryState &entry, const SubmitRequest &request,
                             WallTime wallNow);

// The request as the dispatcher wants it.
dispatch::JobSpec jobSpec(const std::string &key, const SubmitRequest &request, Time deadline);

// A new pending submission, to be asked for or run.
Pending &addPending(EntryState &entry, const std::string &key, const SubmitRequest &request,
                    Time deadline);

// Queues a submission whose claim is held, or that needs none.
void runHere(EntryState &entry, const std::string &key, Pending &pending, Time now,
             EntryActions &actions);

// Asks the home of the claim, and goes on asking until it is answered.
void startAsking(EntryState &entry, const std::string &key, Pending &pending, Time now,
                 EntryActions &actions);

// [SECTION] Claims

// The owner is gone: with the body in hand this entry can take the job over.
void askAnew(EntryState &entry, const std::string &key, Pending &pending, Time now,
             EntryActions &actions);

// The word of a claim's home.
void handleClaimResponse(EntryState &entry, const claims::ClaimResponse &answer, Time now,
                         EntryActions &actions);

// The home has recorded that nothing of a job ever runs, or that it is another's by now.
void takeReleased(EntryState &entry, const claims::Released &released, EntryActions &actions);

// Takes a lost owner's job over, once the list of agents is fresh.
void adopt(EntryState &entry, const std::string &key, Pending &pending, Time now,
           EntryActions &actions);

// Answers those who wait for jobs that ended; "not run" only after the home's word.
void endJobs(EntryState &entry, const std::vector<std::string> &keys, Time now,
             EntryActions &actions);

// [SECTION] Other entries

// The peer that should own this submission; none if this entry should.
std::optional<claims::EntryIdentity> otherOwner(EntryState &entry, const SubmitRequest &request,
                                                Time now);

// Gives the submission to another entry. A request without an id gets one, so that the other
// entry can't run it twice whatever the network does.
void handOff(EntryState &entry, SubmitRequest request, const claims::EntryIdentity &owner, Time now,
             WallTime wallNow, EntryActions &actions);

// Work that a peer hands to this entry. It is claimed like any other and never handed on.
void takeHandoff(EntryState &entry, const Handoff &handoff, Time now, EntryActions &actions);

// The answer of the entry that runs what a caller of this one waits for.
void takeJoinAnswer(EntryState &entry, const JoinAnswer &joined, Time now, EntryActions &actions);

// Tells the peers how busy this entry is, and moves a worker if that helps.
void balance(EntryState &entry, Time now, EntryActions &actions);

} // namespace foxwing::entry
