/*
    Whether the endpoint is to be trusted: runs that fail, stand still or are behind speak against
    it, runs that end on pace for it.

    [SECTION] Judgement
*/
#include "internal.h"

#include <algorithm>

namespace foxwing::runner {

// [SECTION] Judgement

bool onTrial(const RunnerState &runner)
{
    return runner.settings.judgeEndpoint && runner.life.bad >= runner.settings.trialAbove;
}

void noteGood(RunnerState &runner, const Run &run, Milliseconds took)
{
    // One odd run moves the pace by a twentieth at the most five-fold.
    constexpr double Weight = 0.05;
    constexpr double Least = 0.2;
    constexpr double Most = 5.0;
    if (!run.lagged)
        runner.life.bad *= runner.settings.goodFactor;
    if (run.estimate.count() <= 0)
        return;
    const double ratio = static_cast<double>(took.count())
            / static_cast<double>(run.estimate.count());
    runner.life.pace += Weight * (std::clamp(ratio, Least, Most) - runner.life.pace);
}

void noteBad(RunnerState &runner, Time now)
{
    runner.life.bad = std::min(1.0, runner.life.bad + runner.settings.badStep);
    runner.life.badAt = now;
}

void noteProgress(RunnerState &runner, Run &run, std::uint32_t percent, Time now)
{
    if (percent != run.percent) {
        run.percent = percent;
        run.progressAt = now;
    }
    run.behind = false;
    run.still = false;
    const Microseconds ran = now - run.startedAt;
    if (run.state != RunState::Running || ran < runner.settings.judgeAfter)
        return;
    run.still = now - run.progressAt > runner.settings.stillAfter + run.estimate / 10;
    const Microseconds whole = percent > 0 ? ran * 100 / percent : Microseconds(0);
    const Microseconds most = run.estimate * runner.settings.behindPercent / 100
            + runner.settings.judgeAfter;
    run.behind = run.still || whole > most;
    run.left = run.still ? Milliseconds(0) : std::chrono::duration_cast<Milliseconds>(whole - ran);
}

namespace {

// Whether most runs are behind, of more than one job: estimates are wrong for one job at a time.
bool endpointIsSlow(const RunnerState &runner, Time now)
{
    std::size_t judged = 0;
    std::size_t behind = 0;
    std::set<std::string> jobs;
    for (const auto &[id, run] : runner.runs) {
        if (run.state != RunState::Running || now < run.startedAt + runner.settings.judgeAfter)
            continue;
        ++judged;
        behind += run.behind ? 1 : 0;
        if (run.behind)
            jobs.insert(id.task.job);
    }
    return jobs.size() > 1 && behind * 2 >= judged;
}

void tellLag(RunnerState &runner, const jobs::RunId &id, Run &run, bool slow, Time now,
             RunnerActions &actions)
{
    if (run.lagged && now < run.lagToldAt + runner.settings.lagRepeat)
        return;
    if (!run.lagged && (run.still || slow))
        noteBad(runner, now);
    run.lagged = true;
    run.lagToldAt = now;
    const auto session = runner.sessions.find(run.session);
    if (session == runner.sessions.end())
        return;
    session->second.stragglers.push_back({ id, run.left, run.still, slow });
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

void judgeRuns(RunnerState &runner, Time now, RunnerActions &actions)
{
    const bool slow = endpointIsSlow(runner, now);
    for (auto &[id, run] : runner.runs) {
        if (run.behind)
            tellLag(runner, id, run, slow, now, actions);
    }
}

} // namespace foxwing::runner
