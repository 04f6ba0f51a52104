/*
    State changes of tasks and jobs.

    [SECTION] Tasks
    [SECTION] Queueing
    [SECTION] Completion and failure
    [SECTION] Retention
*/
#include "jobtable.h"

#include <algorithm>

namespace foxwing::dispatch {

// [SECTION] Tasks

agent::TaskRef refOf(const Job &job, const Task &task)
{
    const auto index = static_cast<std::uint32_t>(&task - job.tasks.data());
    return { job.spec.key, index, task.attempt };
}

Task *currentTask(Job &job, const agent::TaskRef &ref, const std::string &agentId,
                  std::uint64_t incarnation)
{
    if (ref.task >= job.tasks.size())
        return nullptr;
    Task &task = job.tasks[ref.task];
    const bool onWorker = task.state == TaskState::Sent || task.state == TaskState::Running;
    const bool same = onWorker && task.attempt == ref.attempt && task.agent == agentId
            && task.agentIncarnation == incarnation;
    return same ? &task : nullptr;
}

namespace {

void countRunning(Dispatcher &dispatcher, const Job &job, int change)
{
    const std::string &team = job.spec.team;
    dispatcher.services[job.spec.service].runningTasks += static_cast<std::uint32_t>(change);
    std::uint32_t &running = dispatcher.teamRunning[team];
    running += static_cast<std::uint32_t>(change);
    const auto limit = dispatcher.teamLimits.find(team);
    if (limit == dispatcher.teamLimits.end())
        return;
    for (auto &service : dispatcher.services)
        blockTeam(service.second.queue, team, running >= limit->second);
}

void countWaiting(Dispatcher &dispatcher, Job &job, int change)
{
    ServiceState &service = dispatcher.services[job.spec.service];
    job.waiting += static_cast<std::uint32_t>(change);
    service.waitingTasks += static_cast<std::uint32_t>(change);
    dispatcher.teamWaiting[job.spec.team] += static_cast<std::uint32_t>(change);
}

Worker *findWorker(Dispatcher &dispatcher, const Job &job, const std::string &id)
{
    WorkerPool &pool = dispatcher.services[job.spec.service].pool;
    const auto found = pool.workers.find(id);
    return found == pool.workers.end() ? nullptr : &found->second;
}

// Moves the last entry to the place of the removed one, which takes constant time.
void removeOutstanding(Dispatcher &dispatcher, const Task &task)
{
    std::vector<agent::TaskRef> &refs = dispatcher.outstanding;
    const std::size_t index = task.outstandingIndex;
    if (index + 1 != refs.size()) {
        refs[index] = std::move(refs.back());
        dispatcher.jobs.at(refs[index].job).tasks[refs[index].task].outstandingIndex = index;
    }
    refs.pop_back();
}

} // namespace

void addOutstanding(Dispatcher &dispatcher, Job &job, Task &task)
{
    countRunning(dispatcher, job, 1);
    task.outstandingIndex = dispatcher.outstanding.size();
    dispatcher.outstanding.push_back(refOf(job, task));
}

void markSent(Dispatcher &dispatcher, Job &job, Task &task, const Worker &worker, Time now)
{
    ServiceState &service = dispatcher.services[job.spec.service];
    countWaiting(dispatcher, job, -1);
    task.state = TaskState::Sent;
    task.agent = worker.id;
    task.agentIncarnation = worker.incarnation;
    task.sentAt = now;
    task.verifyInterval = dispatcher.settings.verifyInterval;
    task.nextVerifyAt = now + task.verifyInterval;
    task.chargedTime = expectedRunTime(service, job.spec);
    chargeTeam(service.queue, job.spec.team, task.chargedTime);
    addOutstanding(dispatcher, job, task);
}

void releaseTask(Dispatcher &dispatcher, Job &job, Task &task, Microseconds runTime)
{
    ServiceState &service = dispatcher.services[job.spec.service];
    Worker *worker = findWorker(dispatcher, job, task.agent);
    if (worker && worker->incarnation == task.agentIncarnation)
        releaseSlot(service.pool, *worker);
    chargeTeam(service.queue, job.spec.team, runTime - task.chargedTime);
    task.chargedTime = Microseconds::zero();
    countRunning(dispatcher, job, -1);
    removeOutstanding(dispatcher, task);
}

void markWaiting(Dispatcher &dispatcher, Job &job, Task &task)
{
    releaseTask(dispatcher, job, task, Microseconds::zero());
    task.state = TaskState::Waiting;
    ++task.attempt;
    countWaiting(dispatcher, job, 1);
}

// [SECTION] Queueing

Job &addJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch, Time now)
{
    Job &job = dispatcher.jobs[spec.key];
    job.spec = spec;
    job.epoch = epoch;
    job.arrivedAt = now;
    job.tasks.resize(spec.payloads.size());
    countWaiting(dispatcher, job, static_cast<int>(job.tasks.size()));
    dispatcher.deadlines.insert({ spec.deadline, spec.key });
    ++dispatcher.counters.jobs;
    return job;
}

