/*
    A control host of a fleet: the agreement group that keeps the catalog and the cordons, and the
    directory of nodes. The operators' interface has a shell of its own.

    [SECTION] Shell
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
#include "nodelinks.h"
#include "operatorapi.h"

namespace foxwing::fleet {

using eventlog::change;
using fabric::ExchangePtr;

// [SECTION] Shell

namespace {

constexpr Milliseconds NodeBeatInterval { 500 };

// A host that heard its leader this recently knows what is agreed, but for the last heartbeats.
// With the time after which a cut-off leader steps down it stays well under the 2 s within which a
// catalog is to be in force.
constexpr Milliseconds CurrentSpan { 300 };

// Elections of the group: hosts of one region answer within milliseconds, and a lost packet is sent
// again after 200 to 300 ms.
constexpr Milliseconds ElectionSpan { 400 };
constexpr Milliseconds HeartbeatInterval { 80 };

// The first election after a start. Hosts of one region find each other within 10 ms, and until
// there is a leader no entry has a catalog.
constexpr Milliseconds FirstElectionSpan { 20 };

// The members of the group are looked over this often.
constexpr Milliseconds MembersInterval { 200 };

// A host that starts reads all catalogs since its last snapshot before it can tell one: 11 ms each
// with 360 queues, on half a core. After a loss of all power entries waited 0.24 s for 31 of them.
// Each snapshot writes the journal anew, so not after every catalog.
constexpr std::uint32_t SnapshotEvery = 8;

// After a disk has refused a write, what it holds is only known once it is read again. Full disks
// stay full for seconds.
constexpr Milliseconds ReopenPause { 500 };

// Time for the last answers of a stopping control host.
constexpr Milliseconds StopSpan { 150 };

// Members are named by an address and a disk.
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

class ControlShell : public RoleShell
{
public:
    ControlShell(Core &core, const Dialect &dialect)
        : m_core(core)
        , m_nodes(core, nodeEvents())
        , m_operators(core, dialect, operatorLinks())
    { }

    bool start(Error *reason) override;
    void tick(Time now) override;
    void reloaded() override;
    void beginShutdown(Time now) override { m_stopBegan = now; }
    bool stopped(Time now) override { return now >= m_stopBegan + StopSpan; }
    std::vector<metrics::Sample> samples() const override;

private:
    // Nodes
    NodeEvents nodeEvents();
    void nodeReceived(std::uint64_t connection, const Frame &frame);
    void tellAgreed();
    bool isCurrent(Time now) const;
    void beatAll(Time now);

    // Group
    bool startReplica(Error *reason);
    replica::ReplicaEvents replicaEvents();
    void keepControl(const std::string &address);
    void controlIsThere(const std::string &address);
    void controlReceived(const std::string &address, std::string_view bytes);
    void sendToMember(const std::string &to, const quorum::QuorumMessage &message);
    bool committed(const std::string &text, std::uint64_t index, std::uint64_t term, Error *reason);
    bool installed(const std::string &text, Error *reason);
    void adopted(const catalog::AgreedState &before);
    void watchMembers(Time now);
    void reopenJournal(Time now);

    OperatorLinks operatorLinks();
    operators::GroupStatus groupView() const;
    void sendToLeader(const Frame &frame);

    Core &m_core;
    std::unique_ptr<fabric::Listener> m_listener;
    std::unique_ptr<fabric::HttpServer> m_server;
    std::unique_ptr<replica::Replica> m_replica;
    catalog::AgreedState m_agreed;
    NodeLinks m_nodes;
    std::map<std::string, GroupPeer> m_controls;
    OperatorShell m_operators;
    bool m_tellPosted = false;

    // Counts the replicas that this process has opened
    std::uint64_t m_replicaNumber = 0;

    // When the journal is to be read again after a failure
    std::optional<Time> m_reopenAt;
    Time m_nextBeat {};
    Time m_nextMembers {};
    std::string m_toldLeader;
    Time m_stopBegan {};
};

bool ControlShell::start(Error *reason)
{
    const auto identity = readIdentity(m_core.settings, reason);
    if (!identity)
        return false;
    m_core.self.groupId = *identity;
    if (!startReplica(reason))
        return false;
    m_listener = listenInside(
            m_core, [this](const std::shared_ptr<fabric::Link> &link) { m_nodes.connected(link); },
            reason);
    m_server = serveHttp(
            m_core, m_core.settings.control,
            [this](const ExchangePtr &exchange) { m_operators.handle(exchange); }, reason);
    if (!m_listener || !m_server)
        return false;
    reloaded();
    // Not only the seeds: those may be the ones that are still without power.
    for (const std::string &voter : m_replica->state().members.voters)
        keepControl(addressOf(voter));
    return true;
}

void ControlShell::reloaded()
{
    for (const std::string &seed : seedAddresses(m_core.settings))
        keepControl(seed);
}

// [SECTION] Nodes

NodeEvents ControlShell::nodeEvents()
{
    NodeEvents events;
    events.announced = [this](const directory::NodeInfo &node) {
        if (node.role == directory::Role::Control)
            controlIsThere(node.address);
        tellAgreed();
    };
    events.received = [this](std::uint64_t connection, const Frame &frame) {
        nodeReceived(connection, frame);
    };
    return events;
}

void ControlShell::nodeReceived(std::uint64_t connection, const Frame &frame)
{
    if (const auto *group = std::get_if<GroupFrame>(&frame)) {
        Error reason;
        const auto message = decodeFrame<quorum::QuorumMessage>(group->bytes, &reason);
        if (message && group->to == m_core.self.groupId)
            m_replica->receive(*message);
    } else if (const auto *forward = std::get_if<ForwardedCall>(&frame)) {
        m_operators.handedOver(connection, *forward);
    }
}

// Whether what is agreed here is at most a moment old. A host that was cut off, or has just begun,
// must not hand an old catalog to a process that has none.
bool ControlShell::isCurrent(Time now) const
{
    const quorum::QuorumState &group = m_replica->state();
    return m_replica->isReadyLeader()
            || (!group.leader.empty() && group.commitIndex > 0
                && group.commitIndex >= group.leaderCommit
                && now < group.lastLeaderContact + CurrentSpan);
}

void ControlShell::tellAgreed()
{
    if (isCurrent(steadyNow()))
        m_nodes.tellAgreed(m_agreed);
}

void ControlShell::beatAll(Time now)
{
    if (now < m_nextBeat)
        return;
    m_nextBeat = now + NodeBeatInterval;
    const std::string heartbeat = encodeFrame(Frame(directory::NodeHeartbeat {}));
    m_nodes.heartbeat(heartbeat, now);
    std::vector<std::shared_ptr<fabric::Link>> silent;
    for (auto &[address, peer] : m_controls) {
        if (peer.link && now >= peer.lastReceivedAt + NodeSilence)
            silent.push_back(peer.link);
        else if (peer.link)
            peer.link->send(heartbeat);
    }
    for (const auto &link : silent)
        link->close();
}

// [SECTION] Group

bool ControlShell::startReplica(Error *reason)
{
    std::random_device device;
    replica::ReplicaSettings settings;
    settings.quorum.self = m_core.self.groupId;
    settings.quorum.seed = device();
    settings.quorum.initialVoters = firstVotersFor(m_core.settings, m_core.self.groupId);
    settings.quorum.selfManaged = true;
    settings.quorum.minVoters = 2 * m_core.settings.toleratedLosses + 1;
    settings.quorum.electionTimeout = ElectionSpan;
    settings.quorum.firstElectionTimeout = FirstElectionSpan;
    settings.quorum.heartbeatInterval = HeartbeatInterval;
    settings.dataFolder = m_core.settings.dataFolder + "/journal";
    settings.snapshotEvery = SnapshotEvery;
    m_replica = std::make_unique<replica::Replica>(settings, replicaEvents());
    const auto state = m_replica->open(reason);
    return state && (state->empty() || installed(*state, reason));
}

replica::ReplicaEvents ControlShell::replicaEvents()
{
    replica::ReplicaEvents events;
    // What an earlier replica has posted must not reach its successor.
    events.runOnLoop = [this, number = ++m_replicaNumber](std::function<void()> job) {
        fabric::asio::post(m_core.io, [this, number, job = std::move(job)] {
            if (number == m_replicaNumber)
                job();
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
        m_reopenAt = steadyNow() + ReopenPause;
    };
    return events;
}

void ControlShell::keepControl(const std::string &address)
{
    if (address == innerAddress(m_core.settings) || m_controls.count(address) != 0)
        return;
    m_controls[address].dialer = std::make_unique<fabric::Dialer>(
            m_core.io, address, fabric::DialerSettings(),
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

// It has just dialled this host, so it need not be waited for any longer.
void ControlShell::controlIsThere(const std::string &address)
{
    keepControl(address);
    const auto peer = m_controls.find(address);
    if (peer != m_controls.end() && !peer->second.link)
        peer->second.dialer->dialNow();
}

void ControlShell::controlReceived(const std::string &address, std::string_view bytes)
{
    m_controls.at(address).lastReceivedAt = steadyNow();
    const auto frame = readFrame(m_core, address, bytes);
    if (!frame)
        return;
    if (const auto *update = std::get_if<directory::DirectoryUpdate>(&*frame)) {
        for (const directory::NodeInfo &node : update->nodes) {
            if (node.role == directory::Role::Control)
                keepControl(node.address);
        }
    } else if (const auto *answer = std::get_if<ForwardedAnswer>(&*frame)) {
        m_operators.peerAnswered(*answer);
    }
}

void ControlShell::sendToMember(const std::string &to, const quorum::QuorumMessage &message)
{
    const std::string address = addressOf(to);
    keepControl(address);
    const auto peer = m_controls.find(address);
    if (peer != m_controls.end() && peer->second.link)
        peer->second.link->send(encodeFrame(Frame(GroupFrame { to, encodeFrame(message) })));
}

// What has changed is logged, and told once for everything that is agreed in this turn: a host that
// recovers goes through all versions, and only the last one may be seen.
void ControlShell::adopted(const catalog::AgreedState &before)
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
                           .with("data_centres", joinedNames(m_agreed.cordons)));
    if (m_tellPosted)
        return;
    m_tellPosted = true;
    fabric::asio::post(m_core.io, [this] {
        m_tellPosted = false;
        tellAgreed();
    });
}

bool ControlShell::committed(const std::string &text, std::uint64_t index, std::uint64_t term,
                             Error *reason)
{
    const auto json = parseJson(text, reason);
    const auto command = json ? decodeMessage<catalog::Command>(*json, reason) : std::nullopt;
    if (!command)
        return false;
    const catalog::AgreedState before = m_agreed;
    const catalog::ApplyResult applied = catalog::apply(m_agreed, *command);
    if (applied == catalog::ApplyResult::Changed)
        adopted(before);
    m_operators.committed(index, term, applied);
    if (m_replica->needsSnapshot())
        fabric::asio::post(m_core.io, [this] {
            if (m_replica->needsSnapshot())
                m_replica->takeSnapshot(writeJson(toJson(m_agreed)));
        });
    return true;
}

// A journal that is opened anew may hold an older snapshot than what is known here. The entries
// after it then change nothing, up to those that are new: each state has its own version and
// revision, and entries that led there are outdated.
bool ControlShell::installed(const std::string &text, Error *reason)
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
    adopted(before);
    return true;
}

void ControlShell::watchMembers(Time now)
{
    const std::string &leader = m_replica->state().leader;
    if (leader != m_toldLeader) {
        m_toldLeader = leader;
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

// This host takes no part until its journal can be read and written again; what it has agreed on
// before stays true.
void ControlShell::reopenJournal(Time now)
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
        m_reopenAt = now + ReopenPause;
}

operators::GroupStatus ControlShell::groupView() const
{
    const std::string &leader = m_replica->state().leader;
    const auto peer = m_controls.find(addressOf(leader));
    operators::GroupStatus view;
    view.isReadyLeader = m_replica->isReadyLeader();
    view.isElected = leader == m_core.self.groupId;
    view.reachesLeader = peer != m_controls.end() && peer->second.link != nullptr;
    view.agreed = &m_agreed;
    return view;
}

void ControlShell::sendToLeader(const Frame &frame)
{
    const auto peer = m_controls.find(addressOf(m_replica->state().leader));
    if (peer != m_controls.end() && peer->second.link)
        peer->second.link->send(encodeFrame(frame));
}

OperatorLinks ControlShell::operatorLinks()
{
    OperatorLinks links;
    links.group = [this] { return groupView(); };
    links.propose = [this](const std::string &text) { return m_replica->propose(text); };
    links.requestRead = [this](std::uint64_t call) { m_replica->requestRead(call); };
    links.sendToLeader = [this](const Frame &frame) { sendToLeader(frame); };
    links.sendToNode = [this](std::uint64_t connection, const Frame &frame) {
        m_nodes.send(connection, frame);
    };
    return links;
}

// [SECTION] Time

void ControlShell::tick(Time now)
{
    reopenJournal(now);
    m_replica->tick();
    m_nodes.tellDirectory(now);
    tellAgreed();
    beatAll(now);
    watchMembers(now);
    m_operators.tick(now);
}

std::vector<metrics::Sample> ControlShell::samples() const
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    const quorum::QuorumState &group = m_replica->state();
    std::vector<metrics::Sample> samples = m_operators.samples();
    const auto gauge = [&](const char *name, const char *help, std::uint64_t value) {
        samples.push_back({ name, help, count(value), true });
    };
    gauge("foxwing_catalog_version", "Catalog agreed on", m_agreed.declared.catalog.version);
    gauge("foxwing_cordons_revision", "Cordons agreed on", m_agreed.cordons.revision);
    gauge("foxwing_cordoned_data_centres", "Data centres that get nothing new",
          m_agreed.cordons.dataCentres.size());
    gauge("foxwing_group_term", "Term of the group", group.term);
    gauge("foxwing_group_commit", "Entries committed", group.commitIndex);
    gauge("foxwing_group_voters", "Voters", group.members.voters.size());
    gauge("foxwing_group_leads", "Whether this host leads", quorum::isLeader(group) ? 1 : 0);
    gauge("foxwing_nodes", "Nodes in touch", m_nodes.count());
    return samples;
}

} // namespace

std::unique_ptr<RoleShell> makeControlShell(Core &core, const Dialect &dialect)
{
    return std::make_unique<ControlShell>(core, dialect);
}

} // namespace foxwing::fleet
