/*
    Tasks that ran when the endpoint crashed. Reported to all entries, since the caller may send the
    job to another entry next.

    [SECTION] Crashes
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::runner {

// [SECTION] Crashes

namespace {

void forgetOldCrashes(RunnerState &runner, Time now)
{
    std::deque<CrashedTask> &crashed = runner.crashedTasks;
    while (!crashed.empty() && now >= crashed.front().crashedAt + runner.settings.crashRetention)
        crashed.pop_front();
    while (crashed.size() > runner.settings.maxCrashedTasks)
        crashed.pop_front();
}

} // namespace

void recordCrash(RunnerState &runner, const jobs::TaskId &task, Time now)
{
    CrashedTask crash;
    crash.task = task;
    const auto known = std::find_if(runner.crashedTasks.begin(), runner.crashedTasks.end(),
                                    [&](const CrashedTask &other) { return other.task == task; });
    if (known != runner.crashedTasks.end()) {
        crash = *known;
        runner.crashedTasks.erase(known);
    }
    ++crash.crashes;
    crash.crashedAt = now;
    crash.number = ++runner.lastCrash;
    runner.crashedTasks.push_back(crash);
    forgetOldCrashes(runner, now);
}

std::vector<jobs::CrashReport> crashesAfter(const RunnerState &runner, std::uint64_t number,
                                            Time now)
{
    std::vector<jobs::CrashReport> reports;
    for (const CrashedTask &crashed : runner.crashedTasks) {
        const bool old = now >= crashed.crashedAt + runner.settings.crashRetention;
        if (crashed.number > number && !old)
            reports.push_back({ crashed.task, crashed.crashes });
    }
    return reports;
}

} // namespace foxwing::runner
