/*
    Parsing and validation of the settings file of a fleet's process.

    [SECTION] Tables
    [SECTION] Functions
*/
#include <foxwing/fleet/settings.h>

#include <foxwing/fabric/address.h>
#include <foxwing/settings/tomlreader.h>

namespace foxwing::fleet {

using settings::TomlReader;

// [SECTION] Tables

namespace {

constexpr int MaxPort = 65535;

// Larger consensus groups commit too slowly; packages/quorum itself allows more voters.
constexpr std::int64_t MaxToleratedLosses = 7;

// An agent's session timeout and its endpoint's lease must end a run this long before its caller
// resends the job.
constexpr Milliseconds ResendMargin { 100 };

// LagSettings::maxDelay caps the measured delay; a limit close to it would rarely be exceeded.
constexpr Milliseconds MaxWithdrawAbove { 400 };

void readNode(TomlReader table, FleetSettings &settings)
{
    std::string role = directory::toString(settings.role);
    table.text("name", settings.name);
    table.text("role", role);
    table.text("data_centre", settings.dataCentre);
    table.text("ip", settings.ip);
    table.text("data_folder", settings.dataFolder);
    if (role == "control")
        settings.role = directory::Role::Control;
    else if (role == "agent")
        settings.role = directory::Role::Agent;
    else if (role != "entry")
        table.refuse("role", "must be \"entry\", \"agent\" or \"control\"");
    if (settings.name.empty())
        table.refuse("name", "must not be empty; set the name of this process");
    if (settings.role == directory::Role::Control && settings.dataFolder.empty())
        table.refuse("data_folder", "must be the folder for a control host's journal");
    table.finish();
}

void readCluster(TomlReader table, FleetSettings &settings)
{
    table.integer("inner_port", settings.innerPort, 1, MaxPort);
    table.list("seeds", settings.seeds);
    table.list("data_centres", settings.dataCentres);
    table.boolean("first_start", settings.firstStart);
    table.integer("tolerated_losses", settings.toleratedLosses, 0, MaxToleratedLosses);
    if (settings.innerPort == 0)
        table.refuse("inner_port", "must be the port for connections within the fleet");
    if (settings.seeds.empty())
        table.refuse("seeds", "must list the address of at least one control host");
    table.finish();
}

void readListen(TomlReader table, FleetSettings &settings)
{
    table.text("callers", settings.callers);
    table.text("readiness", settings.readiness);
    table.text("control", settings.control);
    table.text("metrics", settings.metrics);
    table.text("inner", settings.inner);
    if (settings.role == directory::Role::Entry && settings.callers.empty())
        table.refuse("callers", "must be the address for callers");
    if (settings.role != directory::Role::Entry && settings.control.empty())
        table.refuse("control", "must be the address for operators or for the endpoint");
    table.finish();
}

void readEndpoint(TomlReader table, FleetSettings &settings)
{
    table.text("address", settings.endpointAddress);
    if (settings.role == directory::Role::Agent && settings.endpointAddress.empty())
        table.refuse("address", "must be the address of the agent's endpoint");
    table.finish();
}

// The platform writes some durations as plain numbers, with the unit in the key.
void readTiming(TomlReader table, FleetSettings &settings)
{
    constexpr double MaxSeconds = 600;
    double grace = std::chrono::duration<double>(settings.stopGrace).count();
    std::int64_t resend = settings.resendAfter.count();
    table.number("stop_grace_seconds", grace, 0.5, MaxSeconds);
    table.integer("resend_after_milliseconds", resend, 1, 600000);
    settings.stopGrace = Milliseconds(static_cast<std::int64_t>(grace * 1000));
    settings.resendAfter = Milliseconds(resend);
    table.finish();
}

void readLimits(TomlReader table, ResourceLimits &limits)
{
    constexpr std::int64_t MaxMegabytes = 1 << 20;
    constexpr std::int64_t MaxCount = 1 << 20;
    table.integer("memory_megabytes", limits.memoryMegabytes, 16, MaxMegabytes);
    table.integer("descriptors", limits.descriptors, 0, MaxCount);
    table.integer("caller_connections", limits.callerConnections, 1, MaxCount);
    table.integer("readiness_connections", limits.readinessConnections, 1, MaxCount);
    table.integer("control_connections", limits.controlConnections, 1, MaxCount);
    table.integer("metrics_connections", limits.metricsConnections, 1, MaxCount);
    table.integer("inner_connections", limits.innerConnections, 1, MaxCount);
    table.integer("header_fields", limits.headerFields, 1, MaxCount);
    table.integer("open_tasks", limits.openTasks, 1, MaxCount * 1024);
    table.finish();
}

void readLag(TomlReader &policy, FleetSettings &settings)
{
    std::int64_t above = settings.lag.withdrawAbove.count();
    policy.integer("stand_back_above_milliseconds", above, 0, MaxWithdrawAbove.count());
    settings.lag.withdrawAbove = Milliseconds(above);
}

void readPolicy(TomlReader table, FleetSettings &settings)
{
    scheduler::SchedulerSettings &policy = settings.scheduler;
    std::string order = scheduler::toString(policy.order);
    table.text("order", order);
    const auto parsedOrder = scheduler::parseOrder(order);
    if (parsedOrder)
        policy.order = *parsedOrder;
    else
        table.refuse("order",
                     "must be \"latest-begin\", \"newest\", \"first-come\", \"priority\" or "
                     "\"least-work\"");
    std::string placement = scheduler::toString(policy.placement);
    table.text("placement", placement);
    const auto parsedPlacement = scheduler::parsePlacement(placement);
    if (parsedPlacement)
        policy.placement = *parsedPlacement;
    else
        table.refuse("placement", "must be \"fastest\", \"random\" or \"most-room\"");
    std::string waiting = scheduler::toString(policy.waitingQueues);
    table.text("waiting_queues", waiting);
    const auto parsedWaitingQueues = scheduler::parseWaitingQueues(waiting);
    if (parsedWaitingQueues)
        policy.waitingQueues = *parsedWaitingQueues;
    else
        table.refuse("waiting_queues", "must be \"most-urgent\" or \"all-but-least\"");
    table.integer("margin_percent", policy.marginPercent, 0, 1000);
    table.number("refuse_above", policy.maxWaitFactor, 0.01, 100);
    table.number("far_factor", policy.offRackFactor, 1, 100);
    table.integer("away_percent", policy.remotePercent, 0, 1000);
    table.boolean("refuse_late", policy.refuseLate);
    table.boolean("serve_late", policy.serveLate);
    table.boolean("forecast", policy.forecast);
    table.integer("refuse_at_arrival_percent", policy.maxWaitPercent, 0, 1000);
    table.integer("wait_percent", policy.maxShortfallPercent, 0, 100);
    table.integer("floor_percent", policy.shares.guaranteedPercent, 0, 100);
    table.boolean("learn_run_times", policy.learnRunTimes);
    table.boolean("move_runs", policy.moveRuns);
    table.integer("subset_size", settings.subset.minSize, 1, 100000);
    table.integer("entries_per_agent", settings.subset.entriesPerAgent, 1, 1000);
    readLag(table, settings);
    table.boolean("judge_endpoint", settings.runner.probationEnabled);
    table.finish();
}

// Scales the timeouts down where callers resend sooner than the defaults allow.
void fitTimeoutsToResend(FleetSettings &settings)
{
    scheduler::SchedulerSettings &entry = settings.scheduler;
    runner::RunnerSettings &agent = settings.runner;
    const Milliseconds limit = settings.resendAfter - ResendMargin;
    if (entry.lostRunTimeout <= limit || limit.count() <= 0)
        return;
    const double factor = static_cast<double>(limit.count())
            / static_cast<double>(entry.lostRunTimeout.count());
    const auto scale = [factor](Milliseconds &timeout) {
        timeout = Milliseconds(
                static_cast<std::int64_t>(static_cast<double>(timeout.count()) * factor));
    };
    scale(entry.lostRunTimeout);
    scale(entry.agentTimeout);
    scale(entry.heartbeatInterval);
    scale(entry.suspectAfter);
    scale(agent.sessionTimeout);
    scale(agent.leaseDuration);
    scale(agent.idleUpdateInterval);
}

} // namespace

// [SECTION] Functions

std::optional<FleetSettings> parseFleetSettings(const std::string &text, const std::string &path,
                                                Error *reason)
{
    *reason = Error {};
    auto document = settings::parseToml(text, path, reason);
    if (!document)
        return std::nullopt;
    FleetSettings settings;
    TomlReader root(std::move(*document), path, reason);
    readNode(root.table("node"), settings);
    readCluster(root.table("cluster"), settings);
    readListen(root.table("listen"), settings);
    readEndpoint(root.table("endpoint"), settings);
    readTiming(root.table("timing"), settings);
    readLimits(root.table("limits"), settings.limits);
    readPolicy(root.table("policy"), settings);
    if (!root.finish())
        return std::nullopt;
    fitTimeoutsToResend(settings);
    settings.scheduler.dataCentre = settings.dataCentre;
    settings.scheduler.maxOpenTasks = settings.limits.openTasks;
    return settings;
}

std::optional<FleetSettings> readFleetSettings(const std::string &path, Error *reason)
{
    const auto text = settings::readSettingsText(path, reason);
    if (!text)
        return std::nullopt;
    return parseFleetSettings(*text, path, reason);
}

std::vector<std::string> seedAddresses(const FleetSettings &settings)
{
    std::vector<std::string> addresses;
    for (const std::string &seed : settings.seeds)
        addresses.push_back(fabric::hostOf(seed) + ":" + std::to_string(settings.innerPort));
    return addresses;
}

std::string innerAddress(const FleetSettings &settings)
{
    return settings.ip + ":" + std::to_string(settings.innerPort);
}

std::string innerListenAddress(const FleetSettings &settings)
{
    return settings.inner.empty() ? innerAddress(settings) : settings.inner;
}

} // namespace foxwing::fleet
