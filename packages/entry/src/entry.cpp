/*
    The entry's decisions.

    [SECTION] Carrying actions on
    [SECTION] Submissions
    [SECTION] Time
    [SECTION] Entry points
*/
#include <foxwing/entry/entry.h>

#include <algorithm>

#include <foxwing/base/digest.h>
#include <foxwing/base/submissionid.h>

#include "internal.h"
#include "joining.h"

namespace foxwing::entry {

namespace {

// Late grants are recognised among this many given-up asks.
constexpr std::size_t MostAbandonedAsks = 10000;

// Nonces of one life begin where no earlier life can have come.
constexpr int NonceBits = 20;

} // namespace

// [SECTION] Carrying actions on

void carry(EntryState &entry, dispatch::Actions &&from, Time now, EntryActions &actions)
{
    for (dispatch::Outgoing &send : from.sends)
        actions.sends.push_back({ std::move(send.to), std::move(send.message) });
    endJobs(entry, from.ended, now, actions);
}

void carry(claims::ClaimActions &&from, EntryActions &actions)
{
    for (claims::Outgoing &send : from.sends)
        actions.sends.push_back({ std::move(send.to), std::move(send.message) });
}

// [SECTION] Submissions

void runHere(EntryState &entry, const std::string &key, Pending &pending, Time now,
             EntryActions &actions)
{
    pending.state = PendingState::Running;
    const dispatch::JobSpec spec = jobSpec(key, pending.request, pending.deadline);
    std::vector<std::string>().swap(pending.request.payloads);
    carry(entry, dispatch::submitJob(entry.dispatcher, spec, pending.epoch, now), now, actions);
}

void startAsking(EntryState &entry, const std::string &key, Pending &pending, Time now,
                 EntryActions &actions)
{
    entry.watched.push_back(key);
    sendAsk(entry, key, pending, now, actions);
}

// The owner is gone: with the body in hand this entry can take the job over.
void askAnew(EntryState &entry, const std::string &key, Pending &pending, Time now,
             EntryActions &actions)
{
    pending.state = PendingState::Asking;
    pending.handedOff = false;
    pending.nonce = entry.nextNonce++;
    pending.resendDelay = entry.settings.askInterval;
    sendAsk(entry, key, pending, now, actions);
}

namespace {

// A single request without an id needs no claim: nobody can ask for it twice.
void submitAnonymous(EntryState &entry, SubmitRequest request, const std::optional<Error> &refusal,
                     Time now, EntryActions &actions)
{
    request.submission = "~" + entry.settings.self.id + "."
            + std::to_string(entry.settings.self.incarnation) + "."
            + std::to_string(entry.nextAnonymous++);
    const std::string key = keyOf(request.team, request.submission);
    if (refusal) {
        ++entry.counters.refusals;
        return reply(entry, request.waiter, key, refused(*refusal), actions);
    }
    Pending &pending = addPending(entry, key, request, now + request.timeLeft);
    addWaiter(entry, pending, request.waiter);
    runHere(entry, key, pending, now, actions);
}

// Joins work of this entry that has the same key. False if there is none.
bool joinLocal(EntryState &entry, const std::string &key, WaiterId waiter,
               const std::string &digest, EntryActions &actions)
{
    const auto found = entry.pending.find(key);
    if (found != entry.pending.end()) {
        Pending &pending = found->second;
        const bool conflict = !digest.empty() && !pending.request.digest.empty()
                && pending.request.digest != digest;
        if (conflict)
            reply(entry, waiter, key,
                  makeAnswer(Outcome::NotRun, ErrorKind::Conflict,
                             "this submission id was used with another body; make a new id for "
                             "each submission"),
                  actions);
        else
            addWaiter(entry, pending, waiter);
        return true;
    }
    return false;
}

// A caller already asked after this id without a body; with the body it can be claimed.
bool completeLookUp(EntryState &entry, const std::string &key, const SubmitRequest &request,
                    Time now, EntryActions &actions)
{
    const auto found = entry.pending.find(key);
    if (found == entry.pending.end() || !found->second.lookOnly
        || found->second.state != PendingState::Asking)
        return false;
    Pending &pending = found->second;
    pending.request = request;
    pending.lookOnly = false;
    pending.deadline = now + request.timeLeft;
    pending.nonce = entry.nextNonce++;
    pending.resendDelay = entry.settings.askInterval;
    addWaiter(entry, pending, request.waiter);
    sendAsk(entry, key, pending, now, actions);
    return true;
}

void lookUp(EntryState &entry, WaiterId waiter, const std::string &team,
            const std::string &submission, bool cancelling, Time deadline, Time now,
            EntryActions &actions)
{
    SubmitRequest request;
    request.waiter = waiter;
    request.team = team;
    request.submission = submission;
    const std::string key = keyOf(team, submission);
    Pending &pending = addPending(entry, key, request, deadline);
    pending.lookOnly = true;
    pending.cancel = cancelling;
    addWaiter(entry, pending, waiter);
    startAsking(entry, key, pending, now, actions);
}

bool answerEnded(EntryState &entry, const std::string &key, WaiterId waiter, EntryActions &actions)
{
    const dispatch::Job *job = dispatch::findJob(entry.dispatcher, key);
    if (!job || job->state != dispatch::JobState::Ended || entry.pending.count(key) != 0)
        return false;
    reply(entry, waiter, key, job->answer, actions);
    return true;
}

// [SECTION] Time

void giveUp(EntryState &entry, const std::string &key, Pending &pending, EntryActions &actions)
{
    if (pending.state == PendingState::Releasing)
        entry.dispatcher.jobs.at(key).answer =
                makeAnswer(Outcome::Unknown, ErrorKind::Unavailable,
                           "nothing ran here, but the claim could not be given back; ask again "
                           "with the same id");
    if (pending.state == PendingState::Asking && !pending.lookOnly) {
        entry.abandonedAsks.push_back({ key, pending.nonce });
        if (entry.abandonedAsks.size() > MostAbandonedAsks)
            entry.abandonedAsks.pop_front();
    }
    const dispatch::Answer unknown = makeAnswer(
            Outcome::Unknown, ErrorKind::DeadlinePassed,
            "no answer in time from the entry that has this; ask again with the same id");
    conclude(entry, key, unknown, actions);
}

// True while the submission still waits for another process.
bool tickPending(EntryState &entry, const std::string &key, Pending &pending, Time now,
                 EntryActions &actions)
{
    if (pending.state == PendingState::Running)
        return false;
    const bool releasing = pending.state == PendingState::Releasing;
    if (now >= (releasing ? pending.releaseUntil : pending.deadline)) {
        giveUp(entry, key, pending, actions);
        return false;
    }
    const bool ownerLost = pending.state == PendingState::Joined
            && !claims::isMember(entry.claims.view, pending.owner);
    if (ownerLost)
        askAnew(entry, key, pending, now, actions);
    if (pending.state == PendingState::Refreshing) {
        const bool refreshed = entry.claims.controlHeardAt > pending.grantedAt;
        if (refreshed)
            adopt(entry, key, pending, now, actions);
        return !refreshed;
    }
    if (now < pending.nextSend)
        return true;
    if (pending.state == PendingState::Asking)
        sendAsk(entry, key, pending, now, actions);
    else if (pending.state == PendingState::Joined)
        sendJoin(entry, key, pending, now, actions);
    else
        sendRelease(entry, key, pending, now, actions);
    return true;
}

void tickWatched(EntryState &entry, Time now, EntryActions &actions)
{
    std::vector<std::string> keys;
    keys.swap(entry.watched);
    for (std::string &key : keys) {
        const auto found = entry.pending.find(key);
        if (found == entry.pending.end())
            continue;
        if (tickPending(entry, key, found->second, now, actions))
            entry.watched.push_back(std::move(key));
    }
}

} // namespace

// [SECTION] Entry points

EntryState makeEntry(const EntrySettings &settings)
{
    EntryState entry;
    entry.settings = settings;
    entry.dispatcher = dispatch::makeDispatcher(settings.dispatch);
    entry.claims = claims::makeClaimTable(settings.claims);
    entry.placement.settings = settings.placement;
    entry.placement.settings.self = settings.self.id;
    entry.placement.settings.dataCentre = settings.dataCentre;
    entry.nextNonce = settings.self.incarnation << NonceBits;
    entry.random.seed(hash64(settings.self.id) ^ settings.self.incarnation);
    return entry;
}

EntryActions submit(EntryState &entry, const SubmitRequest &request, Time now, WallTime wallNow)
{
    EntryActions actions;
    ++entry.counters.submissions;
    const std::string key = keyOf(request.team, request.submission);
    if (const std::optional<Error> error = invalid(entry, request, wallNow)) {
        ++entry.counters.refusals;
        reply(entry, request.waiter, key, refused(*error), actions);
        return actions;
    }
    if (const std::optional<Error> away = outOfService(entry, request, now)) {
        ++entry.counters.refusals;
        reply(entry, request.waiter, key, refused(*away), actions);
        return actions;
    }
    const bool anonymous = request.submission.empty();
    const bool known = !anonymous
            && (completeLookUp(entry, key, request, now, actions)
                || joinLocal(entry, key, request.waiter, request.digest, actions));
    if (known)
        return actions;
    if (const std::optional<claims::EntryIdentity> owner = otherOwner(entry, request, now)) {
        handOff(entry, request, *owner, now, wallNow, actions);
        return actions;
    }
    const std::optional<Error> refusal = dispatch::refuseJob(entry.dispatcher,
                                                             jobSpec(key, request,
                                                                     now + request.timeLeft),
                                                             now);
    if (anonymous) {
        submitAnonymous(entry, request, refusal, now, actions);
        return actions;
    }
    Pending &pending = addPending(entry, key, request, now + request.timeLeft);
    if (refusal)
        pending.refusal = *refusal;
    addWaiter(entry, pending, request.waiter);
    startAsking(entry, key, pending, now, actions);
    return actions;
}

EntryActions fetch(EntryState &entry, WaiterId waiter, const std::string &team,
                   const std::string &submission, Time deadline, Time now)
{
    EntryActions actions;
    const std::string key = keyOf(team, submission);
    if (answerEnded(entry, key, waiter, actions))
        return actions;
    if (!joinLocal(entry, key, waiter, {}, actions))
        lookUp(entry, waiter, team, submission, false, deadline, now, actions);
    return actions;
}

EntryActions cancel(EntryState &entry, WaiterId waiter, const std::string &team,
                    const std::string &submission, Time deadline, Time now)
{
    EntryActions actions;
    const std::string key = keyOf(team, submission);
    if (answerEnded(entry, key, waiter, actions))
        return actions;
    if (!joinLocal(entry, key, waiter, {}, actions)) {
        lookUp(entry, waiter, team, submission, true, deadline, now, actions);
        return actions;
    }
    Pending &pending = entry.pending.at(key);
    pending.cancel = true;
    if (pending.state == PendingState::Running)
        carry(entry, dispatch::cancelJob(entry.dispatcher, key, now), now, actions);
    else if (pending.state == PendingState::Joined)
        sendJoin(entry, key, pending, now, actions);
    return actions;
}

void abandon(EntryState &entry, WaiterId waiter)
{
    const auto found = entry.waiterJobs.find(waiter);
    if (found == entry.waiterJobs.end())
        return;
    const auto pending = entry.pending.find(found->second);
    if (pending != entry.pending.end()) {
        std::vector<WaiterId> &waiters = pending->second.waiters;
        waiters.erase(std::remove(waiters.begin(), waiters.end(), waiter), waiters.end());
    }
    entry.waiterJobs.erase(found);
}

EntryActions handleAgent(EntryState &entry, const agent::FromAgent &message, Time now)
{
    EntryActions actions;
    carry(entry, dispatch::handle(entry.dispatcher, message, now), now, actions);
    return actions;
}

EntryActions handleClaim(EntryState &entry, const claims::ClaimMessage &message, Time now,
                         WallTime wallNow)
{
    EntryActions actions;
    if (const auto *answer = std::get_if<claims::ClaimResponse>(&message))
        handleClaimResponse(entry, *answer, now, actions);
    else if (const auto *released = std::get_if<claims::Released>(&message))
        takeReleased(entry, *released, actions);
    else
        carry(claims::handle(entry.claims, message, now, wallNow), actions);
    return actions;
}

EntryActions handleEntry(EntryState &entry, const EntryMessage &message, Time now)
{
    EntryActions actions;
    if (const auto *join = std::get_if<Join>(&message)) {
        if (join->cancel)
            carry(entry, dispatch::cancelJob(entry.dispatcher, join->job, now), now, actions);
        handleJoin(entry, *join, actions);
    } else if (const auto *answer = std::get_if<JoinAnswer>(&message)) {
        takeJoinAnswer(entry, *answer, now, actions);
    } else if (const auto *handoff = std::get_if<Handoff>(&message)) {
        takeHandoff(entry, *handoff, now, actions);
    } else if (const auto *report = std::get_if<LoadReport>(&message)) {
        takeLoadReport(entry.placement, *report, now);
    }
    return actions;
}

EntryActions sendFailed(EntryState &entry, const agent::ToAgent &message, Time now)
{
    EntryActions actions;
    carry(entry, dispatch::sendFailed(entry.dispatcher, message, now), now, actions);
    return actions;
}

EntryActions setView(EntryState &entry, const claims::View &view, Time now)
{
    EntryActions actions;
    carry(claims::setView(entry.claims, view, now), actions);
    tickWatched(entry, now, actions);
    return actions;
}

EntryActions tick(EntryState &entry, Time now, WallTime wallNow)
{
    EntryActions actions;
    carry(entry, dispatch::tick(entry.dispatcher, now), now, actions);
    carry(claims::tick(entry.claims, now, wallNow), actions);
    tickWatched(entry, now, actions);
    balance(entry, now, actions);
    entry.wasInService = entry.wasInService || claims::allShardsActive(entry.claims);
    return actions;
}

bool configured(const EntryState &entry, Time now)
{
    return entry.claims.controlHeard
            && now < entry.claims.controlHeardAt + entry.settings.configurationLease;
}

bool ready(const EntryState &entry, Time now)
{
    return !entry.leaving && configured(entry, now) && entry.wasInService;
}

bool drained(const EntryState &entry)
{
    return entry.pending.empty() && dispatch::activeJobs(entry.dispatcher) == 0;
}

} // namespace foxwing::entry
