/*
    Dispatcher: assignment of tasks, messages from agents, lost workers, timers.

    [SECTION] Assignment
    [SECTION] Messages from agents
    [SECTION] Lost workers
    [SECTION] Timers
    [SECTION] Functions
*/
#include <foxwing/dispatch/dispatcher.h>

#include <algorithm>

#include "jobtable.h"
#include "takeover.h"

namespace foxwing::dispatch {

namespace {

// [SECTION] Assignment

// Run time assumed for a task whose class has no measured and no declared time.
constexpr Microseconds UnknownTime { 200000 };

// The newest run time enters the mean of its class with a weight of 1/16.
constexpr int EstimateShare = 16;

// Upper limit of the retry budget.
constexpr double MostRetryTokens = 1000;

void sendStart(Dispatcher &dispatcher, Job &job, Task &task, Worker &worker, Time now,
               Actions &actions)
{
    ServiceState &service = dispatcher.services[job.spec.service];
    occupySlot(service.pool, worker);
    markSent(dispatcher, job, task, worker, now);
    agent::Start start;
    start.ref = refOf(job, task);
    start.team = job.spec.team;
    start.owner = dispatcher.settings.id;
    start.ownerIncarnation = dispatcher.settings.incarnation;
    start.jobEpoch = job.epoch;
    start.leaseEpoch = worker.leaseEpoch;
    start.agentIncarnation = worker.incarnation;
    start.timeLeft = job.spec.deadline - now;
    start.payload = job.spec.payloads[start.ref.task];
    actions.sends.push_back({ worker.id, std::move(start) });
    ++dispatcher.counters.starts;
    dispatcher.retryTokens = std::min(dispatcher.retryTokens + dispatcher.settings.retryRatio,
                                      MostRetryTokens);
}

Task *firstWaiting(Job &job)
{
    for (Task &task : job.tasks) {
        if (task.state == TaskState::Waiting)
            return &task;
    }
    return nullptr;
}

// Assigns waiting tasks to free slots until either runs out.
void bindTasks(Dispatcher &dispatcher, ServiceState &service, Time now, Actions &actions)
{
    while (const std::string *key = nextJob(service.queue, now)) {
        Job &job = dispatcher.jobs.at(*key);
        Worker *worker = pickWorker(service.pool, job.spec.repeatable);
        if (!worker)
            return;
        sendStart(dispatcher, job, *firstWaiting(job), *worker, now, actions);
        requeue(dispatcher, job, now);
    }
}

void bindEverywhere(Dispatcher &dispatcher, Time now, Actions &actions)
{
    for (auto &service : dispatcher.services)
        bindTasks(dispatcher, service.second, now, actions);
}

ServiceState &serviceOf(Dispatcher &dispatcher, const std::string &name)
{
    const auto inserted = dispatcher.services.try_emplace(name);
    ServiceState &service = inserted.first->second;
    if (inserted.second) {
        service.queue.settings = dispatcher.settings.queue;
        service.pool.dataCentre = dispatcher.settings.dataCentre;
        service.pool.health.settings = dispatcher.settings.health;
    }
    return service;
}

// [SECTION] Messages from agents

void learn(ClassEstimate &estimate, Microseconds runTime, Time now)
{
    estimate.learnedAt = now;
    ++estimate.samples;
    if (estimate.samples == 1)
        estimate.mean = runTime;
    else
        estimate.mean += (runTime - estimate.mean) / EstimateShare;
}

void learnRunTime(ServiceState &service, const JobSpec &spec, Microseconds runTime, Time now)
{
    ClassEstimate &estimate = service.estimates[spec.team + "/" + spec.workClass];
    learn(estimate, runTime, now);
    learn(service.overall, runTime, now);
}

void judgeWorker(Dispatcher &dispatcher, ServiceState &service, const std::string &id,
                 bool succeeded, Time now)
{
    const auto found = service.pool.workers.find(id);
    if (found == service.pool.workers.end())
        return;
    Worker &worker = found->second;
    unplaceWorker(service.pool, worker);
    const bool changed = recordOutcome(service.pool.health, worker.health, succeeded, now);
    if (changed && worker.health.standing == Standing::Ejected)
        ++dispatcher.counters.ejections;
    placeWorker(service.pool, worker);
}

void endTask(Dispatcher &dispatcher, Job &job, Task &task, const agent::Finished &finished,
             Time now, Actions &actions)
{
    ServiceState &service = serviceOf(dispatcher, job.spec.service);
    const bool succeeded = finished.end == agent::TaskEnd::Succeeded;
    takeOffWorker(dispatcher, job, task, finished.runTime);
    task.state = TaskState::Done;
    ++dispatcher.counters.results;
    if (succeeded)
        learnRunTime(service, job.spec, finished.runTime, now);
    if (succeeded || finished.end == agent::TaskEnd::Failed)
        judgeWorker(dispatcher, service, finished.agent, succeeded, now);
    if (finished.end == agent::TaskEnd::DeadlinePassed)
        return failJob(dispatcher, job, ErrorKind::DeadlinePassed,
                       "the deadline passed while the work ran; allow more time", now, actions);
    if (!succeeded)
        return failJob(dispatcher, job, ErrorKind::TaskFailed,
                       "task " + std::to_string(finished.ref.task)
                               + " failed at its endpoint: " + finished.body.substr(0, 200),
                       now, actions);
    task.result = finished.body;
    ++job.done;
    if (job.done == job.tasks.size() && job.state == JobState::Active)
        completeJob(dispatcher, job, now, actions);
}

void takeFinished(Dispatcher &dispatcher, const agent::Finished &finished, Time now,
                  Actions &actions)
{
    actions.sends.push_back({ finished.agent, agent::Settle { { finished.ref } } });
    const auto found = dispatcher.jobs.find(finished.ref.job);
    Task *task = found == dispatcher.jobs.end()
            ? nullptr
            : currentTask(found->second, finished.ref, finished.agent, finished.agentIncarnation);
    if (!task) {
        ++dispatcher.counters.unexpectedResults;
        return;
    }
    endTask(dispatcher, found->second, *task, finished, now, actions);
    bindTasks(dispatcher, serviceOf(dispatcher, found->second.spec.service), now, actions);
}

void restWorker(Dispatcher &dispatcher, const Job &job, const std::string &id, Time until)
{
    WorkerPool &pool = serviceOf(dispatcher, job.spec.service).pool;
    const auto found = pool.workers.find(id);
    if (found == pool.workers.end())
        return;
    unplaceWorker(pool, found->second);
    found->second.restUntil = until;
}

Milliseconds refusalPause(const DispatchSettings &settings, std::uint32_t refusals)
{
    Milliseconds pause = settings.refusalPause;
    for (std::uint32_t i = 1; i < refusals && pause < settings.longestRefusalPause; ++i)
        pause *= 2;
    return std::min(pause, settings.longestRefusalPause);
}

void takeNotStarted(Dispatcher &dispatcher, const agent::NotStarted &message, Time now,
                    Actions &actions)
{
    const auto found = dispatcher.jobs.find(message.ref.job);
    if (found == dispatcher.jobs.end())
        return;
    Job &job = found->second;
    Task *task = currentTask(job, message.ref, message.agent, message.agentIncarnation);
    if (!task)
        return;
    ++dispatcher.counters.refusals;
    ++job.refusals;
    const bool ownedElsewhere = message.cause == agent::RefusalCause::OtherAttemptStarted
            || message.cause == agent::RefusalCause::Fenced;
    if (ownedElsewhere) {
        job.mayHaveRun = true;
        return failJob(dispatcher, job, ErrorKind::WorkerLost,
                       "another entry has this work by now; ask again with the same id", now,
                       actions);
    }
    const Milliseconds pause = refusalPause(dispatcher.settings, job.refusals);
    markWaiting(dispatcher, job, *task);
    restWorker(dispatcher, job, message.agent, now + pause);
    if (job.refusals > dispatcher.settings.mostRefusals)
        return failJob(dispatcher, job, ErrorKind::Unavailable,
                       "no worker took this work; look at the state of the service's workers", now,
                       actions);
    job.holdUntil = now + pause;
    dispatcher.held.push_back(job.spec.key);
    requeue(dispatcher, job, now);
}

void takeStarted(Dispatcher &dispatcher, const agent::Started &message)
{
    const auto found = dispatcher.jobs.find(message.ref.job);
    if (found == dispatcher.jobs.end())
        return;
    Task *task = currentTask(found->second, message.ref, message.agent, message.agentIncarnation);
    if (task)
        task->state = TaskState::Running;
}

// [SECTION] Lost workers

bool mayRetry(const Dispatcher &dispatcher, const Job &job, Time now)
{
    return job.spec.request && job.spec.repeatable && now < job.spec.deadline
            && dispatcher.retryTokens >= 1;
}

// A task whose worker is lost may have run, fully or in part.
void loseTask(Dispatcher &dispatcher, Job &job, Task &task, Time now, Actions &actions)
{
    job.mayHaveRun = true;
    if (!mayRetry(dispatcher, job, now))
        return failJob(dispatcher, job, ErrorKind::WorkerLost,
                       "the worker " + task.agent
                               + " was lost while it had this work; check its effects before you "
                                 "submit it anew",
                       now, actions);
    dispatcher.retryTokens -= 1;
    ++dispatcher.counters.retries;
    markWaiting(dispatcher, job, task);
    requeue(dispatcher, job, now);
}

// Handles the loss of all tasks on incarnations of an agent that are older than the given one.
void loseTasksOn(Dispatcher &dispatcher, const std::string &agentId, std::uint64_t before, Time now,
                 Actions &actions)
{
    const std::vector<agent::TaskRef> refs = dispatcher.outstanding;
    for (const agent::TaskRef &ref : refs) {
        Job &job = dispatcher.jobs.at(ref.job);
        if (job.state == JobState::Ended)
            continue;
        Task &task = job.tasks[ref.task];
        if (task.agent == agentId && task.agentIncarnation < before)
            loseTask(dispatcher, job, task, now, actions);
    }
}

void takeLeaseOffer(Dispatcher &dispatcher, const agent::LeaseOffer &offer, Time now,
                    Actions &actions)
{
    ServiceState &service = serviceOf(dispatcher, offer.service);
    const OfferEffect effect = takeOffer(service.pool, offer, now);
    if (effect == OfferEffect::Stale)
        return;
    if (effect == OfferEffect::Restarted)
        loseTasksOn(dispatcher, offer.agent, offer.agentIncarnation, now, actions);
    agent::LeaseAccepted taken;
    taken.owner = dispatcher.settings.id;
    taken.ownerIncarnation = dispatcher.settings.incarnation;
    taken.leaseEpoch = offer.leaseEpoch;
    taken.agentIncarnation = offer.agentIncarnation;
    actions.sends.push_back({ offer.agent, taken });
    bindTasks(dispatcher, service, now, actions);
}

// Any message from its current incarnation shows that an agent is alive.
void hearAgent(Dispatcher &dispatcher, const std::string &agentId, std::uint64_t incarnation,
               Time now)
{
    for (auto &service : dispatcher.services) {
        const auto found = service.second.pool.workers.find(agentId);
        if (found != service.second.pool.workers.end() && found->second.incarnation == incarnation)
            found->second.lastHeard = now;
    }
}

// [SECTION] Timers

void tickWorker(Dispatcher &dispatcher, ServiceState &service, Worker &worker, Time now)
{
    WorkerPool &pool = service.pool;
    unplaceWorker(pool, worker);
    if (worker.restUntil != Time {} && now >= worker.restUntil)
        worker.restUntil = Time {};
    if (worker.leased && now >= worker.lastOffer + dispatcher.settings.leaseDuration)
        endLease(pool, worker);
    endEjection(worker.health, now);
    placeWorker(pool, worker);
}

void tickWorkers(Dispatcher &dispatcher, ServiceState &service, Time now, Actions &actions)
{
    std::vector<std::string> lost;
    for (auto &entry : service.pool.workers) {
        tickWorker(dispatcher, service, entry.second, now);
        if (now >= entry.second.lastHeard + dispatcher.settings.workerTimeout)
            lost.push_back(entry.first);
    }
    for (const std::string &id : lost) {
        ++dispatcher.counters.workersLost;
        loseTasksOn(dispatcher, id, UINT64_MAX, now, actions);
        dropWorker(service.pool, id);
    }
}

void verifyTask(Dispatcher &dispatcher, Job &job, Task &task, Time now, Actions &actions)
{
    agent::Void query;
    query.from = dispatcher.settings.id;
    query.ref = refOf(job, task);
    query.agentIncarnation = task.agentIncarnation;
    actions.sends.push_back({ task.agent, query });
    ++dispatcher.counters.verifications;
    task.verifyWait = std::min(task.verifyWait * 2, dispatcher.settings.longestVerify);
    task.nextVerify = now + task.verifyWait;
}

// Tasks of a job that was taken over may be on workers that never offered this entry a lease. They
// count as lost after the worker timeout, too.
bool unknownWorkerIsLost(const Dispatcher &dispatcher, const Job &job, const Task &task, Time now)
{
    const WorkerPool &pool = dispatcher.services.at(job.spec.service).pool;
    return pool.workers.count(task.agent) == 0
            && now >= task.sentAt + dispatcher.settings.workerTimeout;
}

void tickOutstanding(Dispatcher &dispatcher, Time now, Actions &actions)
{
    const std::vector<agent::TaskRef> refs = dispatcher.outstanding;
    for (const agent::TaskRef &ref : refs) {
        Job &job = dispatcher.jobs.at(ref.job);
        if (job.state == JobState::Ended)
            continue;
        Task &task = job.tasks[ref.task];
        if (unknownWorkerIsLost(dispatcher, job, task, now))
            loseTask(dispatcher, job, task, now, actions);
        else if (now >= task.nextVerify)
            verifyTask(dispatcher, job, task, now, actions);
    }
}

void tickDeadlines(Dispatcher &dispatcher, Time now, Actions &actions)
{
    while (!dispatcher.deadlines.empty() && dispatcher.deadlines.begin()->deadline <= now) {
        Job &job = dispatcher.jobs.at(dispatcher.deadlines.begin()->key);
        failJob(dispatcher, job, ErrorKind::DeadlinePassed,
                "the deadline passed before the work was done; allow more time or send less", now,
                actions);
    }
}

void tickHeld(Dispatcher &dispatcher, Time now)
{
    std::vector<std::string> keys;
    keys.swap(dispatcher.held);
    for (const std::string &key : keys) {
        const auto found = dispatcher.jobs.find(key);
        if (found == dispatcher.jobs.end() || found->second.state == JobState::Ended)
            continue;
        if (now >= found->second.holdUntil)
            requeue(dispatcher, found->second, now);
        else
            dispatcher.held.push_back(key);
    }
}

Microseconds expectedWait(const ServiceState &service)
{
    const std::uint32_t slots = std::max(service.pool.slots, 1U);
    return service.overall.mean * service.waitingTasks / slots;
}

} // namespace

// [SECTION] Functions

Dispatcher makeDispatcher(const DispatchSettings &settings)
{
    Dispatcher dispatcher;
    dispatcher.settings = settings;
    dispatcher.retryTokens = settings.retryReserve;
    return dispatcher;
}

Microseconds expectedTime(const ServiceState &service, const JobSpec &spec)
{
    const auto found = service.estimates.find(spec.team + "/" + spec.workClass);
    if (found != service.estimates.end())
        return found->second.mean;
    return spec.declaredTime > Microseconds::zero() ? spec.declaredTime : UnknownTime;
}

namespace {

// Run time that is reliable enough to refuse work by, else zero. Declared times and means of few or
// old samples are often far off; admitting such work brings new samples.
Microseconds reliableTime(const ServiceState &service, const JobSpec &spec, Time now)
{
    constexpr std::uint32_t FewestSamples = 16;
    constexpr Seconds LongestAge { 5 };
    const auto found = service.estimates.find(spec.team + "/" + spec.workClass);
    const bool reliable = found != service.estimates.end() && found->second.samples >= FewestSamples
            && now < found->second.learnedAt + LongestAge;
    return reliable ? found->second.mean : Microseconds::zero();
}

} // namespace

std::optional<Error> checkAdmission(const Dispatcher &dispatcher, const JobSpec &spec, Time now)
{
    if (spec.deadline <= now)
        return Error { ErrorKind::DeadlinePassed, "the deadline is over; send a later one",
                       Outcome::NotRun, Milliseconds { 0 } };
    const auto found = dispatcher.services.find(spec.service);
    if (found == dispatcher.services.end())
        return std::nullopt;
    const ServiceState &service = found->second;
    const Microseconds wait = expectedWait(service);
    const auto comeBack = std::chrono::duration_cast<Milliseconds>(wait / 2);
    if (service.waitingTasks + spec.payloads.size() > dispatcher.settings.maxQueuedTasks)
        return Error { ErrorKind::QueueFull,
                       "the queue of " + spec.service + " is full; come back later",
                       Outcome::NotRun, std::max(comeBack, Milliseconds { 100 }) };
    const Microseconds needed = wait + reliableTime(service, spec, now);
    if (now + needed > spec.deadline)
        return Error { ErrorKind::DeadlineUnreachable,
                       "the work can't be done before its deadline; come back later or allow more "
                       "time",
                       Outcome::NotRun, std::max(comeBack, Milliseconds { 100 }) };
    return std::nullopt;
}

Actions submitJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch, Time now)
{
    Actions actions;
    ServiceState &service = serviceOf(dispatcher, spec.service);
    Job &job = addJob(dispatcher, spec, epoch, now);
    requeue(dispatcher, job, now);
    bindTasks(dispatcher, service, now, actions);
    return actions;
}

