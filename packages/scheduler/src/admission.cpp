/*
    Which jobs are taken in, what they are expected to take, and which are refused at once.

    [SECTION] Admission
*/
#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

using eventlog::Event;

// [SECTION] Admission

Microseconds scaled(Milliseconds span, double factor)
{
    return std::chrono::duration_cast<Microseconds>(
            std::chrono::duration<double, std::milli>(static_cast<double>(span.count()) * factor));
}

namespace {

std::vector<Milliseconds> guesses(const jobs::JobSpec &spec)
{
    std::vector<Milliseconds> spans;
    for (const jobs::StepSpec &step : spec.steps)
        spans.push_back(step.estimate);
    return spans;
}

std::uint64_t taskCount(const jobs::JobSpec &spec)
{
    std::uint64_t count = 0;
    for (const jobs::StepSpec &step : spec.steps)
        count += step.tasks;
    return count;
}

// Without its tasks, which a job that is refused never gets: a caller may name millions.
Job makeJob(const SchedulerState &scheduler, const jobs::JobSpec &spec, const JobTerms &terms,
            Time now)
{
    const SchedulerSettings &settings = scheduler.settings;
    Job job;
    job.spec = spec;
    job.terms = terms;
    job.arrivedAt = terms.cameAt.value_or(now);
    job.guessed = longestChain(spec, guesses(spec));
    const auto times = scheduler.runTimes.find(terms.queue);
    const bool learned = settings.learnRunTimes && times != scheduler.runTimes.end();
    job.expected = learned ? expectedRunTime(times->second, job.guessed) : job.guessed;
    const Milliseconds chain = job.expected;
    job.objectiveAt = job.arrivedAt + scaled(chain, terms.stretch) + terms.targetLatency;
    job.latestBegin = job.objectiveAt - chain;
    job.onTimeUntil = std::max(now, job.latestBegin - chain * settings.marginPercent / 100);
    const auto objective = std::chrono::duration_cast<Milliseconds>(job.objectiveAt
                                                                    - job.arrivedAt);
    job.worthUntil = job.arrivedAt + scaled(objective, settings.lateFactor) - chain;
    const Time callerGone = terms.patienceUntil.value_or(Time::max());
    job.lateUntil = std::max(job.onTimeUntil,
                             std::min({ callerGone - chain, terms.beginBy, job.worthUntil }));
    return job;
}

// One step's estimate, corrected as the whole chain is.
Milliseconds expectedOf(const Job &job, Milliseconds estimate)
{
    return job.guessed.count() > 0 ? estimate * job.expected.count() / job.guessed.count()
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
            task.expected = expectedOf(job, spec.steps[step].estimate);
            task.crashes = crashesOf(scheduler, { spec.id, 0, step, index });
            job.tasks.push_back(task);
        }
    }
    job.waiting = static_cast<std::uint32_t>(job.tasks.size());
}

// Work that waits here and would go first, against the part of all room that this entry can count
// on.
Microseconds expectedWait(const SchedulerState &scheduler, const Job &wanted)
{
    double waiting = 0;
    for (const QueueKey &key : scheduler.queue) {
        const Job &job = scheduler.jobs.at(key.number);
        if (key.group > Rank::OnTime || job.latestBegin > wanted.latestBegin
            || job.terms.service != wanted.terms.service)
            continue;
        const jobs::StepSpec &step = job.spec.steps.front();
        waiting += static_cast<double>(job.waiting) * static_cast<double>(step.demand.milliCores)
                * static_cast<double>(step.estimate.count());
    }
    double capacity = 0;
    for (const auto &[name, agent] : scheduler.agents) {
        if (agent.accepted && agent.endpoint.service == wanted.terms.service
            && agent.endpoint.maxStarts > 0 && !isCordoned(scheduler, agent))
            capacity += static_cast<double>(agent.endpoint.capacity.milliCores);
    }
    if (capacity <= 0)
        return Microseconds(0);
    // Declared rooms can be absurd; beyond an hour it makes no difference.
    constexpr double MostMilliseconds = 3.6e6;
    return scaled(Milliseconds(1),
                  std::min(MostMilliseconds, waiting * scheduler.entries / capacity));
}

