/*
    Transfer of shards when the view changes, internal to the claims.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/claims/claims.h>

namespace foxwing::claims {

// [SECTION] Functions

bool contains(const std::vector<EntryIdentity> &replicas, const EntryIdentity &replica);

// Determines which shards this entry has in the new view and queues the parts that it must send.
void startTransfer(ClaimTable &table, Time now, ClaimActions &actions);

void handleShardPart(ClaimTable &table, const ShardPart &part, ClaimActions &actions);
void handleShardPartAck(ClaimTable &table, const ShardPartAck &ack);
void handleShardsReady(ClaimTable &table, const ShardsReady &ready);

// Resends unacknowledged parts, and reports to the primaries which shards are complete here.
void tickTransfer(ClaimTable &table, Time now, ClaimActions &actions);

} // namespace foxwing::claims
