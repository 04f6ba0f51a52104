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
constexpr Microseconds DefaultRunTime { 200000 };

// The newest run time has one part in this many of the mean of its class.
constexpr int EstimateDivisor = 16;

// Upper limit of the retry budget.
constexpr double MaxRetryTokens = 1000;

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
                                      MaxRetryTokens);
}

Task *firstWaitingTask(Job &job)
{
    for (Task &task : job.tasks) {
        if (task.state == TaskState::Waiting)
            return &task;
    }
    return nullptr;
}

// Assigns waiting tasks to free slots until either runs out.
void assignTasks(Dispatcher &dispatcher, ServiceState &service, Time now, Actions &actions)
{
    while (const std::string *key = nextJob(service.queue, now)) {
        Job &job = dispatcher.jobs.at(*key);
        Worker *worker = pickWorker(service.pool, job.spec.repeatable);
        if (!worker)
            return;
        sendStart(dispatcher, job, *firstWaitingTask(job), *worker, now, actions);
        requeue(dispatcher, job, now);
    }
}

void assignAllServices(Dispatcher &dispatcher, Time now, Actions &actions)
{
    for (auto &service : dispatcher.services)
        assignTasks(dispatcher, service.second, now, actions);
}

ServiceState &findOrAddService(Dispatcher &dispatcher, const std::string &name)
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

void addSample(ClassEstimate &estimate, Microseconds runTime, Time now)
{
    estimate.updatedAt = now;
    ++estimate.samples;
    if (estimate.samples == 1)
        estimate.mean = runTime;
    else
        estimate.mean += (runTime - estimate.mean) / EstimateDivisor;
}

void recordRunTime(ServiceState &service, const JobSpec &spec, Microseconds runTime, Time now)
{
    ClassEstimate &estimate = service.estimates[spec.team + "/" + spec.workClass];
    addSample(estimate, runTime, now);
    addSample(service.overall, runTime, now);
}

void updateWorkerHealth(Dispatcher &dispatcher, ServiceState &service, const std::string &id,
                        bool succeeded, Time now)
{
    const auto found = service.pool.workers.find(id);
    if (found == service.pool.workers.end())
        return;
    Worker &worker = found->second;
    unindexWorker(service.pool, worker);
    const bool changed = recordOutcome(service.pool.health, worker.health, succeeded, now);
    if (changed && worker.health.status == HealthStatus::Ejected)
        ++dispatcher.counters.ejections;
    indexWorker(service.pool, worker);
}

void endTask(Dispatcher &dispatcher, Job &job, Task &task, const agent::Finished &finished,
             Time now, Actions &actions)
{
    ServiceState &service = findOrAddService(dispatcher, job.spec.service);
    const bool succeeded = finished.end == agent::TaskEnd::Succeeded;
    releaseTask(dispatcher, job, task, finished.runTime);
    task.state = TaskState::Done;
    ++dispatcher.counters.results;
    if (succeeded)
        recordRunTime(service, job.spec, finished.runTime, now);
    if (succeeded || finished.end == agent::TaskEnd::Failed)
        updateWorkerHealth(dispatcher, service, finished.agent, succeeded, now);
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

void handleFinished(Dispatcher &dispatcher, const agent::Finished &finished, Time now,
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
    assignTasks(dispatcher, findOrAddService(dispatcher, found->second.spec.service), now, actions);
}

void backOffWorker(Dispatcher &dispatcher, const Job &job, const std::string &id, Time until)
{
    WorkerPool &pool = findOrAddService(dispatcher, job.spec.service).pool;
    const auto found = pool.workers.find(id);
    if (found == pool.workers.end())
        return;
    unindexWorker(pool, found->second);
    found->second.backoffUntil = until;
}

Milliseconds refusalBackoff(const DispatchSettings &settings, std::uint32_t refusals)
{
    Milliseconds backoff = settings.refusalBackoff;
    for (std::uint32_t i = 1; i < refusals && backoff < settings.maxRefusalBackoff; ++i)
        backoff *= 2;
    return std::min(backoff, settings.maxRefusalBackoff);
}

void handleNotStarted(Dispatcher &dispatcher, const agent::NotStarted &message, Time now,
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
                       "another entry owns this job now; ask again with the same id", now, actions);
    }
    const Milliseconds backoff = refusalBackoff(dispatcher.settings, job.refusals);
    markWaiting(dispatcher, job, *task);
    backOffWorker(dispatcher, job, message.agent, now + backoff);
    if (job.refusals > dispatcher.settings.maxRefusals)
        return failJob(dispatcher, job, ErrorKind::Unavailable,
                       "no worker took this work; look at the state of the service's workers", now,
                       actions);
    job.backoffUntil = now + backoff;
    dispatcher.backoffJobs.push_back(job.spec.key);
    requeue(dispatcher, job, now);
}

