/*
    The role control: takes part in the consensus group, which replicates the catalog and the
    cordons, and maintains the directory of nodes. The operators' interface is in operatorapi.h.

    [SECTION] Role
    [SECTION] Nodes
    [SECTION] Group
    [SECTION] Time
*/
#include <random>

#include <boost/asio/post.hpp>

#include <foxwing/fabric/httpserver.h>
#include <foxwing/replica/replica.h>

#include "core.h"
#include "identity.h"
#include "listeners.h"
#include "nodelinks.h"
#include "operatorapi.h"

namespace foxwing::fleet {

using eventlog::change;
using fabric::ExchangePtr;

// [SECTION] Role

namespace {

constexpr Milliseconds NodeHeartbeatInterval { 500 };

// A host that received a message from its leader this recently has a current state. Together with
// the time until a disconnected leader steps down, this stays well below the 2 s within which a
// catalog must be applied everywhere.
constexpr Milliseconds FreshnessWindow { 300 };

// Hosts of one region answer within milliseconds; a lost packet is retransmitted after 200 to
// 300 ms.
constexpr Milliseconds ElectionTimeout { 400 };
constexpr Milliseconds HeartbeatInterval { 80 };

// The first election after a start. Short, since entries get no catalog until there is a leader;
// hosts of one region connect within 10 ms.
constexpr Milliseconds FirstElectionTimeout { 20 };

// How often changes of the group's members are considered
constexpr Milliseconds MembersInterval { 200 };

// Committed entries between snapshots. Few, because a starting host replays all catalogs since the
// last snapshot before it can send one to entries: 11 ms each with 360 queues on half a core, so
// that entries waited 0.24 s for 31 of them after a power failure. More than one, because each
// snapshot rewrites the journal.
constexpr std::uint32_t SnapshotEvery = 8;

// After a failed write the journal must be read again, since its contents are uncertain. A full
// disk stays full for seconds.
constexpr Milliseconds ReopenDelay { 500 };

// Time for the last answers during shutdown
constexpr Milliseconds StopDelay { 150 };

// The address in a member's id (see identity.h)
std::string addressOf(const std::string &member)
{
    return member.substr(0, member.find('/'));
}

// Another control host that this one dials.
struct GroupPeer
{
    std::unique_ptr<fabric::Dialer> dialer;
    std::shared_ptr<fabric::Link> link;
    Time lastReceivedAt {};
};

class ControlRole : public NodeRole
{
public:
    ControlRole(Core &core, const Dialect &dialect)
        : m_core(core)
        , m_nodes(core, nodeEvents())
        , m_operators(core, dialect, operatorCallbacks())
    { }

    bool start(Error *reason) override;
    void tick(Time now) override;
    void reloaded() override;
    void beginShutdown(Time now) override { m_stopStartedAt = now; }
    bool stopped(Time now) override { return now >= m_stopStartedAt + StopDelay; }
    std::vector<metrics::Sample> samples() const override;

private:
    // Nodes
    NodeEvents nodeEvents();
    void nodeReceived(std::uint64_t connection, const Frame &frame);
    void pushAgreed();
    bool isCurrent(Time now) const;
    void sendHeartbeats(Time now);

    // Group
    bool startReplica(Error *reason);
    replica::ReplicaEvents replicaEvents();
    void addControlHost(const std::string &address);
    void handleControlAnnounced(const std::string &address);
    void controlReceived(const std::string &address, std::string_view bytes);
    void sendToMember(const std::string &to, const quorum::QuorumMessage &message);
    bool committed(const std::string &text, std::uint64_t index, std::uint64_t term, Error *reason);
    bool installed(const std::string &text, Error *reason);
    void handleStateChange(const catalog::AgreedState &before);
    void updateMembers(Time now);
    void reopenJournal(Time now);

    OperatorCallbacks operatorCallbacks();
    operators::GroupStatus groupStatus() const;
    void sendToLeader(const Frame &frame);

    Core &m_core;
    std::unique_ptr<fabric::Listener> m_listener;
    std::unique_ptr<fabric::HttpServer> m_server;
    std::unique_ptr<replica::Replica> m_replica;
    catalog::AgreedState m_agreed;
    NodeLinks m_nodes;
    std::map<std::string, GroupPeer> m_controls;
    OperatorApi m_operators;
    bool m_pushPosted = false;

    // Number of replicas that this process has opened
    std::uint64_t m_replicaNumber = 0;

