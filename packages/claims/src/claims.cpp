/*
    Granting, replicating and expiring claims.

    [SECTION] Service
    [SECTION] Answers
    [SECTION] Replication
    [SECTION] Requests
    [SECTION] Entry points
*/
#include <foxwing/claims/claims.h>

#include <algorithm>

#include <foxwing/base/guards.h>
#include <foxwing/base/submissionid.h>

#include "shardtransfer.h"

namespace foxwing::claims {

namespace {

// [SECTION] Service

bool masterLeaseHolds(const ClaimTable &table, Time now)
{
    return table.controlHeard && now < table.controlHeardAt + table.settings.controlLease;
}

// Creation time that the id in "team/submission" contains; none if it is not a submission id.
std::optional<WallTime> madeAt(const std::string &job)
{
    const std::size_t slash = job.rfind('/');
    Error ignored;
    return submissionTime(job.substr(slash == std::string::npos ? 0 : slash + 1), &ignored);
}

// Whether a record of an id of this age may have been lost or expired.
bool mayBeForgotten(const ClaimTable &table, const Shard &shard, const std::string &job,
                    WallTime wallNow)
{
    const std::optional<WallTime> made = madeAt(job);
    if (!made)
        return true;
    return made->time_since_epoch().count() <= shard.lossCutoff
            || *made + table.settings.retention <= wallNow;
}

// [SECTION] Answers

void answer(const Waiter &waiter, const HeldRecord &held, const EntryIdentity &asker,
            ClaimActions &actions)
{
    const Record &record = held.record;
    ClaimResponse message;
    message.job = record.job;
    message.nonce = waiter.nonce;
    message.owner = record.owner;
    message.epoch = record.epoch;
    message.claimedAt = record.claimedAt;
    message.status = ClaimStatus::OwnedByOther;
    if (record.notRun)
        message.status = ClaimStatus::NotRun;
    else if (record.owner == asker && record.nonce == waiter.nonce)
        message.status = ClaimStatus::Granted;
    actions.sends.push_back({ waiter.to, message });
}

void answerWaiter(const Waiter &waiter, const HeldRecord &held, ClaimActions &actions)
{
    if (waiter.isRelease) {
        const Released released { held.record.job, held.record.epoch, held.record.notRun };
        actions.sends.push_back({ waiter.to, released });
        return;
    }
    // Only the current owner's request has the nonce of the record, so comparing the id is enough.
    const EntryIdentity asker { waiter.to,
                                held.record.owner.id == waiter.to ? held.record.owner.incarnation
                                                                  : 0 };
    answer(waiter, held, asker, actions);
}

void answerVerdict(const ClaimRequest &ask, ClaimStatus status, ClaimActions &actions)
{
    ClaimResponse message;
    message.job = ask.job;
    message.nonce = ask.nonce;
    message.status = status;
    actions.sends.push_back({ ask.from.id, message });
}

// [SECTION] Replication

void sendCopies(ClaimTable &table, HeldRecord &held, Time now, ClaimActions &actions)
{
    for (const std::string &replica : held.unacknowledged) {
        const Replicate copy { table.settings.self.id, table.view.number, held.record };
        actions.sends.push_back({ replica, copy });
    }
    held.nextSend = now + table.settings.resendInterval;
}

void commit(HeldRecord &held, ClaimActions &actions)
{
    held.committed = true;
    held.replicating = false;
    for (const Waiter &waiter : held.waiters)
        answerWaiter(waiter, held, actions);
    held.waiters.clear();
}

// Sends a new or changed record to the other replicas; waiters are answered once all have it.
void replicate(ClaimTable &table, HeldRecord &held, Time now, ClaimActions &actions)
{
    held.committed = false;
    held.unacknowledged.clear();
    for (const EntryIdentity &replica : table.replicas[shardOf(held.record.job)]) {
        if (!(replica == table.settings.self))
            held.unacknowledged.push_back(replica.id);
    }
    if (held.unacknowledged.empty())
        return commit(held, actions);
    if (!held.replicating)
        table.uncommitted.push_back(held.record.job);
    held.replicating = true;
    sendCopies(table, held, now, actions);
}

void handleCopy(ClaimTable &table, const Replicate &copy, ClaimActions &actions)
{
    const std::uint32_t number = shardOf(copy.record.job);
    Shard &shard = table.shards[number];
    if (copy.view != table.view.number || shard.heldIn != table.view.number)
        return; // the primary resends it until this entry has caught up
    HeldRecord &held = shard.records[copy.record.job];
    if (copy.record.epoch >= held.record.epoch) {
        held.record = copy.record;
        held.committed = false;
        table.ages.push_back({ copy.record.claimedAt, copy.record.job });
    }
    ReplicateAck copied;
    copied.from = table.settings.self.id;
    copied.view = copy.view;
    copied.job = copy.record.job;
    copied.epoch = copy.record.epoch;
    copied.notRun = copy.record.notRun;
    actions.sends.push_back({ copy.from, copied });
}

void handleCopied(ClaimTable &table, const ReplicateAck &copied, ClaimActions &actions)
{
    Shard &shard = table.shards[shardOf(copied.job)];
    const auto found = shard.records.find(copied.job);
    if (copied.view != table.view.number || found == shard.records.end())
        return;
    HeldRecord &held = found->second;
    if (copied.epoch != held.record.epoch || copied.notRun != held.record.notRun)
        return;
    std::vector<std::string> &missing = held.unacknowledged;
    missing.erase(std::remove(missing.begin(), missing.end(), copied.from), missing.end());
    if (held.replicating && missing.empty())
        commit(held, actions);
}

// [SECTION] Requests

void makeRecord(ClaimTable &table, HeldRecord &held, const ClaimRequest &ask, WallTime wallNow)
{
    Record &record = held.record;
    record.job = ask.job;
    record.digest = ask.digest;
    record.owner = ask.from;
    record.nonce = ask.nonce;
    record.claimedAt = wallNow.time_since_epoch().count();
    record.notRun = ask.kind == ClaimRequestKind::Refuse;
    table.ages.push_back({ record.claimedAt, record.job });
    ++table.counters.granted;
}

void handleNew(ClaimTable &table, Shard &shard, const ClaimRequest &ask, Time now, WallTime wallNow,
               ClaimActions &actions)
{
    if (ask.kind == ClaimRequestKind::Lookup)
        return answerVerdict(ask, ClaimStatus::Unclaimed, actions);
    if (mayBeForgotten(table, shard, ask.job, wallNow)) {
        ++table.counters.unknown;
        return answerVerdict(ask, ClaimStatus::Unknown, actions);
    }
    HeldRecord &held = shard.records[ask.job];
    makeRecord(table, held, ask, wallNow);
    held.waiters.push_back({ ask.from.id, ask.nonce, false });
    replicate(table, held, now, actions);
}

void takeOver(ClaimTable &table, HeldRecord &held, const ClaimRequest &ask, Time now,
              ClaimActions &actions)
{
    ++table.counters.takeovers;
    held.record.owner = ask.from;
    held.record.nonce = ask.nonce;
    ++held.record.epoch;
    held.waiters.push_back({ ask.from.id, ask.nonce, false });
    replicate(table, held, now, actions);
}

void handleKnown(ClaimTable &table, HeldRecord &held, const ClaimRequest &ask, Time now,
                 ClaimActions &actions)
{
    if (ask.kind != ClaimRequestKind::Lookup && ask.digest != held.record.digest) {
        ++table.counters.conflicts;
        return answerVerdict(ask, ClaimStatus::Conflict, actions);
    }
    const bool ownerLost = !held.record.notRun && !isMember(table.view, held.record.owner);
    if (ownerLost && ask.kind == ClaimRequestKind::Claim)
        return takeOver(table, held, ask, now, actions);
    if (ownerLost)
        return answerVerdict(ask, ClaimStatus::OwnerLost, actions);
    ++table.counters.joined;
    held.waiters.push_back({ ask.from.id, ask.nonce, false });
    if (held.committed)
        commit(held, actions);
    else if (!held.replicating)
        replicate(table, held, now, actions);
}

void handleAsk(ClaimTable &table, const ClaimRequest &ask, Time now, WallTime wallNow,
               ClaimActions &actions)
{
    const std::uint32_t number = shardOf(ask.job);
    const bool mayServe = servesShard(table, number) && masterLeaseHolds(table, now)
            && isMember(table.view, ask.from);
    if (!mayServe) {
        ++table.counters.retries;
        return answerVerdict(ask, ClaimStatus::Retry, actions);
    }
    Shard &shard = table.shards[number];
    const auto found = shard.records.find(ask.job);
    if (found == shard.records.end() || !holds(Guard::Claim))
        return handleNew(table, shard, ask, now, wallNow, actions);
    handleKnown(table, found->second, ask, now, actions);
}

void handleRelease(ClaimTable &table, const Release &release, Time now, ClaimActions &actions)
{
    const std::uint32_t number = shardOf(release.job);
    if (!servesShard(table, number) || !masterLeaseHolds(table, now))
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
    HeldRecord &held = found->second;
    held.waiters.push_back({ release.from.id, 0, true });
    const bool changed = !held.record.notRun;
    held.record.notRun = true;
    if (held.committed && !changed)
        commit(held, actions);
    else if (changed || !held.replicating)
        replicate(table, held, now, actions);
}

void resendCopies(ClaimTable &table, Time now, ClaimActions &actions)
{
    std::vector<std::string> jobs;
    jobs.swap(table.uncommitted);
    for (const std::string &job : jobs) {
        Shard &shard = table.shards[shardOf(job)];
        const auto found = shard.records.find(job);
        if (found == shard.records.end() || !found->second.replicating)
            continue;
        if (now >= found->second.nextSend)
            sendCopies(table, found->second, now, actions);
        table.uncommitted.push_back(job);
    }
}

void forgetOld(ClaimTable &table, WallTime wallNow)
{
    // Twice the skew: the id may be ahead of this clock, and the next primary's clock behind it.
    const WallTime limit = wallNow - table.settings.retention - 2 * table.settings.clockSkew;
    const std::int64_t oldest = limit.time_since_epoch().count();
    while (!table.ages.empty() && table.ages.front().claimedAt < oldest) {
        const std::string &job = table.ages.front().job;
        table.shards[shardOf(job)].records.erase(job);
        table.ages.pop_front();
    }
}

} // namespace

// [SECTION] Entry points

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
        beginTransfer(table, now, actions);
    return actions;
}

