/*
    Messages between the hosts of a consensus group, and the records that each keeps on disk.

    The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
    Algorithm", USENIX ATC 2014) with pre-vote, a leader that steps down without a quorum, reads
    confirmed by a round of heartbeats, learners, and single-server membership changes.

    [SECTION] Entries
    [SECTION] Records
    [SECTION] Elections
    [SECTION] Replication
    [SECTION] Variant
*/
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <foxwing/base/codec.h>

namespace foxwing::quorum {

// [SECTION] Entries

enum class EntryKind {
    Command,
    // First entry of each leader: commits the entries of earlier terms with it.
    NoOp,
    Members,
};
constexpr EntryKind lastOf(EntryKind)
{
    return EntryKind::Members;
}

// In effect as soon as the entry is in the log, not only when it is committed.
struct Members
{
    std::vector<std::string> voters;
    std::vector<std::string> learners;
};
template<class Fields>
void describe(Fields &fields, Members &members)
{
    fields("voters", members.voters);
    fields("learners", members.learners);
}

struct LogEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Command;
    std::string payload;

    // Only for EntryKind::Members
    Members members;
};
template<class Fields>
void describe(Fields &fields, LogEntry &entry)
{
    fields("index", entry.index);
    fields("term", entry.term);
    fields("kind", entry.kind);
    fields("payload", entry.payload);
    fields("members", entry.members);
}

// [SECTION] Records

struct VoteRecord
{
    static constexpr const char *Type = "vote";
    std::uint64_t term = 0;
    std::string votedFor;

    // Whether this host may vote: it took part in creating the group, or was admitted as a learner
    // since its disk was last empty.
    bool joined = false;
};
template<class Fields>
void describe(Fields &fields, VoteRecord &record)
{
    fields("term", record.term);
    fields("votedFor", record.votedFor);
    fields("joined", record.joined);
}

// Replaces all log entries from its index on.
struct EntryRecord
{
    static constexpr const char *Type = "entry";
    LogEntry entry;
};
template<class Fields>
void describe(Fields &fields, EntryRecord &record)
{
    fields("entry", record.entry);
}

// Replaces all log entries up to and including its index.
struct SnapshotRecord
{
    static constexpr const char *Type = "snapshot";
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Members members;
    std::string state;
};
template<class Fields>
void describe(Fields &fields, SnapshotRecord &record)
{
    fields("index", record.index);
    fields("term", record.term);
    fields("members", record.members);
    fields("state", record.state);
}

// What is kept on disk, in the order of writing.
using Record = std::variant<VoteRecord, EntryRecord, SnapshotRecord>;

// [SECTION] Elections

struct VoteRequest
{
    static constexpr const char *Type = "vote-request";
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;

    // Pre-vote: asks whether the vote would be granted, without changing term or vote.
    bool preVote = false;
};
template<class Fields>
void describe(Fields &fields, VoteRequest &request)
{
    fields("from", request.from);
    fields("term", request.term);
    fields("lastIndex", request.lastIndex);
    fields("lastTerm", request.lastTerm);
    fields("pre", request.preVote);
}

struct VoteReply
{
    static constexpr const char *Type = "vote-reply";
    std::string from;
    std::uint64_t term = 0;
    bool preVote = false;
    bool granted = false;
};
template<class Fields>
void describe(Fields &fields, VoteReply &reply)
{
    fields("from", reply.from);
    fields("term", reply.term);
    fields("pre", reply.preVote);
    fields("granted", reply.granted);
}

// [SECTION] Replication

// Also serves as the heartbeat.
struct Append
{
    static constexpr const char *Type = "append";
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::vector<LogEntry> entries;
    std::uint64_t commitIndex = 0;

    // Returned in the reply; confirms reads.
    std::uint64_t round = 0;

    // The receiver is a learner in the leader's current members.
    bool asLearner = false;
};
template<class Fields>
void describe(Fields &fields, Append &append)
{
    fields("from", append.from);
    fields("term", append.term);
    fields("previousIndex", append.previousIndex);
    fields("previousTerm", append.previousTerm);
    fields("entries", append.entries);
    fields("commit", append.commitIndex);
    fields("round", append.round);
    fields("asLearner", append.asLearner);
}

struct AppendReply
{
    static constexpr const char *Type = "append-reply";
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    bool matches = false;

    // If matches: the last entry that is identical and on disk. Otherwise the index to try next.
    std::uint64_t index = 0;

    // False if the host lost its disk and was not admitted again: it counts towards no quorum.
    bool joined = true;
};
template<class Fields>
void describe(Fields &fields, AppendReply &reply)
{
    fields("from", reply.from);
    fields("term", reply.term);
    fields("round", reply.round);
    fields("matches", reply.matches);
    fields("index", reply.index);
    fields("counts", reply.joined);
}

struct InstallSnapshot
{
    static constexpr const char *Type = "install-snapshot";
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    SnapshotRecord snapshot;
};
template<class Fields>
void describe(Fields &fields, InstallSnapshot &install)
{
    fields("from", install.from);
    fields("term", install.term);
    fields("round", install.round);
    fields("snapshot", install.snapshot);
}

// [SECTION] Variant

using QuorumMessage = std::variant<VoteRequest, VoteReply, Append, AppendReply, InstallSnapshot>;

} // namespace foxwing::quorum