// Whether what waits here and goes before this job takes, at the pace at which room came free here
// of late, more time than the job has until it counts as late.
bool waitsTooLong(const SchedulerState &scheduler, const Job &wanted, Time now)
{
    const auto freed = scheduler.freed.find(wanted.terms.service);
    if (freed == scheduler.freed.end() || scheduler.settings.refuseAtArrivalPercent == 0)
        return false;
    const std::uint32_t priority = effectivePriority(scheduler, wanted);
    double waiting = 0;
    for (const QueueKey &key : scheduler.queue) {
        const Job &job = scheduler.jobs.at(key.number);
        if (key.group > Rank::OnTime || job.terms.service != wanted.terms.service
            || (key.group == Rank::OnTime && job.queuedPriority > priority))
            continue;
        waiting += static_cast<double>(job.waiting)
                * static_cast<double>(job.spec.steps.front().demand.milliCores);
    }
    const double perMillisecond = freedPerMillisecond(scheduler, freed->second, now);
    const auto slack = std::chrono::duration_cast<Milliseconds>(wanted.onTimeUntil - now);
    const double most = static_cast<double>(slack.count())
            * scheduler.settings.refuseAtArrivalPercent / 100;
    return waiting > 0 && waiting > perMillisecond * most;
}

// The same by the forecast; nothing if it does not know.
std::optional<bool> forecastIsTooLong(const SchedulerState &scheduler, const Job &wanted, Time now)
{
    const SchedulerSettings &settings = scheduler.settings;
    const auto within = [&](std::optional<Milliseconds> wait, Time until) {
        const auto slack = std::chrono::duration_cast<Milliseconds>(until - now);
        return wait && *wait * 100 <= slack * settings.refuseAtArrivalPercent;
    };
    if (!usesForecast(scheduler) || settings.refuseAtArrivalPercent == 0)
        return std::nullopt;
    const std::optional<Milliseconds> wait = waitOnTime(scheduler, wanted, now);
    if (!wait)
        return std::nullopt;
    if (within(wait, settings.refuseLate ? wanted.onTimeUntil : wanted.worthUntil))
        return false;
    const bool mayBeLate = settings.serveLate && wanted.lateUntil > wanted.onTimeUntil;
    return !mayBeLate || !within(waitLate(scheduler, wanted, now), wanted.lateUntil);
}

bool anySuits(const SchedulerState &scheduler, const Job &job, const jobs::StepSpec &step)
{
    bool any = false;
    for (const auto &[name, agent] : scheduler.agents) {
        if (!agent.accepted || agent.endpoint.service != job.terms.service)
            continue;
        any = true;
        if (suits(agent, job, step))
            return true;
    }
    // Without a single endpoint of the service nothing is known of what would fit.
    return !any;
}

bool isPossible(const SchedulerState &scheduler, const Job &job)
{
    const std::vector<jobs::StepSpec> &steps = job.spec.steps;
    return job.terms.suitableElsewhere
            || std::all_of(steps.begin(), steps.end(), [&](const jobs::StepSpec &step) {
                   return anySuits(scheduler, job, step);
               });
}

// Whether a call that waited before it was submitted has lost its time by that. One whose queue
// leaves it no time from the start has lost nothing, and is tried like any other.
bool heldTooLong(const Job &job, Time now)
{
    return job.terms.cameAt && job.latestBegin > job.arrivedAt && now > job.latestBegin;
}

// Whether the work before the job takes longer than it may wait.
bool lacksRoom(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (const auto tooLong = forecastIsTooLong(scheduler, job, now))
        return *tooLong;
    const auto objective = std::chrono::duration_cast<Milliseconds>(job.objectiveAt
                                                                    - job.arrivedAt);
    return expectedWait(scheduler, job) > scaled(objective, scheduler.settings.refuseAbove)
            || waitsTooLong(scheduler, job, now);
}