void handleStarted(Dispatcher &dispatcher, const agent::Started &message)
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
void handleTaskLoss(Dispatcher &dispatcher, Job &job, Task &task, Time now, Actions &actions)
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
void handleTaskLosses(Dispatcher &dispatcher, const std::string &agentId, std::uint64_t before,
                      Time now, Actions &actions)
{
    const std::vector<agent::TaskRef> refs = dispatcher.outstanding;
    for (const agent::TaskRef &ref : refs) {
        Job &job = dispatcher.jobs.at(ref.job);
        if (job.state == JobState::Ended)
            continue;
        Task &task = job.tasks[ref.task];
        if (task.agent == agentId && task.agentIncarnation < before)
            handleTaskLoss(dispatcher, job, task, now, actions);
    }
}

void handleLeaseOffer(Dispatcher &dispatcher, const agent::LeaseOffer &offer, Time now,
                      Actions &actions)
{
    ServiceState &service = findOrAddService(dispatcher, offer.service);
    const OfferEffect effect = applyOffer(service.pool, offer, now);
    if (effect == OfferEffect::Stale)
        return;
    if (effect == OfferEffect::Restarted)
        handleTaskLosses(dispatcher, offer.agent, offer.agentIncarnation, now, actions);
    agent::LeaseAccepted accepted;
    accepted.owner = dispatcher.settings.id;
    accepted.ownerIncarnation = dispatcher.settings.incarnation;
    accepted.leaseEpoch = offer.leaseEpoch;
    accepted.agentIncarnation = offer.agentIncarnation;
    actions.sends.push_back({ offer.agent, accepted });
    assignTasks(dispatcher, service, now, actions);
}

// Any message from its current incarnation shows that an agent is alive.
void recordAgentActivity(Dispatcher &dispatcher, const std::string &agentId,
                         std::uint64_t incarnation, Time now)
{
    for (auto &service : dispatcher.services) {
        const auto found = service.second.pool.workers.find(agentId);
        if (found != service.second.pool.workers.end() && found->second.incarnation == incarnation)
            found->second.lastReceivedAt = now;
    }
}

// [SECTION] Timers

void tickWorker(Dispatcher &dispatcher, ServiceState &service, Worker &worker, Time now)
{
    WorkerPool &pool = service.pool;
    unindexWorker(pool, worker);
    if (worker.backoffUntil != Time {} && now >= worker.backoffUntil)
        worker.backoffUntil = Time {};
    if (worker.leased && now >= worker.lastOfferAt + dispatcher.settings.leaseDuration)
        endLease(pool, worker);
    endEjection(worker.health, now);
    indexWorker(pool, worker);
}

