/*
    One host of a consensus group with its journal on disk. Commands and snapshots are opaque
    strings.

    quorum::QuorumState runs on the owner's thread; a writer thread writes and syncs its records in
    order. Records that arrive during a write are batched into the next one.

        Replica replica(settings, events);
        Error reason;
        auto state = replica.open(&reason);   // state of the latest snapshot
        ...
        replica.receive(message);             // from other hosts
        replica.tick();                       // every few milliseconds
        replica.propose("command");

    [SECTION] Settings
    [SECTION] Events
    [SECTION] Replica
*/
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <foxwing/journal/journal.h>
#include <foxwing/quorum/quorum.h>

namespace foxwing::replica {

// [SECTION] Settings

struct ReplicaSettings
{
    quorum::QuorumSettings quorum;
    std::string dataFolder;

    // Added to each sync, to simulate slow disks in measurements.
    Milliseconds addedDelay { 0 };

    // Log entries after which a snapshot is due, which replaces the journal.
    std::uint32_t snapshotEvery = 5000;
};

// [SECTION] Events

// Called on the owner's thread, except runOnLoop.
struct ReplicaEvents
{
    // Posts a function to the owner's thread. Must be callable from any thread.
    std::function<void(std::function<void()>)> runOnLoop;

    std::function<void(const std::string &to, quorum::QuorumMessage message)> send;

    // A command is committed; index and term identify the proposal. An error stops this replica.
    std::function<bool(const std::string &command, std::uint64_t index, std::uint64_t term,
                       Error *reason)>
            committed;

    // The leader's snapshot has replaced the state. An error stops this replica.
    std::function<bool(const std::string &state, Error *reason)> installed;

    // A read may be answered, or failed since this host is not the leader.
    std::function<void(std::uint64_t id, bool confirmed)> read;

    // The disk failed, or committed or installed returned an error. This replica has stopped.
    std::function<void(const Error &)> failed;
};

// [SECTION] Replica

class Replica
{
public:
    Replica(ReplicaSettings settings, ReplicaEvents events);
    ~Replica();

    Replica(const Replica &) = delete;
    Replica &operator=(const Replica &) = delete;

    // Opens the journal and returns the state of its snapshot, empty if there is none.
    std::optional<std::string> open(Error *reason);

    // To be called on the owner's thread, like all functions below.
    void receive(const quorum::QuorumMessage &message);
    void tick();

    // A connection to a voter was established.
    void voterConnected();

    // Index and term under which the command will be committed, unless another leader takes over
    // first; nothing if this host is not the leader or has stopped.
    std::optional<quorum::LogEntry> propose(const std::string &command);
    bool proposeMembers(const quorum::Members &members, Error *reason);
    void requestRead(std::uint64_t id);

    // A snapshot replaces all applied commands on disk.
    bool needsSnapshot() const;
    void takeSnapshot(const std::string &state);

    // Whether this host is the leader and has committed an entry of its term, so that its state is
    // current.
    bool isReadyLeader() const;
    const quorum::QuorumState &state() const { return m_state; }

    // Whether the journal was empty when it was opened.
    bool wasEmpty() const { return m_wasEmpty; }
    bool failed() const { return m_failed; }

private:
    // Records to append, then a snapshot that replaces the journal unless it is empty.
    struct PendingWrite
    {
        std::vector<std::string> records;
        std::string snapshot;
        std::uint64_t syncNumber = 0;
    };

    void execute(quorum::QuorumActions &&actions);
    void queueWrite(quorum::QuorumActions &actions);
    void applyCommitted(const std::vector<quorum::LogEntry> &entries);
    std::string persistentState() const;
    void runWriter();
    bool write(const std::vector<PendingWrite> &writes, Error *reason);
    void fail(const Error &reason);

    ReplicaSettings m_settings;
    ReplicaEvents m_events;
    quorum::QuorumState m_state;
    std::optional<journal::Journal> m_journal;
    bool m_wasEmpty = false;
    bool m_failed = false;

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<PendingWrite> m_pendingWrites;
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace foxwing::replica
