/*
    Granting, replicating and expiring claims.

    [SECTION] Checks
    [SECTION] Responses
    [SECTION] Replication
    [SECTION] Requests
    [SECTION] Public functions
*/
#include <foxwing/claims/claims.h>

#include <algorithm>

#include <foxwing/base/guards.h>
#include <foxwing/base/submissionid.h>

#include "shardtransfer.h"

namespace foxwing::claims {

namespace {

// [SECTION] Checks

bool hasControlLease(const ClaimTable &table, Time now)
{
    return table.controlConfirmed && now < table.controlConfirmedAt + table.settings.controlLease;
}

// Creation time that the id in "team/submission" contains; none if it is not a submission id.
std::optional<WallTime> creationTime(const std::string &job)
{
    const std::size_t slash = job.rfind('/');
    Error ignored;
    return submissionTime(job.substr(slash == std::string::npos ? 0 : slash + 1), &ignored);
}

// Whether the record of this id may have been lost or expired.
bool mayBeLost(const ClaimTable &table, const Shard &shard, const std::string &job,
               WallTime wallNow)
{
    const std::optional<WallTime> created = creationTime(job);
    if (!created)
        return true;
    return created->time_since_epoch().count() <= shard.lossCutoff
            || *created + table.settings.retention <= wallNow;
}

// [SECTION] Responses

void sendResponse(const Waiter &waiter, const RecordState &state, const EntryIdentity &requester,
                  ClaimActions &actions)
{
    const Record &record = state.record;
    ClaimResponse message;
    message.job = record.job;
    message.nonce = waiter.nonce;
    message.owner = record.owner;
    message.epoch = record.epoch;
    message.claimedAt = record.claimedAt;
    message.status = ClaimStatus::OwnedByOther;
    if (record.notRun)
        message.status = ClaimStatus::NotRun;
    else if (record.owner == requester && record.nonce == waiter.nonce)
        message.status = ClaimStatus::Granted;
    actions.sends.push_back({ waiter.to, message });
}

void answerWaiter(const Waiter &waiter, const RecordState &state, ClaimActions &actions)
{
    if (waiter.isRelease) {
        const Released released { state.record.job, state.record.epoch, state.record.notRun };
        actions.sends.push_back({ waiter.to, released });
        return;
    }
    // Only the current owner's request has the nonce of the record, so comparing the id is enough.
    const EntryIdentity requester {
        waiter.to, state.record.owner.id == waiter.to ? state.record.owner.incarnation : 0
    };
    sendResponse(waiter, state, requester, actions);
}

void sendStatus(const ClaimRequest &request, ClaimStatus status, ClaimActions &actions)
{
    ClaimResponse message;
    message.job = request.job;
    message.nonce = request.nonce;
    message.status = status;
    actions.sends.push_back({ request.from.id, message });
}

// [SECTION] Replication

void sendRecord(ClaimTable &table, RecordState &state, Time now, ClaimActions &actions)
{
    for (const std::string &replica : state.unacknowledged) {
        const Replicate message { table.settings.self.id, table.view.number, state.record };
        actions.sends.push_back({ replica, message });
    }
    state.nextSend = now + table.settings.resendInterval;
}

void commit(RecordState &state, ClaimActions &actions)
{
    state.committed = true;
    state.replicating = false;
    for (const Waiter &waiter : state.waiters)
        answerWaiter(waiter, state, actions);
    state.waiters.clear();
}

// Sends a new or changed record to the other replicas; waiters are answered once all have it.
void replicate(ClaimTable &table, RecordState &state, Time now, ClaimActions &actions)
{
    state.committed = false;
    state.unacknowledged.clear();
    for (const EntryIdentity &replica : table.replicas[shardOf(state.record.job)]) {
        if (!(replica == table.settings.self))
            state.unacknowledged.push_back(replica.id);
    }
    if (state.unacknowledged.empty())
        return commit(state, actions);
    if (!state.replicating)
        table.uncommitted.push_back(state.record.job);
    state.replicating = true;
    sendRecord(table, state, now, actions);
}

void handleReplicate(ClaimTable &table, const Replicate &message, ClaimActions &actions)
{
    const std::uint32_t number = shardOf(message.record.job);
    Shard &shard = table.shards[number];
    if (message.view != table.view.number || shard.completeInView != table.view.number)
        return; // the primary resends it until this entry has caught up
    RecordState &state = shard.records[message.record.job];
    if (message.record.epoch >= state.record.epoch) {
        state.record = message.record;
        state.committed = false;
        table.expiryQueue.push_back({ message.record.claimedAt, message.record.job });
    }
    ReplicateAck ack;
    ack.from = table.settings.self.id;
    ack.view = message.view;
    ack.job = message.record.job;
    ack.epoch = message.record.epoch;
    ack.notRun = message.record.notRun;
    actions.sends.push_back({ message.from, ack });
}

void handleReplicateAck(ClaimTable &table, const ReplicateAck &ack, ClaimActions &actions)
{
    Shard &shard = table.shards[shardOf(ack.job)];
    const auto found = shard.records.find(ack.job);
    if (ack.view != table.view.number || found == shard.records.end())
        return;
    RecordState &state = found->second;
    if (ack.epoch != state.record.epoch || ack.notRun != state.record.notRun)
        return;
    std::vector<std::string> &missing = state.unacknowledged;
    missing.erase(std::remove(missing.begin(), missing.end(), ack.from), missing.end());
    if (state.replicating && missing.empty())
        commit(state, actions);
}

// [SECTION] Requests

void makeRecord(ClaimTable &table, RecordState &state, const ClaimRequest &request,
                WallTime wallNow)
{
    Record &record = state.record;
    record.job = request.job;
    record.digest = request.digest;
    record.owner = request.from;
    record.nonce = request.nonce;
    record.claimedAt = wallNow.time_since_epoch().count();
    record.notRun = request.kind == ClaimRequestKind::Refuse;
    table.expiryQueue.push_back({ record.claimedAt, record.job });
    ++table.counters.granted;
}

void handleUnclaimed(ClaimTable &table, Shard &shard, const ClaimRequest &request, Time now,
                     WallTime wallNow, ClaimActions &actions)
{
    if (request.kind == ClaimRequestKind::Lookup)
        return sendStatus(request, ClaimStatus::Unclaimed, actions);
    if (mayBeLost(table, shard, request.job, wallNow)) {
        ++table.counters.unknown;
        return sendStatus(request, ClaimStatus::Unknown, actions);
    }
    RecordState &state = shard.records[request.job];
    makeRecord(table, state, request, wallNow);
    state.waiters.push_back({ request.from.id, request.nonce, false });
    replicate(table, state, now, actions);
}

void takeOver(ClaimTable &table, RecordState &state, const ClaimRequest &request, Time now,
              ClaimActions &actions)
{
    ++table.counters.takeovers;
    state.record.owner = request.from;
    state.record.nonce = request.nonce;
    ++state.record.epoch;
    state.waiters.push_back({ request.from.id, request.nonce, false });
    replicate(table, state, now, actions);
}

void handleClaimed(ClaimTable &table, RecordState &state, const ClaimRequest &request, Time now,
                   ClaimActions &actions)
{
    if (request.kind != ClaimRequestKind::Lookup && request.digest != state.record.digest) {
        ++table.counters.conflicts;
        return sendStatus(request, ClaimStatus::Conflict, actions);
    }
    const bool ownerLost = !state.record.notRun && !isMember(table.view, state.record.owner);
    if (ownerLost && request.kind == ClaimRequestKind::Claim)
        return takeOver(table, state, request, now, actions);
    if (ownerLost)
        return sendStatus(request, ClaimStatus::OwnerLost, actions);
    ++table.counters.joined;
    state.waiters.push_back({ request.from.id, request.nonce, false });
    if (state.committed)
        commit(state, actions);
    else if (!state.replicating)
        replicate(table, state, now, actions);
}

void handleClaimRequest(ClaimTable &table, const ClaimRequest &request, Time now, WallTime wallNow,
                        ClaimActions &actions)
{
    const std::uint32_t number = shardOf(request.job);
    const bool mayServe = servesShard(table, number) && hasControlLease(table, now)
            && isMember(table.view, request.from);
    if (!mayServe) {
        ++table.counters.retries;
        return sendStatus(request, ClaimStatus::Retry, actions);
    }
    Shard &shard = table.shards[number];
    const auto found = shard.records.find(request.job);
    if (found == shard.records.end() || !isEnabled(Guard::Claim))
        return handleUnclaimed(table, shard, request, now, wallNow, actions);
    handleClaimed(table, found->second, request, now, actions);
}

void handleRelease(ClaimTable &table, const Release &release, Time now, ClaimActions &actions)
{
    const std::uint32_t number = shardOf(release.job);
    if (!servesShard(table, number) || !hasControlLease(table, now))
        return; // the owner resends it, to the primary of the view by then
    Shard &shard = table.shards[number];
    const auto found = shard.records.find(release.job);
    const bool stillOwner = found != shard.records.end()
            && found->second.record.owner == release.from
            && found->second.record.epoch == release.epoch;
    if (!stillOwner) {
        const Released released { release.job, release.epoch, false };
        actions.sends.push_back({ release.from.id, released });
        return;
    }
    RecordState &state = found->second;
    state.waiters.push_back({ release.from.id, 0, true });
    const bool changed = !state.record.notRun;
    state.record.notRun = true;
    if (state.committed && !changed)
        commit(state, actions);
    else if (changed || !state.replicating)
        replicate(table, state, now, actions);
}

void resendRecords(ClaimTable &table, Time now, ClaimActions &actions)
{
    std::vector<std::string> jobs;
    jobs.swap(table.uncommitted);
    for (const std::string &job : jobs) {
        Shard &shard = table.shards[shardOf(job)];
        const auto found = shard.records.find(job);
        if (found == shard.records.end() || !found->second.replicating)
            continue;
        if (now >= found->second.nextSend)
            sendRecord(table, found->second, now, actions);
        table.uncommitted.push_back(job);
    }
}

void expireRecords(ClaimTable &table, WallTime wallNow)
{
    // Twice the skew: the id may be ahead of this clock, and the next primary's clock behind it.
    const WallTime limit = wallNow - table.settings.retention - 2 * table.settings.clockSkew;
    const std::int64_t oldest = limit.time_since_epoch().count();
    while (!table.expiryQueue.empty() && table.expiryQueue.front().claimedAt < oldest) {
        const std::string &job = table.expiryQueue.front().job;
        table.shards[shardOf(job)].records.erase(job);
        table.expiryQueue.pop_front();
    }
}

} // namespace

// [SECTION] Public functions

ClaimTable makeClaimTable(const ClaimSettings &settings)
{
    ClaimTable table;
    table.settings = settings;
    table.view.bases.resize(ShardCount);
    return table;
}

ClaimActions setView(ClaimTable &table, const View &view, Time now)
{
    ClaimActions actions;
    if (!isNewer(view, table.view) || view.bases.size() != ShardCount)
        return actions;
    const bool newNumber = view.number != table.view.number;
    table.view = view;
    if (newNumber)
        startTransfer(table, now, actions);
    return actions;
}

void renewControlLease(ClaimTable &table, Time now)
{
    table.controlConfirmed = true;
    table.controlConfirmedAt = now;
}

ClaimActions handle(ClaimTable &table, const ClaimMessage &message, Time now, WallTime wallNow)
{
    ClaimActions actions;
    if (const auto *request = std::get_if<ClaimRequest>(&message))
        handleClaimRequest(table, *request, now, wallNow, actions);
    else if (const auto *release = std::get_if<Release>(&message))
        handleRelease(table, *release, now, actions);
    else if (const auto *recordCopy = std::get_if<Replicate>(&message))
        handleReplicate(table, *recordCopy, actions);
    else if (const auto *recordAck = std::get_if<ReplicateAck>(&message))
        handleReplicateAck(table, *recordAck, actions);
    else if (const auto *part = std::get_if<ShardPart>(&message))
        handleShardPart(table, *part, actions);
    else if (const auto *partAck = std::get_if<ShardPartAck>(&message))
        handleShardPartAck(table, *partAck);
    else if (const auto *ready = std::get_if<ShardsReady>(&message))
        handleShardsReady(table, *ready);
    return actions;
}

ClaimActions tick(ClaimTable &table, Time now, WallTime wallNow)
{
    ClaimActions actions;
    resendRecords(table, now, actions);
    tickTransfer(table, now, actions);
    expireRecords(table, wallNow);
    return actions;
}

EntryIdentity primaryOf(const ClaimTable &table, const std::string &job)
{
    const std::vector<EntryIdentity> &replicas = table.replicas[shardOf(job)];
    return replicas.empty() ? EntryIdentity {} : replicas[0];
}

bool servesShard(const ClaimTable &table, std::uint32_t shard)
{
    const std::vector<EntryIdentity> &replicas = table.replicas[shard];
    return table.view.number != 0 && !replicas.empty() && replicas[0] == table.settings.self
            && table.shards[shard].completeInView == table.view.number
            && table.view.bases[shard].lastActiveView == table.view.number;
}

std::vector<std::uint32_t> readyShards(const ClaimTable &table)
{
    std::vector<std::uint32_t> ready;
    for (std::uint32_t number = 0; number < ShardCount; ++number) {
        const std::vector<EntryIdentity> &replicas = table.replicas[number];
        const Shard &shard = table.shards[number];
        const bool primary = !replicas.empty() && replicas[0] == table.settings.self
                && shard.completeInView == table.view.number && table.view.number != 0;
        const bool active = table.view.bases[number].lastActiveView == table.view.number;
        if (primary && !active && shard.readyReplicas.size() + 1 >= replicas.size())
            ready.push_back(number);
    }
    return ready;
}

bool allShardsActive(const ClaimTable &table)
{
    return table.view.number != 0
            && std::all_of(table.view.bases.begin(), table.view.bases.end(),
                           [&](const ShardBase &base) {
                               return base.lastActiveView == table.view.number;
                           });
}

std::size_t recordCount(const ClaimTable &table)
{
    std::size_t count = 0;
    for (const Shard &shard : table.shards)
        count += shard.records.size();
    return count;
}

} // namespace foxwing::claims
