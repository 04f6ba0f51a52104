/*
    Dealing with the other entries: handing work over, taking it, and moving workers.

    [SECTION] Handing over
    [SECTION] Taking over
    [SECTION] Balance
*/
#include "internal.h"

#include <foxwing/base/submissionid.h>

#include "joining.h"

namespace foxwing::entry {

// [SECTION] Handing over

// The peer that should own this submission; none if this entry should.
std::optional<claims::EntryIdentity> otherOwner(EntryState &entry, const SubmitRequest &request,
                                                Time now)
{
    const std::string owner = chooseOwner(entry.placement, request.service,
                                          dispatch::serviceLoad(entry.dispatcher, request.service),
                                          static_cast<std::uint32_t>(request.payloads.size()), now);
    for (const claims::Member &member : entry.claims.view.members) {
        if (member.replica.id == owner && owner != entry.settings.self.id)
            return member.replica;
    }
    return std::nullopt;
}

// Gives the submission to another entry. A request without an id gets one, so that the other entry
// can't run it twice whatever the network does.
void handOff(EntryState &entry, SubmitRequest request, const claims::EntryIdentity &owner, Time now,
             WallTime wallNow, EntryActions &actions)
{
    if (request.submission.empty())
        request.submission = makeSubmissionId(wallNow, entry.random);
    ++entry.counters.handoffs;
    const std::string key = keyOf(request.team, request.submission);
    Pending &pending = addPending(entry, key, request, now + request.timeLeft);
    pending.state = PendingState::Joined;
    pending.handedOff = true;
    pending.owner = owner;
    pending.resendDelay = entry.settings.joinInterval;
    addWaiter(entry, pending, request.waiter);
    entry.watched.push_back(key);
    sendJoin(entry, key, pending, now, actions);
}

// [SECTION] Taking over

namespace {

SubmitRequest requestOf(const Handoff &handoff)
{
    SubmitRequest request;
    request.team = handoff.team;
    request.submission = handoff.submission;
    request.digest = handoff.digest;
    request.service = handoff.service;
    request.workClass = handoff.workClass;
    request.payloads = handoff.payloads;
    request.declaredTime = handoff.declaredTime;
    request.timeLeft = handoff.timeLeft;
    request.repeatable = handoff.repeatable;
    request.request = handoff.request;
    return request;
}

} // namespace

// Work that a peer hands to this entry. It is claimed like any other and never handed on.
void takeHandoff(EntryState &entry, const Handoff &handoff, Time now, EntryActions &actions)
{
    const std::string key = keyOf(handoff.team, handoff.submission);
    const dispatch::Job *job = dispatch::findJob(entry.dispatcher, key);
    if (job || entry.pending.count(key) != 0)
        return handleJoin(entry, { handoff.from, key, false }, actions);
    if (entry.leaving) {
        const JoinAnswer leaving { key, Outcome::Unknown, {}, ErrorKind::Leaving, {} };
        actions.sends.push_back({ handoff.from, EntryMessage(leaving) });
        return;
    }
    const SubmitRequest request = requestOf(handoff);
    const Time deadline = now + request.timeLeft;
    const std::optional<Error> refusal = dispatch::refuseJob(entry.dispatcher,
                                                             jobSpec(key, request, deadline), now);
    Pending &pending = addPending(entry, key, request, deadline);
    pending.joinedBy.push_back(handoff.from);
    if (refusal)
        pending.refusal = *refusal;
    startAsking(entry, key, pending, now, actions);
}

void takeJoinAnswer(EntryState &entry, const JoinAnswer &joined, Time now, EntryActions &actions)
{
    const auto found = entry.pending.find(joined.job);
    if (found == entry.pending.end() || found->second.state != PendingState::Joined)
        return;
    Pending &pending = found->second;
    if (joined.kind == ErrorKind::Leaving && pending.handedOff)
        return askAnew(entry, joined.job, pending, now, actions);
    dispatch::Answer answer = makeAnswer(joined.outcome, joined.kind, joined.message);
    answer.results = joined.results;
    conclude(entry, joined.job, answer, actions);
}

// [SECTION] Balance

// Tells the peers how busy this entry is, and moves a worker if that helps.
void balance(EntryState &entry, Time now, EntryActions &actions)
{
    const auto report = dueReport(entry.placement, entry.dispatcher, entry.leaving, now);
    if (report) {
        for (const claims::Member &member : entry.claims.view.members) {
            if (member.replica.id != entry.settings.self.id)
                actions.sends.push_back({ member.replica.id, EntryMessage(*report) });
        }
    }
    if (const auto advice = adviseYield(entry.placement, entry.dispatcher, now))
        carry(entry,
              dispatch::yieldWorker(entry.dispatcher, advice->service, advice->heir,
                                    advice->heirDataCentre, advice->heirHasNone),
              now, actions);
}

} // namespace foxwing::entry
