/*
    The workers of one service whose slots this entry holds under lease.

    takeOffer() adds or renews a worker; pickWorker() finds a free slot in logarithmic time, in the
    entry's own data centre first, on the worker with most free slots.

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

    // Slots: in all, taken by our tasks, and taken by tasks of earlier owners.
    std::uint32_t slots = 0;
    std::uint32_t ours = 0;
    std::uint32_t others = 0;

    // Liveness
    Time lastOffer {};
    Time lastHeard {};
    bool leased = false;
    bool leaving = false;

    // A worker that said "no free slot" is left alone until then.
    Time restUntil {};

    WorkerHealth health;
};

// Where a worker stands in the order of choice; the least goes first.
struct FreeOrder
{
    bool farAway = false;
    std::uint32_t taken = 0;
    std::string id;

    bool operator<(const FreeOrder &other) const
    {
        if (farAway != other.farAway)
            return !farAway;
        if (taken != other.taken)
            return taken < other.taken;
        return id < other.id;
    }
};

struct WorkerPool
{
    std::string dataCentre;
    std::unordered_map<std::string, Worker> workers;

    // Workers in good standing with a free slot, and those on trial with nothing to do.
    std::set<FreeOrder> free;
    std::set<FreeOrder> trial;
    ServiceHealth health;

    // Over all leased workers
    std::uint32_t slots = 0;
    std::uint32_t leasedWorkers = 0;
};

// What an offer changed.
enum class OfferEffect {
    None,
    // The agent restarted: everything sent to the earlier incarnation may have run.
    Restarted,
    // An offer of an earlier incarnation or epoch, to be ignored.
    Stale,
};

// [SECTION] Functions

OfferEffect takeOffer(WorkerPool &pool, const agent::LeaseOffer &offer, Time now);

// A worker with a free slot, or null. Workers on trial get repeatable work only.
Worker *pickWorker(WorkerPool &pool, bool repeatable);

// Counts a task of ours in or out of a worker's slots.
void occupySlot(WorkerPool &pool, Worker &worker);
void releaseSlot(WorkerPool &pool, Worker &worker);

// Puts a worker into the sets that it belongs to by now. Call after any change to it.
void placeWorker(WorkerPool &pool, Worker &worker);

// Takes a worker out of the sets before it is changed.
void unplaceWorker(WorkerPool &pool, const Worker &worker);

// The lease is over; the worker stays known while tasks of ours run there.
void endLease(WorkerPool &pool, Worker &worker);

// Removes a worker for good.
void dropWorker(WorkerPool &pool, const std::string &id);

} // namespace foxwing::dispatch
