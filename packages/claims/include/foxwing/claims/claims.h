/*
    Claims: which entry may run a submission, kept in memory by entries in different data centres.

    An entry sends a request to the primary of the submission's shard. The primary makes a record,
    replicates it, and grants the claim once all replicas have it; that costs one round trip within
    the region and no synchronous write to disk. When an entry is lost, control makes a new view and
    the surviving replicas transfer the shards. A lost owner is replaced by the next entry that
    requests the claim, in a higher epoch. If all replicas of a shard are lost, ids created
    before the loss are answered "unknown" and never started.

        ClaimTable table = makeClaimTable(settings);
        ClaimActions actions = setView(table, view, now);
        actions = handle(table, ClaimMessage(request), now, wallNow);

    [SECTION] Settings
    [SECTION] State
    [SECTION] Actions
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <foxwing/claims/messages.h>

namespace foxwing::claims {

// [SECTION] Settings

struct ClaimSettings
{
    EntryIdentity self;

    // Records are kept this long; older ids are answered "unknown".
    Seconds retention { 300 };

    // Ids dated further in the future than this are refused.
    Milliseconds clockSkew { 2000 };

    // A primary that got no answer from control for this long grants no claims. Must be shorter
    // than the time after which control considers an entry lost.
    Milliseconds controlLease { 1500 };

    // Unacknowledged records and shard parts are resent after this interval.
    Milliseconds resendInterval { 150 };

    // Maximum number of records in one part of a shard.
    std::uint32_t recordsPerPart = 400;
};

// [SECTION] State

struct Waiter
{
    std::string to;
    std::uint64_t nonce = 0;
    bool isRelease = false;
};

// A record and, at the primary, the state of its replication.
struct RecordState
{
    Record record;

    // Every replica is known to have it, so requests may be answered from it. Only primaries know
    // this; a new primary replicates the record again when it is first requested.
    bool committed = false;
    bool replicating = false;
    std::vector<std::string> unacknowledged;
    std::vector<Waiter> waiters;
    Time nextSend {};
};

struct OutgoingPart
{
    std::string to;
    ShardPart part;
    Time nextSend {};
};

struct Shard
{
    std::unordered_map<std::string, RecordState> records;

    // The view in which this process has every claim of the shard; 0 for none.
    std::uint64_t completeInView = 0;
    std::int64_t lossCutoff = 0;

    // At the primary: other replicas that reported to have the shard in the current view.
    std::set<std::string> readyReplicas;

    // Parts received in the current view, by sender.
    std::unordered_map<std::string, std::set<std::uint32_t>> received;
};

// For expiring records in the order of their creation.
struct ExpiringRecord
{
    std::int64_t claimedAt = 0;
    std::string job;
};

struct ClaimCounters
{
    std::uint64_t granted = 0;
    std::uint64_t joined = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t partsSent = 0;
};

struct ClaimTable
{
    ClaimSettings settings;
    View view;
    std::vector<Shard> shards { ShardCount };

    // Replicas of each shard in the current view.
    std::vector<std::vector<EntryIdentity>> replicas { ShardCount };

    // When the last request that control answered was sent, and whether there was one.
    Time controlConfirmedAt {};
    bool controlConfirmed = false;

    std::vector<std::string> uncommitted;
    std::vector<OutgoingPart> outgoing;
    std::deque<ExpiringRecord> expiryQueue;
    Time nextReadyReport {};
    ClaimCounters counters;
};

// [SECTION] Actions

struct Outgoing
{
    std::string to;
    ClaimMessage message;
};

struct ClaimActions
{
    std::vector<Outgoing> sends;
};

// [SECTION] Functions

ClaimTable makeClaimTable(const ClaimSettings &settings);

// Applies a newer view, or a newer update of the current one. Older ones have no effect.
ClaimActions setView(ClaimTable &table, const View &view, Time now);

// Renews the right to grant claims; `now` is when the request that control answered was sent.
void renewControlLease(ClaimTable &table, Time now);

// Handles a message for a primary or a replica: all but ClaimResponse and Released, which are for
// the requester.
ClaimActions handle(ClaimTable &table, const ClaimMessage &message, Time now, WallTime wallNow);

// Resends records and shard parts, removes expired records.
ClaimActions tick(ClaimTable &table, Time now, WallTime wallNow);

// The primary of a submission in the current view, or an empty id if there is no entry.
EntryIdentity primaryOf(const ClaimTable &table, const std::string &job);

// Inactive shards of which this entry is the primary and that all their replicas have, for control
// to activate.
std::vector<std::uint32_t> readyShards(const ClaimTable &table);

// Whether a shard is active with this entry as its primary.
bool servesShard(const ClaimTable &table, std::uint32_t shard);

// Whether every shard is active in the newest view that this entry has received.
bool allShardsActive(const ClaimTable &table);

// Number of records at this entry.
std::size_t recordCount(const ClaimTable &table);

} // namespace foxwing::claims
