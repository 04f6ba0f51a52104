/*
    Journal, writer thread and actions of one host of a consensus group.

    [SECTION] Recovery
    [SECTION] Actions
    [SECTION] Writer
    [SECTION] Calls
*/
#include <foxwing/replica/replica.h>

#include <foxwing/base/clock.h>
#include <foxwing/base/codec.h>

namespace foxwing::replica {

namespace {

// [SECTION] Recovery

// Content of a journal snapshot: everything that the host keeps on disk.
struct PersistentState
{
    quorum::VoteRecord vote;
    quorum::SnapshotRecord snapshot;
    std::vector<quorum::LogEntry> entries;
};
template<class Fields>
void describe(Fields &fields, PersistentState &persistent)
{
    fields("vote", persistent.vote);
    fields("snapshot", persistent.snapshot);
    fields("entries", persistent.entries);
}

bool recover(const journal::Recovered &found, quorum::RecoveredQuorum &recovered, Error *reason)
{
    if (!found.snapshot.empty()) {
        PersistentState persistent;
        const auto json = parseJson(found.snapshot, reason);
        if (!json || !fromJson(*json, &persistent, reason))
            return false;
        recovered = { persistent.vote, persistent.snapshot, persistent.entries };
    }
    for (const journal::Entry &entry : found.entries) {
        const auto json = parseJson(entry.payload, reason);
        const auto record = json ? decodeMessage<quorum::Record>(*json, reason) : std::nullopt;
        if (!record)
            return false;
        quorum::replay(recovered, *record);
    }
    return true;
}

} // namespace

Replica::Replica(ReplicaSettings settings, ReplicaEvents events)
    : m_settings(std::move(settings))
    , m_events(std::move(events))
{ }

Replica::~Replica()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_one();
    if (m_writer.joinable())
        m_writer.join();
}

std::optional<std::string> Replica::open(Error *reason)
{
    m_journal = journal::Journal::open(m_settings.dataFolder, reason);
    if (!m_journal)
        return std::nullopt;
    quorum::RecoveredQuorum recovered;
    if (!recover(m_journal->takeRecovered(), recovered, reason))
        return std::nullopt;
    m_wasEmpty = recovered.vote.term == 0 && recovered.entries.empty();
    m_state = quorum::makeQuorum(m_settings.quorum, recovered, steadyNow());
    m_writer = std::thread([this] { runWriter(); });
    return recovered.snapshot.state;
}

// [SECTION] Actions

std::string Replica::persistentState() const
{
    const quorum::VoteRecord vote { m_state.term, m_state.votedFor, m_state.joined };
    const PersistentState persistent { vote,
                                       m_state.snapshot,
                                       { m_state.log.begin(), m_state.log.end() } };
    return writeJson(toJson(persistent));
}

void Replica::queueWrite(quorum::QuorumActions &actions)
{
    PendingWrite pending;
    pending.syncNumber = actions.syncNumber;
    for (const quorum::Record &record : actions.records) {
        if (std::holds_alternative<quorum::SnapshotRecord>(record))
            pending.snapshot = persistentState();
        else
            pending.records.push_back(writeJson(encodeMessage(record)));
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_pendingWrites.push_back(std::move(pending));
    }
    m_wakeUp.notify_one();
}

void Replica::applyCommitted(const std::vector<quorum::LogEntry> &entries)
{
    for (const quorum::LogEntry &entry : entries) {
        Error reason;
        if (entry.kind == quorum::EntryKind::Command
            && !m_events.committed(entry.payload, entry.index, entry.term, &reason))
            return fail(reason);
    }
}

void Replica::execute(quorum::QuorumActions &&actions)
{
    if (m_failed)
        return;
    if (!actions.records.empty())
        queueWrite(actions);
    for (quorum::Outgoing &outgoing : actions.sends)
        m_events.send(outgoing.to, std::move(outgoing.message));
    if (actions.installed) {
        Error reason;
        if (!m_events.installed(actions.installed->state, &reason))
            return fail(reason);
    }
    applyCommitted(actions.committed);
    for (const std::uint64_t id : actions.confirmedReads)
        m_events.read(id, true);
    for (const std::uint64_t id : actions.failedReads)
        m_events.read(id, false);
}

void Replica::fail(const Error &reason)
{
    if (m_failed)
        return;
    m_failed = true;
    m_events.failed(reason);
}

// [SECTION] Writer

bool Replica::write(const std::vector<PendingWrite> &writes, Error *reason)
{
    for (const PendingWrite &pending : writes) {
        for (const std::string &record : pending.records)
            m_journal->append(record);
        if (pending.snapshot.empty())
            continue;
        // The snapshot includes the effect of these records, so they must be synced first.
        if (!m_journal->sync(reason) || !m_journal->replaceWithSnapshot(pending.snapshot, reason))
            return false;
    }
    if (m_settings.addedDelay.count() > 0)
        std::this_thread::sleep_for(m_settings.addedDelay);
    return m_journal->sync(reason);
}

void Replica::runWriter()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_wakeUp.wait(lock, [this] { return m_stopping || !m_pendingWrites.empty(); });
        std::vector<PendingWrite> writes;
        writes.swap(m_pendingWrites);
        if (writes.empty())
            continue;
        lock.unlock();
        Error reason;
        if (write(writes, &reason)) {
            m_events.runOnLoop([this, number = writes.back().syncNumber] {
                execute(quorum::synced(m_state, number, steadyNow()));
            });
        } else {
            m_events.runOnLoop([this, reason] { fail(reason); });
        }
        lock.lock();
    }
}

// [SECTION] Calls

void Replica::receive(const quorum::QuorumMessage &message)
{
    if (!m_failed)
        execute(quorum::handle(m_state, message, steadyNow()));
}

void Replica::tick()
{
    if (!m_failed)
        execute(quorum::tick(m_state, steadyNow()));
}

void Replica::voterConnected()
{
    if (!m_failed)
        quorum::voterConnected(m_state, steadyNow());
}

std::optional<quorum::LogEntry> Replica::propose(const std::string &command)
{
    quorum::LogEntry entry;
    if (m_failed)
        return std::nullopt;
    auto actions = quorum::propose(m_state, command, steadyNow(), &entry.index);
    if (!actions)
        return std::nullopt;
    entry.term = m_state.term;
    execute(std::move(*actions));
    return entry;
}

bool Replica::proposeMembers(const quorum::Members &members, Error *reason)
{
    auto actions = quorum::proposeMembers(m_state, members, steadyNow(), reason);
    if (actions)
        execute(std::move(*actions));
    return actions.has_value();
}

void Replica::requestRead(std::uint64_t id)
{
    execute(quorum::requestRead(m_state, id, steadyNow()));
}

bool Replica::needsSnapshot() const
{
    return m_state.appliedIndex >= m_state.snapshot.index + m_settings.snapshotEvery;
}

void Replica::takeSnapshot(const std::string &state)
{
    execute(quorum::compact(m_state, state));
}

bool Replica::isReadyLeader() const
{
    return !m_failed && quorum::isLeader(m_state) && m_state.commitIndex >= m_state.termStartIndex;
}

} // namespace foxwing::replica