void tickWorkers(Dispatcher &dispatcher, ServiceState &service, Time now, Actions &actions)
{
    std::vector<std::string> lost;
    for (auto &item : service.pool.workers) {
        tickWorker(dispatcher, service, item.second, now);
        if (now >= item.second.lastReceivedAt + dispatcher.settings.workerTimeout)
            lost.push_back(item.first);
    }
    for (const std::string &id : lost) {
        ++dispatcher.counters.workersLost;
        handleTaskLosses(dispatcher, id, UINT64_MAX, now, actions);
        removeWorker(service.pool, id);
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
    task.verifyInterval = std::min(task.verifyInterval * 2, dispatcher.settings.maxVerifyInterval);
    task.nextVerifyAt = now + task.verifyInterval;
}

// Tasks of a job that was taken over may be on workers that never offered this entry a lease. They
// count as lost after the worker timeout, too.
bool isUnknownWorkerLost(const Dispatcher &dispatcher, const Job &job, const Task &task, Time now)
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
        if (isUnknownWorkerLost(dispatcher, job, task, now))
            handleTaskLoss(dispatcher, job, task, now, actions);
        else if (now >= task.nextVerifyAt)
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

void tickBackoffs(Dispatcher &dispatcher, Time now)
{
    std::vector<std::string> keys;
    keys.swap(dispatcher.backoffJobs);
    for (const std::string &key : keys) {
        const auto found = dispatcher.jobs.find(key);
        if (found == dispatcher.jobs.end() || found->second.state == JobState::Ended)
            continue;
        if (now >= found->second.backoffUntil)
            requeue(dispatcher, found->second, now);
        else
            dispatcher.backoffJobs.push_back(key);
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
    dispatcher.retryTokens = settings.initialRetryTokens;
    return dispatcher;
}

Microseconds expectedRunTime(const ServiceState &service, const JobSpec &spec)
{
    const auto found = service.estimates.find(spec.team + "/" + spec.workClass);
    if (found != service.estimates.end())
        return found->second.mean;
    return spec.declaredTime > Microseconds::zero() ? spec.declaredTime : DefaultRunTime;
}

namespace {

// Run time that is reliable enough to refuse work by, else zero. Declared times and means of few or
// old samples are often far off; admitting such work brings new samples.
Microseconds reliableRunTime(const ServiceState &service, const JobSpec &spec, Time now)
{
    constexpr std::uint32_t MinSamples = 16;
    constexpr Seconds MaxAge { 5 };
    const auto found = service.estimates.find(spec.team + "/" + spec.workClass);
    const bool reliable = found != service.estimates.end() && found->second.samples >= MinSamples
            && now < found->second.updatedAt + MaxAge;
    return reliable ? found->second.mean : Microseconds::zero();
}

} // namespace

std::optional<Error> checkAdmission(const Dispatcher &dispatcher, const JobSpec &spec, Time now)
{
    if (spec.deadline <= now)
        return Error { ErrorKind::DeadlinePassed,
                       "the deadline has already passed; send a later one", Outcome::NotRun,
                       Milliseconds { 0 } };
    const auto found = dispatcher.services.find(spec.service);
    if (found == dispatcher.services.end())
        return std::nullopt;
    const ServiceState &service = found->second;
    const Microseconds wait = expectedWait(service);
    const auto retryAfter = std::chrono::duration_cast<Milliseconds>(wait / 2);
    if (service.waitingTasks + spec.payloads.size() > dispatcher.settings.maxQueuedTasks)
        return Error { ErrorKind::QueueFull,
                       "the queue of " + spec.service + " is full; retry later", Outcome::NotRun,
                       std::max(retryAfter, Milliseconds { 100 }) };
    const Microseconds needed = wait + reliableRunTime(service, spec, now);
    if (now + needed > spec.deadline)
        return Error { ErrorKind::DeadlineUnreachable,
                       "the work is not expected to be done before its deadline; retry later or "
                       "allow more time",
                       Outcome::NotRun, std::max(retryAfter, Milliseconds { 100 }) };
    return std::nullopt;
}

Actions submitJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch, Time now)
{
    Actions actions;
    ServiceState &service = findOrAddService(dispatcher, spec.service);
    Job &job = addJob(dispatcher, spec, epoch, now);
    requeue(dispatcher, job, now);
    assignTasks(dispatcher, service, now, actions);
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
    findOrAddService(dispatcher, spec.service);
    Job &job = addJob(dispatcher, spec, epoch, now);
    ++dispatcher.counters.takeovers;
    job.state = JobState::Collecting;
    job.mayHaveRun = true;
    job.collectDeadline = now + dispatcher.settings.collectTimeout;
    job.unansweredFences = takeover.agents;
    job.collectionIncomplete = takeover.incomplete;
    job.claimedAt = takeover.claimedAt;
    if (job.unansweredFences.empty()) {
        endCollection(dispatcher, job, now, actions);
    } else {
        dispatcher.collecting.push_back(spec.key);
        sendFences(dispatcher, job, now, actions);
    }
    assignAllServices(dispatcher, now, actions);
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
    assignTasks(dispatcher, findOrAddService(dispatcher, found->second.spec.service), now, actions);
    return actions;
}

Actions handle(Dispatcher &dispatcher, const agent::FromAgent &message, Time now)
{
    Actions actions;
    std::visit(
            [&](const auto &incoming) {
                recordAgentActivity(dispatcher, incoming.agent, incoming.agentIncarnation, now);
            },
            message);
    if (const auto *offer = std::get_if<agent::LeaseOffer>(&message)) {
        handleLeaseOffer(dispatcher, *offer, now, actions);
    } else if (const auto *finished = std::get_if<agent::Finished>(&message)) {
        handleFinished(dispatcher, *finished, now, actions);
    } else if (const auto *notStarted = std::get_if<agent::NotStarted>(&message)) {
        handleNotStarted(dispatcher, *notStarted, now, actions);
        assignAllServices(dispatcher, now, actions);
    } else if (const auto *started = std::get_if<agent::Started>(&message)) {
        handleStarted(dispatcher, *started);
    } else if (const auto *fenced = std::get_if<agent::Fenced>(&message)) {
        const auto found = dispatcher.jobs.find(fenced->job);
        if (found != dispatcher.jobs.end())
            handleFenced(dispatcher, found->second, *fenced, now, actions);
        assignAllServices(dispatcher, now, actions);
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
    if (now >= dispatcher.nextSweepAt) {
        dispatcher.nextSweepAt = now + dispatcher.settings.sweepInterval;
        for (auto &service : dispatcher.services)
            tickWorkers(dispatcher, service.second, now, actions);
        tickOutstanding(dispatcher, now, actions);
    }
    tickCollections(dispatcher, now, actions);
    tickBackoffs(dispatcher, now);
    evictAnswers(dispatcher, now);
    assignAllServices(dispatcher, now, actions);
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
    WorkerPool &pool = findOrAddService(dispatcher, serviceName).pool;
    Worker *chosen = nullptr;
    for (auto &item : pool.workers) {
        Worker &worker = item.second;
        // A worker in this entry's data centre is kept, unless the successor is in it or starved.
        const bool dataCentreFits = worker.dataCentre == successorDataCentre
                || worker.dataCentre != pool.dataCentre || successorStarved;
        const bool canSpare = worker.ownTasks == 0 || successorStarved;
        const bool better = !chosen || worker.ownTasks < chosen->ownTasks;
        if (worker.leased && !worker.leaving && dataCentreFits && canSpare && better)
            chosen = &worker;
    }
    if (!chosen)
        return actions;
    endLease(pool, *chosen);
    ++dispatcher.counters.transfers;
    const agent::TransferLease transfer { dispatcher.settings.id, successor, chosen->leaseEpoch,
                                          chosen->incarnation };
    actions.sends.push_back({ chosen->id, transfer });
    return actions;
}

std::size_t activeJobs(const Dispatcher &dispatcher)
{
    return dispatcher.jobs.size() - dispatcher.ended.size();
}

} // namespace foxwing::dispatch
