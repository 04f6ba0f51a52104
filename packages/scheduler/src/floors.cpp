/*
    Queues that are below their floor: what their jobs go by until they are above it again.

    A floor never moves the most urgent queue back, and only queues above their own floor give way:
    where all are below, their priorities decide. A queue that gives way stands behind the raised
    one here, and its starts do not wait at agents: of many entries each would else hold the room
    that comes free for its own, and the raised queue would find none.

    [SECTION] Work
    [SECTION] Standings
*/
#include <algorithm>
#include <limits>

#include "internal.h"

namespace foxwing::scheduler {

using eventlog::change;

// [SECTION] Work

namespace {

// By the caller's guess: what was asked and what of it was refused are the same number.
std::int64_t workOf(const jobs::JobSpec &spec)
{
    // Declared rooms can be absurd, and sums of them must not overflow.
    constexpr double Most = 1e15;
    double work = 0;
    for (const jobs::StepSpec &step : spec.steps)
        work += static_cast<double>(step.tasks) * static_cast<double>(step.demand.milliCores)
                * static_cast<double>(step.estimate.count());
    return static_cast<std::int64_t>(std::clamp(work, 0.0, Most));
}

} // namespace

void noteAskedJob(SchedulerState &scheduler, const Job &job, Time now)
{
    const JobTerms &terms = job.terms;
    const auto [found, fresh] = scheduler.standings.try_emplace(terms.queue);
    QueueStanding &standing = found->second;
    if (fresh || standing.priority != terms.priority)
        standing.effective = terms.priority;
    standing.service = terms.service;
    standing.priority = terms.priority;
    shares::recordRequested(scheduler.shares, terms.queue, workOf(job.spec), now);
}

void noteRefusedJob(SchedulerState &scheduler, const Job &job, Time now)
{
    shares::recordRefused(scheduler.shares, job.terms.queue, workOf(job.spec), now);
}

// [SECTION] Standings

namespace {

// Whether the queue can give way: one of the same service that is neither the most urgent nor below
// its own floor.
bool canYield(const QueueStanding &standing, const std::string &service, std::uint32_t mostUrgent)
{
    return standing.service == service && standing.priority > mostUrgent && !standing.belowFloor;
}

std::uint32_t mostUrgentOf(const SchedulerState &scheduler, const std::string &service)
{
    std::uint32_t most = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[name, standing] : scheduler.standings) {
        if (standing.service == service)
            most = std::min(most, standing.priority);
    }
    return most;
}

// Before the least urgent of the more urgent queues that can give way, which are told to; where
// there is none the queue keeps its priority.
void raise(SchedulerState &scheduler, QueueStanding &raised)
{
    const std::uint32_t most = mostUrgentOf(scheduler, raised.service);
    std::uint32_t beside = most;
    for (auto &[name, standing] : scheduler.standings) {
        if (standing.priority >= raised.priority || !canYield(standing, raised.service, most))
            continue;
        standing.yields = true;
        beside = std::max(beside, standing.priority);
    }
    if (beside > most)
        raised.effective = beside;
}

void logChange(const SchedulerState &scheduler, const std::string &queue,
               const QueueStanding &standing, Time now, SchedulerActions &actions)
{
    actions.events.push_back(
            change(standing.belowFloor ? "queue-below-floor" : "queue-above-floor")
                    .with("queue", queue)
                    .with("served_percent", shares::servedPercent(scheduler.shares, queue, now))
                    .with("floor_percent", scheduler.shares.settings.guaranteedPercent));
}

} // namespace

void updateStandings(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    for (auto &[queue, standing] : scheduler.standings) {
        const bool below = shares::isBelowGuarantee(scheduler.shares, queue, now);
        if (below == standing.belowFloor)
            continue;
        standing.belowFloor = below;
        logChange(scheduler, queue, standing, now, actions);
    }
    for (auto &[queue, standing] : scheduler.standings) {
        standing.effective = standing.priority;
        standing.yields = false;
    }
    for (auto &[queue, standing] : scheduler.standings) {
        if (standing.belowFloor)
            raise(scheduler, standing);
    }
}

bool yields(const SchedulerState &scheduler, const Job &job)
{
    const auto found = scheduler.standings.find(job.terms.queue);
    return found != scheduler.standings.end() && found->second.yields;
}

std::uint32_t effectivePriority(const SchedulerState &scheduler, const Job &job)
{
    // A job that waits from before its queue was declared anew keeps the priority it came with.
    const auto found = scheduler.standings.find(job.terms.queue);
    const bool known = found != scheduler.standings.end()
            && found->second.priority == job.terms.priority;
    return known ? found->second.effective : job.terms.priority;
}

} // namespace foxwing::scheduler
