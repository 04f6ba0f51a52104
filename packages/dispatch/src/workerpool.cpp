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

FreeOrder freeOrder(const WorkerPool &pool, const Worker &worker)
{
    return { worker.dataCentre != pool.dataCentre, worker.ours + worker.others, worker.id };
}

bool usable(const Worker &worker)
{
    return worker.leased && !worker.leaving && worker.restUntil == Time {}
    && worker.ours + worker.others < worker.slots;
}

} // namespace

void placeWorker(WorkerPool &pool, Worker &worker)
{
    if (!usable(worker))
        return;
    if (worker.health.standing == Standing::Good)
        pool.free.insert(freeOrder(pool, worker));
    else if (worker.health.standing == Standing::OnTrial && worker.ours == 0)
        pool.trial.insert(freeOrder(pool, worker));
}

void unplaceWorker(WorkerPool &pool, const Worker &worker)
{
    pool.free.erase(freeOrder(pool, worker));
    pool.trial.erase(freeOrder(pool, worker));
}

// [SECTION] Offers

OfferEffect takeOffer(WorkerPool &pool, const agent::LeaseOffer &offer, Time now)
{
    const auto inserted = pool.workers.try_emplace(offer.agent);
    Worker &worker = inserted.first->second;
    const bool isNew = inserted.second;
    if (isNew) {
        worker.id = offer.agent;
        ++pool.health.workers;
    }
    const bool stale = offer.agentIncarnation < worker.incarnation
            || (offer.agentIncarnation == worker.incarnation
                && offer.leaseEpoch < worker.leaseEpoch);
    if (stale)
        return OfferEffect::Stale;
    unplaceWorker(pool, worker);
    const bool restarted = !isNew && offer.agentIncarnation > worker.incarnation;
    if (restarted)
        worker.ours = 0;
    endLease(pool, worker);
    worker.incarnation = offer.agentIncarnation;
    worker.leaseEpoch = offer.leaseEpoch;
    worker.dataCentre = offer.dataCentre;
    worker.slots = offer.slots;
    worker.others = offer.busy > worker.ours ? offer.busy - worker.ours : 0;
    worker.leaving = offer.leaving;
    worker.leased = true;
    worker.lastOffer = now;
    worker.lastHeard = now;
    pool.slots += worker.slots;
    ++pool.leasedWorkers;
    placeWorker(pool, worker);
    return restarted ? OfferEffect::Restarted : OfferEffect::None;
}

void endLease(WorkerPool &pool, Worker &worker)
{
    unplaceWorker(pool, worker);
    if (!worker.leased)
        return;
    worker.leased = false;
    pool.slots -= worker.slots;
    --pool.leasedWorkers;
}

void dropWorker(WorkerPool &pool, const std::string &id)
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
    const std::set<FreeOrder> &set = repeatable && !pool.trial.empty() ? pool.trial : pool.free;
    if (set.empty())
        return nullptr;
    return &pool.workers.at(set.begin()->id);
}

void occupySlot(WorkerPool &pool, Worker &worker)
{
    unplaceWorker(pool, worker);
    ++worker.ours;
    placeWorker(pool, worker);
}

void releaseSlot(WorkerPool &pool, Worker &worker)
{
    unplaceWorker(pool, worker);
    if (worker.ours > 0)
        --worker.ours;
    placeWorker(pool, worker);
}

} // namespace foxwing::dispatch
