/*
    Transfer of shards between views.

    A replica of the base sends its claims to every new replica that is not in the base. It has
    moved to the new view by then and takes part in no further grant of the old one. As a grant
    needs every replica of its view, the claims that it sends include all grants of the old view.

    [SECTION] Sending
    [SECTION] Receiving
    [SECTION] Resending
*/
#include "shardtransfer.h"

#include <algorithm>

namespace foxwing::claims {

bool contains(const std::vector<EntryIdentity> &replicas, const EntryIdentity &replica)
{
    return std::find(replicas.begin(), replicas.end(), replica) != replicas.end();
}

// [SECTION] Sending

namespace {

std::vector<ShardPart> splitShard(const ClaimTable &table, std::uint32_t number)
{
    std::vector<ShardPart> parts;
    ShardPart part;
    part.from = table.settings.self.id;
    part.view = table.view.number;
    part.shard = number;
    for (const auto &state : table.shards[number].records) {
        part.records.push_back(state.second.record);
        if (part.records.size() < table.settings.recordsPerPart)
            continue;
        parts.push_back(part);
        part.records.clear();
    }
    parts.push_back(part);
    for (std::uint32_t i = 0; i < parts.size(); ++i) {
        parts[i].part = i;
        parts[i].parts = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

void queueParts(ClaimTable &table, std::uint32_t number, Time now)
{
    const std::vector<EntryIdentity> &base = table.view.bases[number].replicas;
    for (const EntryIdentity &replica : table.replicas[number]) {
        if (contains(base, replica))
            continue;
        for (ShardPart &part : splitShard(table, number))
            table.outgoing.push_back({ replica.id, std::move(part), now });
    }
}

// A replica of the base has every claim of the shard; any other one starts without claims.
void prepareShard(ClaimTable &table, std::uint32_t number, Time now)
{
    Shard &shard = table.shards[number];
    const ShardBase &base = table.view.bases[number];
    const EntryIdentity &self = table.settings.self;
    const bool inBase = contains(base.replicas, self)
            && shard.completeInView >= base.lastActiveView;
    const bool isReplica = contains(table.replicas[number], self);
    shard.readyReplicas.clear();
    shard.received.clear();
    shard.lossCutoff = std::max(shard.lossCutoff, base.lossCutoff);
    if (inBase) {
        queueParts(table, number, now);
        if (isReplica)
            shard.completeInView = table.view.number;
        return;
    }
    shard.records.clear();
    shard.completeInView = isReplica && base.replicas.empty() ? table.view.number : 0;
}

// Cancels replication in progress in the old view; requesters send their requests again.
void cancelReplication(ClaimTable &table)
{
    for (const std::string &job : table.uncommitted) {
        Shard &shard = table.shards[shardOf(job)];
        const auto found = shard.records.find(job);
        if (found == shard.records.end())
            continue;
        found->second.waiters.clear();
        found->second.unacknowledged.clear();
        found->second.replicating = false;
    }
    table.uncommitted.clear();
}

} // namespace

void startTransfer(ClaimTable &table, Time now, ClaimActions &actions)
{
    cancelReplication(table);
    table.outgoing.clear();
    for (std::uint32_t number = 0; number < ShardCount; ++number) {
        table.replicas[number] = replicasOf(table.view, number);
        prepareShard(table, number, now);
    }
    table.nextReadyReport = now;
    tickTransfer(table, now, actions);
}

// [SECTION] Receiving

void handleShardPart(ClaimTable &table, const ShardPart &part, ClaimActions &actions)
{
    if (part.view != table.view.number || part.shard >= ShardCount)
        return;
    Shard &shard = table.shards[part.shard];
    const std::string &self = table.settings.self.id;
    if (shard.completeInView != table.view.number) {
        for (const Record &record : part.records)
            shard.records[record.job].record = record;
        std::set<std::uint32_t> &received = shard.received[part.from];
        received.insert(part.part);
        if (received.size() >= part.parts)
            shard.completeInView = table.view.number;
        for (const Record &record : part.records)
            table.expiryQueue.push_back({ record.claimedAt, record.job });
    }
    const ShardPartAck ack { self, part.view, part.shard, part.part };
    actions.sends.push_back({ part.from, ack });
}

void handleShardPartAck(ClaimTable &table, const ShardPartAck &ack)
{
    if (ack.view != table.view.number)
        return;
    const auto sent = [&](const OutgoingPart &outgoing) {
        return outgoing.to == ack.from && outgoing.part.shard == ack.shard
                && outgoing.part.part == ack.part;
    };
    table.outgoing.erase(std::remove_if(table.outgoing.begin(), table.outgoing.end(), sent),
                         table.outgoing.end());
}

void handleShardsReady(ClaimTable &table, const ShardsReady &ready)
{
    if (ready.view != table.view.number)
        return;
    for (const std::uint32_t number : ready.shards) {
        if (number < ShardCount)
            table.shards[number].readyReplicas.insert(ready.from);
    }
}

// [SECTION] Resending

namespace {

void reportReadyShards(ClaimTable &table, ClaimActions &actions)
{
    std::unordered_map<std::string, ShardsReady> reports;
    for (std::uint32_t number = 0; number < ShardCount; ++number) {
        const Shard &shard = table.shards[number];
        const std::vector<EntryIdentity> &replicas = table.replicas[number];
        const bool active = table.view.bases[number].lastActiveView == table.view.number;
        if (shard.completeInView != table.view.number || active || replicas.empty()
            || replicas[0] == table.settings.self)
            continue;
        ShardsReady &report = reports[replicas[0].id];
        report.from = table.settings.self.id;
        report.view = table.view.number;
        report.shards.push_back(number);
    }
    for (auto &report : reports)
        actions.sends.push_back({ report.first, std::move(report.second) });
}

} // namespace

void tickTransfer(ClaimTable &table, Time now, ClaimActions &actions)
{
    if (table.view.number == 0)
        return;
    for (OutgoingPart &outgoing : table.outgoing) {
        if (now < outgoing.nextSend)
            continue;
        outgoing.nextSend = now + table.settings.resendInterval;
        ++table.counters.partsSent;
        actions.sends.push_back({ outgoing.to, outgoing.part });
    }
    if (now < table.nextReadyReport)
        return;
    table.nextReadyReport = now + table.settings.resendInterval;
    reportReadyShards(table, actions);
}

} // namespace foxwing::claims
