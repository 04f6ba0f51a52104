/*
    Events of agents, cordons and time. The arrival of jobs is in admission.cpp, the ends of runs in
    completion.cpp.

    [SECTION] Names
    [SECTION] Agents
    [SECTION] Cordons
    [SECTION] Time
*/
#include <foxwing/scheduler/scheduler.h>

#include <algorithm>

#include "internal.h"

namespace foxwing::scheduler {

using eventlog::change;

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
    case Placement::MostFree:
        return "most-room";
    case Placement::Fastest:
        break;
    }
    return "fastest";
}

std::optional<Placement> parsePlacement(const std::string &name)
{
    for (const Placement placement :
         { Placement::Fastest, Placement::Random, Placement::MostFree }) {
        if (name == toString(placement))
            return placement;
    }
    return std::nullopt;
}

const char *toString(Order order)
{
    switch (order) {
    case Order::LatestStart:
        return "latest-begin";
    case Order::NewestFirst:
        return "newest";
    case Order::FirstCome:
        return "first-come";
    case Order::LeastWork:
        return "least-work";
    case Order::Priority:
        break;
    }
    return "priority";
}

std::optional<Order> parseOrder(const std::string &name)
{
    for (const Order order : { Order::LatestStart, Order::NewestFirst, Order::FirstCome,
                               Order::Priority, Order::LeastWork }) {
        if (name == toString(order))
            return order;
    }
    return std::nullopt;
}

const char *toString(WaitingQueues queues)
{
    return queues == WaitingQueues::MostUrgent ? "most-urgent" : "all-but-least";
}

std::optional<WaitingQueues> parseWaitingQueues(const std::string &name)
{
    for (const WaitingQueues queues : { WaitingQueues::MostUrgent, WaitingQueues::AllButLeast }) {
        if (name == toString(queues))
            return queues;
    }
    return std::nullopt;
}

SchedulerState makeScheduler(const SchedulerSettings &settings)
{
    SchedulerState scheduler;
    scheduler.settings = settings;
    scheduler.shares.settings = settings.shares;
    scheduler.random.seed(settings.seed);
    return scheduler;
}

// [SECTION] Agents

void sendHeartbeat(const SchedulerState &scheduler, const std::string &name, Agent &agent, Time now,
                   SchedulerActions &actions)
{
    agent.lastSentAt = now;
    agent.reportedNeed = now < scheduler.needsCapacityUntil;
    actions.sends.push_back(
            { name, jobs::SessionHeartbeat { ++agent.heartbeat, agent.reportedNeed } });
}

SchedulerActions agentConnected(SchedulerState &scheduler, const std::string &agent, Time now)
{
    SchedulerActions actions;
    Agent added;
    added.lastSentAt = now;
    added.lastReceivedAt = now;
    scheduler.agents[agent] = added;
    return actions;
}

