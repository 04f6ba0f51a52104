/*
    The workers of one service whose slots this entry has leased.

    applyOffer() adds or renews a worker. pickWorker() finds a free slot in logarithmic time: in the
    entry's own data centre first, on the worker with the fewest busy slots.

    [SECTION] State
    [SECTION] Functions
*/
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

#include <foxwing/agent/messages.h>
#include <foxwing/dispatch/health.h>

namespace foxwing::dispatch {

// [SECTION] State

struct Worker
{
    // Identity
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t leaseEpoch = 0;
    std::string dataCentre;

    // Slots in total, used by tasks of this entry, and used by tasks of previous owners.
    std::uint32_t slots = 0;
    std::uint32_t ownTasks = 0;
    std::uint32_t otherTasks = 0;

    // Liveness
    Time lastOfferAt {};
    Time lastReceivedAt {};
    bool leased = false;
    bool leaving = false;

    // A worker that refused a task gets no other one before this.
    Time backoffUntil {};

    WorkerHealth health;
};

// Order in which workers are chosen; the smallest goes first.
struct WorkerOrder
{
    bool remote = false;
    std::uint32_t busySlots = 0;
    std::string id;

    bool operator<(const WorkerOrder &other) const
    {
        if (remote != other.remote)
            return !remote;
        if (busySlots != other.busySlots)
            return busySlots < other.busySlots;
        return id < other.id;
    }
};

struct WorkerPool
{
    std::string dataCentre;
    std::unordered_map<std::string, Worker> workers;

    // Healthy workers with a free slot, and workers on probation that have no task of this entry.
    std::set<WorkerOrder> available;
    std::set<WorkerOrder> probation;
    ServiceHealth health;

    // Totals over all leased workers
    std::uint32_t slots = 0;
    std::uint32_t leasedWorkers = 0;
};

enum class OfferEffect {
    None,
    // The agent restarted; tasks sent to its previous incarnation may have run.
    Restarted,
    // The offer is from an earlier incarnation or epoch and was ignored.
    Stale,
};

// [SECTION] Functions

OfferEffect applyOffer(WorkerPool &pool, const agent::LeaseOffer &offer, Time now);

// Returns a worker with a free slot, or null. Workers on probation get repeatable work only.
Worker *pickWorker(WorkerPool &pool, bool repeatable);

// Adds or removes one of this entry's tasks on a worker.
void occupySlot(WorkerPool &pool, Worker &worker);
void releaseSlot(WorkerPool &pool, Worker &worker);

// Inserts a worker into the sets that fit its state. Call after any change to it.
void indexWorker(WorkerPool &pool, Worker &worker);

// Removes a worker from the sets. Call before any change to it.
void unindexWorker(WorkerPool &pool, const Worker &worker);

// Ends the lease of a worker. The worker stays in the pool until removeWorker().
void endLease(WorkerPool &pool, Worker &worker);

void removeWorker(WorkerPool &pool, const std::string &id);

} // namespace foxwing::dispatch
