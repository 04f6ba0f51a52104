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
    std::deque<CrashedTask> &crashed = runner.crashed;
    while (!crashed.empty() && now >= crashed.front().at + runner.settings.crashesRememberedFor)
        crashed.pop_front();
    while (crashed.size() > runner.settings.mostCrashedTasks)
        crashed.pop_front();
}

} // namespace

void noteCrash(RunnerState &runner, const jobs::TaskId &task, Time now)
{
    CrashedTask noted;
    noted.task = task;
    const auto known = std::find_if(runner.crashed.begin(), runner.crashed.end(),
                                    [&](const CrashedTask &other) { return other.task == task; });
    if (known != runner.crashed.end()) {
        noted = *known;
        runner.crashed.erase(known);
    }
    ++noted.crashes;
    noted.at = now;
    noted.number = ++runner.lastCrash;
    runner.crashed.push_back(noted);
    forgetOldCrashes(runner, now);
}

std::vector<jobs::CrashReport> crashesAfter(const RunnerState &runner, std::uint64_t number,
                                            Time now)
{
    std::vector<jobs::CrashReport> reports;
    for (const CrashedTask &crashed : runner.crashed) {
        const bool old = now >= crashed.at + runner.settings.crashesRememberedFor;
        if (crashed.number > number && !old)
            reports.push_back({ crashed.task, crashed.crashes });
    }
    return reports;
}

} // namespace foxwing::runner