SchedulerActions agentAccepted(SchedulerState &scheduler, const std::string &name,
                               const jobs::SessionAccepted &accepted, Time now)
{
    SchedulerActions actions;
    Agent &agent = scheduler.agents[name];
    agent.endpoint = accepted.endpoint;
    agent.accepted = true;
    agent.lastReceivedAt = now;
    actions.events.push_back(change("agent-welcomed")
                                     .with("agent", name)
                                     .with("incarnation", accepted.incarnation)
                                     .with("life", accepted.endpoint.endpointIncarnation));
    handleCrashReports(scheduler, name, accepted.crashed, now, actions);
    // Nothing of an earlier session runs there any more.
    for (auto &[number, job] : scheduler.jobs) {
        for (Task &task : job.tasks) {
            if (task.state != TaskState::Uncertain || task.agent != name)
                continue;
            job.mayHaveBegun = true;
            requeueTask(scheduler, job, task);
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

namespace {

void recordMinFree(const SchedulerSettings &settings, Agent &agent, Time now)
{
    const std::int64_t free = agent.endpoint.free.milliCores;
    if (now >= agent.minFreeSince + settings.idleWindow) {
        agent.previousMinFree = agent.minFree;
        agent.minFree = free;
        agent.minFreeSince = now;
    }
    agent.minFree = std::min(agent.minFree, free);
}

// Applies the agent's report of its capacity.
void applyCapacityUpdate(Agent &agent, const jobs::AgentUpdate &update)
{
    if (!update.endpoint.empty())
        agent.endpoint = update.endpoint.front();
    agent.endpoint.free = update.free;
    agent.endpoint.maxStarts = update.maxStarts;
    agent.endpoint.slowdownPermille = update.slowdownPermille;
    agent.endpoint.leaving = update.leaving;
    agent.waiting = update.waiting;
    agent.freedPerSecond = update.freedPerSecond;
    agent.startsHandled = std::max(agent.startsHandled, update.startsHandled);
    const auto isIncluded = [&](const Agent::Pending &pending) {
        return pending.number <= agent.startsHandled;
    };
    agent.pending.erase(std::remove_if(agent.pending.begin(), agent.pending.end(), isIncluded),
                        agent.pending.end());
}

// Whether a start that did not fit before may fit now.
bool hasGrown(const jobs::ResourceVector &before, const jobs::ResourceVector &after)
{
    return after.milliCores > before.milliCores || after.megabytes > before.megabytes
            || after.accelerators > before.accelerators;
}

} // namespace

SchedulerActions agentUpdated(SchedulerState &scheduler, const std::string &name,
                              const jobs::AgentUpdate &update, Time now)
{
    SchedulerActions actions;
    const auto found = scheduler.agents.find(name);
    if (found == scheduler.agents.end() || !found->second.accepted)
        return actions;
    Agent &agent = found->second;
    agent.lastReceivedAt = now;
    const jobs::ResourceVector freeBefore = freeAt(agent);
    const std::uint32_t startsBefore = agent.endpoint.maxStarts;
    applyCapacityUpdate(agent, update);
    recordMinFree(scheduler.settings, agent, now);
    for (const jobs::RunReport &report : update.ended)
        handleRunReport(scheduler, name, report, now, actions);
    handleCrashReports(scheduler, name, update.crashed, now, actions);
    for (const jobs::StragglerReport &report : update.stragglers)
        handleStragglerReport(scheduler, name, report, now, actions);
    // Most updates report less free capacity, and then nothing that waits can start: trying every
    // waiting job at every endpoint for each of them would be far too much work. With 16 waiting
    // jobs and 80 endpoints, one update would have 1,280 endpoints examined, in place of none, or
    // of 16 if the agent has more capacity.
    if (scheduler.placementPending || !update.endpoint.empty())
        place(scheduler, now, actions);
    else if (hasGrown(freeBefore, freeAt(agent)) || agent.endpoint.maxStarts > startsBefore)
        placeAt(scheduler, name, now, actions);
    return actions;
}

SchedulerActions agentLost(SchedulerState &scheduler, const std::string &name, Time now)
{
    SchedulerActions actions;
    const auto found = scheduler.agents.find(name);
    if (found == scheduler.agents.end())
        return actions;
    const Time stoppedBy = found->second.lastSentAt + scheduler.settings.lostRunTimeout;
    std::uint64_t runs = 0;
    for (auto &[number, job] : scheduler.jobs) {
        for (Task &task : job.tasks) {
            if (task.state != TaskState::Placed || task.agent != name)
                continue;
            task.state = TaskState::Uncertain;
            task.stoppedBy = stoppedBy;
            ++runs;
        }
    }
    scheduler.counters.runsLost += runs;
    actions.events.push_back(change("agent-lost")
                                     .with("agent", name)
                                     .with("heard_ms_ago", now - found->second.lastReceivedAt)
                                     .with("runs_uncertain", runs));
    scheduler.agents.erase(found);
    return actions;
}

bool releaseAgent(SchedulerState &scheduler, const std::string &name)
{
    for (const auto &[number, job] : scheduler.jobs) {
        const bool here = std::any_of(job.tasks.begin(), job.tasks.end(), [&](const Task &task) {
            return task.state == TaskState::Placed && task.agent == name;
        });
        if (here)
            return false;
    }
    scheduler.agents.erase(name);
    return true;
}

// [SECTION] Cordons

namespace {

// Capacity of the endpoints that may take work, by service.
std::map<std::string, double> usableCapacity(const SchedulerState &scheduler)
{
    std::map<std::string, double> capacity;
    for (const auto &[name, agent] : scheduler.agents) {
        if (agent.accepted && !isCordoned(scheduler, agent))
            capacity[agent.endpoint.service] += static_cast<double>(
                    agent.endpoint.capacity.milliCores);
    }
    return capacity;
}

} // namespace

SchedulerActions applyCordons(SchedulerState &scheduler, const catalog::Cordons &cordons, Time now)
{
    SchedulerActions actions;
    if (cordons.revision <= scheduler.cordons.revision)
        return actions;
    const std::map<std::string, double> before = usableCapacity(scheduler);
    scheduler.cordons = cordons;
    std::map<std::string, double> after = usableCapacity(scheduler);
    // Jobs that the remaining endpoints can't serve are refused at once, not only after the rate at
    // which capacity is freed has been measured anew.
    for (const auto &[service, capacity] : before) {
        if (after[service] < capacity)
            scaleFreed(scheduler, service, after[service] / capacity);
    }
    place(scheduler, now, actions);
    return actions;
}

// [SECTION] Time

namespace {

void sendHeartbeats(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    for (auto &[name, agent] : scheduler.agents) {
        if (now >= agent.lastReceivedAt + scheduler.settings.agentTimeout && agent.accepted) {
            actions.closes.push_back(name);
            continue;
        }
        if (now < agent.lastSentAt + scheduler.settings.heartbeatInterval)
            continue;
        sendHeartbeat(scheduler, name, agent, now, actions);
    }
}

void requeueStopped(SchedulerState &scheduler, Time now)
{
    std::vector<std::uint64_t> changed;
    for (auto &[number, job] : scheduler.jobs) {
        if (job.outstanding == 0)
            continue;
        for (Task &task : job.tasks) {
            if (task.state != TaskState::Uncertain || now < task.stoppedBy)
                continue;
            job.mayHaveBegun = true;
            task.avoidedAgents.push_back(task.agent);
            requeueTask(scheduler, job, task);
            changed.push_back(number);
        }
    }
    for (const std::uint64_t number : changed)
        removeIfFinished(scheduler, number);
}

// When the caller stops waiting, whether or not the job has begun.
Time jobDeadline(const SchedulerState &scheduler, const Job &job)
{
    if (job.options.callerDeadline)
        return *job.options.callerDeadline;
    const auto objective = std::chrono::duration_cast<Milliseconds>(job.objectiveAt
                                                                    - job.arrivedAt);
    return job.arrivedAt
            + std::max<Microseconds>(scheduler.settings.maxJobDuration,
                                     scaled(objective, scheduler.settings.lateFactor));
}

// Gives up jobs whose callers no longer wait, and late or expired ones that have not begun.
void closeExpired(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    std::vector<std::uint64_t> expired;
    const std::set<std::uint64_t> toKeep = lateJobsToKeep(scheduler, now);
    for (const auto &[number, job] : scheduler.jobs) {
        const Time usefulUntil = scheduler.settings.refuseLate ? job.onTimeUntil : job.usefulUntil;
        const bool late = now > usefulUntil && toKeep.count(number) == 0;
        const bool expiredBeforeStart = certainlyNotBegun(job)
                && (late || now >= job.options.startDeadline);
        const bool callerGone = now >= jobDeadline(scheduler, job);
        if (!job.closed && (expiredBeforeStart || callerGone))
            expired.push_back(number);
    }
    for (const std::uint64_t number : expired) {
        Job &job = scheduler.jobs.at(number);
        const bool notRun = certainlyNotBegun(job);
        if (notRun)
            recordRefusedJob(scheduler, job, now);
        answerJob(scheduler, job, notRun ? JobOutcome::NotRun : JobOutcome::TimedOut,
                  notRun ? "no room came free in time" : "deadline exceeded", now, actions);
    }
}

} // namespace

SchedulerActions tick(SchedulerState &scheduler, Time now)
{
    SchedulerActions actions;
    sendHeartbeats(scheduler, now, actions);
    requeueStopped(scheduler, now);
    addReportedFreed(scheduler, now);
    closeExpired(scheduler, now, actions);
    updateQueueStatuses(scheduler, now, actions);
    place(scheduler, now, actions);
    return actions;
}

SchedulerActions closeAllJobs(SchedulerState &scheduler, const std::string &why, Time now)
{
    SchedulerActions actions;
    std::vector<std::uint64_t> open;
    for (const auto &[number, job] : scheduler.jobs) {
        if (!job.closed)
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

void retainQueues(SchedulerState &scheduler, const std::set<std::string> &declared)
{
    for (auto item = scheduler.runTimeModels.begin(); item != scheduler.runTimeModels.end();)
        item = declared.count(item->first) == 0 ? scheduler.runTimeModels.erase(item)
                                                : std::next(item);
    shares::retainQueues(scheduler.shares, declared);
    for (auto item = scheduler.queueStatuses.begin(); item != scheduler.queueStatuses.end();)
        item = declared.count(item->first) == 0 ? scheduler.queueStatuses.erase(item)
                                                : std::next(item);
    scheduler.mostUrgent = std::numeric_limits<std::uint32_t>::max();
    scheduler.leastUrgent = 0;
}

bool reachesEndpoints(const SchedulerState &scheduler)
{
    return std::any_of(scheduler.agents.begin(), scheduler.agents.end(), [](const auto &item) {
        return item.second.accepted && !item.second.endpoint.endpointIncarnation.empty();
    });
}

std::size_t openJobs(const SchedulerState &scheduler)
{
    return static_cast<std::size_t>(
            std::count_if(scheduler.jobs.begin(), scheduler.jobs.end(),
                          [](const auto &item) { return !item.second.closed; }));
}

} // namespace foxwing::scheduler