    // When to reopen the journal after a failure
    std::optional<Time> m_reopenAt;
    Time m_nextHeartbeat {};
    Time m_nextMembers {};
    std::string m_loggedLeader;
    Time m_stopStartedAt {};
};

bool ControlRole::start(Error *reason)
{
    const auto identity = readIdentity(m_core.settings, reason);
    if (!identity)
        return false;
    m_core.self.groupId = *identity;
    if (!startReplica(reason))
        return false;
    m_listener = listenForPeers(
            m_core, [this](const std::shared_ptr<fabric::Link> &link) { m_nodes.connected(link); },
            reason);
    m_server = serveHttp(
            m_core, HttpListener::Control,
            [this](const ExchangePtr &exchange) { m_operators.handle(exchange); }, reason);
    if (!m_listener || !m_server)
        return false;
    reloaded();
    // Also the voters in the journal: the seeds may still be down after a power failure.
    for (const std::string &voter : m_replica->state().members.voters)
        addControlHost(addressOf(voter));
    return true;
}

void ControlRole::reloaded()
{
    for (const std::string &seed : seedAddresses(m_core.settings))
        addControlHost(seed);
}

// [SECTION] Nodes

NodeEvents ControlRole::nodeEvents()
{
    NodeEvents events;
    events.announced = [this](const directory::NodeInfo &node) {
        if (node.role == directory::Role::Control)
            handleControlAnnounced(node.address);
        pushAgreed();
    };
    events.received = [this](std::uint64_t connection, const Frame &frame) {
        nodeReceived(connection, frame);
    };
    return events;
}

void ControlRole::nodeReceived(std::uint64_t connection, const Frame &frame)
{
    if (const auto *group = std::get_if<GroupFrame>(&frame)) {
        Error reason;
        const auto message = decodeFrame<quorum::QuorumMessage>(group->bytes, &reason);
        if (message && group->to == m_core.self.groupId)
            m_replica->receive(*message);
    } else if (const auto *forwarded = std::get_if<ForwardedCall>(&frame)) {
        m_operators.handleForwarded(connection, *forwarded);
    }
}

// Whether the committed state of this host is current. A host that was disconnected or has just
// started must not send an outdated catalog to a process that has none.
bool ControlRole::isCurrent(Time now) const
{
    const quorum::QuorumState &group = m_replica->state();
    return m_replica->isReadyLeader()
            || (!group.leader.empty() && group.commitIndex > 0
                && group.commitIndex >= group.leaderCommit
                && now < group.lastLeaderContact + FreshnessWindow);
}

void ControlRole::pushAgreed()
{
    if (isCurrent(steadyNow()))
        m_nodes.pushAgreed(m_agreed);
}

void ControlRole::sendHeartbeats(Time now)
{
    if (now < m_nextHeartbeat)
        return;
    m_nextHeartbeat = now + NodeHeartbeatInterval;
    const std::string heartbeat = encodeFrame(Frame(directory::NodeHeartbeat {}));
    m_nodes.sendHeartbeats(heartbeat, now);
    std::vector<std::shared_ptr<fabric::Link>> timedOut;
    for (auto &[address, peer] : m_controls) {
        if (peer.link && now >= peer.lastReceivedAt + NodeTimeout)
            timedOut.push_back(peer.link);
        else if (peer.link)
            peer.link->send(heartbeat);
    }
    for (const auto &link : timedOut)
        link->close();
}

// [SECTION] Group

bool ControlRole::startReplica(Error *reason)
{
    std::random_device device;
    replica::ReplicaSettings settings;
    settings.quorum.self = m_core.self.groupId;
    settings.quorum.seed = device();
    settings.quorum.initialVoters = initialVotersFor(m_core.settings, m_core.self.groupId);
    settings.quorum.selfManaged = true;
    settings.quorum.minVoters = 2 * m_core.settings.toleratedLosses + 1;
    settings.quorum.electionTimeout = ElectionTimeout;
    settings.quorum.firstElectionTimeout = FirstElectionTimeout;
    settings.quorum.heartbeatInterval = HeartbeatInterval;
    settings.dataFolder = m_core.settings.dataFolder + "/journal";
    settings.snapshotEvery = SnapshotEvery;
    m_replica = std::make_unique<replica::Replica>(settings, replicaEvents());
    const auto state = m_replica->open(reason);
    return state && (state->empty() || installed(*state, reason));
}

replica::ReplicaEvents ControlRole::replicaEvents()
{
    replica::ReplicaEvents events;
    // Callbacks posted by a replaced replica must not run on its successor.
    events.runOnLoop = [this, number = ++m_replicaNumber](std::function<void()> callback) {
        fabric::asio::post(m_core.io, [this, number, callback = std::move(callback)] {
            if (number == m_replicaNumber)
                callback();
        });
    };
    events.send = [this](const std::string &to, const quorum::QuorumMessage &message) {
        sendToMember(to, message);
    };
    events.committed = [this](const std::string &text, std::uint64_t index, std::uint64_t term,
                              Error *reason) { return committed(text, index, term, reason); };
    events.installed = [this](const std::string &text, Error *reason) {
        return installed(text, reason);
    };
    events.read = [this](std::uint64_t number, bool confirmed) {
        m_operators.readDone(number, confirmed);
    };
    events.failed = [this](const Error &reason) {
        writeEvent(m_core.log, change("journal-failed").with("reason", reason.message));
        m_reopenAt = steadyNow() + ReopenDelay;
    };
    return events;
}

void ControlRole::addControlHost(const std::string &address)
{
    if (address == innerAddress(m_core.settings) || m_controls.count(address) != 0)
        return;
    m_controls[address].dialer = std::make_unique<fabric::Dialer>(
            m_core.io, address, dialerSettings(m_core),
            [this, address](const std::shared_ptr<fabric::Link> &link) {
                GroupPeer &peer = m_controls.at(address);
                peer.link = link;
                peer.lastReceivedAt = steadyNow();
                link->start([this,
                             address](std::string_view bytes) { controlReceived(address, bytes); },
                            [this, address] {
                                GroupPeer &lost = m_controls.at(address);
                                writeEvent(m_core.log,
                                           change("control-lost")
                                                   .with("host", address)
                                                   .with("heard_ms_ago",
                                                         steadyNow() - lost.lastReceivedAt));
                                lost.link.reset();
                                lost.dialer->redial();
                            });
                link->send(encodeFrame(Frame(directory::Announce { m_core.self })));
                writeEvent(m_core.log, change("control-connected").with("host", address));
                m_replica->voterConnected();
            });
}

// The control host has just connected to this one, so redial it at once.
void ControlRole::handleControlAnnounced(const std::string &address)
{
    addControlHost(address);
    const auto peer = m_controls.find(address);
    if (peer != m_controls.end() && !peer->second.link)
        peer->second.dialer->dialNow();
}

void ControlRole::controlReceived(const std::string &address, std::string_view bytes)
{
    m_controls.at(address).lastReceivedAt = steadyNow();
    const auto frame = readFrame(m_core, address, bytes);
    if (!frame)
        return;
    if (const auto *update = std::get_if<directory::DirectoryUpdate>(&*frame)) {
        for (const directory::NodeInfo &node : update->nodes) {
            if (node.role == directory::Role::Control)
                addControlHost(node.address);
        }
    } else if (const auto *answer = std::get_if<ForwardedAnswer>(&*frame)) {
        m_operators.handleForwardedAnswer(*answer);
    }
}

void ControlRole::sendToMember(const std::string &to, const quorum::QuorumMessage &message)
{
    const std::string address = addressOf(to);
    addControlHost(address);
    const auto peer = m_controls.find(address);
    if (peer != m_controls.end() && peer->second.link)
        peer->second.link->send(encodeFrame(Frame(GroupFrame { to, encodeFrame(message) })));
}

// Logs the changes, and posts one push for all commits of this turn: during recovery a host replays
// all versions, and only the last one may be sent.
void ControlRole::handleStateChange(const catalog::AgreedState &before)
{
    const std::uint64_t version = m_agreed.declared.catalog.version;
    if (version != before.declared.catalog.version)
        writeEvent(m_core.log,
                   change("catalog-agreed")
                           .with("version", version)
                           .with("before", before.declared.catalog.version));
    if (m_agreed.cordons.revision != before.cordons.revision)
        writeEvent(m_core.log,
                   change("cordons-agreed")
                           .with("revision", m_agreed.cordons.revision)
                           .with("data_centres", joinNames(m_agreed.cordons)));
    if (m_pushPosted)
        return;
    m_pushPosted = true;
    fabric::asio::post(m_core.io, [this] {
        m_pushPosted = false;
        pushAgreed();
    });
}

bool ControlRole::committed(const std::string &text, std::uint64_t index, std::uint64_t term,
                            Error *reason)
{
    const auto json = parseJson(text, reason);
    const auto command = json ? decodeMessage<catalog::Command>(*json, reason) : std::nullopt;
    if (!command)
        return false;
    const catalog::AgreedState before = m_agreed;
    const catalog::ApplyResult applied = catalog::apply(m_agreed, *command);
    if (applied == catalog::ApplyResult::Changed)
        handleStateChange(before);
    m_operators.committed(index, term, applied);
    if (m_replica->needsSnapshot())
        fabric::asio::post(m_core.io, [this] {
            if (m_replica->needsSnapshot())
                m_replica->takeSnapshot(writeJson(toJson(m_agreed)));
        });
    return true;
}

// The snapshot of a reopened journal may be older than the state in memory. Log entries after it
// that are already contained in the state are outdated by version or revision, and change nothing.
bool ControlRole::installed(const std::string &text, Error *reason)
{
    catalog::AgreedState installed;
    if (text.empty())
        return true;
    const auto json = parseJson(text, reason);
    if (!json || !fromJson(*json, &installed, reason))
        return false;
    const catalog::AgreedState before = m_agreed;
    if (catalog::supersedes(m_agreed.declared.catalog, installed.declared.catalog))
        m_agreed.declared = std::move(installed.declared);
    if (installed.cordons.revision > m_agreed.cordons.revision)
        m_agreed.cordons = std::move(installed.cordons);
    handleStateChange(before);
    return true;
}

void ControlRole::updateMembers(Time now)
{
    const std::string &leader = m_replica->state().leader;
    if (leader != m_loggedLeader) {
        m_loggedLeader = leader;
        writeEvent(m_core.log,
                   change("leader").with("leader", leader).with("term", m_replica->state().term));
    }
    if (now < m_nextMembers)
        return;
    m_nextMembers = now + MembersInterval;
    std::vector<quorum::AvailableHost> candidates;
    for (const directory::NodeInfo &node : directory::connectedControls(m_nodes.directory()))
        candidates.push_back({ node.groupId, node.address });
    const auto members = quorum::nextMembers(m_replica->state(), candidates, now);
    if (!members)
        return;
    Error reason;
    const bool proposed = m_replica->proposeMembers(*members, &reason);
    writeEvent(m_core.log,
               change("members-proposed")
                       .with("voters", std::uint64_t { members->voters.size() })
                       .with("learners", std::uint64_t { members->learners.size() })
                       .with("outcome", proposed ? "proposed" : reason.message.c_str()));
}

// Until the journal can be read and written again this host takes no part in the consensus group;
// its committed state remains valid.
void ControlRole::reopenJournal(Time now)
{
    if (!m_reopenAt || now < *m_reopenAt)
        return;
    m_reopenAt.reset();
    m_operators.logReopened();
    Error reason;
    const bool opened = startReplica(&reason);
    writeEvent(m_core.log,
               change(opened ? "journal-reopened" : "journal-failed")
                       .with("reason", reason.message));
    if (!opened)
        m_reopenAt = now + ReopenDelay;
}

operators::GroupStatus ControlRole::groupStatus() const
{
    const std::string &leader = m_replica->state().leader;
    const auto peer = m_controls.find(addressOf(leader));
    operators::GroupStatus status;
    status.isReadyLeader = m_replica->isReadyLeader();
    status.isElected = leader == m_core.self.groupId;
    status.reachesLeader = peer != m_controls.end() && peer->second.link != nullptr;
    status.agreed = &m_agreed;
    return status;
}

void ControlRole::sendToLeader(const Frame &frame)
{
    const auto peer = m_controls.find(addressOf(m_replica->state().leader));
    if (peer != m_controls.end() && peer->second.link)
        peer->second.link->send(encodeFrame(frame));
}

OperatorCallbacks ControlRole::operatorCallbacks()
{
    OperatorCallbacks callbacks;
    callbacks.group = [this] { return groupStatus(); };
    callbacks.propose = [this](const std::string &text) { return m_replica->propose(text); };
    callbacks.requestRead = [this](std::uint64_t call) { m_replica->requestRead(call); };
    callbacks.sendToLeader = [this](const Frame &frame) { sendToLeader(frame); };
    callbacks.sendToNode = [this](std::uint64_t connection, const Frame &frame) {
        m_nodes.send(connection, frame);
    };
    return callbacks;
}

// [SECTION] Time

void ControlRole::tick(Time now)
{
    reopenJournal(now);
    m_replica->tick();
    m_nodes.pushDirectory(now);
    pushAgreed();
    sendHeartbeats(now);
    updateMembers(now);
    m_operators.tick(now);
}

std::vector<metrics::Sample> ControlRole::samples() const
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    const quorum::QuorumState &group = m_replica->state();
    std::vector<metrics::Sample> samples = m_operators.samples();
    const auto gauge = [&](const char *name, const char *help, std::uint64_t value) {
        samples.push_back({ name, help, count(value), true });
    };
    gauge("foxwing_catalog_version", "Version of the committed catalog",
          m_agreed.declared.catalog.version);
    gauge("foxwing_cordons_revision", "Revision of the committed cordons",
          m_agreed.cordons.revision);
    gauge("foxwing_cordoned_data_centres", "Cordoned data centres",
          m_agreed.cordons.dataCentres.size());
    gauge("foxwing_group_term", "Term of the consensus group", group.term);
    gauge("foxwing_group_commit", "Index of the last committed log entry", group.commitIndex);
    gauge("foxwing_group_voters", "Voters", group.members.voters.size());
    gauge("foxwing_group_leads", "1 while this host is the leader",
          quorum::isLeader(group) ? 1 : 0);
    gauge("foxwing_nodes", "Connected nodes", m_nodes.count());
    return samples;
}

} // namespace

std::unique_ptr<NodeRole> makeControlRole(Core &core, const Dialect &dialect)
{
    return std::make_unique<ControlRole>(core, dialect);
}

} // namespace foxwing::fleet
