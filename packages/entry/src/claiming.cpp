/*
    Handles the replies of a claim's primary: runs, joins, takes over or answers the submission.

    [SECTION] Takeover
    [SECTION] Claim responses
    [SECTION] Ends of jobs
*/
#include "internal.h"

#include <algorithm>

#include "joining.h"

namespace foxwing::entry {

// [SECTION] Takeover

namespace {

// An agent that control reports as lost may start tasks for a while if it is only partitioned.
bool mayHaveStarted(const EntryState &entry, const KnownAgent &known, const Pending &pending)
{
    const Milliseconds margin = entry.settings.configurationLease + entry.settings.claims.clockSkew;
    return known.service == pending.request.service
            && (known.live || known.lostAt + margin.count() >= pending.claimedAt);
}

// A takeover queries every agent, so it needs a list from after the grant: an agent that joined
// just before may have worked for the lost owner.
void awaitAgentList(EntryState &entry, const claims::ClaimResponse &response, Pending &pending,
                    Time now)
{
    pending.state = PendingState::Refreshing;
    pending.grantedAt = now;
    pending.claimedAt = response.claimedAt;
    entry.heartbeatRequested = true;
}

} // namespace

void takeOver(EntryState &entry, const std::string &key, Pending &pending, Time now,
              EntryActions &actions)
{
    const std::int64_t skew = entry.settings.claims.clockSkew.count();
    pending.state = PendingState::Running;
    dispatch::Takeover takeover;
    takeover.claimedAt = pending.claimedAt - skew;
    takeover.incomplete = entry.agents.completeSince >= takeover.claimedAt;
    for (const KnownAgent &known : entry.agents.agents) {
        if (mayHaveStarted(entry, known, pending))
            takeover.agents.push_back(known.id);
    }
    const dispatch::JobSpec spec = jobSpec(key, pending.request, pending.deadline);
    appendActions(entry,
                  dispatch::takeOverJob(entry.dispatcher, spec, pending.epoch, takeover, now), now,
                  actions);
}

// [SECTION] Claim responses

namespace {

void handleOwned(EntryState &entry, const std::string &key, Pending &pending,
                 const claims::ClaimResponse &response, Time now, EntryActions &actions)
{
    if (response.owner == entry.settings.self) {
        const dispatch::Job *job = dispatch::findJob(entry.dispatcher, key);
        const dispatch::Answer retained = job && job->state == dispatch::JobState::Ended
                ? job->answer
                : makeAnswer(Outcome::Unknown, ErrorKind::Expired,
                             "the answer is no longer kept; check the effects of the work");
        return finishPending(entry, key, retained, actions);
    }
    ++entry.counters.joins;
    pending.state = PendingState::Joined;
    pending.owner = response.owner;
    pending.resendDelay = entry.settings.joinInterval;
    sendJoin(entry, key, pending, now, actions);
}

void handleGrant(EntryState &entry, const std::string &key, Pending &pending,
                 const claims::ClaimResponse &response, Time now, EntryActions &actions)
{
    pending.epoch = response.epoch;
    // A grant for a job that this incarnation already ran means a fault elsewhere.
    if (dispatch::findJob(entry.dispatcher, key))
        return handleOwned(entry, key, pending, response, now, actions);
    if (response.epoch > 1)
        awaitAgentList(entry, response, pending, now);
    else
        runLocally(entry, key, pending, now, actions);
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
            return errorAnswer(pending.refusal);
        return makeAnswer(Outcome::NotRun, ErrorKind::Unavailable,
                          "this submission ended as \"not run\"; submit the work with a new id");
    case claims::ClaimStatus::Unclaimed:
        return makeAnswer(Outcome::NotRun, ErrorKind::NotFound,
                          "there is no such submission; check the id, or submit it");
    case claims::ClaimStatus::OwnerLost:
        return makeAnswer(
                Outcome::Unknown, ErrorKind::Unavailable,
                "the entry that owned this submission is lost; submit the same id and body "
                "again and another entry takes it over");
    default:
        return makeAnswer(Outcome::Unknown, ErrorKind::ClaimUnknown,
                          "foxwing no longer knows whether this id ran; check its effects, and use "
                          "a new id if it did not");
    }
}

// Releases a grant that arrived after its request expired, so that the job ends as "not run".
void releaseLateGrant(EntryState &entry, const claims::ClaimResponse &response,
                      EntryActions &actions)
{
    // Work taken over from a lost owner may have run, so only a first grant can be released.
    if (response.status != claims::ClaimStatus::Granted || response.epoch != 1)
        return;
    std::deque<AbandonedClaim> &abandoned = entry.abandonedClaims;
    const auto found = std::find_if(abandoned.begin(), abandoned.end(),
                                    [&](const AbandonedClaim &claim) {
                                        return claim.job == response.job
                                                && claim.nonce == response.nonce;
                                    });
    if (found == abandoned.end())
        return;
    abandoned.erase(found);
    const claims::Release release { entry.settings.self, response.job, response.epoch };
    actions.sends.push_back(
            { claims::primaryOf(entry.claims, response.job).id, claims::ClaimMessage(release) });
}

} // namespace