void setTeamLimit(Dispatcher &dispatcher, const std::string &team, std::uint32_t limit)
{
    dispatcher.teamLimits[team] = limit;
    for (auto &service : dispatcher.services)
        blockTeam(service.second.queue, team, dispatcher.teamRunning[team] >= limit);
}

void clearTeamLimit(Dispatcher &dispatcher, const std::string &team)
{
    dispatcher.teamLimits.erase(team);
    for (auto &service : dispatcher.services)
        blockTeam(service.second.queue, team, false);
}

TeamLoad teamLoad(const Dispatcher &dispatcher, const std::string &team)
{
    TeamLoad load;
    const auto running = dispatcher.teamRunning.find(team);
    const auto waiting = dispatcher.teamWaiting.find(team);
    load.running = running == dispatcher.teamRunning.end() ? 0 : running->second;
    load.waiting = waiting == dispatcher.teamWaiting.end() ? 0 : waiting->second;
    return load;
}

Actions takeOverJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch,
                    const Takeover &takeover, Time now)
{
    Actions actions;
    serviceOf(dispatcher, spec.service);
    Job &job = addJob(dispatcher, spec, epoch, now);
    ++dispatcher.counters.takeovers;
    job.state = JobState::Collecting;
    job.mayHaveRun = true;
    job.collectUntil = now + dispatcher.settings.collectSpan;
    job.unanswered = takeover.agents;
    job.collectionHasGaps = takeover.incomplete;
    job.claimedAt = takeover.claimedAt;
    if (job.unanswered.empty()) {
        endCollection(dispatcher, job, now, actions);
    } else {
        dispatcher.collecting.push_back(spec.key);
        sendFences(dispatcher, job, now, actions);
    }
    bindEverywhere(dispatcher, now, actions);
    return actions;
}

