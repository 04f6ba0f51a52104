/*
    Health of the endpoint: runs that fail, stall or straggle raise its fault score, runs that end
    on time lower it.

    [SECTION] Health
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

// [SECTION] Health

bool isOnProbation(const RunnerState &runner)
{
    return runner.settings.probationEnabled
            && runner.incarnationState.faultScore >= runner.settings.probationThreshold;
}

void recordSuccess(RunnerState &runner, const Run &run, Milliseconds duration)
{
    // Moving average; the ratio is clamped, so that one outlier changes it only a little.
    constexpr double Weight = 0.05;
    constexpr double MinRatio = 0.2;
    constexpr double MaxRatio = 5.0;
    if (!run.wasStraggling)
        runner.incarnationState.faultScore *= runner.settings.faultDecay;
    if (run.estimate.count() <= 0)
        return;
    const double ratio = static_cast<double>(duration.count())
            / static_cast<double>(run.estimate.count());
    runner.incarnationState.slowdown += Weight
            * (std::clamp(ratio, MinRatio, MaxRatio) - runner.incarnationState.slowdown);
}

void recordFault(RunnerState &runner, Time now)
{
    runner.incarnationState.faultScore = std::min(1.0,
                                                  runner.incarnationState.faultScore
                                                          + runner.settings.faultStep);
    runner.incarnationState.lastFaultAt = now;
}

void recordProgress(RunnerState &runner, Run &run, std::uint32_t percent, Time now)
{
    if (percent != run.percent) {
        run.percent = percent;
        run.progressAt = now;
    }
    run.straggling = false;
    run.stalled = false;
    const Microseconds ran = now - run.startedAt;
    if (run.state != RunState::Running || ran < runner.settings.stragglerCheckDelay)
        return;
    run.stalled = now - run.progressAt > runner.settings.stallTimeout + run.estimate / 10;
    const Microseconds projected = percent > 0 ? ran * 100 / percent : Microseconds(0);
    const Microseconds limit = run.estimate * runner.settings.stragglerPercent / 100
            + runner.settings.stragglerCheckDelay;
    run.straggling = run.stalled || projected > limit;
    run.remaining = run.stalled ? Milliseconds(0)
                                : std::chrono::duration_cast<Milliseconds>(projected - ran);
}

namespace {

// Whether at least half of the runs are stragglers, and of more than one job: a wrong estimate
// affects one job only.
bool isEndpointSlow(const RunnerState &runner, Time now)
{
    std::size_t checked = 0;
    std::size_t stragglerCount = 0;
    std::set<std::string> jobs;
    for (const auto &[id, run] : runner.runs) {
        if (run.state != RunState::Running
            || now < run.startedAt + runner.settings.stragglerCheckDelay)
            continue;
        ++checked;
        stragglerCount += run.straggling ? 1 : 0;
        if (run.straggling)
            jobs.insert(id.task.job);
    }
    return jobs.size() > 1 && stragglerCount * 2 >= checked;
}

void reportStraggler(RunnerState &runner, const jobs::RunId &id, Run &run, bool slow, Time now,
                     RunnerActions &actions)
{
    if (run.wasStraggling
        && now < run.stragglerReportedAt + runner.settings.stragglerReportInterval)
        return;
    if (!run.wasStraggling && (run.stalled || slow))
        recordFault(runner, now);
    run.wasStraggling = true;
    run.stragglerReportedAt = now;
    const auto session = runner.sessions.find(run.session);
    if (session == runner.sessions.end())
        return;
    session->second.stragglers.push_back({ id, run.remaining, run.stalled, slow });
    session->second.dirty = true;
    actions.events.push_back(eventlog::Event("run-behind")
                                     .with("request", id.task.job)
                                     .with("step", id.task.step)
                                     .with("index", id.task.index)
                                     .with("run", id.run)
                                     .with("percent", run.percent)
                                     .with("ran_ms", now - run.startedAt)
                                     .with("estimate_ms", run.estimate)
                                     .with("progress_age_ms", now - run.progressAt)
                                     .with("endpoint_slow", slow ? 1 : 0));
}

} // namespace

void reportStragglers(RunnerState &runner, Time now, RunnerActions &actions)
{
    const bool slow = isEndpointSlow(runner, now);
    for (auto &[id, run] : runner.runs) {
        if (run.straggling)
            reportStraggler(runner, id, run, slow, now, actions);
    }
}

} // namespace foxwing::runner
