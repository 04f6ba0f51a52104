/*
    Which waiting job goes next.

    [SECTION] Order
    [SECTION] Ranks
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

// [SECTION] Order

namespace {

// Of the tasks that wait, in thousandths of a core times milliseconds
std::int64_t workLeft(const Job &job)
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
    const auto latestBegin = job.latestBegin.time_since_epoch().count();
    switch (scheduler.settings.order) {
    case Order::FirstCome:
        key.rank = arrived;
        break;
    case Order::Newest:
        key.group = job.group;
        key.rank = job.group == Rank::Begun ? latestBegin : -arrived;
        break;
    case Order::LeastWork:
    case Order::Priority:
        key.priority = job.queuedPriority;
        key.raised = job.queuedPriority < job.terms.priority;
        [[fallthrough]];
    case Order::LatestBegin:
        key.group = job.group;
        // Of those that are late the newest goes first: the oldest are the next to be worth
        // nothing.
        key.rank = job.group == Rank::Late ? -arrived : latestBegin;
        // Where late jobs are served, the next one to lose its caller goes first.
        if (job.group == Rank::Late && scheduler.settings.serveLate)
            key.rank = job.lateUntil.time_since_epoch().count();
        // What has begun goes on by its time: by its work the widest of these jobs would end late.
        if (scheduler.settings.order == Order::LeastWork && job.group == Rank::OnTime)
            key.rank = job.leftWhenQueued;
        break;
    }
    return key;
}

void enqueue(SchedulerState &scheduler, Job &job)
{
    if (job.over || job.waiting == 0 || job.waitsFor != 0)
        return;
    if (scheduler.settings.order == Order::LeastWork)
        job.leftWhenQueued = workLeft(job);
    job.queuedPriority = effectivePriority(scheduler, job);
    scheduler.queue.insert(keyOf(scheduler, job));
    scheduler.untried = true;
}

void dequeue(SchedulerState &scheduler, const Job &job)
{
    scheduler.queue.erase(keyOf(scheduler, job));
}

// [SECTION] Ranks

namespace {

// Begun later, what is left of the job is worth nothing. Late jobs that were let begin are worth
// finishing for as long as they might have begun.
Time worthUntil(const SchedulerState &scheduler, const Job &job)
{
    const bool beganLate = scheduler.settings.serveLate && job.firstPlacedAt > job.onTimeUntil;
    return beganLate ? std::max(job.worthUntil, job.lateUntil) : job.worthUntil;
}

Rank groupOf(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (job.runs > 0)
        return now > worthUntil(scheduler, job) ? Rank::Hopeless : Rank::Begun;
    return job.onTimeUntil < now ? Rank::Late : Rank::OnTime;
}

} // namespace

// The keys to be looked at, after each job has found its group and priority.
std::vector<QueueKey> sortOut(SchedulerState &scheduler, Time now)
{
    const std::vector<QueueKey> before(scheduler.queue.begin(), scheduler.queue.end());
    for (const QueueKey &key : before) {
        Job &job = scheduler.jobs.at(key.number);
        const Rank group = groupOf(scheduler, job, now);
        if (group == job.group && effectivePriority(scheduler, job) == job.queuedPriority)
            continue;
        dequeue(scheduler, job);
        job.group = group;
        enqueue(scheduler, job);
    }
    return { scheduler.queue.begin(), scheduler.queue.end() };
}

} // namespace foxwing::scheduler
