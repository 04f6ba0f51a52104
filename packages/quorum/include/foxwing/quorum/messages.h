/*
    What the hosts of an agreement group tell each other, and what each keeps on disk.

    The protocol is Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus
    Algorithm", USENIX ATC 2014) with pre-vote, a leader that steps down without a quorum, reads
    confirmed by a round of heartbeats, learners, and one change of members at a time.

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
    // The first entry of each leader: what came before is committed with it.
    Empty,
    Members,
};
constexpr EntryKind lastOf(EntryKind)
{
    return EntryKind::Members;
}

// Who votes and who only listens. In force from the moment it is in the log.
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

    // For entries of the kind Members
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

// One thing to be kept on disk, in order.
struct VoteRecord
{
    static constexpr const char *Type = "vote";
    std::uint64_t term = 0;
    std::string votedFor;

    // Whether this host may vote: it was there from the first start, or was admitted as a learner
    // since its disk was empty.
    bool joined = false;
};
template<class Fields>
void describe(Fields &fields, VoteRecord &record)
{
    fields("term", record.term);
    fields("votedFor", record.votedFor);
    fields("joined", record.joined);
}

// Replaces all entries from its index on.
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

// Everything up to an index, instead of the entries.
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

using Record = std::variant<VoteRecord, EntryRecord, SnapshotRecord>;

// [SECTION] Elections

struct VoteRequest
{
    static constexpr const char *Type = "vote-request";
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;

    // Only asks whether a vote would be given; changes nothing.
    bool pre = false;
};
template<class Fields>
void describe(Fields &fields, VoteRequest &request)
{
    fields("from", request.from);
    fields("term", request.term);
    fields("lastIndex", request.lastIndex);
    fields("lastTerm", request.lastTerm);
    fields("pre", request.pre);
}

struct VoteReply
{
    static constexpr const char *Type = "vote-reply";
    std::string from;
    std::uint64_t term = 0;
    bool pre = false;
    bool granted = false;
};
template<class Fields>
void describe(Fields &fields, VoteReply &reply)
{
    fields("from", reply.from);
    fields("term", reply.term);
    fields("pre", reply.pre);
    fields("granted", reply.granted);
}

// [SECTION] Replication

// Also the heartbeat.
struct Append
{
    static constexpr const char *Type = "append";
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::vector<LogEntry> entries;
    std::uint64_t commit = 0;

    // Comes back in the reply; confirms reads.
    std::uint64_t round = 0;

    // The receiver is a learner of the leader's present group.
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
    fields("commit", append.commit);
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

    // The last entry known to be the same and on disk; or where to try next.
    std::uint64_t index = 0;

    // False from a host that lost its disk and was not admitted anew: it counts for no quorum.
    bool counts = true;
};
template<class Fields>
void describe(Fields &fields, AppendReply &reply)
{
    fields("from", reply.from);
    fields("term", reply.term);
    fields("round", reply.round);
    fields("matches", reply.matches);
    fields("index", reply.index);
    fields("counts", reply.counts);
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
