/*
    Messages between entries about claims.

    All messages are one-way; the sender resends until it is answered.

    [SECTION] Records
    [SECTION] Claiming
    [SECTION] Replication
    [SECTION] Transfer
    [SECTION] Variant
*/
#pragma once

#include <string>
#include <variant>
#include <vector>

#include <foxwing/claims/view.h>

namespace foxwing::claims {

// [SECTION] Records

// One submission that was claimed.
struct Record
{
    // "team/submission"
    std::string job;

    // Digest of the request's body: the same id with another body is a conflict.
    std::string digest;

    // The entry that runs it; the epoch starts at 1 and increases with each change of owner.
    EntryIdentity owner;
    std::uint64_t epoch = 1;

    // Nonce of the request that made this owner, so that a resent request gets the same answer.
    std::uint64_t nonce = 0;

    // When the claim was made, by the primary's clock; milliseconds since 1970.
    std::int64_t claimedAt = 0;

    // Ended as "not run": no task of it ever starts.
    bool notRun = false;
};
template<class Fields>
void describe(Fields &fields, Record &record)
{
    fields("job", record.job);
    fields("digest", record.digest);
    fields("owner", record.owner);
    fields("epoch", record.epoch);
    fields("nonce", record.nonce);
    fields("claimedAt", record.claimedAt);
    fields("notRun", record.notRun);
}

// [SECTION] Claiming

enum class ClaimRequestKind {
    // Claim the job for the requester, or return its owner.
    Claim,
    // The job was refused: if it is unclaimed, record it as "not run" so that nobody can claim it.
    Refuse,
    // Only return the owner.
    Lookup,
};
constexpr ClaimRequestKind lastOf(ClaimRequestKind)
{
    return ClaimRequestKind::Lookup;
}

struct ClaimRequest
{
    static constexpr const char *Type = "claim-ask";
    EntryIdentity from;
    std::string job;
    std::string digest;
    std::uint64_t nonce = 0;
    ClaimRequestKind kind = ClaimRequestKind::Claim;
};
template<class Fields>
void describe(Fields &fields, ClaimRequest &request)
{
    fields("from", request.from);
    fields("job", request.job);
    fields("digest", request.digest);
    fields("nonce", request.nonce);
    fields("kind", request.kind);
}

enum class ClaimStatus {
    // The requester is the owner, in the epoch given.
    Granted,
    // Another entry is the owner.
    OwnedByOther,
    // The id was used with another body.
    Conflict,
    // Ended as "not run".
    NotRun,
    // Nobody has claimed it (answers to Lookup only).
    Unclaimed,
    // Its owner is lost, and the request was not to take it over.
    OwnerLost,
    // The claim may have been lost or expired; the job must not be started.
    Unknown,
    // The receiver cannot serve the shard at the moment; send the request again.
    Retry,
};
constexpr ClaimStatus lastOf(ClaimStatus)
{
    return ClaimStatus::Retry;
}

struct ClaimResponse
{
    static constexpr const char *Type = "claim-answer";
    std::string job;
    std::uint64_t nonce = 0;
    ClaimStatus status = ClaimStatus::Retry;
    EntryIdentity owner;
    std::uint64_t epoch = 0;
    std::int64_t claimedAt = 0;
};
template<class Fields>
void describe(Fields &fields, ClaimResponse &response)
{
    fields("job", response.job);
    fields("nonce", response.nonce);
    fields("verdict", response.status);
    fields("owner", response.owner);
    fields("epoch", response.epoch);
    fields("claimedAt", response.claimedAt);
}

// The owner ends a job of which no task ever started.
struct Release
{
    static constexpr const char *Type = "claim-release";
    EntryIdentity from;
    std::string job;
    std::uint64_t epoch = 0;
};
template<class Fields>
void describe(Fields &fields, Release &release)
{
    fields("from", release.from);
    fields("job", release.job);
    fields("epoch", release.epoch);
}

struct Released
{
    static constexpr const char *Type = "claim-released";
    std::string job;
    std::uint64_t epoch = 0;

    // False if another entry has taken the job over meanwhile.
    bool stillOwner = false;
};
template<class Fields>
void describe(Fields &fields, Released &released)
{
    fields("job", released.job);
    fields("epoch", released.epoch);
    fields("stillOwner", released.stillOwner);
}

// [SECTION] Replication

struct Replicate
{
    static constexpr const char *Type = "claim-copy";
    std::string from;
    std::uint64_t view = 0;
    Record record;
};
template<class Fields>
void describe(Fields &fields, Replicate &message)
{
    fields("from", message.from);
    fields("view", message.view);
    fields("record", message.record);
}

struct ReplicateAck
{
    static constexpr const char *Type = "claim-copied";
    std::string from;
    std::uint64_t view = 0;
    std::string job;
    std::uint64_t epoch = 0;
    bool notRun = false;
};
template<class Fields>
void describe(Fields &fields, ReplicateAck &ack)
{
    fields("from", ack.from);
    fields("view", ack.view);
    fields("job", ack.job);
    fields("epoch", ack.epoch);
    fields("notRun", ack.notRun);
}

// [SECTION] Transfer

// One part of a shard, from a replica of its base to one of its new replicas.
struct ShardPart
{
    static constexpr const char *Type = "shard-part";
    std::string from;
    std::uint64_t view = 0;
    std::uint32_t shard = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<Record> records;
};
template<class Fields>
void describe(Fields &fields, ShardPart &part)
{
    fields("from", part.from);
    fields("view", part.view);
    fields("shard", part.shard);
    fields("part", part.part);
    fields("parts", part.parts);
    fields("records", part.records);
}

struct ShardPartAck
{
    static constexpr const char *Type = "shard-part-taken";
    std::string from;
    std::uint64_t view = 0;
    std::uint32_t shard = 0;
    std::uint32_t part = 0;
};
template<class Fields>
void describe(Fields &fields, ShardPartAck &ack)
{
    fields("from", ack.from);
    fields("view", ack.view);
    fields("shard", ack.shard);
    fields("part", ack.part);
}

// A replica has all claims of these shards in this view; sent to the primary of each.
struct ShardsReady
{
    static constexpr const char *Type = "shards-held";
    std::string from;
    std::uint64_t view = 0;
    std::vector<std::uint32_t> shards;
};
template<class Fields>
void describe(Fields &fields, ShardsReady &ready)
{
    fields("from", ready.from);
    fields("view", ready.view);
    fields("shards", ready.shards);
}

// [SECTION] Variant

using ClaimMessage = std::variant<ClaimRequest, ClaimResponse, Release, Released, Replicate,
                                  ReplicateAck, ShardPart, ShardPartAck, ShardsReady>;

} // namespace foxwing::claims
