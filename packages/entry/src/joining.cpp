/*
    Waiters, and requests to other entries.

    [SECTION] Answers
    [SECTION] Requests
    [SECTION] Joins
*/
#include "joining.h"

#include <algorithm>

namespace foxwing::entry {

// [SECTION] Answers

dispatch::Answer makeAnswer(Outcome outcome, ErrorKind kind, std::string message)
{
    dispatch::Answer answer;
    answer.outcome = outcome;
    answer.error = Error { kind, std::move(message), outcome, Milliseconds { 0 } };
    return answer;
}

void addWaiter(EntryState &entry, Pending &pending, WaiterId waiter)
{
    pending.waiters.push_back(waiter);
    entry.waiterJobs[waiter] = pending.request.team + "/" + pending.request.submission;
}

void reply(EntryState &entry, WaiterId waiter, const std::string &key,
           const dispatch::Answer &answer, EntryActions &actions)
{
    EntryCounters &counters = entry.counters;
    if (answer.outcome == Outcome::Complete)
        ++counters.repliesComplete;
    else if (answer.outcome == Outcome::NotRun)
        ++counters.repliesNotRun;
    else if (answer.outcome == Outcome::Failed)
        ++counters.repliesFailed;
    else
        ++counters.repliesUnknown;
    entry.waiterJobs.erase(waiter);
    actions.replies.push_back({ waiter, key.substr(key.find('/') + 1), answer });
}

namespace {

JoinAnswer makeJoinAnswer(const std::string &key, const dispatch::Answer &answer)
{
    return { key, answer.outcome, answer.results, answer.error.kind, answer.error.message };
}

} // namespace

void finishPending(EntryState &entry, const std::string &key, const dispatch::Answer &answer,
                   EntryActions &actions)
{
    const auto found = entry.pending.find(key);
    if (found == entry.pending.end())
        return;
    const Pending pending = std::move(found->second);
    entry.pending.erase(found);
    for (const WaiterId waiter : pending.waiters)
        reply(entry, waiter, key, answer, actions);
    for (const std::string &joiner : pending.joinedBy)
        actions.sends.push_back({ joiner, EntryMessage(makeJoinAnswer(key, answer)) });
}

// [SECTION] Requests

namespace {

void scheduleResend(Pending &pending, Time now, Milliseconds maxDelay)
{
    pending.nextSend = now + pending.resendDelay;
    pending.resendDelay = std::min(pending.resendDelay * 2, maxDelay);
}

} // namespace

void sendClaimRequest(EntryState &entry, const std::string &key, Pending &pending, Time now,
                      EntryActions &actions)
{
    const claims::EntryIdentity primary = claims::primaryOf(entry.claims, key);
    claims::ClaimRequest request;
    request.from = entry.settings.self;
    request.job = key;
    request.digest = pending.request.digest;
    request.nonce = pending.nonce;
    if (pending.lookupOnly)
        request.kind = claims::ClaimRequestKind::Lookup;
    else if (pending.refusal.kind != ErrorKind::None)
        request.kind = claims::ClaimRequestKind::Refuse;
    if (!primary.id.empty())
        actions.sends.push_back({ primary.id, claims::ClaimMessage(request) });
    scheduleResend(pending, now, entry.settings.maxClaimInterval);
}

namespace {

Handoff makeHandoff(const EntryState &entry, const Pending &pending, Time now)
{
    const SubmitRequest &request = pending.request;
    Handoff handoff;
    handoff.from = entry.settings.self.id;
    handoff.team = request.team;
    handoff.submission = request.submission;
    handoff.digest = request.digest;
    handoff.service = request.service;
    handoff.workClass = request.workClass;
    handoff.payloads = request.payloads;
    handoff.declaredTime = request.declaredTime;
    handoff.timeLeft = pending.deadline - now;
    handoff.repeatable = request.repeatable;
    handoff.request = request.request;
    return handoff;
}

} // namespace

void sendJoin(EntryState &entry, const std::string &key, Pending &pending, Time now,
              EntryActions &actions)
{
    if (pending.handedOff && !pending.cancel)
        actions.sends.push_back(
                { pending.owner.id, EntryMessage(makeHandoff(entry, pending, now)) });
    else
        actions.sends.push_back(
                { pending.owner.id,
                  EntryMessage(Join { entry.settings.self.id, key, pending.cancel }) });
    scheduleResend(pending, now, entry.settings.maxJoinInterval);
}

void sendRelease(EntryState &entry, const std::string &key, Pending &pending, Time now,
                 EntryActions &actions)
{
    const claims::EntryIdentity primary = claims::primaryOf(entry.claims, key);
    const claims::Release release { entry.settings.self, key, pending.epoch };
    if (!primary.id.empty())
        actions.sends.push_back({ primary.id, claims::ClaimMessage(release) });
    scheduleResend(pending, now, entry.settings.maxClaimInterval);
}

// [SECTION] Joins

void handleJoin(EntryState &entry, const Join &join, EntryActions &actions)
{
    const auto found = entry.pending.find(join.job);
    if (found != entry.pending.end()) {
        std::vector<std::string> &joiners = found->second.joinedBy;
        if (std::find(joiners.begin(), joiners.end(), join.from) == joiners.end())
            joiners.push_back(join.from);
        return;
    }
    const dispatch::Job *job = dispatch::findJob(entry.dispatcher, join.job);
    const bool ended = job && job->state == dispatch::JobState::Ended;
    const dispatch::Answer answer = ended
            ? job->answer
            : makeAnswer(Outcome::Unknown, ErrorKind::Expired,
                         "the answer is no longer kept; check the effects of the work");
    actions.sends.push_back({ join.from, EntryMessage(makeJoinAnswer(join.job, answer)) });
}

} // namespace foxwing::entry
