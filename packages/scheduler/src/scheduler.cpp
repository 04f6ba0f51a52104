/*
    Events of the scheduler.

    [SECTION] Names
    [SECTION] Admission
    [SECTION] Agents
    [SECTION] Time
*/
#include <foxwing/scheduler/scheduler.h>

#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

using eventlog::change;
using eventlog::Event;

// [SECTION] Names

const char *toString(JobOutcome outcome)
{
    switch (outcome) {
    case JobOutcome::Completed:
        return "completed";
    case JobOutcome::Failed:
        return "failed";
    case JobOutcome::NotRun:
        return "not-run";
    case JobOutcome::TimedOut:
        break;
    }
    return "timed-out";
}

const char *toString(Placement placement)
{
    switch (placement) {
    case Placement::Random:
        return "random";
    case Placement::MostRoom:
        return "most-room";
    case Placement::Fastest:
        break;
    }
    return "fastest";
}

std::optional<Placement> placementNamed(const std::string &name)
{
    for (const Placement placement :
         { Placement::Fastest, Placement::Random, Placement::MostRoom }) {
        if (name == toString(placement))
            return placement;
    }
    return std::nullopt;
}

const char *toString(Order order)
{
    switch (order) {
    case Order::LatestBegin:
        return "latest-begin";
    case Order::Newest:
        return "newest";
    case Order::FirstCome:
        return "first-come";
    case Order::Priority:
        break;
    }
    return "priority";
}

std::optional<Order> orderNamed(const std::string &name)
{
    for (const Order order :
         { Order::LatestBegin, Order::Newest, Order::FirstCome, Order::Priority }) {
        if (name == toString(order))
            return order;
    }
    return std::nullopt;
}

SchedulerState makeScheduler(const SchedulerSettings &settings)
{
    SchedulerState scheduler;
    scheduler.settings = settings;
    scheduler.random.seed(settings.seed);
    return scheduler;
}

// [SECTION] Admission

namespace {

std::vector<Milliseconds> guesses(const jobs::JobSpec &spec)
{
    std::vector<Milliseconds> spans;
    for (const jobs::StepSpec &step : spec.steps)
        spans.push_back(step.estimate);
    return spans;
}

Microseconds scaled(Milliseconds span, double factor)
{
    return std::chrono::duration_cast<Microseconds>(
            std::chrono::duration<double, std::milli>(static_cast<double>(span.count()) * factor));
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
    job.arrivedAt = now;
    job.guessed = longestChain(spec, guesses(spec));
    const auto times = scheduler.runTimes.find(terms.queue);
    const bool learned = settings.learnRunTimes && times != scheduler.runTimes.end();
    job.expected = learned ? expectedRunTime(times->second, job.guessed) : job.guessed;
    const Milliseconds chain = job.expected;
    job.objectiveAt = now + scaled(chain, terms.stretch) + terms.targetLatency;
    job.latestBegin = job.objectiveAt - chain;
    job.onTimeUntil = std::max(now, job.latestBegin - chain * settings.marginPercent / 100);
    const auto objective = std::chrono::duration_cast<Milliseconds>(job.objectiveAt - now);
    job.worthUntil = now + scaled(objective, settings.lateFactor) - chain;
    return job;
}

// One step's estimate, corrected as the whole chain is.
Milliseconds expectedOf(const Job &job, Milliseconds estimate)
{
    return job.guessed.count() > 0 ? estimate * job.expected.count() / job.guessed.count()
                                   : estimate;
}

void addTasks(Job &job)
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
        waiting += static_cast<double>(job.waiting) * static_cast<double>(step.room.milliCores)
                * static_cast<double>(step.estimate.count());
    }
    double room = 0;
    for (const auto &[name, agent] : scheduler.agents) {
        if (agent.welcomed && agent.endpoint.service == wanted.terms.service
            && agent.endpoint.mostStarts > 0)
            room += static_cast<double>(agent.endpoint.capacity.milliCores);
    }
    if (room <= 0)
        return Microseconds(0);
    // Declared rooms can be absurd; beyond an hour it makes no difference.
    constexpr double MostMilliseconds = 3.6e6;
    return scaled(Milliseconds(1), std::min(MostMilliseconds, waiting * scheduler.entries / room));
}

