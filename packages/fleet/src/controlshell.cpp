/*
    A control host of a fleet: the agreement group that keeps the catalog, the directory of nodes,
    and the operators' interface.

    [SECTION] Shell
    [SECTION] Nodes
    [SECTION] Group
    [SECTION] Operators
    [SECTION] Time
*/
#include <random>

#include <boost/asio/post.hpp>

#include <foxwing/fabric/httpserver.h>
#include <foxwing/replica/replica.h>

#include "core.h"
#include "identity.h"

namespace foxwing::fleet {

using eventlog::change;
using fabric::ExchangePtr;

// [SECTION] Shell

namespace {

// An operator's call that can't be decided within this long is answered as unsure: callers go to
// another host after a second.
constexpr Milliseconds OperatorPatience { 900 };

// Between tries of a call that found no leader.
constexpr Milliseconds OperatorRetry { 60 };

constexpr Milliseconds NodeBeatInterval { 500 };
constexpr Milliseconds NodeSilence { 2500 };

// A host that heard its leader this recently knows what is agreed, but for the last heartbeats.
// With the time after which a cut-off leader steps down it stays well under the 2 s within which a
// catalog is to be in force.
constexpr Milliseconds CurrentSpan { 300 };

// Elections of the group: hosts of one region answer within milliseconds, and a lost packet is sent
// again after 200 to 300 ms.
constexpr Milliseconds ElectionSpan { 400 };
constexpr Milliseconds HeartbeatInterval { 80 };

// The members of the group are looked over this often.
constexpr Milliseconds MembersInterval { 200 };

// A snapshot after so many catalogs keeps the journal, of up to 256 KiB each, within 16 MiB.
constexpr std::uint32_t SnapshotEvery = 64;

// After a disk has refused a write, what it holds is only known once it is read again. Full disks
// stay full for seconds.
constexpr Milliseconds ReopenPause { 500 };

// Time for the last answers of a stopping control host.
constexpr Milliseconds StopSpan { 150 };

struct InnerPeer
{
    std::shared_ptr<fabric::Link> link;
    directory::NodeInfo node;
    bool announced = false;
    Time heardAt {};
    std::uint64_t toldRevision = 0;

    // Version of the catalog that was sent there
    std::uint64_t toldCatalog = 0;
};

// Another control host that this one dials.
struct GroupPeer
{
    std::unique_ptr<fabric::Dialer> dialer;
    std::shared_ptr<fabric::Link> link;
    Time heardAt {};
};

// An operator's call under way, here or handed over by another host.
struct OperatorCall
{
    bool isRead = false;
    catalog::DeclaredCatalog declared;
    Time cameAt {};
    Time nextTry {};

    // Where the answer goes: an operator's exchange, or a host with its own number for the call.
    ExchangePtr exchange;
    std::uint64_t fromConnection = 0;
    std::uint64_t fromCall = 0;

    // Under way at this host's log, or at another host
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    bool reading = false;
    bool forwarded = false;
};

class ControlShell : public RoleShell
{
public:
    ControlShell(Core &core, const Dialect &dialect)
        : m_core(core)
        , m_dialect(dialect)
    { }

    bool start(Error *reason) override;
    void tick(Time now) override;
    void reloaded() override;
    void beginStop(Time now) override { m_stopBegan = now; }
    bool stopped(Time now) override { return now >= m_stopBegan + StopSpan; }
    std::vector<metrics::Sample> samples() const override;

private:
    // Nodes
    void nodeConnected(const std::shared_ptr<fabric::Link> &link);
    void nodeReceived(std::uint64_t connection, std::string_view bytes);
    void tellDirectory();
    void tellCatalog();
    bool isCurrent(Time now) const;
    void beatNodes(Time now);

    // Group
    bool startReplica(Error *reason);
    replica::ReplicaEvents replicaEvents();
    void keepControl(const std::string &address);
    void controlReceived(const std::string &address, std::string_view bytes);
    void sendToMember(const std::string &to, const quorum::QuorumMessage &message);
    bool committed(const std::string &text, std::uint64_t index, std::uint64_t term, Error *reason);
    bool installed(const std::string &text, Error *reason);
    void adopt(catalog::DeclaredCatalog declared);
    void watchMembers(Time now);
    void reopenJournal(Time now);

    // Operators
    void handleOperator(const ExchangePtr &exchange);
    void addCall(OperatorCall call);
    void tryCall(std::uint64_t number, OperatorCall &call, Time now);
    void forward(std::uint64_t number, OperatorCall &call);
    void forwardAnswered(const ForwardAnswer &answer);
    void readDone(std::uint64_t number, bool confirmed);
    void finishCall(std::uint64_t number, OperatorOutcome outcome, const std::string &reason,
                    const catalog::DeclaredCatalog &declared);
    void tickCalls(Time now);

