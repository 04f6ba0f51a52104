/*
    Raft consensus group: a few hosts that agree on a log of commands. No I/O of its own.

    The caller passes in messages, ticks and proposals, and handles the returned actions in this
    order: write the records, sync them, call synced() with their number, send the messages it
    releases. Messages that depend on a record are held back until then. Committed entries are
    applied in order.

        QuorumState quorum = makeQuorum(settings, recovered, now);
        QuorumActions actions = propose(quorum, "command", now);
        ... write actions.records, sync ...
        actions = synced(quorum, actions.syncNumber, now);

    [SECTION] Settings
    [SECTION] State
    [SECTION] Actions
    [SECTION] Functions
*/
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>

#include <foxwing/base/time.h>
#include <foxwing/quorum/messages.h>

namespace foxwing::quorum {

// [SECTION] Settings

struct QuorumSettings
{
    std::string self;
    std::uint64_t seed = 1;

    // Voters of a newly created group; empty for a host that joins an existing one.
    std::vector<std::string> initialVoters;

    // A host starts an election when it has received nothing from a leader for one to two timeouts
    // (randomized). A leader that has received nothing from a quorum for one timeout steps down.
    Milliseconds electionTimeout { 600 };
    Milliseconds heartbeatInterval { 120 };

    // Timeout of the first election after a start. May be short, since the pre-vote keeps the host
    // from disrupting an existing leader. Also bounds the random delay before a host without a
    // leader retries because its chances have improved: a voter was connected, or a host with an
    // older log requested its vote.
    Milliseconds firstElectionTimeout { 100 };

    // A host without a leader that has granted a pre-vote delays its own by at least this much, as
    // simultaneous candidates can split the vote and lose a whole election timeout. Must exceed two
    // disk syncs of 9 ms and a round trip.
    Milliseconds preVoteBackoff { 50 };

    // Per Append message
    std::size_t maxAppendEntries = 64;

    // Members are added and removed automatically, see nextMembers(). Allows an even number of
    // voters in between.
    bool selfManaged = false;

    // A self-managed group removes a learner that has been silent for this long. Must exceed any
    // restart or network partition after which a host is expected to return.
    Milliseconds learnerTimeout { 20000 };

    // All available hosts vote, so that the group makes progress while a majority of them is
    // connected. A voter that has been silent for this long is removed if at least minVoters others
    // are up and the group could not tolerate the loss of minVoters / 2 of them: a replaced host
    // must not count as one of the failures that the group tolerates. A host that returns is added
    // again. Must exceed the TCP retransmission of a lost heartbeat (1 s) and stay well below the
    // 4 s within which a replacement must restore the group's fault tolerance.
    Milliseconds voterTimeout { 1500 };

    // Used instead of voterTimeout while the group can tolerate that loss: the voter may only be
    // restarting, and without it the group would depend on fewer hosts.
    Milliseconds longVoterTimeout { 30000 };

    // A self-managed group removes a silent voter only while at least this many others are up. Five
    // tolerate the loss of two at once.
    std::size_t minVoters = 5;
};

// [SECTION] State

enum class Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

// The leader's replication state of another member.
struct Peer
{
    std::uint64_t nextIndex = 1;
    std::uint64_t matchIndex = 0;
    std::uint64_t ackedRound = 0;
    Time lastReceivedAt {};
    Time lastSentAt {};
    bool awaitingReply = false;
    bool joined = true;
};

struct Outgoing
{
    std::string to;
    QuorumMessage message;
};

// A message that must not be sent before all records up to syncNumber are on disk.
struct DeferredMessage
{
    std::uint64_t syncNumber = 0;
    Outgoing outgoing;
};

// A linearizable read, answered once a quorum has confirmed the leader in this round or later.
struct PendingRead
{
    std::uint64_t id = 0;
    std::uint64_t round = 0;
    std::uint64_t index = 0;
};

struct QuorumState
{
    QuorumSettings settings;
    std::mt19937_64 random;

    // Persistent
    std::uint64_t term = 0;
    std::string votedFor;

    // Whether this host may vote; see VoteRecord.
    bool joined = false;
    SnapshotRecord snapshot;
    std::deque<LogEntry> log;

    // Derived from snapshot and log
    Members members;
    std::uint64_t membersIndex = 0;

    // Volatile
    Role role = Role::Follower;
    std::string leader;
    std::uint64_t commitIndex = 0;

