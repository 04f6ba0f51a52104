/*
    Connects the roles of a process with sockets and the event loop.

    [SECTION] Construction
    [SECTION] Messages
    [SECTION] Heartbeats
    [SECTION] HTTP
    [SECTION] Stopping
    [SECTION] Node
*/
#include <foxwing/node/node.h>

#include <algorithm>
#include <atomic>

#include <foxwing/control/reporter.h>
#include <foxwing/edge/httpserver.h>
#include <foxwing/fabric/address.h>
#include <foxwing/node/eventloop.h>
#include <foxwing/node/log.h>
#include <foxwing/wire/rpcserver.h>

#include "agentrole.h"
#include "callerapi.h"
#include "controlrole.h"
#include "entryrole.h"
#include "messagerouter.h"

namespace foxwing::node {

namespace {

constexpr Milliseconds TickInterval { 10 };
// Used while claims are being transferred.
constexpr Milliseconds FastHeartbeatInterval { 50 };

constexpr unsigned int EntryHttpThreads = 8;
constexpr unsigned int DefaultHttpThreads = 4;

std::string innerAddress(const settings::Settings &settings)
{
    return settings.listen.inner.host + ":" + std::to_string(settings.listen.inner.port);
}

wire::SenderSettings senderSettings(const settings::Settings &settings)
{
    wire::SenderSettings sender;
    sender.from = settings.node.id;
    sender.address = innerAddress(settings);
    sender.secret = settings.cluster.secret;
    sender.threads = settings.node.entry || settings.node.control ? 8 : 3;
    return sender;
}

// Each of the two listeners may use three eighths of the descriptors, without a reserve for files;
// the rest is for connections that the process opens itself.
std::size_t connectionLimit(std::size_t max)
{
    constexpr std::size_t ReservedDescriptors = 256;
    const std::size_t descriptors = fabric::allowedDescriptors();
    const std::size_t usable = descriptors - std::min(descriptors, ReservedDescriptors);
    return std::max<std::size_t>(4, std::min(max, usable * 3 / 8));
}

wire::RpcServerSettings rpcSettings(const settings::Settings &settings)
{
    wire::RpcServerSettings rpc;
    rpc.host = settings.listen.inner.host;
    rpc.port = settings.listen.inner.port;
    rpc.secret = settings.cluster.secret;
    rpc.maxConnections = static_cast<unsigned>(
            connectionLimit(settings.listen.maxInnerConnections));
    rpc.maxValues = settings.listen.maxInnerValues;
    rpc.maxHeldBytes = std::max(rpc.maxBodyBytes * 3 / 2, settings.listen.maxHeldBytes);
    rpc.threads = settings.node.entry || settings.node.control ? 4 : 1;
    return rpc;
}

edge::HttpServerSettings httpSettings(const settings::Settings &settings)
{
    edge::HttpServerSettings http;
    http.host = settings.listen.outer.host;
    http.port = settings.listen.outer.port;
    http.certificateFile = settings.listen.certificateFile;
    http.keyFile = settings.listen.keyFile;
    http.maxBodyBytes = settings.listen.maxBodyBytes;
    http.maxHeldBytes = std::max(settings.listen.maxHeldBytes, settings.listen.maxBodyBytes * 2);
    http.maxConnections = connectionLimit(settings.listen.maxConnections);
    http.maxValues = settings.listen.maxValues;
    return http;
}

} // namespace

class Node::Impl
{
public:
    explicit Impl(const settings::Settings &settings);

    bool start(Error *reason);
    void run();
    void requestStop();

private:
    enum class Stopping {
        No,
        // Reports not ready, so that the load balancer withdraws it; still accepts requests.
        Withdrawing,
        // Accepts no requests; finishes work in flight.
        Draining,
        // Transfers claims to other entries.
        HandingOver,
    };

    control::Heartbeat identity() const;
    void receive(Message &&message);
    void handleSendFailure(Message &&message);
    void applyUpdate(const control::Update &update);
    void sendHeartbeat(Time now);
    void tick();
    void tickStopping(Time now);
    bool configurationStale(Time now) const;
    void serve(const edge::HttpRequest &request, const edge::Responder &responder);
    bool serveMonitoring(const edge::HttpRequest &request, const edge::Responder &responder) const;
    std::string metricsText() const;

