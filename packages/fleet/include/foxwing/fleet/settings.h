/*
    Settings of one process of a fleet that a platform runs.

    The platform writes the file from a template and may change it at any time; a process reloads it
    on SIGHUP and when its contents change.

        Error reason;
        const auto settings = readFleetSettings("/etc/foxwing/node.toml", &reason);

    [SECTION] Settings
    [SECTION] Functions
*/
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <foxwing/base/error.h>
#include <foxwing/base/time.h>
#include <foxwing/directory/directory.h>
#include <foxwing/eventlog/eventlog.h>
#include <foxwing/lag/lag.h>
#include <foxwing/runner/runner.h>
#include <foxwing/scheduler/scheduler.h>
#include <foxwing/subset/subset.h>

namespace foxwing::fleet {

// [SECTION] Settings

// Limits on what clients and other processes can make this process hold. They apply from its start.
struct ResourceLimits
{
    // Memory of the process. HTTP requests and answers may take a sixth of it, and connections
    // within the fleet a fifth.
    std::size_t memoryMegabytes = 120;

    // Descriptors of the process; zero: as many as the system allows it. Each listener may use a
    // share of them, and at most the number of connections below.
    std::size_t descriptors = 0;
    std::size_t callerConnections = 3000;
    std::size_t readinessConnections = 64;
    std::size_t controlConnections = 512;
    std::size_t metricsConnections = 16;
    std::size_t innerConnections = 3000;

    // Header and trailer fields of a request together
    std::size_t headerFields = 100;

    // Tasks of all jobs that an entry has not answered
    std::size_t openTasks = 100000;
};

struct FleetSettings
{
    // [node]
    std::string name;
    directory::Role role = directory::Role::Entry;
    std::string dataCentre;

    // Address of this host as seen by others
    std::string ip;

    // Control hosts only
    std::string dataFolder;

    // [cluster]
    // Port for connections between processes of the fleet, the same on every host
    int innerPort = 0;

    // Addresses of some control hosts; their ports are ignored, the inner port is used.
    std::vector<std::string> seeds;

    // The fleet starts for the first time: the seeds form the initial consensus group.
    bool firstStart = false;

    // All data centres of the deployment, to validate names in operators' requests; empty: any name
    // is accepted.
    std::vector<std::string> dataCentres;

    // Number of control hosts that may fail at once; the consensus group keeps enough voters.
    std::uint32_t toleratedLosses = 2;

    // [listen], depending on the role
    std::string callers;
    std::string readiness;
    std::string control;
    std::string metrics;

    // Where this process listens for connections from the fleet, if not at the address that others
    // connect to, for example behind a proxy
    std::string inner;

    // [endpoint], agents only
    std::string endpointAddress;

    // [timing]
    // Longest time from a stop signal to the end of the process
    Milliseconds stopGrace { 6000 };

    // A caller that lost the connection to its entry resends its job after this delay.
    Milliseconds resendAfter { 1300 };

    // [limits]
    ResourceLimits limits;

    // [policy]: queue order, admission, subset size, withdrawal of lagging entries, and probation
    // of endpoints. The other members can't be set in the file, only by tests and experiments.
    scheduler::SchedulerSettings scheduler;
    runner::RunnerSettings runner;
    subset::SubsetSettings subset;
    lag::LagSettings lag;
    eventlog::EventLogSettings log;
};

// [SECTION] Functions

std::optional<FleetSettings> readFleetSettings(const std::string &path, Error *reason);
std::optional<FleetSettings> parseFleetSettings(const std::string &text, const std::string &path,
                                                Error *reason);

// The inner addresses of the seeds.
std::vector<std::string> seedAddresses(const FleetSettings &settings);
std::string innerAddress(const FleetSettings &settings);
std::string innerListenAddress(const FleetSettings &settings);

} // namespace foxwing::fleet