    // The leader's commit index in its last message; above commitIndex while this host lags.
    std::uint64_t leaderCommit = 0;
    std::uint64_t appliedIndex = 0;
    Time electionDeadline {};

    // After a granted pre-vote no election is started before this.
    Time backoffUntil {};

    // A host with an older log has requested a vote since this host last had a leader.
    bool refusedOlderLog = false;
    Time lastLeaderContact {};
    std::set<std::string> votes;

    // Number of the last record passed to the caller and of the last one known to be synced, and
    // the index of the last log entry known to be synced.
    std::uint64_t lastSyncNumber = 0;
    std::uint64_t syncedNumber = 0;
    std::uint64_t syncedIndex = 0;
    std::deque<DeferredMessage> deferredMessages;

    // The last log entry at the time of a record, to derive syncedIndex from synced records.
    struct SyncMark
    {
        std::uint64_t syncNumber = 0;
        std::uint64_t index = 0;
        std::uint64_t term = 0;
    };
    std::deque<SyncMark> syncMarks;

    // Leader only
    std::map<std::string, Peer> peers;
    std::uint64_t round = 0;
    Time nextHeartbeat {};
    std::deque<PendingRead> reads;

    // Index of the first entry that this leader appended
    std::uint64_t termStartIndex = 0;
};

// [SECTION] Actions

struct QuorumActions
{
    // To be written in this order and synced, followed by a call of synced(syncNumber).
    std::vector<Record> records;
    std::uint64_t syncNumber = 0;

    std::vector<Outgoing> sends;

    // To be applied in order, after the snapshot from the leader if there is one.
    std::optional<SnapshotRecord> installed;
    std::vector<LogEntry> committed;

    // Reads that may be answered now, and reads that failed since this host is not the leader.
    std::vector<std::uint64_t> confirmedReads;
    std::vector<std::uint64_t> failedReads;
};

// State read from disk at start.
struct RecoveredQuorum
{
    VoteRecord vote;
    SnapshotRecord snapshot;
    std::vector<LogEntry> entries;
};

// [SECTION] Functions

// Everything recovered counts as synced. A host with an empty disk that starts without
// initialVoters neither votes nor counts towards a quorum until a leader has admitted it as a
// learner: it may have been a voter before and lost its votes.
QuorumState makeQuorum(const QuorumSettings &settings, const RecoveredQuorum &recovered, Time now);

// Adds one record to the recovered state; call in the order in which they were written.
void replay(RecoveredQuorum &recovered, const Record &record);

QuorumActions handle(QuorumState &quorum, const QuorumMessage &message, Time now);
QuorumActions tick(QuorumState &quorum, Time now);

// A connection to a voter was established. If this host has no leader, it starts an election soon,
// since there may now be a majority.
void voterConnected(QuorumState &quorum, Time now);

// All records up to this number are on disk.
QuorumActions synced(QuorumState &quorum, std::uint64_t syncNumber, Time now);

// Appends a command to the log; nothing if this host is not the leader. Sets index to where the
// command will be committed, unless another leader takes over first.
std::optional<QuorumActions> propose(QuorumState &quorum, const std::string &payload, Time now,
                                     std::uint64_t *index);

// Proposes a membership change. Only one voter may be added or removed at a time, and only after
// the last change is committed. A learner must have caught up before it may vote. The number of
// voters must be odd, except while one host replaces another or in a self-managed group.
std::optional<QuorumActions> proposeMembers(QuorumState &quorum, const Members &members, Time now,
                                            Error *reason);

// A control host that is connected and may not be a member yet.
struct AvailableHost
{
    std::string id;

    // A host that lost its disk returns at the same address with another id.
    std::string address;
};

// The next membership change of a self-managed group: adds available hosts as learners, promotes
// learners that have caught up, and removes members that are silent or were replaced by a host with
// a new disk. Nothing if no change is needed or this host can't propose one now.
std::optional<Members> nextMembers(const QuorumState &quorum,
                                   const std::vector<AvailableHost> &availableHosts, Time now);

// Starts a round of heartbeats that confirms this host as the leader. The result is reported in
// confirmedReads or failedReads, possibly of later actions.
QuorumActions requestRead(QuorumState &quorum, std::uint64_t id, Time now);

// Replaces all applied entries, also on disk, by a snapshot of the state after them.
QuorumActions compact(QuorumState &quorum, std::string state);

bool isLeader(const QuorumState &quorum);
std::uint64_t lastIndex(const QuorumState &quorum);
std::uint64_t lastTerm(const QuorumState &quorum);

} // namespace foxwing::quorum
