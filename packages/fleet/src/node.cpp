/*
    One process: its signals, settings file, metrics and role.

    [SECTION] State
    [SECTION] Metrics
    [SECTION] Settings
    [SECTION] Signals and time
*/
#include <foxwing/fleet/node.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <fstream>
#include <sstream>

#include "listeners.h"

namespace foxwing::fleet {

using eventlog::change;

// [SECTION] State

namespace {

// How often the settings file is checked for changes
constexpr Milliseconds SettingsInterval { 500 };

std::string readText(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

struct Node::State
{
    State(FleetSettings settings, std::string path, const Dialect &dialectToUse)
        : core(std::move(settings))
        , settingsPath(std::move(path))
        , dialect(dialectToUse)
        , signals(core.io)
        , timer(core.io)
    { }

    void watchSignals();
    void turn();
    void reload(const char *why);
    void checkSettings(Time now);
    void beginShutdown(const char *why);
    bool serveMetrics(Error *reason);

    Core core;
    std::string settingsPath;
    std::string settingsText;
    Dialect dialect;
    std::unique_ptr<NodeRole> role;
    std::unique_ptr<fabric::HttpServer> metricsServer;
    fabric::asio::signal_set signals;
    fabric::asio::steady_timer timer;
    Time nextSettings {};
    bool stopping = false;
};

// [SECTION] Metrics

bool Node::State::serveMetrics(Error *reason)
{
    if (core.settings.metrics.empty())
        return true;
    metricsServer = serveHttp(
            core, HttpListener::Metrics,
            [this](const fabric::ExchangePtr &exchange) {
                std::vector<metrics::Sample> samples = role->samples();
                addListenerSamples(core, samples);
                samples.push_back({ "foxwing_log_lines_total", "Log lines written",
                                    static_cast<double>(core.log.written) });
                samples.push_back({ "foxwing_log_lines_left_out_total",
                                    "Log lines suppressed by the rate limit",
                                    static_cast<double>(core.log.droppedTotal) });
                exchange->answer(
                        fabric::makeResponse(200, "text/plain; version=0.0.4",
                                             metrics::writeExposition(core.metrics, samples)));
            },
            reason);
    return metricsServer != nullptr;
}

// [SECTION] Settings

void Node::State::reload(const char *why)
{
    Error reason;
    settingsText = readText(settingsPath);
    auto settings = parseFleetSettings(settingsText, settingsPath, &reason);
    if (!settings) {
        writeEvent(core.log,
                   change("settings-refused").with("why", why).with("reason", reason.message));
        return;
    }
    core.settings.seeds = settings->seeds;
    core.settings.dataCentres = settings->dataCentres;
    core.settings.stopGrace = settings->stopGrace;
    role->reloaded();
    writeEvent(core.log,
               change("settings-read")
                       .with("why", why)
                       .with("seeds", std::uint64_t { core.settings.seeds.size() }));
}

void Node::State::checkSettings(Time now)
{
    if (settingsPath.empty() || now < nextSettings)
        return;
    nextSettings = now + SettingsInterval;
    if (readText(settingsPath) != settingsText)
        reload("settings file changed");
}

// [SECTION] Signals and time

void Node::State::beginShutdown(const char *why)
{
    if (stopping)
        return;
    stopping = true;
    writeEvent(core.log, change("stopping").with("why", why));
    role->beginShutdown(steadyNow());
}

void Node::State::watchSignals()
{
    signals.async_wait([this](boost::system::error_code error, int number) {
        if (error)
            return;
        if (number == SIGHUP && !settingsPath.empty())
            reload("SIGHUP");
        else if (number != SIGHUP)
            beginShutdown("stop signal");
        watchSignals();
    });
}

void Node::State::turn()
{
    const Time now = steadyNow();
    role->tick(now);
    checkSettings(now);
    eventlog::flush(core.log);
    if (stopping && role->stopped(now)) {
        writeEvent(core.log, change("stopped"));
        eventlog::flush(core.log);
        core.io.stop();
        return;
    }
    timer.expires_after(TickInterval);
    timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            turn();
    });
}

Node::Node(FleetSettings settings, std::string settingsPath, const Dialect &dialect)
    : m_state(std::make_unique<State>(std::move(settings), std::move(settingsPath), dialect))
{
    m_state->settingsText = readText(m_state->settingsPath);
}

Node::~Node() = default;

bool Node::start(Error *reason)
{
    State &state = *m_state;
    const FleetSettings &settings = state.core.settings;
    // Before all else: a stop signal during the replay of a journal must not kill the process.
    state.signals.add(SIGTERM);
    state.signals.add(SIGINT);
    state.signals.add(SIGHUP);
    state.watchSignals();
    state.core.self.name = settings.name;
    state.core.self.role = settings.role;
    state.core.self.dataCentre = settings.dataCentre;
    state.core.self.address = innerAddress(settings);
    state.core.self.incarnation = static_cast<std::uint64_t>(
            wallClockNow().time_since_epoch().count());
    switch (settings.role) {
    case directory::Role::Entry:
        state.role = makeEntryRole(state.core, state.dialect);
        break;
    case directory::Role::Agent:
        state.role = makeAgentRole(state.core, state.dialect);
        break;
    case directory::Role::Control:
        state.role = makeControlRole(state.core, state.dialect);
        break;
    }
    if (!state.role->start(reason) || !state.serveMetrics(reason))
        return false;
    writeEvent(state.core.log,
               change("started")
                       .with("role", toString(settings.role))
                       .with("address", state.core.self.address)
                       .with("incarnation", state.core.self.incarnation)
                       .with("first_start", settings.firstStart ? 1 : 0));
    state.turn();
    return true;
}

void Node::run()
{
    m_state->core.io.run();
}

} // namespace foxwing::fleet
