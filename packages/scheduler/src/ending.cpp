/*
    Ends of runs and of jobs.

    [SECTION] Jobs
    [SECTION] Tasks
    [SECTION] Freed room
    [SECTION] Reports
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

using eventlog::Event;
using jobs::RunOutcome;
using jobs::StartRefusal;

// [SECTION] Jobs

Milliseconds longestChain(const jobs::JobSpec &spec, const std::vector<Milliseconds> &spans)
{
    std::vector<Milliseconds> until(spec.steps.size(), Milliseconds(0));
    Milliseconds longest { 0 };
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        for (const std::uint32_t earlier : spec.steps[step].after)
            until[step] = std::max(until[step], until[earlier]);
        until[step] += spans[step];
        longest = std::max(longest, until[step]);
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

// One line a job: what it was, how long each part took, and how it ended.
Event answerEvent(const Job &job, JobOutcome outcome, const std::string &reason, Time now)
{
    std::uint32_t failures = 0;
    for (const Task &task : job.tasks)
        failures += task.failures;
    Event event("job-answered");
    event.with("request", job.spec.id)
            .with("queue", job.terms.queue)
            .with("outcome", toString(outcome))
            .with("tasks", static_cast<std::uint64_t>(job.tasks.size()))
            .with("done", job.done)
            .with("runs", job.runs)
            .with("failures", failures)
            .with("took_ms", now - job.arrivedAt)
            .with("objective_ms", job.objectiveAt - job.arrivedAt)
            .with("guessed_ms", job.guessed)
            .with("expected_ms", job.expected);
    if (job.terms.patienceUntil)
        event.with("patience_ms", *job.terms.patienceUntil - job.arrivedAt);
    if (job.firstPlacedAt != Time {})
        event.with("waited_ms", job.firstPlacedAt - job.arrivedAt);
    if (job.allPlacedAt != Time {})
        event.with("all_placed_ms", job.allPlacedAt - job.arrivedAt);
    if (!reason.empty())
        event.with("reason", reason);
    return event;
}

void addForecast(const SchedulerState &scheduler, const Job &job, Time now, Event &event)
{
    event.with("picture_age_ms", pictureOf(scheduler, job.terms.service, now).age);
    if (const auto wait = waitOnTime(scheduler, job, now))
        event.with("expected_wait_ms", *wait);
}

// What a refusal was decided on: how much room this entry knew of.
void addRoom(const SchedulerState &scheduler, const Job &job, Time now, Event &event)
{
    std::uint64_t endpoints = 0;
    std::int64_t free = 0;
    std::int64_t mostFree = 0;
    Time oldest = now;
    for (const auto &[name, agent] : scheduler.agents) {
        if (!agent.accepted || agent.endpoint.leaving || agent.endpoint.maxStarts == 0
            || agent.endpoint.service != job.terms.service || isCordoned(scheduler, agent))
            continue;
        const jobs::ResourceVector available = roomAt(agent);
        ++endpoints;
        free += available.milliCores;
        mostFree = std::max(mostFree, available.milliCores);
        oldest = std::min(oldest, agent.heardAt);
    }
    event.with("endpoints", endpoints)
            .with("free_millicores", free)
            .with("most_free_millicores", mostFree)
            .with("room_age_ms", now - oldest)
            .with("jobs_waiting", std::uint64_t { scheduler.queue.size() });
    if (!job.spec.steps.empty())
        event.with("needs_millicores", job.spec.steps.front().demand.milliCores);
    if (usesForecast(scheduler))
        addForecast(scheduler, job, now, event);
}

// Time for the room to take what waits now, at least a tenth of a second.
Milliseconds retryAfter(SchedulerState &scheduler, const Job &job, Time now)
{
    if (usesForecast(scheduler))
        return estimateRetryAfter(scheduler, job, now);
    constexpr Milliseconds Least { 100 };
    constexpr Milliseconds Most { 2000 };
    constexpr Milliseconds PerWaitingJob { 10 };
    return std::min(Most, Least + PerWaitingJob * static_cast<int>(scheduler.queue.size()));
}

} // namespace

void answerJob(SchedulerState &scheduler, Job &job, JobOutcome outcome, const std::string &reason,
               Time now, SchedulerActions &actions)
{
    if (job.over)
        return;
    dequeue(scheduler, job);
    job.over = true;
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
        addRoom(scheduler, job, now, event);
    actions.events.push_back(event);
    for (Task &task : job.tasks)
        stopTask(scheduler, job, task, actions);
    removeIfFinished(scheduler, job.number);
}

void removeIfFinished(SchedulerState &scheduler, std::uint64_t number)
{
    const auto found = scheduler.jobs.find(number);
    if (found == scheduler.jobs.end() || !found->second.over || found->second.outstanding > 0)
        return;
    const std::string id = found->second.spec.id;
    const auto newest = scheduler.byId.find(id);
    const bool isNewest = newest != scheduler.byId.end() && newest->second == number;
    // A job that never began may go before the one that it waited for: whoever comes next under the
    // id waits for that one, or two jobs of the id would run at once.
    const std::uint64_t older = found->second.waitsFor;
    scheduler.jobs.erase(found);
    if (isNewest && older != 0)
        newest->second = older;
    else if (isNewest)
        scheduler.byId.erase(newest);
    for (auto &[other, job] : scheduler.jobs) {
        if (job.waitsFor != number)
            continue;
        job.waitsFor = older;
        enqueue(scheduler, job);
    }
}

// [SECTION] Tasks

Task *findTask(SchedulerState &scheduler, const jobs::RunId &id, Job **job)
{
    // More than one job can have the id only while the older one's runs end; the run then belongs
    // to the older, since the newer has not begun.
    const auto newest = scheduler.byId.find(id.task.job);
    if (newest == scheduler.byId.end())
        return nullptr;
    auto found = scheduler.jobs.find(newest->second);
    while (found != scheduler.jobs.end() && found->second.waitsFor != 0)
        found = scheduler.jobs.find(found->second.waitsFor);
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
    if (task.state != TaskState::Placed || task.stopAsked)
        return;
    task.stopAsked = true;
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

void freeTask(SchedulerState &scheduler, Job &job, Task &task)
{
    dequeue(scheduler, job);
    task.state = TaskState::Waiting;
    task.agent.clear();
    --job.outstanding;
    ++job.waiting;
    enqueue(scheduler, job);
}

// [SECTION] Freed room

void noteFreed(SchedulerState &scheduler, const Job &job, const jobs::ResourceVector &demand,
               RunOutcome end, Time now)
{
    FreedRoom &freed = scheduler.freed[job.terms.service];
    const auto milliCores = static_cast<double>(demand.milliCores);
    addTo(freed.ofLate, scheduler.settings.freedSpan, milliCores, now);
    if (end == RunOutcome::Done || end == RunOutcome::Stopped)
        addTo(freed.own[job.terms.priority], scheduler.settings.shareSpan, milliCores, now);
}

void scaleFreed(SchedulerState &scheduler, const std::string &service, double part)
{
    const auto freed = scheduler.freed.find(service);
    if (freed != scheduler.freed.end())
        freed->second.ofLate.amount *= part;
}

double freedPerMillisecond(const SchedulerState &scheduler, const FreedRoom &freed, Time now)
{
    return perSecond(freed.ofLate, scheduler.settings.freedSpan, now) / 1000;
}

// [SECTION] Reports

namespace {

void taskDone(SchedulerState &scheduler, Job &job, Task &task, Milliseconds took, Time now,
              SchedulerActions &actions)
{
    job.longestRun[task.step] = std::max(job.longestRun[task.step], took);
    task.state = TaskState::Done;
    --job.outstanding;
    --job.tasksLeft[task.step];
    ++job.done;
    // A step that waited for this one may begin.
    if (job.tasksLeft[task.step] == 0 && job.waiting > 0)
        scheduler.untried = true;
    if (job.done < job.tasks.size())
        return;
    noteRunTime(scheduler.runTimes[job.terms.queue], job.guessed,
                longestChain(job.spec, job.longestRun));
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
    task.avoid.push_back(task.agent);
    const std::string agent = task.agent;
    freeTask(scheduler, job, task);
    if (task.failures >= job.terms.attempts)
        answerJob(scheduler, job, JobOutcome::Failed,
                  "task " + std::to_string(task.step) + "." + std::to_string(task.index)
                          + " failed " + std::to_string(task.failures) + " times, last at " + agent,
                  now, actions);
}

// The endpoint is gone with all that it ran: this task may be why, or one that ran beside it. It is
// tried again where least runs, so that the next crash tells the two apart and takes few along.
void taskCrashed(SchedulerState &scheduler, Job &job, Task &task, Time now,
                 SchedulerActions &actions)
{
    ++task.crashes;
    ++scheduler.counters.runsCrashed;
    task.avoid.push_back(task.agent);
    const std::string agent = task.agent;
    actions.events.push_back(
            taskEvent("endpoint-crashed-under", job, task).with("crashes", task.crashes));
    freeTask(scheduler, job, task);
    giveUpIfCrashing(scheduler, job, task, agent, now, actions);
}

// Room that came free in a cordoned data centre is no room for what waits.
void noteRoomOf(SchedulerState &scheduler, const std::string &agent, const Job &job,
                const Task &task, RunOutcome end, Time now)
{
    const auto from = scheduler.agents.find(agent);
    if (from != scheduler.agents.end() && !isCordoned(scheduler, from->second))
        noteFreed(scheduler, job, job.spec.steps[task.step].demand, end, now);
}

} // namespace

void runEnded(SchedulerState &scheduler, const std::string &agent, const jobs::RunReport &report,
              Time now, SchedulerActions &actions)
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
        noteRoomOf(scheduler, agent, *job, *task, report.end, now);
    if (report.end == RunOutcome::Done && !job->over) {
        taskDone(scheduler, *job, *task, report.duration, now, actions);
    } else if (report.end == RunOutcome::Failed && !job->over) {
        actions.events.push_back(
                taskEvent("task-failed", *job, *task).with("ran_ms", report.duration));
        taskFailed(scheduler, *job, *task, now, actions);
    } else if (report.end == RunOutcome::Crashed && !job->over) {
        taskCrashed(scheduler, *job, *task, now, actions);
    } else {
        const bool surprise = !job->over && report.refused != StartRefusal::NoCapacity;
        if (surprise)
            actions.events.push_back(taskEvent("task-again", *job, *task)
                                             .with("end", jobs::toString(report.end))
                                             .with("refused", jobs::toString(report.refused))
                                             .with("since_placed_ms", now - task->placedAt));
        if (surprise && report.end != RunOutcome::Stopped)
            task->avoid.push_back(agent);
        freeTask(scheduler, *job, *task);
    }
    removeIfFinished(scheduler, number);
}

void runLags(SchedulerState &scheduler, const std::string &agent,
             const jobs::StragglerReport &report, Time now, SchedulerActions &actions)
{
    Job *job = nullptr;
    Task *task = findTask(scheduler, report.id, &job);
    if (!task || task->state != TaskState::Placed || task->agent != agent || job->over
        || task->stopAsked)
        return;
    const jobs::StepSpec &step = job->spec.steps[task->step];
    const Milliseconds fresh = task->expected;
    const bool quicker = report.stalled
            || (report.endpointSlow
                && fresh < report.remaining * static_cast<int>(scheduler.settings.moveBelowPercent)
                                / 100);
    const bool hasRoom = std::any_of(scheduler.agents.begin(), scheduler.agents.end(),
                                     [&](const auto &other) {
                                         return other.first != agent && other.second.accepted
                                                 && suits(other.second, *job, step)
                                                 && jobs::fits(step.demand, roomAt(other.second));
                                     });
    if (!scheduler.settings.moveRuns || !quicker || (!hasRoom && !report.stalled))
        return;
    actions.events.push_back(taskEvent("task-moved", *job, *task)
                                     .with("left_ms", report.remaining)
                                     .with("fresh_ms", fresh)
                                     .with("stands_still", report.stalled ? 1 : 0)
                                     .with("since_placed_ms", now - task->placedAt));
    ++scheduler.counters.runsMoved;
    // It may be the estimate that is wrong: the next run is measured against what this one showed.
    if (!report.stalled)
        task->expected = std::max(task->expected,
                                  std::chrono::duration_cast<Milliseconds>(now - task->placedAt)
                                          + report.remaining);
    task->avoid.push_back(agent);
    stopTask(scheduler, *job, *task, actions);
}

} // namespace foxwing::scheduler
