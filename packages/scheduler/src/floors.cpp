/*
    Queues that are below their floor: what their jobs go by until they are above it again.

    A floor never moves the most urgent queue back, and a queue is raised only beside one that is
    served above its own floor: where all are below, their priorities decide.

    [SECTION] Work
    [SECTION] Standings
*/
#include <algorithm>

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
        work += static_cast<double>(step.tasks) * static_cast<double>(step.room.milliCores)
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
    shares::noteAsked(scheduler.shares, terms.queue, workOf(job.spec), now);
}

void noteRefusedJob(SchedulerState &scheduler, const Job &job, Time now)
{
    shares::noteRefused(scheduler.shares, job.terms.queue, workOf(job.spec), now);
}

// [SECTION] Standings

namespace {

// The least urgent queue above its floor that goes before this one but is not the most urgent: the
// two then compete on equal terms. Without one the queue keeps its priority.
std::uint32_t raisedPriority(const SchedulerState &scheduler, const QueueStanding &standing)
{
    std::uint32_t most = standing.priority;
    for (const auto &[name, other] : scheduler.standings) {
        if (other.service == standing.service)
            most = std::min(most, other.priority);
    }
    std::uint32_t raised = most;
    for (const auto &[name, other] : scheduler.standings) {
        if (other.service == standing.service && !other.belowFloor
            && other.priority < standing.priority)
            raised = std::max(raised, other.priority);
    }
    return raised > most ? raised : standing.priority;
}

void logChange(const SchedulerState &scheduler, const std::string &queue,
               const QueueStanding &standing, Time now, SchedulerActions &actions)
{
    actions.events.push_back(
            change(standing.belowFloor ? "queue-below-floor" : "queue-above-floor")
                    .with("queue", queue)
                    .with("served_percent", shares::servedPercent(scheduler.shares, queue, now))
                    .with("floor_percent", scheduler.shares.settings.floorPercent));
}

} // namespace

void updateStandings(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    for (auto &[queue, standing] : scheduler.standings) {
        const bool below = shares::isBelowFloor(scheduler.shares, queue, now);
        if (below == standing.belowFloor)
            continue;
        standing.belowFloor = below;
        logChange(scheduler, queue, standing, now, actions);
    }
    for (auto &[queue, standing] : scheduler.standings)
        standing.effective = standing.belowFloor ? raisedPriority(scheduler, standing)
                                                 : standing.priority;
}

bool isBelowFloor(const SchedulerState &scheduler, const Job &job)
{
    const auto found = scheduler.standings.find(job.terms.queue);
    return found != scheduler.standings.end() && found->second.belowFloor;
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