    settings::Settings m_settings;
    std::uint64_t m_incarnation;
    EventLoop m_loop;
    MessageRouter m_router;
    std::unique_ptr<AgentRole> m_agent;
    std::unique_ptr<EntryRole> m_entry;
    std::unique_ptr<ControlRole> m_control;
    wire::RpcServer m_rpc;
    edge::HttpServer m_http;

    control::Reporter m_reporter;
    std::string m_controlLeader;
    Time m_nextHeartbeat {};

    Stopping m_stopping = Stopping::No;
    Time m_stoppingSince {};
};

// [SECTION] Construction

Node::Impl::Impl(const settings::Settings &settings)
    : m_settings(settings)
    , m_incarnation(static_cast<std::uint64_t>(wallClockNow().time_since_epoch().count()))
    , m_loop([this] { tick(); }, TickInterval)
    , m_router(
              senderSettings(settings), m_loop,
              [this](Message &&message) { receive(std::move(message)); },
              [this](Message &&message) { handleSendFailure(std::move(message)); })
    , m_rpc(rpcSettings(settings),
            [this](wire::Envelope &&envelope) { m_router.receive(std::move(envelope)); })
    , m_http(httpSettings(settings),
             [this](const edge::HttpRequest &request, const edge::Responder &responder) {
                 m_loop.post([this, request, responder] { serve(request, responder); });
             })
{ }

control::Heartbeat Node::Impl::identity() const
{
    control::Heartbeat heartbeat;
    heartbeat.id = m_settings.node.id;
    heartbeat.incarnation = m_incarnation;
    heartbeat.address = innerAddress(m_settings);
    heartbeat.dataCentre = m_settings.node.dataCentre;
    heartbeat.isEntry = m_settings.node.entry;
    heartbeat.isAgent = m_settings.node.agent;
    heartbeat.service = m_settings.node.agent ? m_settings.agent.service : std::string();
    heartbeat.slots = m_settings.node.agent ? m_settings.agent.slots : 0;
    return heartbeat;
}

bool Node::Impl::start(Error *reason)
{
    m_reporter = control::makeReporter(identity());
    for (const settings::Peer &peer : m_settings.cluster.control)
        m_router.learnAddress(peer.id, peer.address);
    if (m_settings.node.control) {
        m_control = std::make_unique<ControlRole>(m_settings, m_loop, m_router);
        if (!m_control->start(reason))
            return false;
    }
    if (m_settings.node.entry)
        m_entry = std::make_unique<EntryRole>(m_settings, m_incarnation, m_router);
    if (m_settings.node.agent)
        m_agent = std::make_unique<AgentRole>(m_settings, m_incarnation, m_loop, m_router);
    if (!m_rpc.start(reason) || !m_http.start(reason))
        return false;
    logEvent(LogLevel::Info, "started",
             { { "inner", innerAddress(m_settings) },
               { "incarnation", std::to_string(m_incarnation) } });
    return true;
}

// [SECTION] Messages

void Node::Impl::receive(Message &&message)
{
    if (m_agent) {
        if (const auto held = narrow<agent::ToAgent>(message))
            return m_agent->receive(*held);
    }
    if (m_entry) {
        if (const auto held = narrow<agent::FromAgent>(message))
            return m_entry->receive(*held);
        if (const auto held = narrow<claims::ClaimMessage>(message))
            return m_entry->receive(*held);
        if (const auto held = narrow<entry::EntryMessage>(message))
            return m_entry->receive(*held);
    }
    if (const auto *heartbeat = std::get_if<control::Heartbeat>(&message)) {
        if (m_control)
            m_control->receive(*heartbeat);
    } else if (const auto quorumMessage = narrow<quorum::QuorumMessage>(message)) {
        if (m_control)
            m_control->receive(*quorumMessage);
    } else if (const auto *update = std::get_if<control::Update>(&message)) {
        applyUpdate(*update);
    }
}

void Node::Impl::handleSendFailure(Message &&message)
{
    if (!m_entry)
        return;
    if (const auto held = narrow<agent::ToAgent>(message))
        m_entry->sendFailed(*held);
}

// [SECTION] Heartbeats

void Node::Impl::applyUpdate(const control::Update &update)
{
    const std::optional<Time> sentAt = control::acceptUpdate(m_reporter, update);
    if (!sentAt)
        return;
    m_controlLeader = update.from;
    for (const claims::Member &member : update.view.members)
        m_router.learnAddress(member.replica.id, member.address);
    if (m_entry)
        m_entry->applyUpdate(update, *sentAt);
    if (m_agent)
        m_agent->applyUpdate(update);
}

void Node::Impl::sendHeartbeat(Time now)
{
    control::Heartbeat heartbeat = control::nextHeartbeat(m_reporter, now);
    heartbeat.leaving = m_stopping == Stopping::HandingOver;
    if (m_entry)
        m_entry->fillHeartbeat(heartbeat);
    const bool fast = m_entry && !heartbeat.leaving && !m_entry->allShardsActive();
    m_nextHeartbeat = now + (fast ? FastHeartbeatInterval : m_settings.cluster.heartbeatInterval);
    // Sends only to the leader as long as it answers, otherwise to all control hosts.
    const Milliseconds answerTimeout = 2 * m_settings.cluster.heartbeatInterval;
    const bool answered = m_reporter.confirmed && now < m_reporter.confirmedAt + answerTimeout;
    for (const settings::Peer &peer : m_settings.cluster.control) {
        if (!answered || peer.id == m_controlLeader)
            m_router.send(peer.id, heartbeat);
    }
}

bool Node::Impl::configurationStale(Time now) const
{
    return control::isStale(m_reporter, m_settings.entry.configurationLease, now);
}

void Node::Impl::tick()
{
    const Time now = steadyNow();
    if (m_control)
        m_control->tick();
    if (m_entry)
        m_entry->tick();
    if (m_agent)
        m_agent->tick(configurationStale(now));
    const bool requested = m_entry && m_entry->takeHeartbeatRequest();
    if (now >= m_nextHeartbeat || requested)
        sendHeartbeat(now);
    if (m_stopping != Stopping::No)
        tickStopping(now);
}

// [SECTION] HTTP

std::string Node::Impl::metricsText() const
{
    std::vector<metrics::Sample> samples;
    if (m_control)
        m_control->addSamples(samples);
    if (m_entry)
        m_entry->addSamples(samples);
    if (m_agent)
        m_agent->addSamples(samples);
    const edge::HttpServerStatus http = m_http.status();
    const auto gauge = [&](const char *name, const char *help, std::size_t value) {
        samples.push_back({ name, help, static_cast<double>(value), true });
    };
    gauge("foxwing_bodies_arriving", "Requests that are incomplete", http.incomplete);
    gauge("foxwing_connections", "Open connections of the outer listener", http.connections);
    const RouterCounters &router = m_router.counters();
    const wire::SenderCounters sender = m_router.senderCounters();
    const auto count = [&](const char *name, const char *help, std::uint64_t value) {
        samples.push_back({ name, help, static_cast<double>(value), false });
    };
    count("foxwing_requests_oversized_total",
          "Requests refused because their header, trailers or body exceed a limit", http.oversized);
    count("foxwing_requests_out_of_memory_total",
          "Requests refused and answers cut off because all of them together held too much memory",
          http.outOfMemory);
    count("foxwing_connections_displaced_total",
          "Connections closed or refused at the limit of connections", http.displaced);
    count("foxwing_connections_timed_out_total",
          "Connections closed because a request or the reading of an answer took too long",
          http.timedOut);
    count("foxwing_messages_oversized_total",
          "Calls of other processes refused because their bodies are too large", m_rpc.oversized());
    count("foxwing_messages_out_of_memory_total",
          "Calls of other processes refused because their bodies together held too much memory",
          m_rpc.outOfMemory());
    count("foxwing_messages_sent_total", "Messages to other processes", router.sent);
    count("foxwing_messages_local_total", "Messages to this process", router.local);
    count("foxwing_messages_received_total", "Messages from other processes", router.received);
    count("foxwing_messages_unreadable_total", "Messages that could not be read",
          router.unreadable);
    count("foxwing_messages_no_address_total", "Messages to unknown nodes", router.noAddress);
    count("foxwing_calls_total", "Calls to other processes", sender.calls);
    count("foxwing_calls_failed_total", "Calls that failed", sender.failedCalls);
    static const metrics::Metrics none;
    return metrics::writeExposition(m_entry ? m_entry->histograms() : none, samples);
}

bool Node::Impl::serveMonitoring(const edge::HttpRequest &request,
                                 const edge::Responder &responder) const
{
    const std::string path = request.path.size() == 1 ? request.path[0] : std::string();
    if (path == "metrics") {
        responder.reply(200, "text/plain; version=0.0.4", metricsText());
        return true;
    }
    if (path == "healthz") {
        responder.reply(200, "text/plain", "ok\n");
        return true;
    }
    if (path == "readyz") {
        const bool ready = m_stopping == Stopping::No && (!m_entry || m_entry->ready())
                && !configurationStale(steadyNow());
        responder.reply(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
        return true;
    }
    return false;
}

void Node::Impl::serve(const edge::HttpRequest &request, const edge::Responder &responder)
{
    const bool served = serveMonitoring(request, responder)
            || (m_entry && m_entry->serve(request, responder))
            || (m_control && m_control->serve(request, responder));
    if (served)
        return;
    const Error error { ErrorKind::NotFound,
                        "this node does not serve that path; see docs/API.md, and use a node with "
                        "the role that does",
                        Outcome::NotRun, Milliseconds { 0 } };
    responder.reply(httpStatus(error.kind), "application/json", errorBody(error));
}

// [SECTION] Stopping

void Node::Impl::requestStop()
{
    m_loop.post([this] {
        if (m_stopping != Stopping::No)
            return;
        m_stopping = m_entry ? Stopping::Withdrawing : Stopping::Draining;
        m_stoppingSince = steadyNow();
        logEvent(LogLevel::Info, "stopping", {});
        if (m_agent)
            m_agent->leave();
    });
}

void Node::Impl::tickStopping(Time now)
{
    if (now >= m_stoppingSince + m_settings.drainTimeout) {
        logEvent(LogLevel::Warning, "stopped", { { "drained", "false" } });
        return m_loop.stop();
    }
    if (m_stopping == Stopping::Withdrawing && now >= m_stoppingSince + m_settings.drainDelay) {
        m_stopping = Stopping::Draining;
        m_entry->startLeaving();
    }
    const bool drained = m_stopping == Stopping::Draining && (!m_entry || m_entry->drained())
            && (!m_agent || m_agent->drained());
    if (drained) {
        m_stopping = Stopping::HandingOver;
        sendHeartbeat(now);
        return;
    }
    // A process with control can't hand over to itself; others wait for control's confirmation.
    const bool finished = m_stopping == Stopping::HandingOver
            && (!m_entry || m_control || m_entry->handedOver());
    if (!finished)
        return;
    m_router.flush(Milliseconds { 500 });
    logEvent(LogLevel::Info, "stopped", { { "drained", "true" } });
    m_loop.stop();
}

// [SECTION] Node

void Node::Impl::run()
{
    m_loop.run();
    m_http.stop();
    m_rpc.stop();
}

Node::Node(const settings::Settings &settings)
{
    edge::setHttpThreads(settings.node.entry ? EntryHttpThreads : DefaultHttpThreads);
    m_impl = std::make_unique<Impl>(settings);
}

Node::~Node() = default;

bool Node::start(Error *reason)
{
    return m_impl->start(reason);
}

void Node::run()
{
    m_impl->run();
}

void Node::requestStop()
{
    m_impl->requestStop();
}

} // namespace foxwing::node