void renewControlLease(ClaimTable &table, Time now)
{
    table.controlHeard = true;
    table.controlHeardAt = now;
}

ClaimActions handle(ClaimTable &table, const ClaimMessage &message, Time now, WallTime wallNow)
{
    ClaimActions actions;
    if (const auto *ask = std::get_if<ClaimRequest>(&message))
        handleAsk(table, *ask, now, wallNow, actions);
    else if (const auto *release = std::get_if<Release>(&message))
        handleRelease(table, *release, now, actions);
    else if (const auto *copy = std::get_if<Replicate>(&message))
        handleCopy(table, *copy, actions);
    else if (const auto *copied = std::get_if<ReplicateAck>(&message))
        handleCopied(table, *copied, actions);
    else if (const auto *part = std::get_if<ShardPart>(&message))
        handlePart(table, *part, actions);
    else if (const auto *taken = std::get_if<ShardPartAck>(&message))
        handlePartTaken(table, *taken);
    else if (const auto *held = std::get_if<ShardsReady>(&message))
        handleHeld(table, *held);
    return actions;
}

ClaimActions tick(ClaimTable &table, Time now, WallTime wallNow)
{
    ClaimActions actions;
    resendCopies(table, now, actions);
    tickTransfer(table, now, actions);
    forgetOld(table, wallNow);
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
            && table.shards[shard].heldIn == table.view.number
            && table.view.bases[shard].lastActiveView == table.view.number;
}

std::vector<std::uint32_t> readyShards(const ClaimTable &table)
{
    std::vector<std::uint32_t> ready;
    for (std::uint32_t number = 0; number < ShardCount; ++number) {
        const std::vector<EntryIdentity> &replicas = table.replicas[number];
        const Shard &shard = table.shards[number];
        const bool primary = !replicas.empty() && replicas[0] == table.settings.self
                && shard.heldIn == table.view.number && table.view.number != 0;
        const bool active = table.view.bases[number].lastActiveView == table.view.number;
        if (primary && !active && shard.heldBy.size() + 1 >= replicas.size())
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