    Core &m_core;
    const Dialect &m_dialect;
    std::unique_ptr<fabric::Listener> m_listener;
    std::unique_ptr<fabric::HttpServer> m_server;
    std::unique_ptr<replica::Replica> m_replica;
    catalog::DeclaredCatalog m_declared;
    directory::DirectoryState m_directory;
    std::map<std::uint64_t, InnerPeer> m_nodes;
    std::uint64_t m_lastConnection = 0;
    std::map<std::string, GroupPeer> m_controls;
    std::map<std::uint64_t, OperatorCall> m_calls;
    std::uint64_t m_lastCall = 0;
    bool m_tellPosted = false;

    // Counts the replicas that this process has opened
    std::uint64_t m_replicaNumber = 0;

    // When the journal is to be read again after a failure
    std::optional<Time> m_reopenAt;
    Time m_nextBeat {};
    Time m_nextMembers {};
    std::string m_toldLeader;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_invalid = 0;
    std::uint64_t m_unsure = 0;
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
            m_core, [this](const std::shared_ptr<fabric::Link> &link) { nodeConnected(link); },
            reason);
    m_server = serveHttp(
            m_core, m_core.settings.control,
            [this](const ExchangePtr &exchange) { handleOperator(exchange); }, reason);
    if (!m_listener || !m_server)
        return false;
    reloaded();
    return true;
}

void ControlShell::reloaded()
{
    for (const std::string &seed : seedAddresses(m_core.settings))
        keepControl(seed);
}

// [SECTION] Nodes

void ControlShell::nodeConnected(const std::shared_ptr<fabric::Link> &link)
{
    const std::uint64_t connection = ++m_lastConnection;
    InnerPeer &peer = m_nodes[connection];
    peer.link = link;
    peer.heardAt = steadyNow();
    link->start([this, connection](std::string_view bytes) { nodeReceived(connection, bytes); },
                [this, connection] {
                    const InnerPeer gone = m_nodes.at(connection);
                    m_nodes.erase(connection);
                    directory::connectionLost(m_directory, connection, steadyNow());
                    if (gone.announced)
                        writeEvent(m_core.log,
                                   change("node-lost")
                                           .with("name", gone.node.name)
                                           .with("role", toString(gone.node.role))
                                           .with("heard_ms_ago", steadyNow() - gone.heardAt));
                });
}

void ControlShell::nodeReceived(std::uint64_t connection, std::string_view bytes)
{
    InnerPeer &peer = m_nodes.at(connection);
    peer.heardAt = steadyNow();
    auto frame = readFrame(m_core, peer.link->remote(), bytes);
    if (!frame)
        return;
    if (const auto *announce = std::get_if<directory::Announce>(&*frame)) {
        peer.node = announce->node;
        peer.announced = true;
        directory::nodeAnnounced(m_directory, connection, peer.node);
        writeEvent(m_core.log,
                   change("node-announced")
                           .with("name", peer.node.name)
                           .with("role", toString(peer.node.role))
                           .with("address", peer.node.address));
        if (peer.node.role == directory::Role::Control)
            keepControl(peer.node.address);
        tellCatalog();
    } else if (const auto *group = std::get_if<GroupFrame>(&*frame)) {
        Error reason;
        const auto message = decodeFrame<quorum::QuorumMessage>(group->bytes, &reason);
        if (message && group->to == m_core.self.groupId)
            m_replica->receive(*message);
    } else if (auto *declare = std::get_if<ForwardDeclare>(&*frame)) {
        OperatorCall call;
        call.declared = std::move(declare->declared);
        call.fromConnection = connection;
        call.fromCall = declare->call;
        addCall(std::move(call));
    } else if (const auto *read = std::get_if<ForwardRead>(&*frame)) {
        OperatorCall call;
        call.isRead = true;
        call.fromConnection = connection;
        call.fromCall = read->call;
        addCall(std::move(call));
    }
}

void ControlShell::tellDirectory()
{
    std::map<directory::Role, std::string> frames;
    for (auto &[connection, peer] : m_nodes) {
        if (!peer.announced || peer.toldRevision == m_directory.revision)
            continue;
        peer.toldRevision = m_directory.revision;
        std::string &frame = frames[peer.node.role];
        if (frame.empty())
            frame = encodeFrame(Frame(directory::updateFor(m_directory, peer.node.role)));
        peer.link->send(frame);
    }
}

// Whether what is agreed here is at most a moment old. A host that was cut off, or has just begun,
// must not hand an old catalog to a process that has none.
bool ControlShell::isCurrent(Time now) const
{
    const quorum::QuorumState &group = m_replica->state();
    return m_replica->leadsNow()
            || (!group.leader.empty() && group.commit > 0 && group.commit >= group.leaderCommit
                && now < group.leaderHeardAt + CurrentSpan);
}

void ControlShell::tellCatalog()
{
    const std::uint64_t version = m_declared.catalog.version;
    if (version == 0 || !isCurrent(steadyNow()))
        return;
    std::string frame;
    for (auto &[connection, peer] : m_nodes) {
        if (!peer.announced || peer.node.role == directory::Role::Control
            || peer.toldCatalog >= version)
            continue;
        if (frame.empty())
            frame = encodeFrame(Frame(CatalogPush { m_declared.catalog }));
        peer.toldCatalog = version;
        peer.link->send(frame);
    }
}

void ControlShell::beatNodes(Time now)
{
    if (now < m_nextBeat)
        return;
    m_nextBeat = now + NodeBeatInterval;
    const std::string beat = encodeFrame(Frame(directory::NodeBeat {}));
    std::vector<std::shared_ptr<fabric::Link>> silent;
    for (auto &[connection, peer] : m_nodes) {
        if (now >= peer.heardAt + NodeSilence)
            silent.push_back(peer.link);
        else
            peer.link->send(beat);
    }
    for (auto &[address, peer] : m_controls) {
        if (peer.link && now >= peer.heardAt + NodeSilence)
            silent.push_back(peer.link);
        else if (peer.link)
            peer.link->send(beat);
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
    settings.quorum.firstVoters = firstVotersFor(m_core.settings, m_core.self.groupId);
    settings.quorum.selfManaged = true;
    settings.quorum.electionSpan = ElectionSpan;
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
    events.read = [this](std::uint64_t number, bool confirmed) { readDone(number, confirmed); };
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
                peer.heardAt = steadyNow();
                link->start([this,
                             address](std::string_view bytes) { controlReceived(address, bytes); },
                            [this, address] {
                                GroupPeer &lost = m_controls.at(address);
                                writeEvent(m_core.log,
                                           change("control-lost")
                                                   .with("host", address)
                                                   .with("heard_ms_ago",
                                                         steadyNow() - lost.heardAt));
                                lost.link.reset();
                                lost.dialer->lost();
                            });
                link->send(encodeFrame(Frame(directory::Announce { m_core.self })));
                writeEvent(m_core.log, change("control-connected").with("host", address));
            });
}

