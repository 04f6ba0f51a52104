/*
    Work and workers that move between entries.

    [SECTION] Outgoing work
    [SECTION] Incoming work
    [SECTION] Balance
*/
#include "internal.h"

#include <foxwing/base/submissionid.h>

#include "joining.h"

namespace foxwing::entry {

// [SECTION] Outgoing work

std::optional<claims::EntryIdentity> choosePeer(EntryState &entry, const SubmitRequest &request,
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
    entry.remotePending.push_back(key);
    sendJoin(entry, key, pending, now, actions);
}

// [SECTION] Incoming work

namespace {

SubmitRequest makeRequest(const Handoff &handoff)
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

void handleHandoff(EntryState &entry, const Handoff &handoff, Time now, EntryActions &actions)
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
    const SubmitRequest request = makeRequest(handoff);
    const Time deadline = now + request.timeLeft;
    const std::optional<Error> refusal = dispatch::checkAdmission(entry.dispatcher,
                                                                  jobSpec(key, request, deadline),
                                                                  now);
    Pending &pending = addPending(entry, key, request, deadline);
    pending.joinedBy.push_back(handoff.from);
    if (refusal)
        pending.refusal = *refusal;
    startClaim(entry, key, pending, now, actions);
}

void handleJoinAnswer(EntryState &entry, const JoinAnswer &joined, Time now, EntryActions &actions)
{
    const auto found = entry.pending.find(joined.job);
    if (found == entry.pending.end() || found->second.state != PendingState::Joined)
        return;
    Pending &pending = found->second;
    if (joined.kind == ErrorKind::Leaving && pending.handedOff)
        return restartClaim(entry, joined.job, pending, now, actions);
    dispatch::Answer answer = makeAnswer(joined.outcome, joined.kind, joined.message);
    answer.results = joined.results;
    finishPending(entry, joined.job, answer, actions);
}

// [SECTION] Balance

void balance(EntryState &entry, Time now, EntryActions &actions)
{
    const auto report = reportIfDue(entry.placement, entry.dispatcher, entry.leaving, now);
    if (report) {
        for (const claims::Member &member : entry.claims.view.members) {
            if (member.replica.id != entry.settings.self.id)
                actions.sends.push_back({ member.replica.id, EntryMessage(*report) });
        }
    }
    if (const auto transfer = chooseTransfer(entry.placement, entry.dispatcher, now))
        appendActions(entry,
                      dispatch::transferWorker(entry.dispatcher, transfer->service,
                                               transfer->successor, transfer->successorDataCentre,
                                               transfer->successorStarved),
                      now, actions);
}

} // namespace foxwing::entry
