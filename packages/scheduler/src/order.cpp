/*
    Order of the waiting jobs.

    [SECTION] Order
    [SECTION] Groups
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

// [SECTION] Order

namespace {

// Of the waiting tasks, in millicores times milliseconds
std::int64_t remainingWork(const Job &job)
{
    std::int64_t work = 0;
    for (const Task &task : job.tasks) {
        if (task.state == TaskState::Waiting)
            work += job.spec.steps[task.step].demand.milliCores * task.expected.count();
    }
    return work;
}

} // namespace

QueueKey keyOf(const SchedulerState &scheduler, const Job &job)
{
    QueueKey key;
    key.number = job.number;
    const auto arrived = job.arrivedAt.time_since_epoch().count();
    const auto latestStart = job.latestStart.time_since_epoch().count();
    switch (scheduler.settings.order) {
    case Order::FirstCome:
        key.sortValue = arrived;
        break;
    case Order::NewestFirst:
        key.group = job.group;
        key.sortValue = job.group == QueueGroup::Started ? latestStart : -arrived;
        break;
    case Order::LeastWork:
    case Order::Priority:
        key.priority = job.queuedPriority;
        key.raised = job.queuedPriority < job.options.priority;
        [[fallthrough]];
    case Order::LatestStart:
        key.group = job.group;
        // Late jobs go newest first: the oldest are the next to be of no use.
        key.sortValue = job.group == QueueGroup::Late ? -arrived : latestStart;
        // If late jobs are served, the one whose caller leaves first goes first.
        if (job.group == QueueGroup::Late && scheduler.settings.serveLate)
            key.sortValue = job.lateStartUntil.time_since_epoch().count();
        // Jobs that have started go by time: ordered by work, the widest of them would end late.
        if (scheduler.settings.order == Order::LeastWork && job.group == QueueGroup::OnTime)
            key.sortValue = job.workWhenQueued;
        break;
    }
    return key;
}

void enqueue(SchedulerState &scheduler, Job &job)
{
    if (job.closed || job.waiting == 0 || job.predecessor != 0)
        return;
    if (scheduler.settings.order == Order::LeastWork)
        job.workWhenQueued = remainingWork(job);
    job.queuedPriority = effectivePriority(scheduler, job);
    scheduler.queue.insert(keyOf(scheduler, job));
    scheduler.placementPending = true;
}

void dequeue(SchedulerState &scheduler, const Job &job)
{
    scheduler.queue.erase(keyOf(scheduler, job));
}

// [SECTION] Groups

namespace {

// After this, what is left of the job is of no use. Late jobs that were allowed to start may be
// finished for as long as they were allowed to start.
Time usefulUntil(const SchedulerState &scheduler, const Job &job)
{
    const bool startedLate = scheduler.settings.serveLate && job.firstPlacedAt > job.onTimeUntil;
    return startedLate ? std::max(job.usefulUntil, job.lateStartUntil) : job.usefulUntil;
}

QueueGroup groupOf(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (job.runs > 0)
        return now > usefulUntil(scheduler, job) ? QueueGroup::Expired : QueueGroup::Started;
    return job.onTimeUntil < now ? QueueGroup::Late : QueueGroup::OnTime;
}

} // namespace

std::vector<QueueKey> refreshQueue(SchedulerState &scheduler, Time now)
{
    const std::vector<QueueKey> before(scheduler.queue.begin(), scheduler.queue.end());
    for (const QueueKey &key : before) {
        Job &job = scheduler.jobs.at(key.number);
        const QueueGroup group = groupOf(scheduler, job, now);
        if (group == job.group && effectivePriority(scheduler, job) == job.queuedPriority)
            continue;
        dequeue(scheduler, job);
        job.group = group;
        enqueue(scheduler, job);
    }
    return { scheduler.queue.begin(), scheduler.queue.end() };
}

} // namespace foxwing::scheduler
