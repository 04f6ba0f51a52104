/*
    Which entry should own a new job, and which workers should change owners.

    Every worker is leased to one entry, so a job is best run by an entry that has free slots.
   Entries tell each other how busy they are; a job that can't start at once goes whole to the entry
   where it waits least. Workers follow demand more slowly: idle ones go where there are fewer, and
   one goes at once to an entry that has work waiting and no worker at all.

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
    // The entry where the job waits least; its own if that is as good.
    LeastLoaded,
    // Always the entry that was asked, unless it has no worker. The baseline.
    Local,
};

struct PlacementSettings
{
    std::string self;
    std::string dataCentre;
    PlacementPolicy policy = PlacementPolicy::LeastLoaded;

    // Changes are reported this often at the most, and without a change this often at least.
    Milliseconds reportInterval { 100 };
    Milliseconds quietInterval { 1000 };

    // A report older than this is not believed.
    Milliseconds reportLife { 2500 };

    // Between two workers given away.
    Milliseconds yieldInterval { 200 };
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
    LoadReport lastSent;
    Time nextReport {};
    Time nextQuietReport {};
    Time nextYield {};
};

// A worker of this service should go to that entry.
struct YieldAdvice
{
    std::string service;
    std::string successor;
    std::string successorDataCentre;
    bool successorStarved = false;
};

// [SECTION] Functions

void takeLoadReport(Placement &placement, const LoadReport &report, Time now);

// The entry that should own a job of so many tasks: this one or a peer. Counts the job against the
// peer until its next report.
std::string chooseOwner(Placement &placement, const std::string &service,
                        const dispatch::ServiceLoad &own, std::uint32_t tasks, Time now);

// The report to be sent to the other entries, if one is due.
std::optional<LoadReport> dueReport(Placement &placement, const dispatch::Dispatcher &dispatcher,
                                    bool leaving, Time now);

// Whether a worker should change owners now.
std::optional<YieldAdvice> adviseYield(Placement &placement, const dispatch::Dispatcher &dispatcher,
                                       Time now);

} // namespace foxwing::entry
