/*
    The entry: submissions, retries and timeouts, and the public functions.

    [SECTION] Actions
    [SECTION] Submissions
    [SECTION] Timers
    [SECTION] Public functions
*/
#include <foxwing/entry/entry.h>

#include <algorithm>

#include <foxwing/base/digest.h>
#include <foxwing/base/submissionid.h>

#include "internal.h"
#include "joining.h"

namespace foxwing::entry {

namespace {

// Maximum number of claim requests that are kept to recognize late grants.
constexpr std::size_t MaxAbandonedClaims = 10000;

// Nonces start at incarnation << NonceBits, so that they differ from earlier incarnations'.
constexpr int NonceBits = 20;

} // namespace

// [SECTION] Actions

void appendActions(EntryState &entry, dispatch::Actions &&from, Time now, EntryActions &actions)
{
    for (dispatch::Outgoing &send : from.sends)
        actions.sends.push_back({ std::move(send.to), std::move(send.message) });
    handleEndedJobs(entry, from.ended, now, actions);
}

void appendActions(claims::ClaimActions &&from, EntryActions &actions)
{
    for (claims::Outgoing &send : from.sends)
        actions.sends.push_back({ std::move(send.to), std::move(send.message) });
}

// [SECTION] Submissions

void runLocally(EntryState &entry, const std::string &key, Pending &pending, Time now,
                EntryActions &actions)
{
    pending.state = PendingState::Running;
    const dispatch::JobSpec spec = jobSpec(key, pending.request, pending.deadline);
    std::vector<std::string>().swap(pending.request.payloads);
    appendActions(entry, dispatch::submitJob(entry.dispatcher, spec, pending.epoch, now), now,
                  actions);
}

void startClaim(EntryState &entry, const std::string &key, Pending &pending, Time now,
                EntryActions &actions)
{
    entry.remotePending.push_back(key);
    sendClaimRequest(entry, key, pending, now, actions);
}

void restartClaim(EntryState &entry, const std::string &key, Pending &pending, Time now,
                  EntryActions &actions)
{
    pending.state = PendingState::Claiming;
    pending.handedOff = false;
    pending.nonce = entry.nextNonce++;
    pending.resendDelay = entry.settings.claimInterval;
    sendClaimRequest(entry, key, pending, now, actions);
}

namespace {

// A request without an id needs no claim, since it can't be submitted twice.
void submitAnonymous(EntryState &entry, SubmitRequest request, const std::optional<Error> &refusal,
                     Time now, EntryActions &actions)
{
    request.submission = "~" + entry.settings.self.id + "."
            + std::to_string(entry.settings.self.incarnation) + "."
            + std::to_string(entry.nextAnonymousId++);
    const std::string key = keyOf(request.team, request.submission);
    if (refusal) {
        ++entry.counters.refusals;
        return reply(entry, request.waiter, key, errorAnswer(*refusal), actions);
    }
    Pending &pending = addPending(entry, key, request, now + request.timeLeft);
    addWaiter(entry, pending, request.waiter);
    runLocally(entry, key, pending, now, actions);
}

// Joins pending work of this entry with the same key. Returns false if there is none.
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

// Turns a pending lookup of this id into a submission, now that the body is known.
bool upgradeLookup(EntryState &entry, const std::string &key, const SubmitRequest &request,
                   Time now, EntryActions &actions)
{
    const auto found = entry.pending.find(key);
    if (found == entry.pending.end() || !found->second.lookupOnly
        || found->second.state != PendingState::Claiming)
        return false;
    Pending &pending = found->second;
    pending.request = request;
    pending.lookupOnly = false;
    pending.deadline = now + request.timeLeft;
    pending.nonce = entry.nextNonce++;
    pending.resendDelay = entry.settings.claimInterval;
    addWaiter(entry, pending, request.waiter);
    sendClaimRequest(entry, key, pending, now, actions);
    return true;
}

void startLookup(EntryState &entry, WaiterId waiter, const std::string &team,
                 const std::string &submission, bool cancelling, Time deadline, Time now,
                 EntryActions &actions)
{
    SubmitRequest request;
    request.waiter = waiter;
    request.team = team;
    request.submission = submission;
    const std::string key = keyOf(team, submission);
    Pending &pending = addPending(entry, key, request, deadline);
    pending.lookupOnly = true;
    pending.cancel = cancelling;
    addWaiter(entry, pending, waiter);
    startClaim(entry, key, pending, now, actions);
}

bool replyIfEnded(EntryState &entry, const std::string &key, WaiterId waiter, EntryActions &actions)
{
    const dispatch::Job *job = dispatch::findJob(entry.dispatcher, key);
    if (!job || job->state != dispatch::JobState::Ended || entry.pending.count(key) != 0)
        return false;
    reply(entry, waiter, key, job->answer, actions);
    return true;
}

// [SECTION] Timers

void expirePending(EntryState &entry, const std::string &key, Pending &pending,
                   EntryActions &actions)
{
    if (pending.state == PendingState::Releasing)
        entry.dispatcher.jobs.at(key).answer =
                makeAnswer(Outcome::Unknown, ErrorKind::Unavailable,
                           "nothing ran here, but the claim could not be released; ask again with "
                           "the same id");
    if (pending.state == PendingState::Claiming && !pending.lookupOnly) {
        entry.abandonedClaims.push_back({ key, pending.nonce });
        if (entry.abandonedClaims.size() > MaxAbandonedClaims)
            entry.abandonedClaims.pop_front();
    }
    const dispatch::Answer unknown = makeAnswer(Outcome::Unknown, ErrorKind::DeadlinePassed,
                                                "the entry responsible for this submission did "
                                                "not answer in time; ask again with the same id");
    finishPending(entry, key, unknown, actions);
}

// Returns true while the submission still waits for another process.
bool tickPending(EntryState &entry, const std::string &key, Pending &pending, Time now,
                 EntryActions &actions)
{
    if (pending.state == PendingState::Running)
        return false;
    const bool releasing = pending.state == PendingState::Releasing;
    if (now >= (releasing ? pending.releaseDeadline : pending.deadline)) {
        expirePending(entry, key, pending, actions);
        return false;
    }
    const bool ownerLost = pending.state == PendingState::Joined
            && !claims::isMember(entry.claims.view, pending.owner);
    if (ownerLost)
        restartClaim(entry, key, pending, now, actions);
    if (pending.state == PendingState::Refreshing) {
        const bool refreshed = entry.claims.controlConfirmedAt > pending.grantedAt;
        if (refreshed)
            takeOver(entry, key, pending, now, actions);
        return !refreshed;
    }
    if (now < pending.nextSend)
        return true;
    if (pending.state == PendingState::Claiming)
        sendClaimRequest(entry, key, pending, now, actions);
    else if (pending.state == PendingState::Joined)
        sendJoin(entry, key, pending, now, actions);
    else
        sendRelease(entry, key, pending, now, actions);
    return true;
}

void tickRemotePending(EntryState &entry, Time now, EntryActions &actions)
{
    std::vector<std::string> keys;
    keys.swap(entry.remotePending);
    for (std::string &key : keys) {
        const auto found = entry.pending.find(key);
        if (found == entry.pending.end())
            continue;
        if (tickPending(entry, key, found->second, now, actions))
            entry.remotePending.push_back(std::move(key));
    }
}

} // namespace

// [SECTION] Public functions

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
    if (const std::optional<Error> error = validate(entry, request, wallNow)) {
        ++entry.counters.refusals;
        reply(entry, request.waiter, key, errorAnswer(*error), actions);
        return actions;
    }
    if (const std::optional<Error> unavailable = checkAvailability(entry, request, now)) {
        ++entry.counters.refusals;
        reply(entry, request.waiter, key, errorAnswer(*unavailable), actions);
        return actions;
    }
    const bool anonymous = request.submission.empty();
    const bool joined = !anonymous
            && (upgradeLookup(entry, key, request, now, actions)
                || joinLocal(entry, key, request.waiter, request.digest, actions));
    if (joined)
        return actions;
    if (const std::optional<claims::EntryIdentity> owner = choosePeer(entry, request, now)) {
        handOff(entry, request, *owner, now, wallNow, actions);
        return actions;
    }
    const std::optional<Error> refusal = dispatch::checkAdmission(entry.dispatcher,
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
    startClaim(entry, key, pending, now, actions);
    return actions;
}

EntryActions fetch(EntryState &entry, WaiterId waiter, const std::string &team,
                   const std::string &submission, Time deadline, Time now)
{
    EntryActions actions;
    const std::string key = keyOf(team, submission);
    if (replyIfEnded(entry, key, waiter, actions))
        return actions;
    if (!joinLocal(entry, key, waiter, {}, actions))
        startLookup(entry, waiter, team, submission, false, deadline, now, actions);
    return actions;
}

EntryActions cancel(EntryState &entry, WaiterId waiter, const std::string &team,
                    const std::string &submission, Time deadline, Time now)
{
    EntryActions actions;
    const std::string key = keyOf(team, submission);
    if (replyIfEnded(entry, key, waiter, actions))
        return actions;
    if (!joinLocal(entry, key, waiter, {}, actions)) {
        startLookup(entry, waiter, team, submission, true, deadline, now, actions);
        return actions;
    }
    Pending &pending = entry.pending.at(key);
    pending.cancel = true;
    if (pending.state == PendingState::Running)
        appendActions(entry, dispatch::cancelJob(entry.dispatcher, key, now), now, actions);
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
    appendActions(entry, dispatch::handle(entry.dispatcher, message, now), now, actions);
    return actions;
}

EntryActions handleClaim(EntryState &entry, const claims::ClaimMessage &message, Time now,
                         WallTime wallNow)
{
    EntryActions actions;
    if (const auto *response = std::get_if<claims::ClaimResponse>(&message))
        handleClaimResponse(entry, *response, now, actions);
    else if (const auto *released = std::get_if<claims::Released>(&message))
        handleReleased(entry, *released, actions);
    else
        appendActions(claims::handle(entry.claims, message, now, wallNow), actions);
    return actions;
}

EntryActions handleEntry(EntryState &entry, const EntryMessage &message, Time now)
{
    EntryActions actions;
    if (const auto *join = std::get_if<Join>(&message)) {
        if (join->cancel)
            appendActions(entry, dispatch::cancelJob(entry.dispatcher, join->job, now), now,
                          actions);
        handleJoin(entry, *join, actions);
    } else if (const auto *answer = std::get_if<JoinAnswer>(&message)) {
        handleJoinAnswer(entry, *answer, now, actions);
    } else if (const auto *handoff = std::get_if<Handoff>(&message)) {
        handleHandoff(entry, *handoff, now, actions);
    } else if (const auto *report = std::get_if<LoadReport>(&message)) {
        handleLoadReport(entry.placement, *report, now);
    }
    return actions;
}

EntryActions sendFailed(EntryState &entry, const agent::ToAgent &message, Time now)
{
    EntryActions actions;
    appendActions(entry, dispatch::sendFailed(entry.dispatcher, message, now), now, actions);
    return actions;
}

EntryActions setView(EntryState &entry, const claims::View &view, Time now)
{
    EntryActions actions;
    appendActions(claims::setView(entry.claims, view, now), actions);
    tickRemotePending(entry, now, actions);
    return actions;
}

EntryActions tick(EntryState &entry, Time now, WallTime wallNow)
{
    EntryActions actions;
    appendActions(entry, dispatch::tick(entry.dispatcher, now), now, actions);
    appendActions(claims::tick(entry.claims, now, wallNow), actions);
    tickRemotePending(entry, now, actions);
    balance(entry, now, actions);
    entry.shardsWereActive = entry.shardsWereActive || claims::allShardsActive(entry.claims);
    return actions;
}

bool hasFreshConfiguration(const EntryState &entry, Time now)
{
    return entry.claims.controlConfirmed
            && now < entry.claims.controlConfirmedAt + entry.settings.configurationLease;
}

bool ready(const EntryState &entry, Time now)
{
    return !entry.leaving && hasFreshConfiguration(entry, now) && entry.shardsWereActive;
}

bool drained(const EntryState &entry)
{
    return entry.pending.empty() && dispatch::activeJobs(entry.dispatcher) == 0;
}

} // namespace foxwing::entry
