/*
    An agent of a fleet: entries on one side, its endpoint on the other, the runner between them.

    [SECTION] Shell
    [SECTION] Entries
    [SECTION] Endpoint
    [SECTION] Time
*/
#include <random>

#include <foxwing/fabric/httpclient.h>

#include "core.h"

namespace foxwing::fleet {

using eventlog::change;
using fabric::ExchangePtr;

// [SECTION] Shell

namespace {

// An order to the endpoint, on the same host, is answered in a few milliseconds; what is not there
// by then is counted as unanswered.
constexpr Milliseconds OrderTimeout { 25 };

// On top of the time that a look waits at the endpoint.
constexpr Milliseconds LookTimeout { 25 };

// Before the end of the stop grace what still runs is stopped, so that its entries can start it
// elsewhere.
constexpr Milliseconds LastRuns { 1000 };
constexpr Milliseconds LastWords { 300 };

// Of an error in a log line; it may quote what was sent.
constexpr std::size_t LongestReason = 200;

// Fences are milliseconds of the date with ten bits below them that differ between two lives of one
// millisecond.
constexpr unsigned FenceBits = 10;

std::uint64_t firstFence()
{
    std::random_device device;
    const auto date = static_cast<std::uint64_t>(wallClockNow().time_since_epoch().count());
    return (date << FenceBits) | (device() & ((1U << FenceBits) - 1));
}

class AgentShell : public RoleShell
{
public:
    AgentShell(Core &core, const Dialect &dialect)
        : m_core(core)
        , m_dialect(dialect)
        , m_runner(runner::makeRunner(core.settings.runner, core.self.incarnation, firstFence()))
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
    void noteUnreadable(const std::string &reason, Time now);
    void orderStart(const runner::StartCommand &order);
    void orderStop(const runner::StopCommand &order);
    void orderLook(const runner::PollCommand &order);
    runner::CommandResult resultOf(const fabric::CallResult &result) const;
    void carryOut(runner::RunnerActions &&actions);

    Core &m_core;
    const Dialect &m_dialect;
    runner::RunnerState m_runner;
    fabric::HttpClient m_endpoint;
    std::unique_ptr<fabric::HttpServer> m_server;
    std::unique_ptr<fabric::Listener> m_listener;
    std::map<std::uint64_t, std::shared_ptr<fabric::Link>> m_entries;
    std::uint64_t m_lastSession = 0;
    Time m_stopBegan {};

