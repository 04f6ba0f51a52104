/*
    Transfer of shards between views.

    A replica of the base sends its claims to every new replica that is not in the base. It has
    moved to the new view by then and takes part in no further grant of the old one. As a grant
    needs every replica of its view, the claims that it sends include all grants of the old view.

    [SECTION] Sending
    [SECTION] Receiving
    [SECTION] Time
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
    for (const auto &held : table.shards[number].records) {
        part.records.push_back(held.second.record);
        if (part.records.size() < table.settings.partSize)
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
void enterShard(ClaimTable &table, std::uint32_t number, Time now)
{
    Shard &shard = table.shards[number];
    const ShardBase &base = table.view.bases[number];
    const EntryIdentity &self = table.settings.self;
    const bool inBase = contains(base.replicas, self) && shard.heldIn >= base.lastActiveView;
    const bool wanted = contains(table.replicas[number], self);
    shard.heldBy.clear();
    shard.received.clear();
    shard.lossCutoff = std::max(shard.lossCutoff, base.lossCutoff);
    if (inBase) {
        queueParts(table, number, now);
        if (wanted)
            shard.heldIn = table.view.number;
        return;
    }
    shard.records.clear();
    shard.heldIn = wanted && base.replicas.empty() ? table.view.number : 0;
}

// Cancels replication in progress in the old view; requesters send their requests again.
void dropReplication(ClaimTable &table)
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

void beginTransfer(ClaimTable &table, Time now, ClaimActions &actions)
{
    dropReplication(table);
    table.outgoing.clear();
    for (std::uint32_t number = 0; number < ShardCount; ++number) {
        table.replicas[number] = replicasOf(table.view, number);
        enterShard(table, number, now);
    }
    table.nextHeldReport = now;
    tickTransfer(table, now, actions);
}

// [SECTION] Receiving

void handlePart(ClaimTable &table, const ShardPart &part, ClaimActions &actions)
{
    if (part.view != table.view.number || part.shard >= ShardCount)
        return;
    Shard &shard = table.shards[part.shard];
    const std::string &self = table.settings.self.id;
    if (shard.heldIn != table.view.number) {
        for (const Record &record : part.records)
            shard.records[record.job].record = record;
        std::set<std::uint32_t> &received = shard.received[part.from];
        received.insert(part.part);
        if (received.size() >= part.parts)
            shard.heldIn = table.view.number;
        for (const Record &record : part.records)
            table.ages.push_back({ record.claimedAt, record.job });
    }
    const ShardPartAck taken { self, part.view, part.shard, part.part };
    actions.sends.push_back({ part.from, taken });
}

void handlePartTaken(ClaimTable &table, const ShardPartAck &taken)
{
    if (taken.view != table.view.number)
        return;
    const auto sent = [&](const OutgoingPart &outgoing) {
        return outgoing.to == taken.from && outgoing.part.shard == taken.shard
                && outgoing.part.part == taken.part;
    };
    table.outgoing.erase(std::remove_if(table.outgoing.begin(), table.outgoing.end(), sent),
                         table.outgoing.end());
}

void handleHeld(ClaimTable &table, const ShardsReady &held)
{
    if (held.view != table.view.number)
        return;
    for (const std::uint32_t number : held.shards) {
        if (number < ShardCount)
            table.shards[number].heldBy.insert(held.from);
    }
}

// [SECTION] Time

namespace {

void reportHeld(ClaimTable &table, ClaimActions &actions)
{
    std::unordered_map<std::string, ShardsReady> reports;
    for (std::uint32_t number = 0; number < ShardCount; ++number) {
        const Shard &shard = table.shards[number];
        const std::vector<EntryIdentity> &replicas = table.replicas[number];
        const bool inService = table.view.bases[number].lastActiveView == table.view.number;
        if (shard.heldIn != table.view.number || inService || replicas.empty()
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
    if (now < table.nextHeldReport)
        return;
    table.nextHeldReport = now + table.settings.resendInterval;
    reportHeld(table, actions);
}

} // namespace foxwing::claims