Actions cancelJob(Dispatcher &dispatcher, const std::string &key, Time now)
{
    Actions actions;
    const auto found = dispatcher.jobs.find(key);
    if (found == dispatcher.jobs.end())
        return actions;
    failJob(dispatcher, found->second, ErrorKind::Cancelled, "cancelled by its caller", now,
            actions);
    bindTasks(dispatcher, serviceOf(dispatcher, found->second.spec.service), now, actions);
    return actions;
}

Actions handle(Dispatcher &dispatcher, const agent::FromAgent &message, Time now)
{
    Actions actions;
    std::visit([&](const auto &
                           held) { hearAgent(dispatcher, held.agent, held.agentIncarnation, now); },
               message);
    if (const auto *offer = std::get_if<agent::LeaseOffer>(&message)) {
        takeLeaseOffer(dispatcher, *offer, now, actions);
    } else if (const auto *finished = std::get_if<agent::Finished>(&message)) {
        takeFinished(dispatcher, *finished, now, actions);
    } else if (const auto *notStarted = std::get_if<agent::NotStarted>(&message)) {
        takeNotStarted(dispatcher, *notStarted, now, actions);
        bindEverywhere(dispatcher, now, actions);
    } else if (const auto *started = std::get_if<agent::Started>(&message)) {
        takeStarted(dispatcher, *started);
    } else if (const auto *fenced = std::get_if<agent::Fenced>(&message)) {
        const auto found = dispatcher.jobs.find(fenced->job);
        if (found != dispatcher.jobs.end())
            takeFenced(dispatcher, found->second, *fenced, now, actions);
        bindEverywhere(dispatcher, now, actions);
    }
    return actions;
}

