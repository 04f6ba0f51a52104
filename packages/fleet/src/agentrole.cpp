/*
    The role agent: connects entries and the endpoint to the runner.

    [SECTION] Role
    [SECTION] Entries
    [SECTION] Endpoint
    [SECTION] Time
*/
#include <random>

#include <foxwing/fabric/httpclient.h>

#include "listeners.h"

namespace foxwing::fleet {

using eventlog::change;
using fabric::ExchangePtr;

// [SECTION] Role

namespace {

// The endpoint is on the same host and answers commands within a few milliseconds. A later answer
// counts as none.
constexpr Milliseconds CommandTimeout { 25 };

// Added to the time that a poll may wait at the endpoint.
constexpr Milliseconds PollMargin { 25 };

// This long before the end of the stop grace all runs are stopped, so that their entries can rerun
// them elsewhere.
constexpr Milliseconds StopRunsMargin { 1000 };

// Time for the last updates to reach the entries
constexpr Milliseconds ReportDelay { 300 };

// Bounds error messages in the log, which may quote the request.
constexpr std::size_t MaxReasonLength = 200;

// A fence is the wall-clock time in milliseconds, followed by ten random bits that distinguish
// incarnations started in the same millisecond.
constexpr unsigned FenceBits = 10;

std::uint64_t initialFence()
{
    std::random_device device;
    const auto wallTime = static_cast<std::uint64_t>(wallClockNow().time_since_epoch().count());
    return (wallTime << FenceBits) | (device() & ((1U << FenceBits) - 1));
}

class AgentRole : public NodeRole
{
public:
    AgentRole(Core &core, const Dialect &dialect)
        : m_core(core)
        , m_dialect(dialect)
        , m_runner(runner::makeRunner(core.settings.runner, core.self.incarnation, initialFence()))
        , m_endpoint(core.io, core.settings.endpointAddress, clientSettings())
        , m_control(core, controlEvents())
    { }

    bool start(Error *reason) override;
    void tick(Time now) override;
    void reloaded() override { m_control.reloadSeeds(); }
    void beginShutdown(Time now) override;
    bool stopped(Time now) override;
    std::vector<metrics::Sample> samples() const override;

private:
    static fabric::HttpClientSettings clientSettings();
    ControlEvents controlEvents();

    void entryConnected(const std::shared_ptr<fabric::Link> &link);
    void entryReceived(std::uint64_t session, std::string_view bytes);
    void openSession(std::uint64_t session, const OpenSession &open, Time now);
    void sendTo(std::uint64_t session, const Frame &frame);

    void handleEndpoint(const ExchangePtr &exchange);
    void announceEndpoint();
    void recordUnreadable(const std::string &reason, Time now);
    void sendStart(const runner::StartCommand &command);
    void sendStop(const runner::StopCommand &command);
    void sendPoll(const runner::PollCommand &command);
    runner::CommandResult resultOf(const fabric::CallResult &result) const;
    void execute(runner::RunnerActions &&actions);

    Core &m_core;
    const Dialect &m_dialect;
    runner::RunnerState m_runner;
    fabric::HttpClient m_endpoint;
    std::unique_ptr<fabric::HttpServer> m_server;
    std::unique_ptr<fabric::Listener> m_listener;
    std::map<std::uint64_t, std::shared_ptr<fabric::Link>> m_entries;
    std::uint64_t m_lastSession = 0;
    Time m_stopStartedAt {};

