/*
    The writer of the journal.

    [SECTION] Opening
    [SECTION] Writing
*/
#include "commitlog.h"

#include <foxwing/base/codec.h>

namespace foxwing::node {

// [SECTION] Opening

CommitLog::CommitLog(Loop &loop, const settings::JournalSettings &settings, Committed onCommitted,
                     Failed onFailed)
    : m_loop(loop)
    , m_settings(settings)
    , m_onCommitted(std::move(onCommitted))
    , m_onFailed(std::move(onFailed))
{ }

CommitLog::~CommitLog()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_one();
    if (m_thread.joinable())
        m_thread.join();
}

std::optional<control::ClusterState> CommitLog::open(const std::string &folder, Error *reason)
{
    m_journal = journal::Journal::open(folder, reason);
    if (!m_journal)
        return std::nullopt;
    const journal::Recovered found = m_journal->takeRecovered();
    if (!found.snapshot.empty()) {
        const auto json = parseJson(found.snapshot, reason);
        if (!json || !control::loadCluster(*json, &m_durable, reason))
            return std::nullopt;
    }
    for (const journal::Entry &entry : found.entries) {
        const auto json = parseJson(entry.payload, reason);
        const auto command = json ? decodeMessage<control::Command>(*json, reason) : std::nullopt;
        if (!command)
            return std::nullopt;
        control::applyCommand(m_durable, *command);
    }
    m_sinceSnapshot = static_cast<std::uint32_t>(found.entries.size());
    m_thread = std::thread([this] { run(); });
    return m_durable;
}

// [SECTION] Writing

bool CommitLog::propose(control::Command command)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_failed)
            return false;
        m_waiting.push_back(std::move(command));
    }
    m_wakeUp.notify_one();
    return true;
}

bool CommitLog::writeBatch(const std::vector<control::Command> &batch)
{
    Error reason;
    for (const control::Command &command : batch)
        m_journal->append(writeJson(encodeMessage(command)));
    if (m_settings.addedDelay.count() > 0)
        std::this_thread::sleep_for(m_settings.addedDelay);
    if (m_journal->sync(&reason))
        return true;
    m_loop.post([this, reason] { m_onFailed(reason); });
    return false;
}

void CommitLog::snapshotIfDue()
{
    if (m_sinceSnapshot < m_settings.snapshotEvery)
        return;
    m_sinceSnapshot = 0;
    Error reason;
    const std::string snapshot = writeJson(control::saveCluster(m_durable));
    if (!m_journal->replaceBySnapshot(snapshot, &reason))
        m_loop.post([this, reason] { m_onFailed(reason); });
}

void CommitLog::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_wakeUp.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
        std::vector<control::Command> batch;
        batch.swap(m_waiting);
        if (batch.empty())
            continue;
        lock.unlock();
        const bool written = !m_journal->failed() && writeBatch(batch);
        if (written) {
            for (const control::Command &command : batch)
                control::applyCommand(m_durable, command);
            m_sinceSnapshot += static_cast<std::uint32_t>(batch.size());
            snapshotIfDue();
            m_loop.post([this, batch = std::move(batch)] {
                for (const control::Command &command : batch)
                    m_onCommitted(command);
            });
        }
        lock.lock();
        m_failed = m_failed || !written;
    }
}

} // namespace foxwing::node