Actions sendFailed(Dispatcher &dispatcher, const agent::ToAgent &message, Time now)
{
    Actions actions;
    const auto *start = std::get_if<agent::Start>(&message);
    if (!start)
        return actions; // other messages are repeated until they are answered
    const auto found = dispatcher.jobs.find(start->ref.job);
    if (found == dispatcher.jobs.end() || found->second.state == JobState::Ended)
        return actions;
    Job &job = found->second;
    Task &task = job.tasks[start->ref.task];
    if (task.state == TaskState::Sent && task.attempt == start->ref.attempt)
        verifyTask(dispatcher, job, task, now, actions);
    return actions;
}

Actions tick(Dispatcher &dispatcher, Time now)
{
    Actions actions;
    tickDeadlines(dispatcher, now, actions);
    if (now >= dispatcher.nextSweep) {
        dispatcher.nextSweep = now + dispatcher.settings.sweepInterval;
        for (auto &service : dispatcher.services)
            tickWorkers(dispatcher, service.second, now, actions);
        tickOutstanding(dispatcher, now, actions);
    }
    tickCollections(dispatcher, now, actions);
    tickHeld(dispatcher, now);
    forgetAnswers(dispatcher, now);
    bindEverywhere(dispatcher, now, actions);
    return actions;
}

