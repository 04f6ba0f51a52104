/*
    Admission of jobs: what their run times are expected to be, and which are refused at once.

    [SECTION] Admission
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

using eventlog::Event;

// [SECTION] Admission

Microseconds scaled(Milliseconds duration, double factor)
{
    return std::chrono::duration_cast<Microseconds>(std::chrono::duration<double, std::milli>(
            static_cast<double>(duration.count()) * factor));
}

namespace {

std::vector<Milliseconds> estimates(const jobs::JobSpec &spec)
{
    std::vector<Milliseconds> durations;
    for (const jobs::StepSpec &step : spec.steps)
        durations.push_back(step.estimate);
    return durations;
}

std::uint64_t taskCount(const jobs::JobSpec &spec)
{
    std::uint64_t count = 0;
    for (const jobs::StepSpec &step : spec.steps)
        count += step.tasks;
    return count;
}

// Leaves out the tasks: a caller may ask for millions, and a refused job never needs them.
Job makeJob(const SchedulerState &scheduler, const jobs::JobSpec &spec, const JobOptions &options,
            Time now)
{
    const SchedulerSettings &settings = scheduler.settings;
    Job job;
    job.spec = spec;
    job.options = options;
    job.arrivedAt = options.receivedAt.value_or(now);
    job.estimated = criticalPath(spec, estimates(spec));
    const auto model = scheduler.runTimeModels.find(options.queue);
    const bool learned = settings.learnRunTimes && model != scheduler.runTimeModels.end();
    job.expected = learned ? expectedRunTime(model->second, job.estimated) : job.estimated;
    const Milliseconds path = job.expected;
    job.objectiveAt = job.arrivedAt + scaled(path, options.stretch) + options.targetLatency;
    job.latestStart = job.objectiveAt - path;
    job.onTimeUntil = std::max(now, job.latestStart - path * settings.marginPercent / 100);
    const auto objective = std::chrono::duration_cast<Milliseconds>(job.objectiveAt
                                                                    - job.arrivedAt);
    job.usefulUntil = job.arrivedAt + scaled(objective, settings.lateFactor) - path;
    const Time callerDeadline = options.callerDeadline.value_or(Time::max());
    job.lateStartUntil = std::max(job.onTimeUntil,
                                  std::min({ callerDeadline - path, options.startDeadline,
                                             job.usefulUntil }));
    return job;
}

// One step's estimate, corrected by the same factor as the critical path.
Milliseconds correctedEstimate(const Job &job, Milliseconds estimate)
{
    return job.estimated.count() > 0 ? estimate * job.expected.count() / job.estimated.count()
                                     : estimate;
}

void addTasks(const SchedulerState &scheduler, Job &job)
{
    const jobs::JobSpec &spec = job.spec;
    job.longestRun.resize(spec.steps.size(), Milliseconds(0));
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        job.tasksLeft.push_back(spec.steps[step].tasks);
        for (std::uint32_t index = 0; index < spec.steps[step].tasks; ++index) {
            Task task;
            task.step = step;
            task.index = index;
            task.expected = correctedEstimate(job, spec.steps[step].estimate);
            task.crashes = crashCount(scheduler, { spec.id, 0, step, index });
            job.tasks.push_back(task);
        }
    }
    job.waiting = static_cast<std::uint32_t>(job.tasks.size());
}

// Waiting work of this entry that would go first, over its share of all capacity.
Microseconds expectedWait(const SchedulerState &scheduler, const Job &arriving)
{
    double waiting = 0;
    for (const QueueKey &key : scheduler.queue) {
        const Job &job = scheduler.jobs.at(key.number);
        if (key.group > QueueGroup::OnTime || job.latestStart > arriving.latestStart
            || job.options.service != arriving.options.service)
            continue;
        const jobs::StepSpec &step = job.spec.steps.front();
        waiting += static_cast<double>(job.waiting) * static_cast<double>(step.demand.milliCores)
                * static_cast<double>(step.estimate.count());
    }
    double capacity = 0;
    for (const auto &[name, agent] : scheduler.agents) {
        if (agent.accepted && agent.endpoint.service == arriving.options.service
            && agent.endpoint.maxStarts > 0 && !isCordoned(scheduler, agent))
            capacity += static_cast<double>(agent.endpoint.capacity.milliCores);
    }
    if (capacity <= 0)
        return Microseconds(0);
    // Declared capacities are not validated; beyond an hour the value makes no difference.
    constexpr double MaxMilliseconds = 3.6e6;
    return scaled(Milliseconds(1),
                  std::min(MaxMilliseconds, waiting * scheduler.entryCount / capacity));
}

// Whether the work queued before this job at this entry takes longer than the job has until it
// counts as late, at the rate at which capacity was recently freed for the entry.
bool waitsTooLong(const SchedulerState &scheduler, const Job &arriving, Time now)
{
    const auto freed = scheduler.freed.find(arriving.options.service);
    if (freed == scheduler.freed.end() || scheduler.settings.maxWaitPercent == 0)
        return false;
    const std::uint32_t priority = effectivePriority(scheduler, arriving);
    double waiting = 0;
    for (const QueueKey &key : scheduler.queue) {
        const Job &job = scheduler.jobs.at(key.number);
        if (key.group > QueueGroup::OnTime || job.options.service != arriving.options.service
            || (key.group == QueueGroup::OnTime && job.queuedPriority > priority))
            continue;
        waiting += static_cast<double>(job.waiting)
                * static_cast<double>(job.spec.steps.front().demand.milliCores);
    }
    const double perMillisecond = freedPerMillisecond(scheduler, freed->second, now);
    const auto slack = std::chrono::duration_cast<Milliseconds>(arriving.onTimeUntil - now);
    const double limit = static_cast<double>(slack.count()) * scheduler.settings.maxWaitPercent
            / 100;
    return waiting > 0 && waiting > perMillisecond * limit;
}

// The same by the forecast; nothing if there is none.
std::optional<bool> forecastWaitsTooLong(const SchedulerState &scheduler, const Job &arriving,
                                         Time now)
{
    const SchedulerSettings &settings = scheduler.settings;
    const auto within = [&](std::optional<Milliseconds> wait, Time until) {
        const auto slack = std::chrono::duration_cast<Milliseconds>(until - now);
        return wait && *wait * 100 <= slack * settings.maxWaitPercent;
    };
    if (!usesForecast(scheduler) || settings.maxWaitPercent == 0)
        return std::nullopt;
    const std::optional<Milliseconds> wait = waitIfOnTime(scheduler, arriving, now);
    if (!wait)
        return std::nullopt;
    if (within(wait, settings.refuseLate ? arriving.onTimeUntil : arriving.usefulUntil))
        return false;
    const bool mayBeLate = settings.serveLate && arriving.lateStartUntil > arriving.onTimeUntil;
    return !mayBeLate || !within(waitIfLate(scheduler, arriving, now), arriving.lateStartUntil);
}

bool anySuitable(const SchedulerState &scheduler, const Job &job, const jobs::StepSpec &step)
{
    bool any = false;
    for (const auto &[name, agent] : scheduler.agents) {
        if (!agent.accepted || agent.endpoint.service != job.options.service)
            continue;
        any = true;
        if (isSuitable(agent, job, step))
            return true;
    }
    // Without any endpoint of the service, it is not known what would fit.
    return !any;
}

bool isPossible(const SchedulerState &scheduler, const Job &job)
{
    const std::vector<jobs::StepSpec> &steps = job.spec.steps;
    return job.options.suitableUnconnected
            || std::all_of(steps.begin(), steps.end(), [&](const jobs::StepSpec &step) {
                   return anySuitable(scheduler, job, step);
               });
}

// Whether a call that was held before it was submitted has missed its latest start because of that.
// If its queue leaves it no slack from the start, holding cost it nothing and it is tried like any
// other.
bool heldTooLong(const Job &job, Time now)
{
    return job.options.receivedAt && job.latestStart > job.arrivedAt && now > job.latestStart;
}

// Whether the work queued before the job takes longer than the job may wait.
bool lacksCapacity(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (const auto tooLong = forecastWaitsTooLong(scheduler, job, now))
        return *tooLong;
    const auto objective = std::chrono::duration_cast<Milliseconds>(job.objectiveAt
                                                                    - job.arrivedAt);
    return expectedWait(scheduler, job) > scaled(objective, scheduler.settings.maxWaitFactor)
            || waitsTooLong(scheduler, job, now);
}

// Why a job is refused regardless of capacity; empty if it may be admitted.
std::string refusalReason(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (scheduler.jobs.size() >= scheduler.settings.maxJobs)
        return "this entry is at its limit of jobs";
    const jobs::JobTraits &traits = job.spec.traits;
    if (traits.durable || traits.gang || traits.longRunning || traits.recurring)
        return "this kind of job is not served yet";
    const std::uint64_t tasks = taskCount(job.spec);
    if (tasks == 0 || tasks > scheduler.settings.maxTasksPerJob)
        return "a job must have at least one task, and at most the number in the settings";
    if (scheduler.openTasks + tasks > scheduler.settings.maxOpenTasks)
        return "this entry is at its limit of open tasks";
    const bool mayBeLate = scheduler.settings.serveLate && now < job.lateStartUntil;
    if (heldTooLong(job, now) && scheduler.settings.refuseLate && !mayBeLate)
        return "the call was held too long before it was admitted";
    return "";
}

void refuse(SchedulerState &scheduler, Job &job, JobOutcome outcome, const std::string &why,
            Time now, SchedulerActions &actions)
{
    // Adds the job to the table although it is refused, since answerJob() expects it there.
    const std::uint64_t number = job.number;
    Job &added = scheduler.jobs.emplace(number, std::move(job)).first->second;
    answerJob(scheduler, added, outcome, why, now, actions);
}

// Counts the job as requested work, and refuses it if the work before it takes too long.
bool refusedForCapacity(SchedulerState &scheduler, Job &job, bool possible, Time now,
                        SchedulerActions &actions)
{
    if (possible)
        recordRequestedJob(scheduler, job, now);
    if (!lacksCapacity(scheduler, job, now))
        return false;
    if (possible)
        recordRefusedJob(scheduler, job, now);
    refuse(scheduler, job, JobOutcome::NotRun,
           "the work before this job takes longer than it may wait", now, actions);
    return true;
}

} // namespace

bool certainlyNotBegun(const Job &job)
{
    return !job.mayHaveBegun && job.outstanding == 0;
}

SchedulerActions submit(SchedulerState &scheduler, const jobs::JobSpec &spec,
                        const JobOptions &options, Time now, std::uint64_t *number)
{
    SchedulerActions actions;
    const auto known = scheduler.byId.find(spec.id);
    if (known != scheduler.byId.end() && !scheduler.jobs.at(known->second).closed) {
        *number = known->second;
        actions.events.push_back(Event("job-joined").with("request", spec.id));
        return actions;
    }
    ++scheduler.counters.submitted;
    scheduler.mostUrgent = std::min(scheduler.mostUrgent, options.priority);
    scheduler.leastUrgent = std::max(scheduler.leastUrgent, options.priority);
    Job job = makeJob(scheduler, spec, options, now);
    job.number = ++scheduler.lastNumber;
    *number = job.number;
    if (isCrashing(scheduler, spec.id, now)) {
        refuse(scheduler, job, JobOutcome::TimedOut, "endpoints crashed under this job before", now,
               actions);
        return actions;
    }
    const std::string why = refusalReason(scheduler, job, now);
    if (!why.empty()) {
        refuse(scheduler, job, JobOutcome::NotRun, why, now, actions);
        return actions;
    }
    const bool possible = isPossible(scheduler, job);
    if (refusedForCapacity(scheduler, job, possible, now, actions))
        return actions;
    if (!possible) {
        refuse(scheduler, job, JobOutcome::Failed, "no endpoint of the service can run the job",
               now, actions);
        return actions;
    }
    addTasks(scheduler, job);
    scheduler.openTasks += job.tasks.size();
    job.predecessor = known == scheduler.byId.end() ? 0 : known->second;
    scheduler.byId[spec.id] = job.number;
    Job &added = scheduler.jobs.emplace(job.number, std::move(job)).first->second;
    enqueue(scheduler, added);
    place(scheduler, now, actions);
    return actions;
}

SchedulerActions abandon(SchedulerState &scheduler, std::uint64_t number, Time now)
{
    SchedulerActions actions;
    const auto found = scheduler.jobs.find(number);
    if (found == scheduler.jobs.end() || found->second.closed)
        return actions;
    Job &job = found->second;
    dequeue(scheduler, job);
    job.closed = true;
    ++scheduler.counters.abandoned;
    actions.events.push_back(Event("job-abandoned")
                                     .with("request", job.spec.id)
                                     .with("done", job.done)
                                     .with("outstanding", job.outstanding)
                                     .with("took_ms", now - job.arrivedAt));
    for (Task &task : job.tasks)
        stopTask(scheduler, job, task, actions);
    removeIfFinished(scheduler, number);
    return actions;
}

} // namespace foxwing::scheduler