    // Calls of endpoints that could not be read, and when a line last told of one
    std::uint64_t m_unreadable = 0;
    Time m_unreadableTold {};
    ControlLinks m_control;
};

fabric::HttpClientSettings AgentShell::clientSettings()
{
    // One for the look and one for each of the starts that fill an endpoint (10 to 15 tasks), so
    // that orders without an answer hold up no others. Opened only when needed.
    fabric::HttpClientSettings settings;
    settings.maxConnections = 16;
    return settings;
}

// An agent needs control to be found, and to be told of cordons.
ControlEvents AgentShell::controlEvents()
{
    ControlEvents events;
    events.directory = [](const std::string &, const directory::DirectoryUpdate &) {};
    events.agreed = [this](const AgreedPush &push) {
        carryOut(runner::handleCordons(m_runner, push.cordons, runner::CordonSource::Control,
                                       steadyNow()));
    };
    return events;
}

bool AgentShell::start(Error *reason)
{
    m_listener = listenInside(
            m_core, [this](const std::shared_ptr<fabric::Link> &link) { entryConnected(link); },
            reason);
    m_server = serveHttp(
            m_core, m_core.settings.control,
            [this](const ExchangePtr &exchange) { handleEndpoint(exchange); }, reason);
    return m_listener && m_server;
}

void AgentShell::carryOut(runner::RunnerActions &&actions)
{
    for (const eventlog::Event &event : actions.events)
        writeEvent(m_core.log, event);
    for (const runner::StopCommand &order : actions.stops)
        orderStop(order);
    for (const runner::StartCommand &order : actions.starts)
        orderStart(order);
    if (actions.poll)
        orderLook(*actions.poll);
    for (auto &[session, welcome] : actions.acceptances)
        sendTo(session, Frame(std::move(welcome)));
    for (auto &[session, update] : actions.updates)
        sendTo(session, Frame(std::move(update)));
    for (const std::uint64_t session : actions.closes) {
        const auto entry = m_entries.find(session);
        if (entry != m_entries.end())
            entry->second->close();
    }
}

// [SECTION] Entries

void AgentShell::entryConnected(const std::shared_ptr<fabric::Link> &link)
{
    const std::uint64_t session = ++m_lastSession;
    m_entries[session] = link;
    link->start([this, session](std::string_view bytes) { entryReceived(session, bytes); },
                [this, session] {
                    m_entries.erase(session);
                    carryOut(runner::closeSession(m_runner, session, steadyNow()));
                });
}

void AgentShell::entryReceived(std::uint64_t session, std::string_view bytes)
{
    const Time now = steadyNow();
    const auto frame = readFrame(m_core, m_entries.at(session)->remote(), bytes);
    if (!frame)
        return;
    if (const auto *start = std::get_if<jobs::StartTasks>(&*frame))
        carryOut(runner::startTasks(m_runner, session, *start, now));
    else if (const auto *stop = std::get_if<jobs::StopRuns>(&*frame))
        carryOut(runner::stopRuns(m_runner, session, *stop, now));
    else if (const auto *heartbeat = std::get_if<jobs::SessionHeartbeat>(&*frame))
        carryOut(runner::handleSessionHeartbeat(m_runner, session, *heartbeat, now));
    else if (const auto *open = std::get_if<OpenSession>(&*frame))
        openSession(session, *open, now);
}

void AgentShell::openSession(std::uint64_t session, const OpenSession &open, Time now)
{
    for (const catalog::Cordons &cordons : open.cordons)
        carryOut(runner::handleCordons(m_runner, cordons, runner::CordonSource::Entry, now));
    carryOut(runner::openSession(m_runner, session, open.entry, now));
}

void AgentShell::sendTo(std::uint64_t session, const Frame &frame)
{
    const auto entry = m_entries.find(session);
    if (entry != m_entries.end())
        entry->second->send(encodeFrame(frame));
}

// [SECTION] Endpoint

// One line a second, so that a writer that repeats itself hides nothing else.
void AgentShell::noteUnreadable(const std::string &reason, Time now)
{
    ++m_unreadable;
    if (now < m_unreadableTold + Seconds(1))
        return;
    m_unreadableTold = now;
    writeEvent(m_core.log,
               change("endpoint-unreadable")
                       .with("reason", reason.substr(0, LongestReason))
                       .with("total", m_unreadable));
}

// Entries that have no session here know of the endpoint by what control lists.
void AgentShell::announceEndpoint()
{
    if (!m_runner.endpointIncarnation.described)
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

void AgentShell::handleEndpoint(const ExchangePtr &exchange)
{
    Error reason;
    const auto call = m_dialect.readEndpointRequest(exchange->request(), &reason);
    const Time now = steadyNow();
    if (!call) {
        noteUnreadable(reason.message, now);
        return exchange->answer(m_dialect.writeEndpointResponse(false, reason.message));
    }
    if (call->action == EndpointAction::Deregister)
        carryOut(runner::handleDeregistration(m_runner, call->endpointIncarnation, now));
    else
        carryOut(runner::handleHeartbeat(m_runner, call->report, now));
    announceEndpoint();
    exchange->answer(m_dialect.writeEndpointResponse(true, ""));
}

runner::CommandResult AgentShell::resultOf(const fabric::CallResult &result) const
{
    if (result.failure == fabric::CallFailure::Refused)
        return { runner::CommandStatus::ConnectionRefused, std::nullopt };
    if (result.failure == fabric::CallFailure::NoAnswer)
        return { runner::CommandStatus::None, std::nullopt };
    return m_dialect.readCommandResult(*result.response);
}

void AgentShell::orderStart(const runner::StartCommand &order)
{
    m_endpoint.call(m_dialect.writeStart(order), OrderTimeout,
                    [this, id = order.id](const fabric::CallResult &result) {
                        carryOut(runner::handleStartResult(m_runner, id, resultOf(result),
                                                           steadyNow()));
                    });
}

void AgentShell::orderStop(const runner::StopCommand &order)
{
    m_endpoint.call(m_dialect.writeStop(order), OrderTimeout,
                    [this, id = order.id](const fabric::CallResult &result) {
                        carryOut(runner::handleStopResult(m_runner, id, resultOf(result),
                                                          steadyNow()));
                    });
}

void AgentShell::orderLook(const runner::PollCommand &order)
{
    m_endpoint.call(m_dialect.writePoll(order), order.wait + LookTimeout,
                    [this, number = order.number](const fabric::CallResult &result) {
                        runner::PollResult poll;
                        if (result.response)
                            poll = m_dialect.readPollResult(*result.response);
                        else
                            poll.result = resultOf(result);
                        carryOut(runner::handlePollResult(m_runner, number, poll, steadyNow()));
                    });
}

// [SECTION] Time

void AgentShell::tick(Time now)
{
    m_control.tick(now);
    carryOut(runner::tick(m_runner, now));
}

void AgentShell::beginShutdown(Time now)
{
    m_stopBegan = now;
    carryOut(runner::beginShutdown(m_runner, now));
}

bool AgentShell::stopped(Time now)
{
    const Milliseconds grace = m_core.settings.stopGrace;
    if (now >= m_stopBegan + grace - LastRuns)
        carryOut(runner::stopAllRuns(m_runner, now));
    // The last ends are on their way to the entries for a moment.
    const bool told = now >= m_stopBegan + LastWords;
    return (told && runner::isShutDown(m_runner)) || now >= m_stopBegan + grace - LastWords;
}

std::vector<metrics::Sample> AgentShell::samples() const
{
    const auto count = [](std::uint64_t value) { return static_cast<double>(value); };
    std::vector<metrics::Sample> samples {
        { "foxwing_runs_started_total", "Starts ordered", count(m_runner.started) },
        { "foxwing_runs_done_total", "Runs done", count(m_runner.done) },
        { "foxwing_runs_failed_total", "Runs failed", count(m_runner.failed) },
        { "foxwing_runs_stopped_total", "Runs stopped, lapsed or lost", count(m_runner.stopped) },
        { "foxwing_starts_refused_total", "Starts that never began", count(m_runner.refused) },
        { "foxwing_orders_unanswered_total", "Starts without an answer",
          count(m_runner.unanswered) },
        { "foxwing_heartbeats_passed_over_total", "Heartbeats that changed nothing",
          count(m_runner.ignoredHeartbeats) },
        { "foxwing_heartbeats_unreadable_total", "Calls of endpoints that were refused",
          count(m_unreadable) },
        { "foxwing_endpoint_connections_total", "Connections opened to the endpoint",
          count(m_endpoint.opened()) },
    };
    const auto gauge = [&](const char *name, const char *help, double value) {
        samples.push_back({ name, help, value, true });
    };
    gauge("foxwing_runs", "Runs that take room", count(m_runner.runs.size()));
    gauge("foxwing_oldest_run_ms", "How long the run ordered first has been taking room",
          toMilliseconds(runner::oldestRunAge(m_runner, steadyNow())));
    gauge("foxwing_last_end_noted", "Number of the endpoint's last end that was taken note of",
          count(m_runner.endpointIncarnation.lastSeenEnd));
    gauge("foxwing_starts_waiting", "Starts that wait here for room",
          count(m_runner.waiting.size()));
    gauge("foxwing_sessions", "Entries in touch", count(m_runner.sessions.size()));
    gauge("foxwing_endpoint_pace", "Time taken against estimates",
          m_runner.endpointIncarnation.slowdown);
    gauge("foxwing_endpoint_bad", "Evidence against the endpoint, 0 to 1",
          m_runner.endpointIncarnation.faultScore);
    gauge("foxwing_cordons_revision", "Cordons known here", count(m_runner.cordons.revision));
    gauge("foxwing_cordoned", "Whether the endpoint gets nothing new, by a cordon",
          runner::isCordoned(m_runner) ? 1 : 0);
    gauge("foxwing_control_hosts", "Control hosts in touch", count(m_control.connected()));
    return samples;
}

} // namespace

std::unique_ptr<RoleShell> makeAgentShell(Core &core, const Dialect &dialect)
{
    return std::make_unique<AgentShell>(core, dialect);
}

} // namespace foxwing::fleet
