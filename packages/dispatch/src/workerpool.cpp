/*
    Leased workers and the sets that order them for assignment.

    [SECTION] Sets
    [SECTION] Offers
    [SECTION] Slots
*/
#include <foxwing/dispatch/workerpool.h>

#include <algorithm>

namespace foxwing::dispatch {

// [SECTION] Sets

namespace {

WorkerOrder orderOf(const WorkerPool &pool, const Worker &worker)
{
    return { worker.dataCentre != pool.dataCentre, worker.ownTasks + worker.otherTasks, worker.id };
}

bool isAvailable(const Worker &worker)
{
    return worker.leased && !worker.leaving && worker.backoffUntil == Time {}
    && worker.ownTasks + worker.otherTasks < worker.slots;
}

} // namespace

void indexWorker(WorkerPool &pool, Worker &worker)
{
    if (!isAvailable(worker))
        return;
    if (worker.health.status == HealthStatus::Healthy)
        pool.available.insert(orderOf(pool, worker));
    else if (worker.health.status == HealthStatus::OnProbation && worker.ownTasks == 0)
        pool.probation.insert(orderOf(pool, worker));
}

void unindexWorker(WorkerPool &pool, const Worker &worker)
{
    pool.available.erase(orderOf(pool, worker));
    pool.probation.erase(orderOf(pool, worker));
}

// [SECTION] Offers

OfferEffect applyOffer(WorkerPool &pool, const agent::LeaseOffer &offer, Time now)
{
    const auto inserted = pool.workers.try_emplace(offer.agent);
    Worker &worker = inserted.first->second;
    const bool isNew = inserted.second;
    if (isNew) {
        worker.id = offer.agent;
        ++pool.health.workers;
    }
    const bool isStale = offer.agentIncarnation < worker.incarnation
            || (offer.agentIncarnation == worker.incarnation
                && offer.leaseEpoch < worker.leaseEpoch);
    if (isStale)
        return OfferEffect::Stale;
    unindexWorker(pool, worker);
    const bool restarted = !isNew && offer.agentIncarnation > worker.incarnation;
    if (restarted)
        worker.ownTasks = 0;
    endLease(pool, worker);
    worker.incarnation = offer.agentIncarnation;
    worker.leaseEpoch = offer.leaseEpoch;
    worker.dataCentre = offer.dataCentre;
    worker.slots = offer.slots;
    worker.otherTasks = offer.busy > worker.ownTasks ? offer.busy - worker.ownTasks : 0;
    worker.leaving = offer.leaving;
    worker.leased = true;
    worker.lastOfferAt = now;
    worker.lastReceivedAt = now;
    pool.slots += worker.slots;
    ++pool.leasedWorkers;
    indexWorker(pool, worker);
    return restarted ? OfferEffect::Restarted : OfferEffect::None;
}

void endLease(WorkerPool &pool, Worker &worker)
{
    unindexWorker(pool, worker);
    if (!worker.leased)
        return;
    worker.leased = false;
    pool.slots -= worker.slots;
    --pool.leasedWorkers;
}

void removeWorker(WorkerPool &pool, const std::string &id)
{
    const auto found = pool.workers.find(id);
    if (found == pool.workers.end())
        return;
    endLease(pool, found->second);
    forgetWorker(pool.health, found->second.health);
    pool.workers.erase(found);
}

// [SECTION] Slots

Worker *pickWorker(WorkerPool &pool, bool repeatable)
{
    // A probation takes one repeatable task at a time and can restore the worker, so it goes first.
    const std::set<WorkerOrder> &set = repeatable && !pool.probation.empty() ? pool.probation
                                                                             : pool.available;
    if (set.empty())
        return nullptr;
    return &pool.workers.at(set.begin()->id);
}

void occupySlot(WorkerPool &pool, Worker &worker)
{
    unindexWorker(pool, worker);
    ++worker.ownTasks;
    indexWorker(pool, worker);
}

void releaseSlot(WorkerPool &pool, Worker &worker)
{
    unindexWorker(pool, worker);
    if (worker.ownTasks > 0)
        --worker.ownTasks;
    indexWorker(pool, worker);
}

} // namespace foxwing::dispatch
