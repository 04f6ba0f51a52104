/*
    Ends of runs and of jobs.

    [SECTION] Jobs
    [SECTION] Tasks
    [SECTION] Freed capacity
    [SECTION] Reports
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

using eventlog::Event;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Jobs

Milliseconds criticalPath(const jobs::JobSpec &spec, const std::vector<Milliseconds> &durations)
{
    std::vector<Milliseconds> pathLength(spec.steps.size(), Milliseconds(0));
    Milliseconds longest { 0 };
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        for (const std::uint32_t earlier : spec.steps[step].after)
            pathLength[step] = std::max(pathLength[step], pathLength[earlier]);
        pathLength[step] += durations[step];
        longest = std::max(longest, pathLength[step]);
    }
    return longest;
}

namespace {

void countAnswer(SchedulerCounters &counters, JobOutcome outcome)
{
    switch (outcome) {
    case JobOutcome::Completed:
        ++counters.completed;
        break;
    case JobOutcome::Failed:
        ++counters.failed;
        break;
    case JobOutcome::NotRun:
        ++counters.refused;
        break;
    case JobOutcome::TimedOut:
        ++counters.timedOut;
        break;
    }
}

// Logged once for each job: what it was, how long each part took, and how it ended.
Event answerEvent(const Job &job, JobOutcome outcome, const std::string &reason, Time now)
{
    std::uint32_t failures = 0;
    for (const Task &task : job.tasks)
        failures += task.failures;
    Event event("job-answered");
    event.with("request", job.spec.id)
            .with("queue", job.options.queue)
            .with("outcome", toString(outcome))
            .with("tasks", static_cast<std::uint64_t>(job.tasks.size()))
            .with("done", job.done)
            .with("runs", job.runs)
            .with("failures", failures)
            .with("took_ms", now - job.arrivedAt)
            .with("objective_ms", job.objectiveAt - job.arrivedAt)
            .with("guessed_ms", job.estimated)
            .with("expected_ms", job.expected);
    if (job.options.callerDeadline)
        event.with("patience_ms", *job.options.callerDeadline - job.arrivedAt);
    if (job.firstPlacedAt != Time {})
        event.with("waited_ms", job.firstPlacedAt - job.arrivedAt);
    if (job.allPlacedAt != Time {})
        event.with("all_placed_ms", job.allPlacedAt - job.arrivedAt);
    if (!reason.empty())
        event.with("reason", reason);
    return event;
}

void addForecastFields(const SchedulerState &scheduler, const Job &job, Time now, Event &event)
{
    event.with("picture_age_ms", serviceLoadOf(scheduler, job.options.service, now).age);
    if (const auto wait = waitIfOnTime(scheduler, job, now))
        event.with("expected_wait_ms", *wait);
}

// What a refusal was based on: the free capacity that this entry knew of.
void addCapacityFields(const SchedulerState &scheduler, const Job &job, Time now, Event &event)
{
    std::uint64_t endpoints = 0;
    std::int64_t free = 0;
    std::int64_t maxFree = 0;
    Time oldest = now;
    for (const auto &[name, agent] : scheduler.agents) {
        if (!agent.accepted || agent.endpoint.leaving || agent.endpoint.maxStarts == 0
            || agent.endpoint.service != job.options.service || isCordoned(scheduler, agent))
            continue;
        const jobs::ResourceVector available = freeAt(agent);
        ++endpoints;
        free += available.milliCores;
        maxFree = std::max(maxFree, available.milliCores);
        oldest = std::min(oldest, agent.lastReceivedAt);
    }
    event.with("endpoints", endpoints)
            .with("free_millicores", free)
            .with("most_free_millicores", maxFree)
            .with("room_age_ms", now - oldest)
            .with("jobs_waiting", std::uint64_t { scheduler.queue.size() });
    if (!job.spec.steps.empty())
        event.with("needs_millicores", job.spec.steps.front().demand.milliCores);
    if (usesForecast(scheduler))
        addForecastFields(scheduler, job, now, event);
}

// Time for the waiting jobs to be placed, at least 100 ms.
Milliseconds retryAfter(SchedulerState &scheduler, const Job &job, Time now)
{
    if (usesForecast(scheduler))
        return estimateRetryAfter(scheduler, job, now);
    constexpr Milliseconds MinDelay { 100 };
    constexpr Milliseconds MaxDelay { 2000 };
    constexpr Milliseconds PerWaitingJob { 10 };
    return std::min(MaxDelay, MinDelay + PerWaitingJob * static_cast<int>(scheduler.queue.size()));
}

} // namespace

void answerJob(SchedulerState &scheduler, Job &job, JobOutcome outcome, const std::string &reason,
               Time now, SchedulerActions &actions)
{
    if (job.closed)
        return;
    dequeue(scheduler, job);
    job.closed = true;
    countAnswer(scheduler.counters, outcome);
    if (outcome == JobOutcome::Completed && job.firstPlacedAt > job.onTimeUntil)
        ++scheduler.counters.servedLate;
    JobAnswer answer;
    answer.number = job.number;
    answer.outcome = outcome;
    answer.reason = reason;
    if (outcome == JobOutcome::NotRun)
        answer.retryAfter = retryAfter(scheduler, job, now);
    actions.answers.push_back(answer);
    Event event = answerEvent(job, outcome, reason, now);
    if (outcome == JobOutcome::NotRun)
        addCapacityFields(scheduler, job, now, event);
    actions.events.push_back(event);
    for (Task &task : job.tasks)
        stopTask(scheduler, job, task, actions);
    removeIfFinished(scheduler, job.number);
}

void removeIfFinished(SchedulerState &scheduler, std::uint64_t number)
{
    const auto found = scheduler.jobs.find(number);
    if (found == scheduler.jobs.end() || !found->second.closed || found->second.outstanding > 0)
        return;
    const std::string id = found->second.spec.id;
    const auto newest = scheduler.byId.find(id);
    const bool isNewest = newest != scheduler.byId.end() && newest->second == number;
    // A job that never began may be removed before the one that it waited for. The next job with
    // the id then waits for that one, or two jobs of the id would run at once.
    const std::uint64_t older = found->second.predecessor;
    scheduler.openTasks -= found->second.tasks.size();
    scheduler.jobs.erase(found);
    if (isNewest && older != 0)
        newest->second = older;
    else if (isNewest)
        scheduler.byId.erase(newest);
    for (auto &[other, job] : scheduler.jobs) {
        if (job.predecessor != number)
            continue;
        job.predecessor = older;
        enqueue(scheduler, job);
    }
}

// [SECTION] Tasks

Task *findTask(SchedulerState &scheduler, const jobs::RunId &id, Job **job)
{
    // Several jobs can have the id only while the runs of the oldest end; the run then belongs to
    // the oldest, since the others have not begun.
    const auto newest = scheduler.byId.find(id.task.job);
    if (newest == scheduler.byId.end())
        return nullptr;
    auto found = scheduler.jobs.find(newest->second);
    while (found != scheduler.jobs.end() && found->second.predecessor != 0)
        found = scheduler.jobs.find(found->second.predecessor);
    if (found == scheduler.jobs.end())
        return nullptr;
    for (Task &task : found->second.tasks) {
        if (task.step != id.task.step || task.index != id.task.index || task.run != id.run)
            continue;
        *job = &found->second;
        return &task;
    }
    return nullptr;
}

void stopTask(SchedulerState &scheduler, const Job &job, Task &task, SchedulerActions &actions)
{
    if (task.state != TaskState::Placed || task.stopRequested)
        return;
    task.stopRequested = true;
    const jobs::RunId id { { job.spec.id, 0, task.step, task.index }, task.run };
    for (AgentSend &send : actions.sends) {
        auto *stops = std::get_if<jobs::StopRuns>(&send.message);
        if (stops && send.agent == task.agent) {
            stops->runs.push_back(id);
            return;
        }
    }
    const auto agent = scheduler.agents.find(task.agent);
    if (agent != scheduler.agents.end())
        actions.sends.push_back({ task.agent, jobs::StopRuns { { id } } });
}

void requeueTask(SchedulerState &scheduler, Job &job, Task &task)
{
    dequeue(scheduler, job);
    task.state = TaskState::Waiting;
    task.agent.clear();
    --job.outstanding;
    ++job.waiting;
    enqueue(scheduler, job);
}

// [SECTION] Freed capacity

void recordFreed(SchedulerState &scheduler, const Job &job, const jobs::ResourceVector &demand,
                 RunOutcome outcome, Time now)
{
    FreedCapacity &freed = scheduler.freed[job.options.service];
    const auto milliCores = static_cast<double>(demand.milliCores);
    addTo(freed.recent, scheduler.settings.freedWindow, milliCores, now);
    if (outcome == RunOutcome::Done || outcome == RunOutcome::Stopped)
        addTo(freed.own[job.options.priority], scheduler.settings.shareWindow, milliCores, now);
}

void scaleFreed(SchedulerState &scheduler, const std::string &service, double part)
{
    const auto freed = scheduler.freed.find(service);
    if (freed != scheduler.freed.end())
        freed->second.recent.amount *= part;
}

double freedPerMillisecond(const SchedulerState &scheduler, const FreedCapacity &freed, Time now)
{
    return perSecond(freed.recent, scheduler.settings.freedWindow, now) / 1000;
}

// [SECTION] Reports

namespace {

void taskDone(SchedulerState &scheduler, Job &job, Task &task, Milliseconds duration, Time now,
              SchedulerActions &actions)
{
    job.longestRun[task.step] = std::max(job.longestRun[task.step], duration);
    task.state = TaskState::Done;
    --job.outstanding;
    --job.tasksLeft[task.step];
    ++job.done;
    // A step that depends on this one may start.
    if (job.tasksLeft[task.step] == 0 && job.waiting > 0)
        scheduler.placementPending = true;
    if (job.done < job.tasks.size())
        return;
    recordRunTime(scheduler.runTimeModels[job.options.queue], job.estimated,
                  criticalPath(job.spec, job.longestRun));
    answerJob(scheduler, job, JobOutcome::Completed, "", now, actions);
}

Event taskEvent(const char *name, const Job &job, const Task &task)
{
    return Event(name)
            .with("request", job.spec.id)
            .with("step", task.step)
            .with("index", task.index)
            .with("run", task.run)
            .with("agent", task.agent);
}

void taskFailed(SchedulerState &scheduler, Job &job, Task &task, Time now,
                SchedulerActions &actions)
{
    ++task.failures;
    task.avoidedAgents.push_back(task.agent);
    const std::string agent = task.agent;
    requeueTask(scheduler, job, task);
    if (task.failures >= job.options.maxAttempts)
        answerJob(scheduler, job, JobOutcome::Failed,
                  "task " + std::to_string(task.step) + "." + std::to_string(task.index)
                          + " failed " + std::to_string(task.failures) + " times, last at " + agent,
                  now, actions);
}

// The endpoint crashed with all its runs: this task may be the cause, or one that ran beside it. It
// is retried at the endpoint with the least load, so that the next crash tells the two apart and
// affects few others.
void taskCrashed(SchedulerState &scheduler, Job &job, Task &task, Time now,
                 SchedulerActions &actions)
{
    ++task.crashes;
    ++scheduler.counters.runsCrashed;
    task.avoidedAgents.push_back(task.agent);
    const std::string agent = task.agent;
    actions.events.push_back(
            taskEvent("endpoint-crashed-under", job, task).with("crashes", task.crashes));
    requeueTask(scheduler, job, task);
    giveUpIfCrashing(scheduler, job, task, agent, now, actions);
}

// Capacity freed in a cordoned data centre is of no use to waiting jobs.
void recordFreedUnlessCordoned(SchedulerState &scheduler, const std::string &agent, const Job &job,
                               const Task &task, RunOutcome outcome, Time now)
{
    const auto found = scheduler.agents.find(agent);
    if (found != scheduler.agents.end() && !isCordoned(scheduler, found->second))
        recordFreed(scheduler, job, job.spec.steps[task.step].demand, outcome, now);
}

} // namespace

void handleRunReport(SchedulerState &scheduler, const std::string &agent,
                     const jobs::RunReport &report, Time now, SchedulerActions &actions)
{
    Job *job = nullptr;
    Task *task = findTask(scheduler, report.id, &job);
    if (!task || task->state != TaskState::Placed || task->agent != agent)
        return;
    const std::uint64_t number = job->number;
    if (report.end == RunOutcome::NeverStarted)
        ++scheduler.counters.startsRefused;
    else
        job->mayHaveBegun = true;
    if (report.end != RunOutcome::NeverStarted)
        recordFreedUnlessCordoned(scheduler, agent, *job, *task, report.end, now);
    if (report.end == RunOutcome::Done && !job->closed) {
        taskDone(scheduler, *job, *task, report.duration, now, actions);
    } else if (report.end == RunOutcome::Failed && !job->closed) {
        actions.events.push_back(
                taskEvent("task-failed", *job, *task).with("ran_ms", report.duration));
        taskFailed(scheduler, *job, *task, now, actions);
    } else if (report.end == RunOutcome::Crashed && !job->closed) {
        taskCrashed(scheduler, *job, *task, now, actions);
    } else {
        const bool unexpected = !job->closed && report.refused != StartRefusal::NoCapacity;
        if (unexpected)
            actions.events.push_back(taskEvent("task-again", *job, *task)
                                             .with("end", jobs::toString(report.end))
                                             .with("refused", jobs::toString(report.refused))
                                             .with("since_placed_ms", now - task->placedAt));
        if (unexpected && report.end != RunOutcome::Stopped)
            task->avoidedAgents.push_back(agent);
        requeueTask(scheduler, *job, *task);
    }
    removeIfFinished(scheduler, number);
}

void handleStragglerReport(SchedulerState &scheduler, const std::string &agent,
                           const jobs::StragglerReport &report, Time now, SchedulerActions &actions)
{
    Job *job = nullptr;
    Task *task = findTask(scheduler, report.id, &job);
    if (!task || task->state != TaskState::Placed || task->agent != agent || job->closed
        || task->stopRequested)
        return;
    const jobs::StepSpec &step = job->spec.steps[task->step];
    const Milliseconds newRun = task->expected;
    const bool worthMoving = report.stalled
            || (report.endpointSlow
                && newRun < report.remaining * static_cast<int>(scheduler.settings.moveBelowPercent)
                                / 100);
    const bool otherFits = std::any_of(scheduler.agents.begin(), scheduler.agents.end(),
                                       [&](const auto &other) {
                                           return other.first != agent && other.second.accepted
                                                   && isSuitable(other.second, *job, step)
                                                   && jobs::fits(step.demand, freeAt(other.second));
                                       });
    if (!scheduler.settings.moveRuns || !worthMoving || (!otherFits && !report.stalled))
        return;
    actions.events.push_back(taskEvent("task-moved", *job, *task)
                                     .with("left_ms", report.remaining)
                                     .with("fresh_ms", newRun)
                                     .with("stands_still", report.stalled ? 1 : 0)
                                     .with("since_placed_ms", now - task->placedAt));
    ++scheduler.counters.runsMoved;
    // The estimate may be wrong: the next run is measured against what this one showed.
    if (!report.stalled)
        task->expected = std::max(task->expected,
                                  std::chrono::duration_cast<Milliseconds>(now - task->placedAt)
                                          + report.remaining);
    task->avoidedAgents.push_back(agent);
    stopTask(scheduler, *job, *task, actions);
}

} // namespace foxwing::scheduler
