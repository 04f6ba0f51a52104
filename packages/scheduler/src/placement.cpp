/*
    Placement of waiting tasks on endpoints.

    [SECTION] Endpoints
    [SECTION] Placement
*/
#include <algorithm>
#include <limits>

#include "internal.h"

namespace foxwing::scheduler {

// [SECTION] Endpoints

jobs::ResourceVector freeAt(const Agent &agent)
{
    jobs::ResourceVector free = agent.endpoint.free;
    for (const Agent::Pending &pending : agent.pending)
        free -= pending.demand;
    return free;
}

jobs::ResourceVector freeFor(const SchedulerState &scheduler, const Agent &agent, const Job &job)
{
    jobs::ResourceVector free = freeAt(agent);
    if (scheduler.settings.serveLate && job.group == QueueGroup::Late) {
        const std::int64_t idle = std::min(agent.minFree, agent.previousMinFree);
        free.milliCores -= agent.endpoint.free.milliCores - idle;
    }
    return free;
}

bool isCordoned(const SchedulerState &scheduler, const Agent &agent)
{
    return catalog::isCordoned(scheduler.cordons, agent.endpoint.dataCentre);
}

namespace {

bool hasLabel(const Agent &agent, const std::string &label)
{
    const std::vector<std::string> &labels = agent.endpoint.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool isAvoided(const Task &task, const std::string &agent)
{
    return std::find(task.avoidedAgents.begin(), task.avoidedAgents.end(), agent)
            != task.avoidedAgents.end();
}

bool isSuspect(const SchedulerState &scheduler, const Agent &agent, Time now)
{
    return now >= agent.lastReceivedAt + scheduler.settings.suspectAfter;
}

bool belowStepLimit(const Job &job, std::uint32_t step, std::uint32_t limit,
                    const std::string &agent)
{
    if (limit == 0)
        return true;
    const auto here = std::count_if(job.tasks.begin(), job.tasks.end(), [&](const Task &task) {
        return task.step == step && task.agent == agent && task.state != TaskState::Waiting
                && task.state != TaskState::Done;
    });
    return static_cast<std::uint32_t>(here) < limit;
}

bool isRemote(const SchedulerState &scheduler, const Agent &agent)
{
    const std::string &here = scheduler.settings.dataCentre;
    return !here.empty() && agent.endpoint.dataCentre != here;
}

// Added cost of an endpoint in another data centre, on the scale of its slowdown.
double remoteCost(const SchedulerState &scheduler, const Agent &agent)
{
    return isRemote(scheduler, agent) ? scheduler.settings.remotePercent / 100.0 : 0;
}

// Smaller is better. Speed and the entry's own data centre come first. Load counts a little, since
// other entries also send their work where there is capacity, and so does chance, so that entries
// make different choices.
double costOf(SchedulerState &scheduler, const Agent &agent, const jobs::ResourceVector &free,
              const jobs::StepSpec &step, const Task &task)
{
    constexpr double LoadWeight = 0.3;
    constexpr double RandomWeight = 0.1;
    std::uniform_real_distribution<double> chance(0, 1);
    if (scheduler.settings.placement == Placement::Random)
        return chance(scheduler.random);
    const double capacity = std::max<double>(1,
                                             static_cast<double>(
                                                     agent.endpoint.capacity.milliCores));
    const double load = 1 - static_cast<double>(free.milliCores) / capacity;
    if (scheduler.settings.placement == Placement::MostFree || task.crashes > 0)
        return load;
    const double slowdown = static_cast<double>(agent.endpoint.slowdownPermille) / 1000;
    const double rackFactor = hasLabel(agent, step.rack) ? 1 : scheduler.settings.offRackFactor;
    return slowdown * rackFactor * (1 + LoadWeight * load) + remoteCost(scheduler, agent)
            + RandomWeight * chance(scheduler.random);
}

bool acceptsStarts(const SchedulerState &scheduler, const Agent &agent)
{
    return agent.accepted && !agent.endpoint.leaving
            && agent.pending.size() < agent.endpoint.maxStarts && !isCordoned(scheduler, agent);
}

bool acceptsTask(const SchedulerState &scheduler, const Agent &agent, const Job &job,
                 const Task &task, const std::string &id)
{
    const jobs::StepSpec &step = job.spec.steps[task.step];
    return acceptsStarts(scheduler, agent) && isSuitable(agent, job, step)
            && belowStepLimit(job, task.step, step.maxPerEndpoint, id);
}

// The agents to examine.
struct AgentRange
{
    std::map<std::string, Agent>::iterator from;
    std::map<std::string, Agent>::iterator to;

    std::map<std::string, Agent>::iterator begin() const { return from; }
    std::map<std::string, Agent>::iterator end() const { return to; }
};

// The agent where capacity for the task is likely to be free soonest: by the lacking part of the
// endpoint's capacity, and by speed. Nothing if too much is lacking everywhere.
Agent *chooseWaitAgent(SchedulerState &scheduler, const AgentRange &agents, const Job &job,
                       const Task &task, Time now, std::string *name)
{
    const std::int64_t maxShortfall = scheduler.settings.maxShortfallPercent;
    constexpr double ShortfallWeight = 5;
    const jobs::StepSpec &step = job.spec.steps[task.step];
    Agent *best = nullptr;
    double bestCost = 0;
    for (auto &[id, agent] : agents) {
        const std::int64_t shortfall = step.demand.milliCores - freeAt(agent).milliCores;
        const std::int64_t capacity = agent.endpoint.capacity.milliCores;
        if (!acceptsTask(scheduler, agent, job, task, id) || isAvoided(task, id)
            || isSuspect(scheduler, agent, now) || shortfall * 100 > capacity * maxShortfall)
            continue;
        const double cost = static_cast<double>(agent.endpoint.slowdownPermille) / 1000
                + ShortfallWeight * static_cast<double>(shortfall)
                        / static_cast<double>(std::max<std::int64_t>(1, capacity));
        if (best && cost >= bestCost)
            continue;
        best = &agent;
        bestCost = cost;
        *name = id;
    }
    return best;
}

Agent *chooseAgent(SchedulerState &scheduler, const AgentRange &agents, const Job &job,
                   const Task &task, Time now, std::string *name)
{
    const jobs::StepSpec &step = job.spec.steps[task.step];
    Agent *best = nullptr;
    double bestCost = 0;
    bool bestAvoided = false;
    for (auto &[id, agent] : agents) {
        ++scheduler.counters.endpointsTried;
        const jobs::ResourceVector free = freeFor(scheduler, agent, job);
        if (!jobs::fits(step.demand, free) || !acceptsTask(scheduler, agent, job, task, id))
            continue;
        const bool avoided = isAvoided(task, id) || isSuspect(scheduler, agent, now);
        const double cost = costOf(scheduler, agent, free, step, task);
        if (best && (avoided > bestAvoided || (avoided == bestAvoided && cost >= bestCost)))
            continue;
        best = &agent;
        bestCost = cost;
        bestAvoided = avoided;
        *name = id;
    }
    return best;
}

} // namespace

bool isSuitable(const Agent &agent, const Job &job, const jobs::StepSpec &step)
{
    return agent.endpoint.service == job.options.service && hasLabel(agent, step.label)
            && jobs::fits(step.demand, agent.endpoint.capacity);
}

// [SECTION] Placement

bool callerDeadlinePassed(const Job &job, Time now)
{
    return job.options.callerDeadline && now >= *job.options.callerDeadline;
}

namespace {

bool stepIsReady(const Job &job, std::uint32_t step)
{
    const std::vector<std::uint32_t> &after = job.spec.steps[step].after;
    return std::all_of(after.begin(), after.end(),
                       [&](std::uint32_t earlier) { return job.tasksLeft[earlier] == 0; });
}

jobs::StartTasks &messageFor(std::vector<std::pair<std::string, jobs::StartTasks>> &messages,
                             const std::string &agent, const Job &job, const Task &task,
                             Milliseconds wait)
{
    for (auto &[to, message] : messages) {
        if (to == agent && message.step == task.step && message.estimate == task.expected)
            return message;
    }
    const jobs::StepSpec &spec = job.spec.steps[task.step];
    jobs::StartTasks message;
    message.job = job.spec.id;
    message.step = task.step;
    message.payload = job.spec.payload;
    message.demand = spec.demand;
    message.estimate = task.expected;
    message.priority = job.queuedPriority;
    message.maxWait = wait;
    messages.emplace_back(agent, std::move(message));
    return messages.back().second;
}

// How long the job's starts may wait at an agent.
Milliseconds allowedWait(const SchedulerState &scheduler, const Job &job, Time now)
{
    const bool all = scheduler.settings.waitingQueues == WaitingQueues::AllButLeast;
    const bool urgent = job.options.priority < scheduler.leastUrgent
            && (all || job.options.priority <= scheduler.mostUrgent);
    // A late job that has not begun is refused at the next tick, or waits behind all others.
    const bool late = scheduler.settings.refuseLate && now > job.onTimeUntil
            && certainlyNotBegun(job);
    const bool startedLate = scheduler.settings.serveLate && job.firstPlacedAt > job.onTimeUntil;
    if (scheduler.settings.maxShortfallPercent <= 0 || !urgent || late || startedLate
        || yields(scheduler, job))
        return Milliseconds(0);
    constexpr Milliseconds MinWait { 10 };
    const auto slack = std::chrono::duration_cast<Milliseconds>(job.latestStart - now);
    return std::clamp(slack, MinWait, scheduler.settings.maxAgentWait);
}

// A start of the task is sent to the agent.
void recordPlaced(SchedulerState &scheduler, Agent &agent, const std::string &name, Job &job,
                  Task &task, Time now)
{
    task.state = TaskState::Placed;
    task.agent = name;
    task.placedAt = now;
    task.stopRequested = false;
    ++task.run;
    --job.waiting;
    ++job.outstanding;
    ++job.runs;
    ++scheduler.counters.starts;
    agent.pending.push_back({ ++agent.startsSent, job.spec.steps[task.step].demand });
    agent.lastSentAt = now;
}

// Starts as many of the job's tasks as fit; true if no ready task is left waiting.
bool placeJob(SchedulerState &scheduler, const AgentRange &agents, Job &job, Time now,
              SchedulerActions &actions)
{
    std::vector<std::pair<std::string, jobs::StartTasks>> messages;
    const Milliseconds wait = allowedWait(scheduler, job, now);
    std::int64_t milliCores = 0;
    bool all = true;
    for (Task &task : job.tasks) {
        if (task.state != TaskState::Waiting || !stepIsReady(job, task.step))
            continue;
        std::string name;
        Agent *agent = chooseAgent(scheduler, agents, job, task, now, &name);
        // A task that may crash endpoints is not queued at a full one.
        if (!agent && wait.count() > 0 && task.crashes == 0)
            agent = chooseWaitAgent(scheduler, agents, job, task, now, &name);
        if (!agent) {
            all = false;
            break;
        }
        recordPlaced(scheduler, *agent, name, job, task, now);
        milliCores += job.spec.steps[task.step].demand.milliCores;
        messageFor(messages, name, job, task, wait).starts.push_back({ task.index, task.run });
    }
    if (!messages.empty() && job.firstPlacedAt == Time {})
        job.firstPlacedAt = now;
    if (job.waiting == 0 && job.allPlacedAt == Time {})
        job.allPlacedAt = now;
    recordLateStart(scheduler, job, milliCores, now);
    for (auto &[to, message] : messages)
        actions.sends.push_back({ to, std::move(message) });
    return all;
}

bool hasReadyTask(const Job &job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [&](const Task &task) {
        return task.state == TaskState::Waiting && stepIsReady(job, task.step);
    });
}

// Work did not fit: asks agents that don't know of it yet for fresh updates.
void requestUpdates(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    scheduler.needsCapacityUntil = now + scheduler.settings.needsCapacityFor;
    for (auto &[name, agent] : scheduler.agents) {
        if (agent.accepted && !agent.reportedNeed)
            sendHeartbeat(scheduler, name, agent, now, actions);
    }
}

// Jobs that did not fit in this pass.
struct UnplacedJobs
{
    std::size_t others = 0;