    // Unreadable endpoint requests, and when one was last logged
    std::uint64_t m_unreadable = 0;
    Time m_unreadableLoggedAt {};
    ControlLinks m_control;
};

fabric::HttpClientSettings AgentRole::clientSettings()
{
    // One for the poll and one for each start that an endpoint has capacity for (10 to 15 tasks),
    // so that unanswered commands don't delay others. Connections are opened on demand.
    fabric::HttpClientSettings settings;
    settings.maxConnections = 16;
    return settings;
}

// An agent uses control only to be listed in the directory and to receive cordons.
ControlEvents AgentRole::controlEvents()
{
    ControlEvents events;
    events.directory = [](const std::string &, const directory::DirectoryUpdate &) {};
    events.agreed = [this](const AgreedPush &push) {
        execute(runner::handleCordons(m_runner, push.cordons, runner::CordonSource::Control,
                                      steadyNow()));
    };
    return events;
}

bool AgentRole::start(Error *reason)
{
    m_listener = listenForPeers(
            m_core, [this](const std::shared_ptr<fabric::Link> &link) { entryConnected(link); },
            reason);
    m_server = serveHttp(
            m_core, HttpListener::Control,
            [this](const ExchangePtr &exchange) { handleEndpoint(exchange); }, reason);
    return m_listener && m_server;
}

void AgentRole::execute(runner::RunnerActions &&actions)
{
    for (const eventlog::Event &event : actions.events)
        writeEvent(m_core.log, event);
    for (const runner::StopCommand &command : actions.stops)
        sendStop(command);
    for (const runner::StartCommand &command : actions.starts)
        sendStart(command);
    if (actions.poll)
        sendPoll(*actions.poll);
    for (auto &[session, accepted] : actions.acceptances)
        sendTo(session, Frame(std::move(accepted)));
    for (auto &[session, update] : actions.updates)
        sendTo(session, Frame(std::move(update)));
    for (const std::uint64_t session : actions.closes) {
        const auto entry = m_entries.find(session);
        if (entry != m_entries.end())
            entry->second->close();
    }
}

// [SECTION] Entries

void AgentRole::entryConnected(const std::shared_ptr<fabric::Link> &link)
{
    const std::uint64_t session = ++m_lastSession;
    m_entries[session] = link;
    link->start([this, session](std::string_view bytes) { entryReceived(session, bytes); },
                [this, session] {
                    m_entries.erase(session);
                    execute(runner::closeSession(m_runner, session, steadyNow()));
                });
}

void AgentRole::entryReceived(std::uint64_t session, std::string_view bytes)
{
    const Time now = steadyNow();
    const std::shared_ptr<fabric::Link> link = m_entries.at(session);
    const auto frame = readFrame(m_core, link->remote(), bytes);
    if (!frame && !link->introduced())
        return link->close();
    if (!frame)
        return;
    if (const auto *start = std::get_if<jobs::StartTasks>(&*frame))
        execute(runner::startTasks(m_runner, session, *start, now));
    else if (const auto *stop = std::get_if<jobs::StopRuns>(&*frame))
        execute(runner::stopRuns(m_runner, session, *stop, now));
    else if (const auto *heartbeat = std::get_if<jobs::SessionHeartbeat>(&*frame))
        execute(runner::handleSessionHeartbeat(m_runner, session, *heartbeat, now));
    else if (const auto *open = std::get_if<OpenSession>(&*frame))
        openSession(session, *open, now);
}

void AgentRole::openSession(std::uint64_t session, const OpenSession &open, Time now)
{
    m_entries.at(session)->setIntroduced();
    for (const catalog::Cordons &cordons : open.cordons)
        execute(runner::handleCordons(m_runner, cordons, runner::CordonSource::Entry, now));
    execute(runner::openSession(m_runner, session, open.entry, now));
}

void AgentRole::sendTo(std::uint64_t session, const Frame &frame)
{
    const auto entry = m_entries.find(session);
    if (entry != m_entries.end())
        entry->second->send(encodeFrame(frame));
}

// [SECTION] Endpoint

// Logs at most once a second, so that repeated errors don't suppress other events.
void AgentRole::recordUnreadable(const std::string &reason, Time now)
{
    ++m_unreadable;
    if (now < m_unreadableLoggedAt + Seconds(1))
        return;
    m_unreadableLoggedAt = now;
    writeEvent(m_core.log,
               change("endpoint-unreadable")
                       .with("reason", reason.substr(0, MaxReasonLength))
                       .with("total", m_unreadable));
}

// Entries without a session here learn about the endpoint from the directory.
void AgentRole::announceEndpoint()
{
    if (!m_runner.incarnationState.described)
        return;
    directory::NodeInfo node = m_core.self;
    node.service = m_runner.endpoint.service;
    node.labels = m_runner.endpoint.labels;
    node.capacity = m_runner.endpoint.capacity;
    if (directory::sameAttributes(node, m_core.self))
        return;
    m_core.self = node;
    m_control.announce();
}

void AgentRole::handleEndpoint(const ExchangePtr &exchange)
{
    Error reason;
    const auto request = m_dialect.readEndpointRequest(exchange->request(), &reason);
    const Time now = steadyNow();
    if (!request) {
        recordUnreadable(reason.message, now);
        return exchange->answer(m_dialect.writeEndpointResponse(false, reason.message));
    }
    if (request->action == EndpointAction::Deregister)
        execute(runner::handleDeregistration(m_runner, request->endpointIncarnation, now));
    else
        execute(runner::handleHeartbeat(m_runner, request->report, now));
    announceEndpoint();
    exchange->answer(m_dialect.writeEndpointResponse(true, ""));
}

runner::CommandResult AgentRole::resultOf(const fabric::CallResult &result) const
{
    if (result.failure == fabric::CallFailure::Refused)
        return { runner::CommandStatus::ConnectionRefused, std::nullopt };
    if (result.failure == fabric::CallFailure::NoAnswer)
        return { runner::CommandStatus::None, std::nullopt };
    return m_dialect.readCommandResult(*result.response);
}

void AgentRole::sendStart(const runner::StartCommand &command)
{
    m_endpoint.call(m_dialect.writeStart(command), CommandTimeout,
                    [this, id = command.id](const fabric::CallResult &result) {
                        execute(runner::handleStartResult(m_runner, id, resultOf(result),
                                                          steadyNow()));
                    });
}

void AgentRole::sendStop(const runner::StopCommand &command)
{
    m_endpoint.call(m_dialect.writeStop(command), CommandTimeout,
                    [this, id = command.id](const fabric::CallResult &result) {
                        execute(runner::handleStopResult(m_runner, id, resultOf(result),
                                                         steadyNow()));
                    });
}

void AgentRole::sendPoll(const runner::PollCommand &command)
{
    m_endpoint.call(m_dialect.writePoll(command), command.wait + PollMargin,
                    [this, number = command.number](const fabric::CallResult &result) {
                        runner::PollResult poll;
                        if (result.response)
                            poll = m_dialect.readPollResult(*result.response);
                        else
                            poll.result = resultOf(result);
                        execute(runner::handlePollResult(m_runner, number, poll, steadyNow()));
                    });
}

// [SECTION] Time

void AgentRole::tick(Time now)
{
    m_control.tick(now);
    execute(runner::tick(m_runner, now));
}

void AgentRole::beginShutdown(Time now)
{
    m_stopStartedAt = now;
    execute(runner::beginShutdown(m_runner, now));
}

bool AgentRole::stopped(Time now)
{
    const Milliseconds grace = m_core.settings.stopGrace;
    if (now >= m_stopStartedAt + grace - StopRunsMargin)
        execute(runner::stopAllRuns(m_runner, now));
    // The last updates need time to reach the entries.
    const bool reported = now >= m_stopStartedAt + ReportDelay;
    return (reported && runner::isShutDown(m_runner))
            || now >= m_stopStartedAt + grace - ReportDelay;
}

std::vector<metrics::Sample> AgentRole::samples() const
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    std::vector<metrics::Sample> samples {
        { "foxwing_runs_started_total", "Start commands sent", count(m_runner.started) },
        { "foxwing_runs_done_total", "Runs done", count(m_runner.done) },
        { "foxwing_runs_failed_total", "Runs failed", count(m_runner.failed) },
        { "foxwing_runs_stopped_total", "Runs stopped, expired with their lease, or lost",
          count(m_runner.stopped) },
        { "foxwing_starts_refused_total", "Starts refused", count(m_runner.refused) },
        { "foxwing_orders_unanswered_total", "Start commands without an answer",
          count(m_runner.unanswered) },
        { "foxwing_heartbeats_passed_over_total", "Heartbeats ignored",
          count(m_runner.ignoredHeartbeats) },
        { "foxwing_heartbeats_unreadable_total", "Unreadable requests of endpoints",
          count(m_unreadable) },
        { "foxwing_endpoint_connections_total", "Connections opened to the endpoint",
          count(m_endpoint.opened()) },
    };
    const auto gauge = [&](const char *name, const char *help, double value) {
        samples.push_back({ name, help, value, true });
    };
    gauge("foxwing_runs", "Runs that hold capacity", count(m_runner.runs.size()));
    gauge("foxwing_oldest_run_ms", "Age of the oldest run that holds capacity",
          toMilliseconds(runner::oldestRunAge(m_runner, steadyNow())));
    gauge("foxwing_last_end_noted", "Number of the endpoint's last ended run that was handled",
          count(m_runner.incarnationState.lastSeenEnd));
    gauge("foxwing_starts_waiting", "Starts queued for capacity", count(m_runner.waiting.size()));
    gauge("foxwing_sessions", "Open sessions with entries", count(m_runner.sessions.size()));
    gauge("foxwing_endpoint_pace", "Run times relative to estimates",
          m_runner.incarnationState.slowdown);
    gauge("foxwing_endpoint_bad", "Fault score of the endpoint, 0 to 1",
          m_runner.incarnationState.faultScore);
    gauge("foxwing_cordons_revision", "Revision of the known cordons",
          count(m_runner.cordons.revision));
    gauge("foxwing_cordoned", "1 while the endpoint is cordoned",
          runner::isCordoned(m_runner) ? 1 : 0);
    gauge("foxwing_control_hosts", "Connected control hosts", count(m_control.connected()));
    return samples;
}

} // namespace

std::unique_ptr<NodeRole> makeAgentRole(Core &core, const Dialect &dialect)
{
    return std::make_unique<AgentRole>(core, dialect);
}

} // namespace foxwing::fleet
