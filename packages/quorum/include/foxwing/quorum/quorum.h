/*
    An agreement group: a few hosts that agree on a log of commands.

    The shell gives messages, ticks and proposals in. What comes out is to be handled in this order:
    write the records, sync them, call synced() with their number, and send what it releases.
   Nothing that depends on a record leaves before that. Committed entries are to be applied in
   order.

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

    // Voters of a group that is started for the first time; empty for a host that joins one.
    std::vector<std::string> firstVoters;

    // A host that hears no leader for this long, up to twice as long, asks for votes. A leader that
    // hears no quorum for this long steps down.
    Milliseconds electionSpan { 600 };
    Milliseconds heartbeatInterval { 120 };

    // The same for the first election after a start, when there may be no leader at all. The vote
    // before the vote keeps it from disturbing a leader that is there.
    // Also the pause after which a host without a leader asks again once something has changed that
    // speaks for it: a voter that it now reaches, or a vote that it refused for a shorter log.
    Milliseconds firstElectionSpan { 100 };

    // A host without a leader that has helped another one in the vote before the vote asks no
    // sooner than this: two that ask at the same moment can take each other's votes, and a whole
    // election span is lost. Longer than two syncs of a disk at 9 ms and a round trip.
    Milliseconds yieldSpan { 50 };

    // Entries in one message
    std::size_t mostEntries = 64;

    // The hosts bring themselves in, see adviseMembers(); an even number of voters is then allowed
    // on the way.
    bool selfManaged = false;

    // A self-managed group removes a learner that was not heard for this long. Longer than any
    // restart or cut that a host is to return from.
    Milliseconds forgetLearnerAfter { 20000 };

    // Every host that is there votes, so that the group goes on whenever more than half of them
    // are up and connected. A voter that was not heard for this long is removed if those that are
    // left could not bear the loss of leastVoters / 2 more, and leastVoters are left: a host that
    // was replaced must not count among those that may be lost. One that comes back is brought in
    // again. Above a heartbeat that is lost and sent again by the kernel (1 s), and well under the
    // 4 s after which the users count a replacement in full.
    Milliseconds dropSpareAfter { 1500 };

    // Where that loss can be borne, a silent voter is removed after this: it may only be starting
    // again, and until it votes anew the group would hang on fewer hosts.
    Milliseconds dropIdleAfter { 30000 };

    // Voters that a self-managed group keeps, however long they are silent: with five, two may be
    // lost at once.
    std::size_t leastVoters = 5;
};

// [SECTION] State

enum class Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

// What the leader knows of another host.
struct Peer
{
    std::uint64_t next = 1;
    std::uint64_t match = 0;
    std::uint64_t ackedRound = 0;
    Time lastReceivedAt {};
    Time sentAt {};
    bool waiting = false;
    bool counts = true;
};

struct Outgoing
{
    std::string to;
    QuorumMessage message;
};

// Messages that wait until everything up to a number is on disk.
struct HeldSend
{
    std::uint64_t syncNumber = 0;
    Outgoing send;
};

// A read that is answered once a quorum has confirmed the leader.
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

    // On disk
    std::uint64_t term = 0;
    std::string votedFor;
    bool joined = false;
    SnapshotRecord snapshot;
    std::deque<LogEntry> log;

    // Derived from snapshot and log
    Members members;
    std::uint64_t membersIndex = 0;

    // Volatile
    Role role = Role::Follower;
    std::string leader;
    std::uint64_t commit = 0;

    // What the leader had committed when it was heard last; above commit while this host lags.
    std::uint64_t leaderCommit = 0;
    std::uint64_t applied = 0;
    Time electionAt {};
    Time yieldUntil {};

    // Since a leader was heard: a host with an older log than this one's has asked for votes.
    bool refusedOlderLog = false;
    Time leaderHeardAt {};
    std::set<std::string> votes;

    // Disk: records handed out so far, and the last that is known to be synced.
    std::uint64_t handedOut = 0;
    std::uint64_t syncedUpTo = 0;
    std::uint64_t syncedIndex = 0;
    std::deque<HeldSend> held;

    // Which entry was last when a record was handed out, to know what is synced.
    struct Mark
    {
        std::uint64_t syncNumber = 0;
        std::uint64_t index = 0;
        std::uint64_t term = 0;
    };
    std::deque<Mark> marks;

    // Leader only
    std::map<std::string, Peer> peers;
    std::uint64_t round = 0;
    Time nextHeartbeat {};
    std::deque<PendingRead> reads;
    std::uint64_t termStart = 0;
};

// [SECTION] Actions

struct QuorumActions
{
    // To be written in this order, then synced; then synced(syncNumber) is due.
    std::vector<Record> records;
    std::uint64_t syncNumber = 0;

    std::vector<Outgoing> sends;

    // To be applied, in order. A snapshot that came from the leader goes before them.
    std::optional<SnapshotRecord> installed;
    std::vector<LogEntry> committed;

    // Reads that may be answered now, and those that can't because this host leads no more.
    std::vector<std::uint64_t> confirmedReads;
    std::vector<std::uint64_t> failedReads;
};

// What a host found on its disk.
struct RecoveredQuorum
{
    VoteRecord vote;
    SnapshotRecord snapshot;
    std::vector<LogEntry> entries;
};

// [SECTION] Functions

// A host that starts. Everything recovered counts as synced. A host with an empty disk that is not
// among firstVoters neither votes nor counts until a leader has admitted it as a learner: if it
// was a voter before, it has forgotten its votes.
QuorumState makeQuorum(const QuorumSettings &settings, const RecoveredQuorum &recovered, Time now);

// Adds one record to what was recovered, in the order in which they were written.
void replay(RecoveredQuorum &recovered, const Record &record);

QuorumActions handle(QuorumState &quorum, const QuorumMessage &message, Time now);
QuorumActions tick(QuorumState &quorum, Time now);

// A connection to a voter is there again. Without a leader this host then asks for votes soon: with
// the voter that was missing there may be a majority.
void voterReached(QuorumState &quorum, Time now);

// All records up to this number are on disk.
QuorumActions synced(QuorumState &quorum, std::uint64_t syncNumber, Time now);

// A command for the log; nothing if this host does not lead. The index under which it will be
// committed, unless another leader comes between, goes to index.
std::optional<QuorumActions> propose(QuorumState &quorum, const std::string &payload, Time now,
                                     std::uint64_t *index);

// Other members. Only one host may be added or removed at a time, and only when the last change is
// committed; a learner may vote only once it has caught up; the voters that remain must be an odd
// number, except for the moment in which one host replaces another.
std::optional<QuorumActions> proposeMembers(QuorumState &quorum, const Members &members, Time now,
                                            Error *reason);

// A control host that is there, and may not be a member yet.
struct Candidate
{
    std::string id;

    // Where it is reached. A host whose disk was lost comes back there under another id.
    std::string address;
};

// The next change of members for a self-managed group: brings in hosts that are there, first as
// learners, lets those vote that have caught up, removes a voter whose place was taken by a host
// with a new disk. Nothing if all is as it should be, or this host can't change it now.
std::optional<Members> adviseMembers(const QuorumState &quorum,
                                     const std::vector<Candidate> &candidates, Time now);

// Confirms that this host still leads; the read with this id is answered later.
QuorumActions requestRead(QuorumState &quorum, std::uint64_t id, Time now);

// The state after all applied entries, to take their place on disk.
QuorumActions compact(QuorumState &quorum, std::string state);

bool leads(const QuorumState &quorum);
std::uint64_t lastIndex(const QuorumState &quorum);
std::uint64_t lastTerm(const QuorumState &quorum);

} // namespace foxwing::quorum
