/*
    Inside a node with the role control: the agreement group's messages, disk and committed
   commands.

    Decisions are taken on the loop's thread by quorum::QuorumState; a thread of its own writes and
    syncs what they hand out, in order. Everything that comes while a write is under way shares the
    next one.

    [SECTION] Events
    [SECTION] Group log
*/
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <foxwing/control/cluster.h>
#include <foxwing/journal/journal.h>
#include <foxwing/node/loop.h>
#include <foxwing/quorum/quorum.h>
#include <foxwing/settings/settings.h>

#include "postoffice.h"

namespace foxwing::node {

// [SECTION] Events

// All are called on the loop's thread.
struct GroupEvents
{
    // A command is committed; index and term tell whose it was.
    std::function<void(const control::Command &, std::uint64_t index, std::uint64_t term)>
            committed;

    // The state was replaced by a leader's snapshot.
    std::function<void(control::ClusterState &&)> installed;

    // A read may be answered, or can't be, since this host leads no more.
    std::function<void(std::uint64_t id, bool confirmed)> read;

    // The disk failed: this host takes no more part.
    std::function<void(const Error &)> failed;
};

// [SECTION] Group log

class GroupLog
{
public:
    GroupLog(Loop &loop, PostOffice &post, const settings::Settings &settings, GroupEvents events);
    ~GroupLog();

    // Opens the journal; the state as of its snapshot.
    std::optional<control::ClusterState> open(Error *reason);

    // All on the loop's thread.
    void receive(const quorum::QuorumMessage &message);
    void tick();

    // The index and term under which a command will be committed; nothing if this host can't lead.
    std::optional<quorum::LogEntry> propose(const control::Command &command);
    bool proposeMembers(const quorum::Members &members, Error *reason);
    void requestRead(std::uint64_t id);

    // Takes the place of all applied commands on disk once there are enough.
    void offerSnapshot(const control::ClusterState &cluster);

    // Whether this host leads and has committed something in its term, so that its state is
    // current.
    bool leadsNow() const;
    const quorum::QuorumState &state() const { return m_state; }
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
    void apply(const quorum::LogEntry &entry);
    std::string wholeState() const;
    void runWriter();
    bool write(const std::vector<WriteJob> &jobs, Error *reason);
    void fail(const Error &reason);

    Loop &m_loop;
    PostOffice &m_post;
    settings::Settings m_settings;
    GroupEvents m_events;
    quorum::QuorumState m_state;
    std::optional<journal::Journal> m_journal;
    bool m_failed = false;

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<WriteJob> m_jobs;
    bool m_stopping = false;
    std::thread m_writer;
};

} // namespace foxwing::node