// Whether what waits here and goes before this job takes, at the pace at which room came free here
// of late, more time than the job has until it counts as late.
bool waitsTooLong(const SchedulerState &scheduler, const Job &wanted, Time now)
{
    const auto freed = scheduler.freed.find(wanted.terms.service);
    if (freed == scheduler.freed.end() || scheduler.settings.refuseAtArrivalPercent == 0)
        return false;
    double waiting = 0;
    for (const QueueKey &key : scheduler.queue) {
        const Job &job = scheduler.jobs.at(key.number);
        if (key.group > Rank::OnTime || job.terms.service != wanted.terms.service
            || (key.group == Rank::OnTime && job.terms.priority > wanted.terms.priority))
            continue;
        waiting += static_cast<double>(job.waiting)
                * static_cast<double>(job.spec.steps.front().room.milliCores);
    }
    const double perMillisecond = freedPerMillisecond(scheduler, freed->second, now);
    const auto slack = std::chrono::duration_cast<Milliseconds>(wanted.onTimeUntil - now);
    const double most = static_cast<double>(slack.count())
            * scheduler.settings.refuseAtArrivalPercent / 100;
    return waiting > 0 && waiting > perMillisecond * most;
}

bool anySuits(const SchedulerState &scheduler, const Job &job, const jobs::StepSpec &step)
{
    bool any = false;
    for (const auto &[name, agent] : scheduler.agents) {
        if (!agent.welcomed || agent.endpoint.service != job.terms.service)
            continue;
        any = true;
        if (suits(agent, job, step))
            return true;
    }
    // Without a single endpoint of the service nothing is known of what would fit.
    return !any;
}

// Why a job is not taken; empty if it is.
std::string refusal(const SchedulerState &scheduler, const Job &job, Time now)
{
    if (scheduler.jobs.size() >= scheduler.settings.mostJobs)
        return "this entry holds as many jobs as it may";
    const jobs::JobTraits &traits = job.spec.traits;
    if (traits.kept || traits.gang || traits.lasting || traits.timed)
        return "this kind of job is not served yet";
    const std::uint64_t tasks = taskCount(job.spec);
    if (tasks == 0 || tasks > scheduler.settings.mostTasksPerJob)
        return "a job needs at least one task, and at most the number in the settings";
    const Microseconds wait = expectedWait(scheduler, job);
    const Microseconds objective = job.objectiveAt - job.arrivedAt;
    if (wait > scaled(std::chrono::duration_cast<Milliseconds>(objective),
                      scheduler.settings.refuseAbove)
        || waitsTooLong(scheduler, job, now))
        return "the work before it takes longer than it may wait";
    return "";
}

