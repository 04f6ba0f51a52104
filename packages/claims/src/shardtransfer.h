/*
    Inside the claims: passing shards on when the view changes.

    [SECTION] Functions
*/
#pragma once

#include <foxwing/claims/claims.h>

namespace foxwing::claims {

// [SECTION] Functions

bool contains(const std::vector<EntryIdentity> &replicas, const EntryIdentity &replica);

// Works out what this entry holds in the new view and what it must send to others.
void beginTransfer(ClaimTable &table, Time now, ClaimActions &actions);

void handlePart(ClaimTable &table, const ShardPart &part, ClaimActions &actions);
void handlePartTaken(ClaimTable &table, const ShardPartAck &taken);
void handleHeld(ClaimTable &table, const ShardsReady &held);

// Repeats parts that were not taken, and tells homes which shards are held here.
void tickTransfer(ClaimTable &table, Time now, ClaimActions &actions);

} // namespace foxwing::claims