void ControlShell::controlReceived(const std::string &address, std::string_view bytes)
{
    m_controls.at(address).heardAt = steadyNow();
    const auto frame = readFrame(m_core, address, bytes);
    if (!frame)
        return;
    if (const auto *update = std::get_if<directory::DirectoryUpdate>(&*frame)) {
        for (const directory::NodeInfo &node : update->nodes) {
            if (node.role == directory::Role::Control)
                keepControl(node.address);
        }
    } else if (const auto *answer = std::get_if<ForwardAnswer>(&*frame)) {
        forwardAnswered(*answer);
    }
}

void ControlShell::sendToMember(const std::string &to, const quorum::QuorumMessage &message)
{
    const std::string address = to.substr(0, to.find('/'));
    keepControl(address);
    const auto peer = m_controls.find(address);
    if (peer != m_controls.end() && peer->second.link)
        peer->second.link->send(encodeFrame(Frame(GroupFrame { to, encodeFrame(message) })));
}

bool readDeclared(const std::string &text, catalog::DeclaredCatalog *declared, Error *reason)
{
    const auto json = parseJson(text, reason);
    return json && fromJson(*json, declared, reason);
}

void ControlShell::adopt(catalog::DeclaredCatalog declared)
{
    if (!catalog::supersedes(m_declared.catalog, declared.catalog))
        return;
    writeEvent(m_core.log,
               change("catalog-agreed")
                       .with("version", declared.catalog.version)
                       .with("before", m_declared.catalog.version));
    m_declared = std::move(declared);
    // Once for everything that is agreed in this turn: a host that recovers goes through all
    // versions, and only the last one may be seen.
    if (m_tellPosted)
        return;
    m_tellPosted = true;
    fabric::asio::post(m_core.io, [this] {
        m_tellPosted = false;
        tellCatalog();
    });
}

