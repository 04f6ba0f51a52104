/*
    Judging workers by what their tasks come to.

    A worker that fails everything quickly is the most attractive one there is: it always has a free
    slot. So each worker's failures are held against those of its peers, and one that fails clearly
    more is ejected for a while, within a bounded share of the pool, and comes back through
    repeatable work, one task at a time.

    [SECTION] Settings
    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <cstdint>

#include <foxwing/base/time.h>

namespace foxwing::dispatch {

// [SECTION] Settings

struct HealthSettings
{
    // Failures in a row before a worker can be ejected.
    std::uint32_t evidence = 4;

    // Peers that fail more than this share of their own tasks make a failure no evidence against
    // the worker: then the work is bad, not the worker.
    double peerFailureShare = 0.5;

    // At most this share of a service's workers is out at any time.
    double largestEjectedShare = 0.3;

    // First time out; doubles with each ejection up to the longest.
    Milliseconds ejection { 5000 };
    Milliseconds longestEjection { 120000 };

    // Successes in a row that end a trial.
    std::uint32_t trialSuccesses = 3;
};

// [SECTION] State

enum class Standing {
    Good,
    Ejected,
    // One repeatable task at a time.
    OnTrial,
};

struct WorkerHealth
{
    Standing standing = Standing::Good;
    std::uint32_t failuresInRow = 0;
    std::uint32_t successesInRow = 0;
    std::uint32_t ejections = 0;
    Time outUntil {};
};

// Outcomes over a whole service; both shares decay so that old events lose weight.
struct ServiceHealth
{
    HealthSettings settings;
    double successes = 0;
    double failures = 0;
    std::uint32_t workers = 0;
    std::uint32_t ejected = 0;
};

// [SECTION] Functions

// Counts the end of one task and ejects, tries or restores the worker. True if its standing
// changed.
bool recordOutcome(ServiceHealth &service, WorkerHealth &worker, bool succeeded, Time now);

// Moves an ejected worker whose time is over to its trial. True if its standing changed.
bool endEjection(WorkerHealth &worker, Time now);

// Keeps the counts right when a worker leaves the service.
void forgetWorker(ServiceHealth &service, const WorkerHealth &worker);

} // namespace foxwing::dispatch