void handleClaimResponse(EntryState &entry, const claims::ClaimResponse &response, Time now,
                         EntryActions &actions)
{
    const auto found = entry.pending.find(response.job);
    const bool awaited = found != entry.pending.end()
            && found->second.state == PendingState::Claiming
            && found->second.nonce == response.nonce;
    // A late response to an earlier incarnation of this entry can have the same nonce.
    if (response.status == claims::ClaimStatus::Granted && !(response.owner == entry.settings.self))
        return;
    if (!awaited)
        return releaseLateGrant(entry, response, actions);
    Pending &pending = found->second;
    if (response.status == claims::ClaimStatus::Retry)
        return; // resent when due
    if (response.status == claims::ClaimStatus::Granted)
        return handleGrant(entry, response.job, pending, response, now, actions);
    if (response.status == claims::ClaimStatus::OwnedByOther)
        return handleOwned(entry, response.job, pending, response, now, actions);
    if (pending.refusal.kind != ErrorKind::None)
        ++entry.counters.refusals;
    finishPending(entry, response.job, statusAnswer(pending, response.status), actions);
}

void handleReleased(EntryState &entry, const claims::Released &released, EntryActions &actions)
{
    const auto found = entry.pending.find(released.job);
    const bool awaited = found != entry.pending.end()
            && found->second.state == PendingState::Releasing
            && found->second.epoch == released.epoch;
    if (!awaited)
        return;
    dispatch::Answer &retained = entry.dispatcher.jobs.at(released.job).answer;
    if (!released.stillOwner)
        retained = makeAnswer(
                Outcome::Unknown, ErrorKind::WorkerLost,
                "another entry has taken over this submission; ask again with the same id");
    finishPending(entry, released.job, dispatch::Answer(retained), actions);
}

// [SECTION] Ends of jobs

namespace {

// A request without an id that runs here gets one that starts with "~", and needs no claim.
bool hasClaim(const Pending &pending)
{
    return pending.request.submission.compare(0, 1, "~") != 0;
}

void handleEndedJob(EntryState &entry, const std::string &key, Time now, EntryActions &actions)
{
    const auto found = entry.pending.find(key);
    if (found == entry.pending.end())
        return;
    Pending &pending = found->second;
    const dispatch::Answer &answer = entry.dispatcher.jobs.at(key).answer;
    if (answer.outcome != Outcome::NotRun || !hasClaim(pending))
        return finishPending(entry, key, answer, actions);
    pending.state = PendingState::Releasing;
    pending.releaseDeadline = now + entry.settings.releaseTimeout;
    pending.resendDelay = entry.settings.claimInterval;
    entry.remotePending.push_back(key);
    sendRelease(entry, key, pending, now, actions);
}

} // namespace

void handleEndedJobs(EntryState &entry, const std::vector<std::string> &keys, Time now,
                     EntryActions &actions)
{
    for (const std::string &key : keys)
        handleEndedJob(entry, key, now, actions);
}

} // namespace foxwing::entry