const Job *findJob(const Dispatcher &dispatcher, const std::string &key)
{
    const auto found = dispatcher.jobs.find(key);
    return found == dispatcher.jobs.end() ? nullptr : &found->second;
}

ServiceLoad serviceLoad(const Dispatcher &dispatcher, const std::string &name)
{
    ServiceLoad load;
    const auto found = dispatcher.services.find(name);
    if (found == dispatcher.services.end())
        return load;
    load.slots = found->second.pool.slots;
    load.busy = found->second.runningTasks;
    load.waiting = found->second.waitingTasks;
    return load;
}

Actions transferWorker(Dispatcher &dispatcher, const std::string &serviceName,
                       const std::string &successor, const std::string &successorDataCentre,
                       bool successorStarved)
{
    Actions actions;
    WorkerPool &pool = serviceOf(dispatcher, serviceName).pool;
    Worker *chosen = nullptr;
    for (auto &entry : pool.workers) {
        Worker &worker = entry.second;
        const bool near = worker.dataCentre == successorDataCentre
                || worker.dataCentre != pool.dataCentre || successorStarved;
        const bool spare = worker.ours == 0 || successorStarved;
        const bool better = !chosen || worker.ours < chosen->ours;
        if (worker.leased && !worker.leaving && near && spare && better)
            chosen = &worker;
    }
    if (!chosen)
        return actions;
    endLease(pool, *chosen);
    ++dispatcher.counters.yields;
    const agent::TransferLease yield { dispatcher.settings.id, successor, chosen->leaseEpoch,
                                       chosen->incarnation };
    actions.sends.push_back({ chosen->id, yield });
    return actions;
}

std::size_t activeJobs(const Dispatcher &dispatcher)
{
    return dispatcher.jobs.size() - dispatcher.ended.size();
}

} // namespace foxwing::dispatch