void refuse(SchedulerState &scheduler, Job &job, JobOutcome outcome, const std::string &why,
            Time now, SchedulerActions &actions)
{
    // A job that never was in the table is answered through it, so that all answers are alike.
    const std::uint64_t number = job.number;
    Job &kept = scheduler.jobs.emplace(number, std::move(job)).first->second;
    answerJob(scheduler, kept, outcome, why, now, actions);
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
    const std::string why = refusal(scheduler, job, now);
    if (!why.empty()) {
        refuse(scheduler, job, JobOutcome::NotRun, why, now, actions);
        return actions;
    }
    const bool possible = std::all_of(spec.steps.begin(), spec.steps.end(), [&](const auto &step) {
        return anySuits(scheduler, job, step);
    });
    if (!possible) {
        refuse(scheduler, job, JobOutcome::Failed, "no endpoint of its service could ever run it",
               now, actions);
        return actions;
    }
    addTasks(job);
    job.waitsFor = known == scheduler.byId.end() ? 0 : known->second;
    scheduler.byId[spec.id] = job.number;
    Job &kept = scheduler.jobs.emplace(job.number, std::move(job)).first->second;
    enqueue(scheduler, kept);
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

// [SECTION] Agents

SchedulerActions agentConnected(SchedulerState &scheduler, const std::string &agent, Time now)
{
    SchedulerActions actions;
    Agent fresh;
    fresh.sentAt = now;
    fresh.heardAt = now;
    scheduler.agents[agent] = fresh;
    return actions;
}

SchedulerActions agentWelcomed(SchedulerState &scheduler, const std::string &name,
                               const jobs::Welcome &welcome, Time now)
{
    SchedulerActions actions;
    Agent &agent = scheduler.agents[name];
    agent.endpoint = welcome.endpoint;
    agent.welcomed = true;
    agent.heardAt = now;
    actions.events.push_back(change("agent-welcomed")
                                     .with("agent", name)
                                     .with("incarnation", welcome.incarnation)
                                     .with("life", welcome.endpoint.life));
    // Nothing of an earlier session runs there any more.
    for (auto &[number, job] : scheduler.jobs) {
        for (Task &task : job.tasks) {
            if (task.state != TaskState::Uncertain || task.agent != name)
                continue;
            job.mayHaveBegun = true;
            freeTask(scheduler, job, task);
        }
    }
    for (auto item = scheduler.jobs.begin(); item != scheduler.jobs.end();) {
        const std::uint64_t number = item->first;
        ++item;
        removeIfFinished(scheduler, number);
    }
    place(scheduler, now, actions);
    return actions;
}

SchedulerActions agentUpdated(SchedulerState &scheduler, const std::string &name,
                              const jobs::AgentUpdate &update, Time now)
{
    SchedulerActions actions;
    const auto found = scheduler.agents.find(name);
    if (found == scheduler.agents.end() || !found->second.welcomed)
        return actions;
    Agent &agent = found->second;
    agent.heardAt = now;
    if (!update.endpoint.empty())
        agent.endpoint = update.endpoint.front();
    agent.endpoint.free = update.free;
    agent.endpoint.mostStarts = update.mostStarts;
    agent.endpoint.paceMille = update.paceMille;
    agent.endpoint.leaving = update.leaving;
    agent.startsTaken = std::max(agent.startsTaken, update.startsTaken);
    const auto taken = [&](const Agent::Pending &pending) {
        return pending.number <= agent.startsTaken;
    };
    agent.pending.erase(std::remove_if(agent.pending.begin(), agent.pending.end(), taken),
                        agent.pending.end());
    for (const jobs::RunReport &report : update.ended)
        runEnded(scheduler, name, report, now, actions);
    for (const jobs::LagReport &report : update.lagging)
        runLags(scheduler, name, report, now, actions);
    place(scheduler, now, actions);
    return actions;
}

SchedulerActions agentLost(SchedulerState &scheduler, const std::string &name, Time now)
{
    SchedulerActions actions;
    const auto found = scheduler.agents.find(name);
    if (found == scheduler.agents.end())
        return actions;
    const Time certainAt = found->second.sentAt + scheduler.settings.certainSilence;
    std::uint64_t runs = 0;
    for (auto &[number, job] : scheduler.jobs) {
        for (Task &task : job.tasks) {
            if (task.state != TaskState::Placed || task.agent != name)
                continue;
            task.state = TaskState::Uncertain;
            task.certainAt = certainAt;
            ++runs;
        }
    }
    scheduler.counters.runsLost += runs;
    actions.events.push_back(change("agent-lost")
                                     .with("agent", name)
                                     .with("heard_ms_ago", now - found->second.heardAt)
                                     .with("runs_uncertain", runs));
    scheduler.agents.erase(found);
    return actions;
}

// [SECTION] Time

namespace {

void beatAgents(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    for (auto &[name, agent] : scheduler.agents) {
        if (now >= agent.heardAt + scheduler.settings.agentSilence && agent.welcomed) {
            actions.closes.push_back(name);
            continue;
        }
        if (now < agent.sentAt + scheduler.settings.beatInterval)
            continue;
        agent.sentAt = now;
        actions.sends.push_back({ name, jobs::SessionBeat { ++agent.beat } });
    }
}

void freeCertain(SchedulerState &scheduler, Time now)
{
    std::vector<std::uint64_t> touched;
    for (auto &[number, job] : scheduler.jobs) {
        if (job.outstanding == 0)
            continue;
        for (Task &task : job.tasks) {
            if (task.state != TaskState::Uncertain || now < task.certainAt)
                continue;
            job.mayHaveBegun = true;
            task.avoid.push_back(task.agent);
            freeTask(scheduler, job, task);
            touched.push_back(number);
        }
    }
    for (const std::uint64_t number : touched)
        removeIfFinished(scheduler, number);
}

// Jobs that nobody waits for any longer, and those that have not begun and are worth nothing.
void giveUpLate(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    std::vector<std::uint64_t> over;
    for (const auto &[number, job] : scheduler.jobs) {
        const Time worth = scheduler.settings.refuseLate ? job.onTimeUntil : job.worthUntil;
        const bool hopeless = certainlyNotBegun(job) && now > worth;
        const bool unbegun = certainlyNotBegun(job) && now >= job.terms.beginBy;
        const bool endless = now >= job.arrivedAt + scheduler.settings.longestJob;
        const bool unwanted = job.terms.patienceUntil && now >= *job.terms.patienceUntil;
        if (!job.over && (unbegun || endless || unwanted || hopeless))
            over.push_back(number);
    }
    for (const std::uint64_t number : over) {
        Job &job = scheduler.jobs.at(number);
        const bool notRun = certainlyNotBegun(job);
        answerJob(scheduler, job, notRun ? JobOutcome::NotRun : JobOutcome::TimedOut,
                  notRun ? "no room came free in time" : "its time is over", now, actions);
    }
}

} // namespace

SchedulerActions tick(SchedulerState &scheduler, Time now)
{
    SchedulerActions actions;
    beatAgents(scheduler, now, actions);
    freeCertain(scheduler, now);
    giveUpLate(scheduler, now, actions);
    place(scheduler, now, actions);
    return actions;
}

SchedulerActions giveUpAll(SchedulerState &scheduler, const std::string &why, Time now)
{
    SchedulerActions actions;
    std::vector<std::uint64_t> open;
    for (const auto &[number, job] : scheduler.jobs) {
        if (!job.over)
            open.push_back(number);
    }
    for (const std::uint64_t number : open) {
        Job &job = scheduler.jobs.at(number);
        answerJob(scheduler, job,
                  certainlyNotBegun(job) ? JobOutcome::NotRun : JobOutcome::TimedOut, why, now,
                  actions);
    }
    return actions;
}

void keepQueues(SchedulerState &scheduler, const std::set<std::string> &declared)
{
    for (auto item = scheduler.runTimes.begin(); item != scheduler.runTimes.end();)
        item = declared.count(item->first) == 0 ? scheduler.runTimes.erase(item) : std::next(item);
}

bool reachesEndpoints(const SchedulerState &scheduler)
{
    return std::any_of(scheduler.agents.begin(), scheduler.agents.end(), [](const auto &item) {
        return item.second.welcomed && !item.second.endpoint.life.empty();
    });
}

std::size_t openJobs(const SchedulerState &scheduler)
{
    return static_cast<std::size_t>(
            std::count_if(scheduler.jobs.begin(), scheduler.jobs.end(),
                          [](const auto &item) { return !item.second.over; }));
}

} // namespace foxwing::scheduler
