/*
    Claims: who may start a submission, kept in the memory of two entries in different data centres.

    An entry asks the home of the submission's shard. The home makes a record, copies it to the
   other replicas, and grants the claim when all of them have it; that costs one round trip inside
   the region and no synced write. When an entry dies, control makes a new view, the survivors pass
   the shards on, and an owner that died with its entry is replaced by whoever asks next, in a
   higher epoch. What is lost with all replicas of a shard is fenced off by date: ids made before
   the loss are answered "unknown" and never started.

        ClaimTable table = makeClaimTable(settings);
        ClaimActions actions = setView(table, view, now, wallNow);
        actions = handle(table, ClaimMessage(ask), now, wallNow);

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

    // Ids from further in the future than this are refused.
    Milliseconds clockSkew { 2000 };

    // A home that has not heard from control for this long grants nothing. Must be shorter than the
    // time after which control takes an entry for dead.
    Milliseconds controlLease { 1500 };

    // Unanswered copies and parts are sent again after this long.
    Milliseconds resendInterval { 150 };

    // Records in one part of a shard.
    std::uint32_t partSize = 400;
};

// [SECTION] State

struct Waiter
{
    std::string to;
    std::uint64_t nonce = 0;
    bool isRelease = false;
};

// A record, and at the home whom it still waits for.
struct HeldRecord
{
    Record record;

    // Every replica is known to have it, so it may be spoken of. Only homes get to know; a new home
    // finds out when it is asked for the record.
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
    std::unordered_map<std::string, HeldRecord> records;

    // The view in which this process holds every claim of the shard; 0 for none.
    std::uint64_t heldIn = 0;
    std::int64_t lossCutoff = 0;

    // At the home: other replicas that said they hold it in the present view.
    std::set<std::string> heldBy;

    // Parts received in the present view, for each sender.
    std::unordered_map<std::string, std::set<std::uint32_t>> received;
};

// For forgetting records in the order they were made.
struct RecordAge
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

    // Replicas of each shard in the present view.
    std::vector<std::vector<EntryIdentity>> replicas { ShardCount };

    // Control was heard from at this time.
    Time controlHeardAt {};
    bool controlHeard = false;

    std::vector<std::string> uncommitted;
    std::vector<OutgoingPart> outgoing;
    std::deque<RecordAge> ages;
    Time nextHeldReport {};
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

// Takes a newer view, or a newer update of the present one. Older ones have no effect.
ClaimActions setView(ClaimTable &table, const View &view, Time now);

// Control answered at this time: renews the right to grant.
void renewControlLease(ClaimTable &table, Time now);

// A message about claims that is meant for a home or a replica: all but ClaimResponse and Released,
// which belong to whoever asked.
ClaimActions handle(ClaimTable &table, const ClaimMessage &message, Time now, WallTime wallNow);

// Repeats copies and parts, forgets old records.
ClaimActions tick(ClaimTable &table, Time now, WallTime wallNow);

// The home of a submission in the present view, or an empty id if there is no entry.
EntryIdentity primaryOf(const ClaimTable &table, const std::string &job);

// Shards of which this entry is the home and that all their replicas hold, for control to put into
// service.
std::vector<std::uint32_t> readyShards(const ClaimTable &table);

// Whether a shard is in service with this entry as its home.
bool servesShard(const ClaimTable &table, std::uint32_t shard);

// Whether every shard is in service, as far as this entry was told.
bool allShardsActive(const ClaimTable &table);

// How many records this entry holds.
std::size_t recordCount(const ClaimTable &table);

} // namespace foxwing::claims