bool ControlShell::committed(const std::string &text, std::uint64_t index, std::uint64_t term,
                             Error *reason)
{
    catalog::DeclaredCatalog declared;
    if (!readDeclared(text, &declared, reason))
        return false;
    adopt(std::move(declared));
    std::vector<std::uint64_t> done;
    for (auto &[number, call] : m_calls) {
        if (call.index == 0 || call.index > index)
            continue;
        // Another leader's entry came in its place: the call is tried again.
        if (call.index == index && call.term == term)
            done.push_back(number);
        else
            call.index = 0;
    }
    for (const std::uint64_t number : done)
        finishCall(number, OperatorOutcome::Accepted, "", {});
    if (m_replica->wantsSnapshot())
        fabric::asio::post(m_core.io, [this] {
            if (m_replica->wantsSnapshot())
                m_replica->takeSnapshot(writeJson(toJson(m_declared)));
        });
    return true;
}

bool ControlShell::installed(const std::string &text, Error *reason)
{
    catalog::DeclaredCatalog declared;
    if (text.empty())
        return true;
    if (!readDeclared(text, &declared, reason))
        return false;
    adopt(std::move(declared));
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
    std::vector<quorum::Candidate> candidates;
    for (const directory::NodeInfo &node : directory::connectedControls(m_directory))
        candidates.push_back({ node.groupId, node.address });
    const auto members = quorum::adviseMembers(m_replica->state(), candidates, now);
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
    for (auto &[number, call] : m_calls) {
        call.index = 0;
        call.reading = false;
    }
    Error reason;
    const bool opened = startReplica(&reason);
    writeEvent(m_core.log,
               change(opened ? "journal-reopened" : "journal-failed")
                       .with("reason", reason.message));
    if (!opened)
        m_reopenAt = now + ReopenPause;
}

// [SECTION] Operators

void ControlShell::handleOperator(const ExchangePtr &exchange)
{
    const OperatorWish wish = m_dialect.readOperatorCall(exchange->request());
    if (wish == OperatorWish::Other)
        return exchange->answer(
                m_dialect.writeOperatorAnswer(OperatorOutcome::NotFound, "no such call"));
    OperatorCall call;
    call.exchange = exchange;
    call.isRead = wish == OperatorWish::Read;
    if (!call.isRead) {
        Error reason;
        auto declared = m_dialect.readCatalog(exchange->request(), &reason);
        if (!declared || !catalog::validate(declared->catalog, &reason)) {
            ++m_invalid;
            writeEvent(m_core.log, change("catalog-refused").with("reason", reason.message));
            return exchange->answer(
                    m_dialect.writeOperatorAnswer(OperatorOutcome::Invalid, reason.message));
        }
        call.declared = std::move(*declared);
    }
    addCall(std::move(call));
}

void ControlShell::addCall(OperatorCall call)
{
    const Time now = steadyNow();
    const std::uint64_t number = ++m_lastCall;
    call.cameAt = now;
    OperatorCall &kept = m_calls.emplace(number, std::move(call)).first->second;
    tryCall(number, kept, now);
}

// May finish the call, and so remove it.
void ControlShell::tryCall(std::uint64_t number, OperatorCall &call, Time now)
{
    call.nextTry = now + OperatorRetry;
    const bool underWay = call.index != 0 || call.reading || call.forwarded;
    if (underWay)
        return;
    // A higher or equal version is agreed on, and stays so: sending this again changes nothing.
    if (!call.isRead && !catalog::supersedes(m_declared.catalog, call.declared.catalog))
        return finishCall(number, OperatorOutcome::Accepted, "nothing changed", {});
    if (!m_replica->leadsNow())
        return forward(number, call);
    if (call.isRead) {
        call.reading = true;
        return m_replica->requestRead(number);
    }
    const std::string text = writeJson(toJson(call.declared));
    const auto entry = m_replica->propose(text);
    // With a single voter the proposal may be committed, and the call gone, by now.
    const auto found = m_calls.find(number);
    if (entry && found != m_calls.end()) {
        found->second.index = entry->index;
        found->second.term = entry->term;
    }
}

void ControlShell::forward(std::uint64_t number, OperatorCall &call)
{
    const std::string &leader = m_replica->state().leader;
    const auto peer = m_controls.find(leader.substr(0, leader.find('/')));
    // Handed over once: a host that was asked by another and does not lead answers so.
    if (call.fromConnection != 0) {
        if (leader != m_core.self.groupId)
            finishCall(number, OperatorOutcome::Unsure, "this host does not lead", {});
        return;
    }
    if (leader.empty() || peer == m_controls.end() || !peer->second.link)
        return;
    call.forwarded = true;
    if (call.isRead)
        peer->second.link->send(encodeFrame(Frame(ForwardRead { number })));
    else
        peer->second.link->send(encodeFrame(Frame(ForwardDeclare { number, call.declared })));
}

