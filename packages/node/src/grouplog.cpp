/*
    The shell around the agreement group.

    [SECTION] Recovery
    [SECTION] Actions
    [SECTION] Writer
    [SECTION] Calls
*/
#include "grouplog.h"

#include <foxwing/base/codec.h>
#include <foxwing/node/log.h>

namespace foxwing::node {

namespace {

// [SECTION] Recovery

// A snapshot of the journal holds everything that the group keeps on disk.
struct WholeState
{
    quorum::VoteRecord vote;
    quorum::SnapshotRecord snapshot;
    std::vector<quorum::LogEntry> entries;
};
template<class Fields>
void describe(Fields &fields, WholeState &whole)
{
    fields("vote", whole.vote);
    fields("snapshot", whole.snapshot);
    fields("entries", whole.entries);
}

bool recover(const journal::Recovered &found, quorum::RecoveredQuorum &recovered, Error *reason)
{
    if (!found.snapshot.empty()) {
        WholeState whole;
        const auto json = parseJson(found.snapshot, reason);
        if (!json || !fromJson(*json, &whole, reason))
            return false;
        recovered = { whole.vote, whole.snapshot, whole.entries };
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

std::optional<control::ClusterState> readCluster(const std::string &text, Error *reason)
{
    control::ClusterState cluster;
    if (text.empty())
        return cluster;
    const auto json = parseJson(text, reason);
    if (!json || !control::loadCluster(*json, &cluster, reason))
        return std::nullopt;
    return cluster;
}

// A single control host needs no word of the operator to begin: nobody else could know more.
std::vector<std::string> firstVoters(const settings::Settings &settings)
{
    std::vector<std::string> voters;
    if (!settings.bootstrap && settings.cluster.control.size() > 1)
        return voters;
    for (const settings::Peer &peer : settings.cluster.control)
        voters.push_back(peer.id);
    return voters;
}

} // namespace

GroupLog::GroupLog(Loop &loop, PostOffice &post, const settings::Settings &settings,
                   GroupEvents events)
    : m_loop(loop)
    , m_post(post)
    , m_settings(settings)
    , m_events(std::move(events))
{ }

GroupLog::~GroupLog()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_one();
    if (m_writer.joinable())
        m_writer.join();
}

std::optional<control::ClusterState> GroupLog::open(Error *reason)
{
    m_journal = journal::Journal::open(m_settings.node.dataFolder, reason);
    if (!m_journal)
        return std::nullopt;
    quorum::RecoveredQuorum recovered;
    if (!recover(m_journal->takeRecovered(), recovered, reason))
        return std::nullopt;
    quorum::QuorumSettings quorumSettings;
    quorumSettings.self = m_settings.node.id;
    quorumSettings.seed = static_cast<std::uint64_t>(wallClockNow().time_since_epoch().count());
    quorumSettings.firstVoters = firstVoters(m_settings);
    const bool blank = recovered.vote.term == 0 && recovered.entries.empty();
    if (m_settings.bootstrap && !blank)
        logChange(LogLevel::Warning, "bootstrap-left",
                  { { "remedy",
                      "remove control.bootstrap from the settings: the group has begun" } });
    m_state = quorum::makeQuorum(quorumSettings, recovered, steadyNow());
    m_writer = std::thread([this] { runWriter(); });
    return readCluster(recovered.snapshot.state, reason);
}

// [SECTION] Actions

std::string GroupLog::wholeState() const
{
    const quorum::VoteRecord vote { m_state.term, m_state.votedFor, m_state.joined };
    const WholeState whole { vote, m_state.snapshot, { m_state.log.begin(), m_state.log.end() } };
    return writeJson(toJson(whole));
}

void GroupLog::queueWrite(quorum::QuorumActions &actions)
{
    WriteJob job;
    job.syncNumber = actions.syncNumber;
    for (const quorum::Record &record : actions.records) {
        if (std::holds_alternative<quorum::SnapshotRecord>(record))
            job.snapshot = wholeState();
        else
            job.records.push_back(writeJson(encodeMessage(record)));
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_jobs.push_back(std::move(job));
    }
    m_wakeUp.notify_one();
}

void GroupLog::apply(const quorum::LogEntry &entry)
{
    if (entry.kind != quorum::EntryKind::Command)
        return;
    Error reason;
    const auto json = parseJson(entry.payload, &reason);
    const auto command = json ? decodeMessage<control::Command>(*json, &reason) : std::nullopt;
    if (command)
        m_events.committed(*command, entry.index, entry.term);
    else
        fail(reason);
}

void GroupLog::carryOut(quorum::QuorumActions &&actions)
{
    if (!actions.records.empty())
        queueWrite(actions);
    for (quorum::Outgoing &send : actions.sends)
        m_post.send(send.to, widen(std::move(send.message)));
    if (actions.installed) {
        Error reason;
        auto cluster = readCluster(actions.installed->state, &reason);
        if (!cluster)
            return fail(reason);
        m_events.installed(std::move(*cluster));
    }
    for (const quorum::LogEntry &entry : actions.committed)
        apply(entry);
    for (const std::uint64_t id : actions.confirmedReads)
        m_events.read(id, true);
    for (const std::uint64_t id : actions.failedReads)
        m_events.read(id, false);
}

void GroupLog::fail(const Error &reason)
{
    m_failed = true;
    m_events.failed(reason);
}

// [SECTION] Writer

bool GroupLog::write(const std::vector<WriteJob> &jobs, Error *reason)
{
    for (const WriteJob &job : jobs) {
        for (const std::string &record : job.records)
            m_journal->append(record);
        if (job.snapshot.empty())
            continue;
        // The whole state was taken after the records of the same job.
        if (!m_journal->sync(reason) || !m_journal->replaceBySnapshot(job.snapshot, reason))
            return false;
    }
    if (m_settings.journal.addedDelay.count() > 0)
        std::this_thread::sleep_for(m_settings.journal.addedDelay);
    return m_journal->sync(reason);
}

void GroupLog::runWriter()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_wakeUp.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
        std::vector<WriteJob> jobs;
        jobs.swap(m_jobs);
        if (jobs.empty())
            continue;
        lock.unlock();
        Error reason;
        if (write(jobs, &reason)) {
            m_loop.post([this, number = jobs.back().syncNumber] {
                carryOut(quorum::synced(m_state, number, steadyNow()));
            });
        } else {
            m_loop.post([this, reason] { fail(reason); });
        }
        lock.lock();
    }
}

