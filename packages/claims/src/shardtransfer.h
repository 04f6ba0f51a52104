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
void beginTransfer(ClaimTable &table, Time now, ClaimActions &actions);

void handlePart(ClaimTable &table, const ShardPart &part, ClaimActions &actions);
void handlePartTaken(ClaimTable &table, const ShardPartAck &taken);
void handleHeld(ClaimTable &table, const ShardsReady &held);

// Resends unacknowledged parts, and reports to the primaries which shards are complete here.
void tickTransfer(ClaimTable &table, Time now, ClaimActions &actions);

} // namespace foxwing::claims
