/*
    Inside a node with the role control: commands become lasting, in order, off the loop's thread.

    Commands that come while a write is under way share the next one.

    [SECTION] Commit log
*/
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <foxwing/control/cluster.h>
#include <foxwing/journal/journal.h>
#include <foxwing/node/loop.h>
#include <foxwing/settings/settings.h>

namespace foxwing::node {

// [SECTION] Commit log

class CommitLog
{
public:
    // Called on the loop's thread, once for each command, when it lasts.
    using Committed = std::function<void(const control::Command &)>;

    // Called on the loop's thread when the disk failed: nothing more is accepted.
    using Failed = std::function<void(const Error &)>;

    CommitLog(Loop &loop, const settings::JournalSettings &settings, Committed onCommitted,
              Failed onFailed);
    ~CommitLog();

    // Opens the journal and rebuilds the state that it holds.
    std::optional<control::ClusterState> open(const std::string &folder, Error *reason);

    // Queues a command. False after a failure.
    bool propose(control::Command command);

private:
    void run();
    bool writeBatch(const std::vector<control::Command> &batch);
    void snapshotIfDue();

    Loop &m_loop;
    settings::JournalSettings m_settings;
    Committed m_onCommitted;
    Failed m_onFailed;
    std::optional<journal::Journal> m_journal;

    // The state after everything that lasts, for snapshots; the writer's own copy.
    control::ClusterState m_durable;
    std::uint32_t m_sinceSnapshot = 0;

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<control::Command> m_waiting;
    bool m_stopping = false;
    bool m_failed = false;
    std::thread m_thread;
};

} // namespace foxwing::node
