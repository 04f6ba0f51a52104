/*
    Settings of one process of a fleet that a platform runs.

    The file is written by the platform from a template and may change at any time; a process reads
    it again on SIGHUP and when its text has changed.

        Error reason;
        std::optional<FleetSettings> settings = readFleetSettings("/etc/foxwing/node.toml",
   &reason);

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

struct FleetSettings
{
    // [node]
    std::string name;
    directory::Role role = directory::Role::Entry;
    std::string dataCentre;

    // Of this host, as others reach it
    std::string ip;

    // Control only
    std::string dataFolder;

    // [cluster]
    // Where processes of the fleet reach each other, the same on every host
    int innerPort = 0;

    // Addresses of a few control hosts; only their hosts are used, with the inner port.
    std::vector<std::string> seeds;

    // The whole fleet starts for the first time: the seeds found the agreement group.
    bool firstStart = false;

    // All data centres of the deployment, for control to know an operator's word as a name; empty:
    // any name is taken.
    std::vector<std::string> dataCentres;

    // Control hosts that may be lost at once; the agreement group keeps enough voters for that.
    std::uint32_t toleratedLosses = 2;

    // [listen], as far as the role needs it
    std::string callers;
    std::string readiness;
    std::string control;
    std::string metrics;

    // Where this process listens for the others of the fleet, if that is not the address that they
    // dial, since something stands between.
    std::string inner;

    // [endpoint], agents only
    std::string endpointAddress;

    // [timing]
    // From a stop signal to the end of the process at the latest
    Milliseconds stopGrace { 6000 };

    // A caller that lost its entry sends its job again after this long.
    Milliseconds resendAfter { 1300 };

    // [policy], entries only: which job goes next, which is refused, how many agents an entry works
    // with, and how far behind with its own work it stands back. The rest is not read from
    // the file; here so that tests and experiments can set it.
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