// [SECTION] Calls

void GroupLog::receive(const quorum::QuorumMessage &message)
{
    if (!m_failed)
        carryOut(quorum::handle(m_state, message, steadyNow()));
}

void GroupLog::tick()
{
    if (!m_failed)
        carryOut(quorum::tick(m_state, steadyNow()));
}

std::optional<quorum::LogEntry> GroupLog::propose(const control::Command &command)
{
    quorum::LogEntry entry;
    if (m_failed)
        return std::nullopt;
    auto actions = quorum::propose(m_state, writeJson(encodeMessage(command)), steadyNow(),
                                   &entry.index);
    if (!actions)
        return std::nullopt;
    entry.term = m_state.term;
    carryOut(std::move(*actions));
    return entry;
}

bool GroupLog::proposeMembers(const quorum::Members &members, Error *reason)
{
    auto actions = quorum::proposeMembers(m_state, members, steadyNow(), reason);
    if (actions)
        carryOut(std::move(*actions));
    return actions.has_value();
}

void GroupLog::requestRead(std::uint64_t id)
{
    carryOut(quorum::requestRead(m_state, id, steadyNow()));
}

void GroupLog::offerSnapshot(const control::ClusterState &cluster)
{
    if (m_state.applied < m_state.snapshot.index + m_settings.journal.snapshotEvery)
        return;
    carryOut(quorum::compact(m_state, writeJson(control::saveCluster(cluster))));
}

bool GroupLog::leadsNow() const
{
    return !m_failed && quorum::leads(m_state) && m_state.commit >= m_state.termStart;
}

} // namespace foxwing::node
