/*
    Decides when callers are probed before their jobs are placed.

    [SECTION] Functions
*/
#include <foxwing/scheduler/callerprobe.h>

#include <algorithm>

namespace foxwing::scheduler {

// [SECTION] Functions

namespace {

bool mayBePlaced(const Job &job)
{
    if (job.closed || job.predecessor != 0)
        return false;
    return job.waiting > 0 || std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task &task) {
               return task.state == TaskState::Uncertain;
           });
}

} // namespace

void recordSessionLost(CallerProbeState &probes, Time now)
{
    probes.until = now + probes.settings.probeWindow;
    // Losses in quick succession make one probe due, not one each.
    if (now < probes.lastLossAt + probes.settings.probeInterval)
        return;
    probes.lastLossAt = now;
    probes.lastProbeAt = {};
}

std::vector<std::uint64_t> callersToProbe(CallerProbeState &probes, const SchedulerState &scheduler,
                                          Time now)
{
    std::vector<std::uint64_t> numbers;
    if (now >= probes.until || now < probes.lastProbeAt + probes.settings.probeInterval)
        return numbers;
    probes.lastProbeAt = now;
    for (const auto &[number, job] : scheduler.jobs) {
        if (mayBePlaced(job))
            numbers.push_back(number);
    }
    return numbers;
}

} // namespace foxwing::scheduler