// Why a job is not taken whatever room there is; empty if it may be.
std::string refusal(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (scheduler.jobs.size() >= scheduler.settings.mostJobs)
        return "this entry holds as many jobs as it may";
    const jobs::JobTraits &traits = job.spec.traits;
    if (traits.durable || traits.gang || traits.longRunning || traits.recurring)
        return "this kind of job is not served yet";
    const std::uint64_t tasks = taskCount(job.spec);
    if (tasks == 0 || tasks > scheduler.settings.mostTasksPerJob)
        return "a job needs at least one task, and at most the number in the settings";
    const bool mayBeLate = scheduler.settings.serveLate && now < job.lateUntil;
    if (heldTooLong(job, now) && scheduler.settings.refuseLate && !mayBeLate)
        return "it waited too long before it could be taken up";
    return "";
}

void refuse(SchedulerState &scheduler, Job &job, JobOutcome outcome, const std::string &why,
            Time now, SchedulerActions &actions)
{
    // A job that never was in the table is answered through it, so that all answers are alike.
    const std::uint64_t number = job.number;
    Job &stored = scheduler.jobs.emplace(number, std::move(job)).first->second;
    answerJob(scheduler, stored, outcome, why, now, actions);
}

// Counts the job as asked for, and refuses it if the work before it takes too long.
bool refusedForRoom(SchedulerState &scheduler, Job &job, bool possible, Time now,
                    SchedulerActions &actions)
{
    if (possible)
        noteAskedJob(scheduler, job, now);
    if (!lacksRoom(scheduler, job, now))
        return false;
    if (possible)
        noteRefusedJob(scheduler, job, now);
    refuse(scheduler, job, JobOutcome::NotRun, "the work before it takes longer than it may wait",
           now, actions);
    return true;
}

} // namespace

bool certainlyNotBegun(const Job &job)
{
    return !job.mayHaveBegun && job.outstanding == 0;
}

SchedulerActions submit(SchedulerState &scheduler, const jobs::JobSpec &spec, const JobTerms &terms,
                        Time now, std::uint64_t *number)
{
    SchedulerActions actions;
    const auto known = scheduler.byId.find(spec.id);
    if (known != scheduler.byId.end() && !scheduler.jobs.at(known->second).over) {
        *number = known->second;
        actions.events.push_back(Event("job-joined").with("request", spec.id));
        return actions;
    }
    ++scheduler.counters.submitted;
    scheduler.mostUrgent = std::min(scheduler.mostUrgent, terms.priority);
    scheduler.leastUrgent = std::max(scheduler.leastUrgent, terms.priority);
    Job job = makeJob(scheduler, spec, terms, now);
    job.number = ++scheduler.lastNumber;
    *number = job.number;
    if (isCrashing(scheduler, spec.id, now)) {
        refuse(scheduler, job, JobOutcome::TimedOut, "endpoints have crashed under it before", now,
               actions);
        return actions;
    }
    const std::string why = refusal(scheduler, job, now);
    if (!why.empty()) {
        refuse(scheduler, job, JobOutcome::NotRun, why, now, actions);
        return actions;
    }
    const bool possible = isPossible(scheduler, job);
    if (refusedForRoom(scheduler, job, possible, now, actions))
        return actions;
    if (!possible) {
        refuse(scheduler, job, JobOutcome::Failed, "no endpoint of its service could ever run it",
               now, actions);
        return actions;
    }
    addTasks(scheduler, job);
    job.waitsFor = known == scheduler.byId.end() ? 0 : known->second;
    scheduler.byId[spec.id] = job.number;
    Job &stored = scheduler.jobs.emplace(job.number, std::move(job)).first->second;
    enqueue(scheduler, stored);
    place(scheduler, now, actions);
    return actions;
}

SchedulerActions abandon(SchedulerState &scheduler, std::uint64_t number, Time now)
{
    SchedulerActions actions;
    const auto found = scheduler.jobs.find(number);
    if (found == scheduler.jobs.end() || found->second.over)
        return actions;
    Job &job = found->second;
    dequeue(scheduler, job);
    job.over = true;
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
