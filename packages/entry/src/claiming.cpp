/*
    What follows from the word of a claim's home: run it, join it, take it over, or say that it is
   over.

    [SECTION] Takeover
    [SECTION] Verdicts
    [SECTION] Ends of jobs
*/
#include "internal.h"

#include <algorithm>

#include "joining.h"

namespace foxwing::entry {

// [SECTION] Takeover

namespace {

// An agent that control took for dead goes on for a while if it was only cut off.
bool mayHaveStarted(const EntryState &entry, const KnownAgent &known, const Pending &pending)
{
    const Milliseconds span = entry.settings.configurationLease + entry.settings.claims.clockSkew;
    return known.service == pending.request.service
            && (known.live || known.lostAt + span.count() >= pending.claimedAt);
}

// A takeover asks every agent, so the list of them must be from after the claim was taken over: an
// agent that joined just before may have worked for the lost owner.
void awaitAgents(EntryState &entry, const claims::ClaimResponse &answer, Pending &pending, Time now)
{
    pending.state = PendingState::Refreshing;
    pending.grantedAt = now;
    pending.claimedAt = answer.claimedAt;
    entry.beatWanted = true;
}

} // namespace

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

// [SECTION] Verdicts

namespace {

void takeOwned(EntryState &entry, const std::string &key, Pending &pending,
               const claims::ClaimResponse &answer, Time now, EntryActions &actions)
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
    pending.resendDelay = entry.settings.joinInterval;
    sendJoin(entry, key, pending, now, actions);
}

void takeGrant(EntryState &entry, const std::string &key, Pending &pending,
               const claims::ClaimResponse &answer, Time now, EntryActions &actions)
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

dispatch::Answer statusAnswer(const Pending &pending, claims::ClaimStatus status)
{
    switch (status) {
    case claims::ClaimStatus::Conflict:
        return makeAnswer(Outcome::NotRun, ErrorKind::Conflict,
                          "this submission id was used with another body; make a new id for each "
                          "submission");
    case claims::ClaimStatus::NotRun:
        if (pending.refusal.kind != ErrorKind::None)
            return refused(pending.refusal);
        return makeAnswer(Outcome::NotRun, ErrorKind::Unavailable,
                          "this submission ended as \"not run\"; submit the work with a new id");
    case claims::ClaimStatus::Unclaimed:
        return makeAnswer(Outcome::NotRun, ErrorKind::NotFound,
                          "there is no such submission; check the id, or submit it");
    case claims::ClaimStatus::OwnerLost:
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
void giveBackLateGrant(EntryState &entry, const claims::ClaimResponse &answer,
                       EntryActions &actions)
{
    // What was taken over from a lost owner may have run, so only a first grant can be given back.
    if (answer.status != claims::ClaimStatus::Granted || answer.epoch != 1)
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
            { claims::primaryOf(entry.claims, answer.job).id, claims::ClaimMessage(release) });
}

} // namespace

void handleClaimResponse(EntryState &entry, const claims::ClaimResponse &answer, Time now,
                         EntryActions &actions)
{
    const auto found = entry.pending.find(answer.job);
    const bool awaited = found != entry.pending.end() && found->second.state == PendingState::Asking
            && found->second.nonce == answer.nonce;
    // A late answer to an earlier life of this entry can carry the same nonce.
    if (answer.status == claims::ClaimStatus::Granted && !(answer.owner == entry.settings.self))
        return;
    if (!awaited)
        return giveBackLateGrant(entry, answer, actions);
    Pending &pending = found->second;
    if (answer.status == claims::ClaimStatus::Retry)
        return; // asked again when due
    if (answer.status == claims::ClaimStatus::Granted)
        return takeGrant(entry, answer.job, pending, answer, now, actions);
    if (answer.status == claims::ClaimStatus::OwnedByOther)
        return takeOwned(entry, answer.job, pending, answer, now, actions);
    if (pending.refusal.kind != ErrorKind::None)
        ++entry.counters.refusals;
    conclude(entry, answer.job, statusAnswer(pending, answer.status), actions);
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

namespace {

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
    pending.resendDelay = entry.settings.askInterval;
    entry.watched.push_back(key);
    sendRelease(entry, key, pending, now, actions);
}

} // namespace

void endJobs(EntryState &entry, const std::vector<std::string> &keys, Time now,
             EntryActions &actions)
{
    for (const std::string &key : keys)
        endJob(entry, key, now, actions);
}

} // namespace foxwing::entry
