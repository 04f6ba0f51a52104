/*
    Encodes control commands and cluster states for the replica.

    [SECTION] Settings
    [SECTION] Commands
    [SECTION] Calls
*/
#include "replicatedlog.h"

#include <foxwing/base/codec.h>
#include <foxwing/node/log.h>

namespace foxwing::node {

namespace {

// [SECTION] Settings

// A single control host needs no bootstrap setting: no other host can have newer state.
std::vector<std::string> initialVoters(const settings::Settings &settings)
{
    std::vector<std::string> voters;
    if (!settings.bootstrap && settings.cluster.control.size() > 1)
        return voters;
    for (const settings::Peer &peer : settings.cluster.control)
        voters.push_back(peer.id);
    return voters;
}

replica::ReplicaSettings replicaSettings(const settings::Settings &settings)
{
    replica::ReplicaSettings result;
    result.quorum.self = settings.node.id;
    result.quorum.seed = static_cast<std::uint64_t>(wallClockNow().time_since_epoch().count());
    result.quorum.initialVoters = initialVoters(settings);
    result.dataFolder = settings.node.dataFolder;
    result.addedDelay = settings.journal.addedDelay;
    result.snapshotEvery = settings.journal.snapshotEvery;
    return result;
}

// [SECTION] Commands

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

} // namespace

ReplicatedLog::ReplicatedLog(EventLoop &loop, MessageRouter &router,
                             const settings::Settings &settings, ReplicatedLogEvents events)
    : m_bootstrap(settings.bootstrap)
    , m_events(std::move(events))
    , m_replica(replicaSettings(settings), replicaEvents(loop, router))
{ }

replica::ReplicaEvents ReplicatedLog::replicaEvents(EventLoop &loop, MessageRouter &router)
{
    replica::ReplicaEvents events;
    events.runOnLoop = [&loop](std::function<void()> callback) { loop.post(std::move(callback)); };
    events.send = [&router](const std::string &to, quorum::QuorumMessage message) {
        router.send(to, widen(std::move(message)));
    };
    events.committed = [this](const std::string &text, std::uint64_t index, std::uint64_t term,
                              Error *reason) { return apply(text, index, term, reason); };
    events.installed = [this](const std::string &state, Error *reason) {
        return install(state, reason);
    };
    events.read = m_events.read;
    events.failed = m_events.failed;
    return events;
}

bool ReplicatedLog::apply(const std::string &text, std::uint64_t index, std::uint64_t term,
                          Error *reason)
{
    const auto json = parseJson(text, reason);
    const auto command = json ? decodeMessage<control::Command>(*json, reason) : std::nullopt;
    if (command)
        m_events.committed(*command, index, term);
    return command.has_value();
}

bool ReplicatedLog::install(const std::string &state, Error *reason)
{
    auto cluster = readCluster(state, reason);
    if (cluster)
        m_events.installed(std::move(*cluster));
    return cluster.has_value();
}

// [SECTION] Calls

std::optional<control::ClusterState> ReplicatedLog::open(Error *reason)
{
    const auto state = m_replica.open(reason);
    if (!state)
        return std::nullopt;
    if (m_bootstrap && !m_replica.wasEmpty())
        logEvent(LogLevel::Warning, "bootstrap-left",
                 { { "remedy",
                     "remove control.bootstrap from the settings: the group already exists" } });
    return readCluster(*state, reason);
}

std::optional<quorum::LogEntry> ReplicatedLog::propose(const control::Command &command)
{
    return m_replica.propose(writeJson(encodeMessage(command)));
}

void ReplicatedLog::offerSnapshot(const control::ClusterState &cluster)
{
    if (m_replica.needsSnapshot())
        m_replica.takeSnapshot(writeJson(control::saveCluster(cluster)));
}

} // namespace foxwing::node
