/*
    Load balancing between entries: chooses the owner of a new job, and moves workers.

    Each worker is leased to one entry, and an entry can only use its own workers. Entries exchange
    load reports. A job that can't start at once goes as a whole to the entry with the shortest
    expected wait. Workers are moved more slowly: idle ones to entries that have fewer, and one at
    once to an entry that has work waiting but no worker.

        std::string owner = chooseOwner(placement, "svc", own, 8, now);

    [SECTION] Settings
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include <foxwing/base/time.h>
#include <foxwing/dispatch/dispatcher.h>
#include <foxwing/entry/messages.h>

namespace foxwing::entry {

// [SECTION] Settings

enum class PlacementPolicy {
    // The entry with the shortest expected wait; the receiving one if no other is clearly better.
    LeastLoaded,
    // Always the receiving entry, unless it has no worker. Baseline for comparisons.
    Local,
};

struct PlacementSettings
{
    std::string self;
    std::string dataCentre;
    PlacementPolicy policy = PlacementPolicy::LeastLoaded;

    // Shortest time between two reports, and longest time without one.
    Milliseconds minReportInterval { 100 };
    Milliseconds maxReportInterval { 1000 };

    // Older reports are ignored.
    Milliseconds maxReportAge { 2500 };

    // Shortest time between two transfers of workers
    Milliseconds transferInterval { 200 };
};

// [SECTION] State

struct PeerLoad
{
    LoadReport report;
    Time lastReceivedAt {};
};

struct Placement
{
    PlacementSettings settings;
    std::unordered_map<std::string, PeerLoad> peers;
    LoadReport lastReport;
    Time nextReport {};
    Time nextForcedReport {};
    Time nextTransfer {};
};

// One worker of this service should be transferred to another entry, its successor as owner.
struct WorkerTransfer
{
    std::string service;
    std::string successor;
    std::string successorDataCentre;
    bool successorStarved = false;
};

// [SECTION] Functions

void handleLoadReport(Placement &placement, const LoadReport &report, Time now);

// Chooses the entry that should own a job with this number of tasks. A chosen peer is charged with
// the tasks until its next report.
std::string chooseOwner(Placement &placement, const std::string &service,
                        const dispatch::ServiceLoad &own, std::uint32_t tasks, Time now);

// Returns the report for the other entries if one is due.
std::optional<LoadReport> reportIfDue(Placement &placement, const dispatch::Dispatcher &dispatcher,
                                      bool leaving, Time now);

// Returns the worker transfer that is due now, if any.
std::optional<WorkerTransfer> chooseTransfer(Placement &placement,
                                             const dispatch::Dispatcher &dispatcher, Time now);

} // namespace foxwing::entry