    // Late jobs that keep waiting
    std::size_t late = 0;
};

// A late job gets nothing while jobs that can be on time wait for capacity, and starts only as a
// whole: once started in part, it would go before them.
bool isHeldBack(const SchedulerState &scheduler, const Job &job, const UnplacedJobs &unplaced,
                Time now)
{
    return unplaced.others > 0 || unplaced.late >= scheduler.settings.maxUnplaced
            || !fitsEntirely(scheduler, job, now);
}

bool isWaitingLate(const SchedulerState &scheduler, const Job &job)
{
    return scheduler.settings.serveLate && job.group == QueueGroup::Late;
}

void placeAmong(SchedulerState &scheduler, const AgentRange &agents, Time now,
                SchedulerActions &actions)
{
    UnplacedJobs unplaced;
    for (const QueueKey &key : refreshQueue(scheduler, now)) {
        if (unplaced.others >= scheduler.settings.maxUnplaced)
            break;
        Job &job = scheduler.jobs.at(key.number);
        if (callerDeadlinePassed(job, now) || !hasReadyTask(job))
            continue;
        if (isWaitingLate(scheduler, job) && isHeldBack(scheduler, job, unplaced, now)) {
            ++unplaced.late;
            continue;
        }
        dequeue(scheduler, job);
        if (!placeJob(scheduler, agents, job, now, actions))
            ++unplaced.others;
        enqueue(scheduler, job);
    }
    scheduler.placementPending = false;
    if (unplaced.others + unplaced.late > 0)
        requestUpdates(scheduler, now, actions);
}

} // namespace

void place(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    if (scheduler.queue.empty())
        return;
    placeAmong(scheduler, { scheduler.agents.begin(), scheduler.agents.end() }, now, actions);
}

void placeAt(SchedulerState &scheduler, const std::string &agent, Time now,
             SchedulerActions &actions)
{
    const auto found = scheduler.agents.find(agent);
    if (scheduler.queue.empty() || found == scheduler.agents.end())
        return;
    placeAmong(scheduler, { found, std::next(found) }, now, actions);
}

} // namespace foxwing::scheduler
