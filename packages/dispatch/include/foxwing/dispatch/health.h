/*
    Outlier ejection: stops sending tasks to workers that fail more than their peers.

    A worker that fails every task quickly always has a free slot and would attract most of the
    tasks. So each worker's failures are compared with those of its peers. A worker that fails
    clearly more often is ejected for a while, as long as only a limited part of the pool is out,
    and returns through a probation with repeatable work, one task at a time.

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
    // Consecutive failures before a worker can be ejected, and minimum number of outcomes of
    // its peers to compare it with.
    std::uint32_t ejectionThreshold = 4;

    // No worker is ejected while its peers fail more than this part of their tasks: then the cause
    // is the work, not the worker.
    double maxPeerFailureRatio = 0.5;

    // At most this part of a service's workers is ejected or on probation at any time.
    double maxEjectedRatio = 0.3;

    // Duration of the first ejection; doubles with each further one up to the maximum.
    Milliseconds baseEjectionTime { 5000 };
    Milliseconds maxEjectionTime { 120000 };

    // Consecutive successes that end a probation.
    std::uint32_t probationSuccesses = 3;
};

// [SECTION] State

enum class HealthStatus {
    Healthy,
    Ejected,
    // Gets one repeatable task at a time.
    OnProbation,
};

struct WorkerHealth
{
    HealthStatus status = HealthStatus::Healthy;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveSuccesses = 0;
    std::uint32_t ejections = 0;
    Time ejectedUntil {};
};

// Outcomes of all workers of a service; both counts decay, so that old outcomes lose weight.
struct ServiceHealth
{
    HealthSettings settings;
    double successes = 0;
    double failures = 0;
    std::uint32_t workers = 0;
    std::uint32_t ejected = 0;
};

// [SECTION] Functions

// Records the outcome of one task and ejects or restores the worker. Returns true if its status
// changed.
bool recordOutcome(ServiceHealth &service, WorkerHealth &worker, bool succeeded, Time now);

// Puts a worker whose ejection is over on probation. Returns true if its status changed.
bool endEjection(WorkerHealth &worker, Time now);

// Removes a worker that leaves the service from the counts.
void forgetWorker(ServiceHealth &service, const WorkerHealth &worker);

} // namespace foxwing::dispatch
