/*
    Priorities of queues that are below their guaranteed share, until they are above it again.

    A guaranteed share never delays the most urgent queue, and only queues above their own share
    yield: if all are below, their priorities decide. A queue that yields goes behind the raised one
    here, and its starts do not wait at agents: the starts of many entries would otherwise take all
    freed capacity there, and the raised queue would get none.

    [SECTION] Work
    [SECTION] Queue status
*/
#include <algorithm>
#include <limits>

#include "internal.h"

namespace foxwing::scheduler {

using eventlog::change;

// [SECTION] Work

namespace {

// By the caller's estimate, so that the same amount is counted as requested and as refused.
std::int64_t workOf(const jobs::JobSpec &spec)
{
    // Declared capacities are not validated, and sums of them must not overflow.
    constexpr double MaxWork = 1e15;
    double work = 0;
    for (const jobs::StepSpec &step : spec.steps)
        work += static_cast<double>(step.tasks) * static_cast<double>(step.demand.milliCores)
                * static_cast<double>(step.estimate.count());
    return static_cast<std::int64_t>(std::clamp(work, 0.0, MaxWork));
}

} // namespace

void recordRequestedJob(SchedulerState &scheduler, const Job &job, Time now)
{
    const JobOptions &options = job.options;
    const auto [found, isNew] = scheduler.queueStatuses.try_emplace(options.queue);
    QueueStatus &status = found->second;
    if (isNew || status.priority != options.priority)
        status.effective = options.priority;
    status.service = options.service;
    status.priority = options.priority;
    shares::recordRequested(scheduler.shares, options.queue, workOf(job.spec), now);
}

void recordRefusedJob(SchedulerState &scheduler, const Job &job, Time now)
{
    shares::recordRefused(scheduler.shares, job.options.queue, workOf(job.spec), now);
}

// [SECTION] Queue status

namespace {

// Whether the queue may yield: it is of the same service, and neither the most urgent nor below its
// own guaranteed share.
bool canYield(const QueueStatus &status, const std::string &service, std::uint32_t mostUrgent)
{
    return status.service == service && status.priority > mostUrgent && !status.belowGuarantee;
}

std::uint32_t mostUrgentPriority(const SchedulerState &scheduler, const std::string &service)
{
    std::uint32_t mostUrgent = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[name, status] : scheduler.queueStatuses) {
        if (status.service == service)
            mostUrgent = std::min(mostUrgent, status.priority);
    }
    return mostUrgent;
}

// Raises the queue to just before the least urgent of the more urgent queues that may yield, and
// marks all of these as yielding. If there are none, the queue keeps its priority.
void raisePriority(SchedulerState &scheduler, QueueStatus &raised)
{
    const std::uint32_t mostUrgent = mostUrgentPriority(scheduler, raised.service);
    std::uint32_t raisedTo = mostUrgent;
    for (auto &[name, status] : scheduler.queueStatuses) {
        if (status.priority >= raised.priority || !canYield(status, raised.service, mostUrgent))
            continue;
        status.yields = true;
        raisedTo = std::max(raisedTo, status.priority);
    }
    if (raisedTo > mostUrgent)
        raised.effective = raisedTo;
}

void logChange(const SchedulerState &scheduler, const std::string &queue, const QueueStatus &status,
               Time now, SchedulerActions &actions)
{
    actions.events.push_back(
            change(status.belowGuarantee ? "queue-below-floor" : "queue-above-floor")
                    .with("queue", queue)
                    .with("served_percent", shares::servedPercent(scheduler.shares, queue, now))
                    .with("floor_percent", scheduler.shares.settings.guaranteedPercent));
}

} // namespace

void updateQueueStatuses(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    for (auto &[queue, status] : scheduler.queueStatuses) {
        const bool below = shares::isBelowGuarantee(scheduler.shares, queue, now);
        if (below == status.belowGuarantee)
            continue;
        status.belowGuarantee = below;
        logChange(scheduler, queue, status, now, actions);
    }
    for (auto &[queue, status] : scheduler.queueStatuses) {
        status.effective = status.priority;
        status.yields = false;
    }
    for (auto &[queue, status] : scheduler.queueStatuses) {
        if (status.belowGuarantee)
            raisePriority(scheduler, status);
    }
}

bool yields(const SchedulerState &scheduler, const Job &job)
{
    const auto found = scheduler.queueStatuses.find(job.options.queue);
    return found != scheduler.queueStatuses.end() && found->second.yields;
}

std::uint32_t effectivePriority(const SchedulerState &scheduler, const Job &job)
{
    // A job that waited while its queue was redeclared keeps the priority that it came with.
    const auto found = scheduler.queueStatuses.find(job.options.queue);
    const bool known = found != scheduler.queueStatuses.end()
            && found->second.priority == job.options.priority;
    return known ? found->second.effective : job.options.priority;
}

} // namespace foxwing::scheduler