void ControlShell::forwardAnswered(const ForwardAnswer &answer)
{
    const auto found = m_calls.find(answer.call);
    if (found == m_calls.end())
        return;
    if (answer.outcome != OperatorOutcome::Unsure)
        return finishCall(answer.call, answer.outcome, answer.reason, answer.declared);
    found->second.forwarded = false;
}

void ControlShell::readDone(std::uint64_t number, bool confirmed)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    found->second.reading = false;
    if (!confirmed)
        return;
    const bool known = m_declared.catalog.version > 0;
    finishCall(number, known ? OperatorOutcome::Accepted : OperatorOutcome::Unsure,
               known ? "" : "no catalog was declared yet", m_declared);
}

void ControlShell::finishCall(std::uint64_t number, OperatorOutcome outcome,
                              const std::string &reason, const catalog::DeclaredCatalog &declared)
{
    const auto found = m_calls.find(number);
    const OperatorCall call = std::move(found->second);
    m_calls.erase(found);
    ++(outcome == OperatorOutcome::Accepted ? m_accepted : m_unsure);
    writeEvent(m_core.log,
               change("operator-answered")
                       .with("call", call.isRead ? "read" : "declare")
                       .with("version",
                             call.isRead ? declared.catalog.version : call.declared.catalog.version)
                       .with("held", m_declared.catalog.version)
                       .with("accepted", outcome == OperatorOutcome::Accepted ? 1 : 0)
                       .with("reason", reason)
                       .with("took_ms", steadyNow() - call.cameAt));
    if (call.exchange) {
        const bool gives = call.isRead && outcome == OperatorOutcome::Accepted;
        call.exchange->answer(gives ? m_dialect.writeCatalog(declared)
                                    : m_dialect.writeOperatorAnswer(outcome, reason));
        return;
    }
    const auto node = m_nodes.find(call.fromConnection);
    if (node != m_nodes.end())
        node->second.link->send(encodeFrame(
                Frame(ForwardAnswer { call.fromCall, outcome, reason,
                                      call.isRead ? declared : catalog::DeclaredCatalog() })));
}

void ControlShell::tickCalls(Time now)
{
    std::vector<std::uint64_t> numbers;
    for (const auto &[number, call] : m_calls)
        numbers.push_back(number);
    for (const std::uint64_t number : numbers) {
        const auto found = m_calls.find(number);
        if (found == m_calls.end())
            continue;
        OperatorCall &call = found->second;
        if (now >= call.cameAt + OperatorPatience)
            finishCall(number, OperatorOutcome::Unsure, "no quorum has confirmed it in time", {});
        else if (now >= call.nextTry)
            tryCall(number, call, now);
    }
}

// [SECTION] Time

void ControlShell::tick(Time now)
{
    reopenJournal(now);
    m_replica->tick();
    directory::tick(m_directory, now);
    tellDirectory();
    tellCatalog();
    beatNodes(now);
    watchMembers(now);
    tickCalls(now);
}

std::vector<metrics::Sample> ControlShell::samples() const
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    const quorum::QuorumState &group = m_replica->state();
    std::vector<metrics::Sample> samples {
        { "foxwing_operator_accepted_total", "Operators' calls accepted", count(m_accepted) },
        { "foxwing_operator_invalid_total", "Declarations refused as invalid", count(m_invalid) },
        { "foxwing_operator_unsure_total", "Calls without a sure answer", count(m_unsure) },
    };
    const auto gauge = [&](const char *name, const char *help, std::uint64_t value) {
        samples.push_back({ name, help, count(value), true });
    };
    gauge("foxwing_catalog_version", "Catalog agreed on", m_declared.catalog.version);
    gauge("foxwing_group_term", "Term of the group", group.term);
    gauge("foxwing_group_commit", "Entries committed", group.commit);
    gauge("foxwing_group_voters", "Voters", group.members.voters.size());
    gauge("foxwing_group_leads", "Whether this host leads", quorum::leads(group) ? 1 : 0);
    gauge("foxwing_nodes", "Nodes in touch", m_nodes.size());
    return samples;
}

} // namespace

std::unique_ptr<RoleShell> makeControlShell(Core &core, const Dialect &dialect)
{
    return std::make_unique<ControlShell>(core, dialect);
}

} // namespace foxwing::fleet