void requeue(Dispatcher &dispatcher, Job &job, Time now)
{
    const JobSpec &spec = job.spec;
    FairQueue &queue = dispatcher.services[spec.service].queue;
    const bool canSend = job.state == JobState::Active && now >= job.backoffUntil;
    if (!canSend || job.waiting == 0)
        return setRemaining(queue, spec.key, 0);
    const auto weight = dispatcher.teamWeights.find(spec.team);
    pushJob(queue, spec.team, weight == dispatcher.teamWeights.end() ? 1.0 : weight->second,
            spec.key, job.waiting, now);
    const auto limit = dispatcher.teamLimits.find(spec.team);
    if (limit != dispatcher.teamLimits.end())
        blockTeam(queue, spec.team, dispatcher.teamRunning[spec.team] >= limit->second);
}

// [SECTION] Completion and failure

namespace {

bool onWorker(const Task &task)
{
    return task.state == TaskState::Sent || task.state == TaskState::Running;
}

void finishJob(Dispatcher &dispatcher, Job &job, Time now, Actions &actions)
{
    countWaiting(dispatcher, job, -static_cast<int>(job.waiting));
    job.state = JobState::Ended;
    job.endedAt = now;
    requeue(dispatcher, job, now);
    dispatcher.deadlines.erase({ job.spec.deadline, job.spec.key });
    job.tasks.clear();
    job.spec.payloads.clear();
    for (const std::string &result : job.answer.results)
        dispatcher.answerBytes += result.size();
    dispatcher.ended.push_back(job.spec.key);
    actions.ended.push_back(job.spec.key);
}

void cancelTasks(Dispatcher &dispatcher, Job &job, Actions &actions)
{
    for (Task &task : job.tasks) {
        if (!onWorker(task))
            continue;
        agent::Cancel cancel;
        cancel.from = dispatcher.settings.id;
        cancel.refs.push_back(refOf(job, task));
        cancel.agentIncarnation = task.agentIncarnation;
        actions.sends.push_back({ task.agent, cancel });
        releaseTask(dispatcher, job, task, task.chargedTime);
        task.state = TaskState::Waiting;
    }
}

// True if no attempt of any task can have started.
bool certainlyNotRun(const Job &job)
{
    if (job.mayHaveRun || job.state == JobState::Collecting)
        return false;
    return std::all_of(job.tasks.begin(), job.tasks.end(),
                       [](const Task &task) { return task.state == TaskState::Waiting; });
}

} // namespace

void failJob(Dispatcher &dispatcher, Job &job, ErrorKind kind, std::string message, Time now,
             Actions &actions)
{
    if (job.state == JobState::Ended)
        return;
    const Outcome outcome = certainlyNotRun(job) ? Outcome::NotRun : Outcome::Failed;
    cancelTasks(dispatcher, job, actions);
    job.answer.outcome = outcome;
    job.answer.error = Error { kind, std::move(message), outcome, Milliseconds { 0 } };
    ++(outcome == Outcome::NotRun ? dispatcher.counters.notRun : dispatcher.counters.failed);
    finishJob(dispatcher, job, now, actions);
}

void completeJob(Dispatcher &dispatcher, Job &job, Time now, Actions &actions)
{
    job.answer.outcome = Outcome::Complete;
    for (Task &task : job.tasks)
        job.answer.results.push_back(std::move(task.result));
    ++dispatcher.counters.complete;
    finishJob(dispatcher, job, now, actions);
}

// [SECTION] Retention

void evictAnswers(Dispatcher &dispatcher, Time now)
{
    const DispatchSettings &settings = dispatcher.settings;
    while (!dispatcher.ended.empty()) {
        const auto job = dispatcher.jobs.find(dispatcher.ended.front());
        const bool expired = now >= job->second.endedAt + settings.answerRetention;
        if (!expired && dispatcher.answerBytes <= settings.maxAnswerBytes)
            return;
        for (const std::string &result : job->second.answer.results)
            dispatcher.answerBytes -= result.size();
        dispatcher.jobs.erase(job);
        dispatcher.ended.pop_front();
    }
}

} // namespace foxwing::dispatch
