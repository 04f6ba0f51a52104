/*
    One host of an agreement group, with its disk: the group's messages, journal and committed
    commands. Commands and snapshots are texts whose meaning is the owner's.

    Decisions are taken on the owner's thread by quorum::QuorumState; a thread of its own writes and
    syncs what they hand out, in order. Everything that comes while a write is under way shares the
    next one.

        Replica replica(settings, events);
        Error reason;
        auto state = replica.open(&reason);   // the state as of the newest snapshot
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

    // Added to each synced write, so that measurements can stand for slow disks.
    Milliseconds addedDelay { 0 };

    // A snapshot is taken and the journal cut after this many commands.
    std::uint32_t snapshotEvery = 5000;
};

// [SECTION] Events

// All but runOnLoop are called on the owner's thread.
struct ReplicaEvents
{
    // Runs a function on the owner's thread soon; called from any thread.
    std::function<void(std::function<void()>)> runOnLoop;

    std::function<void(const std::string &to, quorum::QuorumMessage message)> send;

    // A command is committed; index and term tell whose it was. An error ends this host's part.
    std::function<bool(const std::string &command, std::uint64_t index, std::uint64_t term,
                       Error *reason)>
            committed;

    // The state was replaced by a leader's snapshot.
    std::function<bool(const std::string &state, Error *reason)> installed;

    // A read may be answered, or can't be, since this host leads no more.
    std::function<void(std::uint64_t id, bool confirmed)> read;

    // The disk failed: this host takes no more part.
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

    // Opens the journal; the state as of its snapshot, empty if there is none.
    std::optional<std::string> open(Error *reason);

    // All on the owner's thread.
    void receive(const quorum::QuorumMessage &message);
    void tick();

    // A connection to another member is there again.
    void voterReached();

    // The index and term under which a command will be committed; nothing if this host can't lead.
    std::optional<quorum::LogEntry> propose(const std::string &command);
    bool proposeMembers(const quorum::Members &members, Error *reason);
    void requestRead(std::uint64_t id);

    // Takes the place of all applied commands on disk.
    bool wantsSnapshot() const;
    void takeSnapshot(const std::string &state);

    // Whether this host leads and has committed something in its term, so that its state is
    // current.
    bool leadsNow() const;
    const quorum::QuorumState &state() const { return m_state; }

    // Whether the journal was empty when it was opened.
    bool wasBlank() const { return m_wasBlank; }
    bool failed() const { return m_failed; }

private:
    // One thing for the writer: records, or the whole journal anew.
    struct WriteJob
    {
        std::vector<std::string> records;
        std::string snapshot;
        std::uint64_t syncNumber = 0;
    };

    void carryOut(quorum::QuorumActions &&actions);
    void queueWrite(quorum::QuorumActions &actions);
    void applyCommitted(const std::vector<quorum::LogEntry> &entries);
    std::string wholeState() const;
    void runWriter();
    bool write(const std::vector<WriteJob> &jobs, Error *reason);
    void fail(const Error &reason);

    ReplicaSettings m_settings;
    ReplicaEvents m_events;
    quorum::QuorumState m_state;
    std::optional<journal::Journal> m_journal;
    bool m_wasBlank = false;
    bool m_failed = false;

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<WriteJob> m_jobs;
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace foxwing::replica
