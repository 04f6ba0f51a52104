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
    if (job.over || job.waitsFor != 0)
        return false;
    return job.waiting > 0 || std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task &task) {
               return task.state == TaskState::Uncertain;
           });
}

} // namespace

void recordSessionLost(CallerProbeState &watch, Time now)
{
    watch.until = now + watch.settings.probeWindow;
    // Losses in quick succession make one probe due, not one each.
    if (now < watch.lossAt + watch.settings.trustFor)
        return;
    watch.lossAt = now;
    watch.lookedAt = {};
}

std::vector<std::uint64_t> callersToProbe(CallerProbeState &watch, const SchedulerState &scheduler,
                                          Time now)
{
    std::vector<std::uint64_t> numbers;
    if (now >= watch.until || now < watch.lookedAt + watch.settings.trustFor)
        return numbers;
    watch.lookedAt = now;
    for (const auto &[number, job] : scheduler.jobs) {
        if (mayBePlaced(job))
            numbers.push_back(number);
    }
    return numbers;
}

} // namespace foxwing::scheduler
