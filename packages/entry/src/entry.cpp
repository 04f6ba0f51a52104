/*
    The entry's decisions.

    [SECTION] Carrying actions on
    [SECTION] Admission
    [SECTION] Claims
    [SECTION] Ends of jobs
    [SECTION] Time
    [SECTION] Other entries
    [SECTION] Entry points
*/
#include <foxwing/entry/entry.h>

#include <algorithm>

#include <foxwing/base/digest.h>
#include <foxwing/base/submissionid.h>

#include "joining.h"

namespace foxwing::entry {

namespace {

// Late grants are recognised among this many given-up asks.
constexpr std::size_t MostAbandonedAsks = 10000;

// Nonces of one life begin where no earlier life can have come.
constexpr int NonceBits = 20;

// [SECTION] Carrying actions on

void endJobs(EntryState &entry, const std::vector<std::string> &keys, Time now,
             EntryActions &actions);

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

// [SECTION] Admission

std::string keyOf(const std::string &team, const std::string &submission)
{
    return team + "/" + submission;
}

dispatch::Answer refused(Error error)
{
    dispatch::Answer answer;
    answer.outcome = error.outcome;
    answer.error = std::move(error);
    return answer;
}

// Why this entry can take nothing at present. An id may be running elsewhere, so only work without
// one is certain not to run; the same id is welcome at any other entry.
std::optional<Error> outOfService(const EntryState &entry, const SubmitRequest &request, Time now)
{
    const Outcome outcome = request.submission.empty() ? Outcome::NotRun : Outcome::Unknown;
    if (entry.leaving)
        return Error { ErrorKind::Leaving, "this entry is stopping; send the same to another one",
                       outcome, Milliseconds { 100 } };
    if (!configured(entry, now))
        return Error {
            ErrorKind::NotReady,
            "this entry could not confirm its configuration; send the same to another one", outcome,
            Milliseconds { 1000 }
        };
    return std::nullopt;
}

// What is wrong with a request by itself. It can't have been accepted before.
std::optional<Error> invalid(const EntryState &entry, const SubmitRequest &request,
                             WallTime wallNow)
{
    const auto found = entry.directory.services.find(request.service);
    if (found == entry.directory.services.end())
        return Error { ErrorKind::NotFound,
                       "there is no service \"" + request.service
                               + "\"; look at the services with: foxwing show service",
                       Outcome::NotRun, Milliseconds { 0 } };
    const Service &service = found->second;
    Error error { ErrorKind::CanNeverRun, {}, Outcome::NotRun, Milliseconds { 0 } };
    if (request.payloads.empty() || request.payloads.size() > service.mostTasks) {
        error.message = "a submission to " + service.name + " must have 1 to "
                + std::to_string(service.mostTasks) + " tasks; split the job";
        return error;
    }
    for (const std::string &payload : request.payloads) {
        if (payload.size() <= service.mostPayloadBytes)
            continue;
        error.message = "a payload may have at most " + std::to_string(service.mostPayloadBytes)
                + " bytes; pass a reference to the data instead";
        return error;
    }
    if (request.declaredTime > service.longestTime) {
        error.message = "a task may take at most "
                + std::to_string(std::chrono::duration_cast<Milliseconds>(service.longestTime)
                                         .count())
                + " ms; split the work";
        return error;
    }
    if (request.declaredTime > request.timeLeft) {
        error.kind = ErrorKind::DeadlineUnreachable;
        error.message = "the declared time is longer than the deadline; allow more time";
        return error;
    }
    if (request.submission.empty())
        return std::nullopt;
    const std::optional<WallTime> made = submissionTime(request.submission, &error);
    if (!made)
        return error;
    if (*made > wallNow + entry.settings.claims.clockSkew) {
        error.kind = ErrorKind::BadRequest;
        error.message = "the submission id is from the future; set the clock of the caller's host";
        return error;
    }
    return std::nullopt;
}

dispatch::JobSpec jobSpec(const std::string &key, const SubmitRequest &request, Time deadline)
{
    dispatch::JobSpec spec;
    spec.key = key;
    spec.team = request.team;
    spec.service = request.service;
    spec.workClass = request.workClass;
    spec.payloads = request.payloads;
    spec.declaredTime = request.declaredTime;
    spec.deadline = deadline;
    spec.repeatable = request.repeatable;
    spec.request = request.request;
    return spec;
}

Pending &addPending(EntryState &entry, const std::string &key, const SubmitRequest &request,
                    Time deadline)
{
    Pending &pending = entry.pending[key];
    pending.request = request;
    pending.deadline = deadline;
    pending.nonce = entry.nextNonce++;
    pending.sendWait = entry.settings.askInterval;
    return pending;
}

void runHere(EntryState &entry, const std::string &key, Pending &pending, Time now,
             EntryActions &actions)
{
    pending.state = PendingState::Running;
    const dispatch::JobSpec spec = jobSpec(key, pending.request, pending.deadline);
    std::vector<std::string>().swap(pending.request.payloads);
    carry(entry, dispatch::submitJob(entry.dispatcher, spec, pending.epoch, now), now, actions);
}

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

// The peer that should own this submission; none if this entry should.
std::optional<claims::Replica> otherOwner(EntryState &entry, const SubmitRequest &request, Time now)
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
void handOff(EntryState &entry, SubmitRequest request, const claims::Replica &owner, Time now,
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
    pending.sendWait = entry.settings.joinInterval;
    addWaiter(entry, pending, request.waiter);
    entry.watched.push_back(key);
    sendJoin(entry, key, pending, now, actions);
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
    pending.sendWait = entry.settings.askInterval;
    addWaiter(entry, pending, request.waiter);
    sendAsk(entry, key, pending, now, actions);
    return true;
}

void startAsking(EntryState &entry, const std::string &key, Pending &pending, Time now,
                 EntryActions &actions)
{
    entry.watched.push_back(key);
    sendAsk(entry, key, pending, now, actions);
}

// [SECTION] Claims

// An agent that control took for dead goes on for a while if it was only cut off.
bool mayHaveStarted(const EntryState &entry, const KnownAgent &known, const Pending &pending)
{
    const Milliseconds span = entry.settings.configurationLease + entry.settings.claims.clockSkew;
    return known.service == pending.request.service
            && (known.live || known.lostAt + span.count() >= pending.claimedAt);
}

void adopt(EntryState &entry, const std::string &key, Pending &pending, Time now,
           EntryActions &actions)
{
    const std::int64_t skew = entry.settings.claims.clockSkew.count();
    pending.state = PendingState::Running;
    dispatch::Takeover takeover;
    takeover.claimedAt = pending.claimedAt - skew;
    takeover.hasGaps = entry.agents.since >= takeover.claimedAt;
    for (const KnownAgent &known : entry.agents.agents) {
        if (mayHaveStarted(entry, known, pending))
            takeover.agents.push_back(known.id);
    }
    const dispatch::JobSpec spec = jobSpec(key, pending.request, pending.deadline);
    carry(entry, dispatch::adoptJob(entry.dispatcher, spec, pending.epoch, takeover, now), now,
          actions);
}

// A takeover asks every agent, so the list of them must be from after the claim was taken over: an
// agent that joined just before may have worked for the lost owner.
void awaitAgents(EntryState &entry, const claims::AskAnswer &answer, Pending &pending, Time now)
{
    pending.state = PendingState::Refreshing;
    pending.grantedAt = now;
    pending.claimedAt = answer.claimedAt;
    entry.beatWanted = true;
}

void takeOwned(EntryState &entry, const std::string &key, Pending &pending,
               const claims::AskAnswer &answer, Time now, EntryActions &actions)
{
    if (answer.owner == entry.settings.self) {
        const dispatch::Job *job = dispatch::findJob(entry.dispatcher, key);
        const dispatch::Answer kept = job && job->state == dispatch::JobState::Ended
                ? job->answer
                : makeAnswer(Outcome::Unknown, ErrorKind::Expired,
                             "the answer is no longer kept; check the effects of the work");
        return conclude(entry, key, kept, actions);
    }
    ++entry.counters.joins;
    pending.state = PendingState::Joined;
    pending.owner = answer.owner;
    pending.sendWait = entry.settings.joinInterval;
    sendJoin(entry, key, pending, now, actions);
}

void takeGrant(EntryState &entry, const std::string &key, Pending &pending,
               const claims::AskAnswer &answer, Time now, EntryActions &actions)
{
    pending.epoch = answer.epoch;
    // A grant for what this very life has run already can only come of a fault elsewhere.
    if (dispatch::findJob(entry.dispatcher, key))
        return takeOwned(entry, key, pending, answer, now, actions);
    if (answer.epoch > 1)
        awaitAgents(entry, answer, pending, now);
    else
        runHere(entry, key, pending, now, actions);
}

dispatch::Answer verdictAnswer(const Pending &pending, claims::Verdict verdict)
{
    switch (verdict) {
    case claims::Verdict::Conflict:
        return makeAnswer(Outcome::NotRun, ErrorKind::Conflict,
                          "this submission id was used with another body; make a new id for each "
                          "submission");
    case claims::Verdict::NotRun:
        if (pending.refusal.kind != ErrorKind::None)
            return refused(pending.refusal);
        return makeAnswer(Outcome::NotRun, ErrorKind::Unavailable,
                          "this submission ended as \"not run\"; submit the work with a new id");
    case claims::Verdict::Absent:
        return makeAnswer(Outcome::NotRun, ErrorKind::NotFound,
                          "there is no such submission; check the id, or submit it");
    case claims::Verdict::OwnerLost:
        return makeAnswer(Outcome::Unknown, ErrorKind::Unavailable,
                          "the entry that had this is lost; submit the same id and body again and "
                          "another entry takes it over");
    default:
        return makeAnswer(Outcome::Unknown, ErrorKind::ClaimUnknown,
                          "foxwing no longer knows whether this id ran; check its effects, and use "
                          "a new id if it did not");
    }
}

// Nobody here waits for this grant any more, so it must end as "not run".
void giveBackLateGrant(EntryState &entry, const claims::AskAnswer &answer, EntryActions &actions)
{
    // What was taken over from a lost owner may have run, so only a first grant can be given back.
    if (answer.verdict != claims::Verdict::Granted || answer.epoch != 1)
        return;
    std::deque<AbandonedAsk> &asks = entry.abandonedAsks;
    const auto found = std::find_if(asks.begin(), asks.end(), [&](const AbandonedAsk &ask) {
        return ask.job == answer.job && ask.nonce == answer.nonce;
    });
    if (found == asks.end())
        return;
    asks.erase(found);
    const claims::Release release { entry.settings.self, answer.job, answer.epoch };
    actions.sends.push_back(
            { claims::homeOf(entry.claims, answer.job).id, claims::ClaimMessage(release) });
}

void takeVerdict(EntryState &entry, const claims::AskAnswer &answer, Time now,
                 EntryActions &actions)
{
    const auto found = entry.pending.find(answer.job);
    const bool awaited = found != entry.pending.end() && found->second.state == PendingState::Asking
            && found->second.nonce == answer.nonce;
    // A late answer to an earlier life of this entry can carry the same nonce.
    if (answer.verdict == claims::Verdict::Granted && !(answer.owner == entry.settings.self))
        return;
    if (!awaited)
        return giveBackLateGrant(entry, answer, actions);
    Pending &pending = found->second;
    if (answer.verdict == claims::Verdict::Retry)
        return; // asked again when due
    if (answer.verdict == claims::Verdict::Granted)
        return takeGrant(entry, answer.job, pending, answer, now, actions);
    if (answer.verdict == claims::Verdict::Owned)
        return takeOwned(entry, answer.job, pending, answer, now, actions);
    if (pending.refusal.kind != ErrorKind::None)
        ++entry.counters.refusals;
    conclude(entry, answer.job, verdictAnswer(pending, answer.verdict), actions);
}

void takeReleased(EntryState &entry, const claims::Released &released, EntryActions &actions)
{
    const auto found = entry.pending.find(released.job);
    const bool awaited = found != entry.pending.end()
            && found->second.state == PendingState::Releasing
            && found->second.epoch == released.epoch;
    if (!awaited)
        return;
    dispatch::Answer &kept = entry.dispatcher.jobs.at(released.job).answer;
    if (!released.stillOwner)
        kept = makeAnswer(Outcome::Unknown, ErrorKind::WorkerLost,
                          "another entry has taken this over; ask again with the same id");
    conclude(entry, released.job, dispatch::Answer(kept), actions);
}

// [SECTION] Ends of jobs

// An anonymous request has no claim that could be taken over.
bool hasClaim(const Pending &pending)
{
    return pending.request.submission.compare(0, 1, "~") != 0;
}

void endJob(EntryState &entry, const std::string &key, Time now, EntryActions &actions)
{
    const auto found = entry.pending.find(key);
    if (found == entry.pending.end())
        return;
    Pending &pending = found->second;
    const dispatch::Answer &answer = entry.dispatcher.jobs.at(key).answer;
    if (answer.outcome != Outcome::NotRun || !hasClaim(pending))
        return conclude(entry, key, answer, actions);
    pending.state = PendingState::Releasing;
    pending.releaseUntil = now + entry.settings.releaseSpan;
    pending.sendWait = entry.settings.askInterval;
    entry.watched.push_back(key);
    sendRelease(entry, key, pending, now, actions);
}

void endJobs(EntryState &entry, const std::vector<std::string> &keys, Time now,
             EntryActions &actions)
{
    for (const std::string &key : keys)
        endJob(entry, key, now, actions);
}

// [SECTION] Time

// The owner is gone: with the body in hand this entry can take the job over.
void askAnew(EntryState &entry, const std::string &key, Pending &pending, Time now,
             EntryActions &actions)
{
    pending.state = PendingState::Asking;
    pending.handedOff = false;
    pending.nonce = entry.nextNonce++;
    pending.sendWait = entry.settings.askInterval;
    sendAsk(entry, key, pending, now, actions);
}

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
        const bool refreshed = entry.claims.masterHeardAt > pending.grantedAt;
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

// [SECTION] Other entries

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
    if (const std::optional<claims::Replica> owner = otherOwner(entry, request, now)) {
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
                   const std::string &submission, Time deadline, Time now, WallTime wallNow)
{
    (void)wallNow;
    EntryActions actions;
    const std::string key = keyOf(team, submission);
    if (answerEnded(entry, key, waiter, actions))
        return actions;
    if (!joinLocal(entry, key, waiter, {}, actions))
        lookUp(entry, waiter, team, submission, false, deadline, now, actions);
    return actions;
}

EntryActions cancel(EntryState &entry, WaiterId waiter, const std::string &team,
                    const std::string &submission, Time deadline, Time now, WallTime wallNow)
{
    (void)wallNow;
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

EntryActions handleAgent(EntryState &entry, const agent::FromAgent &message, Time now,
                         WallTime wallNow)
{
    (void)wallNow;
    EntryActions actions;
    carry(entry, dispatch::handle(entry.dispatcher, message, now), now, actions);
    return actions;
}

EntryActions handleClaim(EntryState &entry, const claims::ClaimMessage &message, Time now,
                         WallTime wallNow)
{
    EntryActions actions;
    if (const auto *answer = std::get_if<claims::AskAnswer>(&message))
        takeVerdict(entry, *answer, now, actions);
    else if (const auto *released = std::get_if<claims::Released>(&message))
        takeReleased(entry, *released, actions);
    else
        carry(claims::handle(entry.claims, message, now, wallNow), actions);
    return actions;
}

EntryActions handleEntry(EntryState &entry, const EntryMessage &message, Time now, WallTime wallNow)
{
    (void)wallNow;
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

EntryActions sendFailed(EntryState &entry, const agent::ToAgent &message, Time now,
                        WallTime wallNow)
{
    (void)wallNow;
    EntryActions actions;
    carry(entry, dispatch::sendFailed(entry.dispatcher, message, now), now, actions);
    return actions;
}

EntryActions setView(EntryState &entry, const claims::View &view, Time now, WallTime wallNow)
{
    (void)wallNow;
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
    return actions;
}

bool configured(const EntryState &entry, Time now)
{
    return entry.claims.masterHeard
            && now < entry.claims.masterHeardAt + entry.settings.configurationLease;
}

bool ready(const EntryState &entry, Time now)
{
    return !entry.leaving && configured(entry, now) && claims::allShardsActive(entry.claims);
}

bool drained(const EntryState &entry)
{
    return entry.pending.empty() && dispatch::activeJobs(entry.dispatcher) == 0;
}

} // namespace foxwing::entry
