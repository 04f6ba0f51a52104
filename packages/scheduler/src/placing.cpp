/*
    Where waiting tasks start.

    [SECTION] Endpoints
    [SECTION] Placing
*/
#include <algorithm>
#include <limits>

#include "internal.h"

namespace foxwing::scheduler {

// [SECTION] Endpoints

jobs::ResourceVector roomAt(const Agent &agent)
{
    jobs::ResourceVector free = agent.endpoint.free;
    for (const Agent::Pending &pending : agent.pending)
        free -= pending.demand;
    return free;
}

jobs::ResourceVector roomFor(const SchedulerState &scheduler, const Agent &agent, const Job &job)
{
    jobs::ResourceVector free = roomAt(agent);
    if (scheduler.settings.serveLate && job.group == Rank::Late) {
        const std::int64_t rested = std::min(agent.leastFree, agent.leastFreeBefore);
        free.milliCores -= agent.endpoint.free.milliCores - rested;
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
    return std::find(task.avoid.begin(), task.avoid.end(), agent) != task.avoid.end();
}

bool isQuiet(const SchedulerState &scheduler, const Agent &agent, Time now)
{
    return now >= agent.heardAt + scheduler.settings.quietAfter;
}

bool belowStepLimit(const Job &job, std::uint32_t step, std::uint32_t most,
                    const std::string &agent)
{
    if (most == 0)
        return true;
    const auto here = std::count_if(job.tasks.begin(), job.tasks.end(), [&](const Task &task) {
        return task.step == step && task.agent == agent && task.state != TaskState::Waiting
                && task.state != TaskState::Done;
    });
    return static_cast<std::uint32_t>(here) < most;
}

bool isAway(const SchedulerState &scheduler, const Agent &agent)
{
    const std::string &here = scheduler.settings.dataCentre;
    return !here.empty() && agent.endpoint.dataCentre != here;
}

// What speaks against an endpoint in another data centre, on the scale of paces.
double awayCost(const SchedulerState &scheduler, const Agent &agent)
{
    return isAway(scheduler, agent) ? scheduler.settings.awayPercent / 100.0 : 0;
}

// Smaller is better. Speed first, and the own data centre; then a little for endpoints that are
// less full, since work of other entries goes where there is room too; and a little chance, so that
// entries differ.
double costOf(SchedulerState &scheduler, const Agent &agent, const jobs::ResourceVector &free,
              const jobs::StepSpec &step, const Task &task)
{
    constexpr double LoadWeight = 0.3;
    constexpr double ChanceWeight = 0.1;
    std::uniform_real_distribution<double> chance(0, 1);
    if (scheduler.settings.placement == Placement::Random)
        return chance(scheduler.random);
    const double capacity = std::max<double>(1,
                                             static_cast<double>(
                                                     agent.endpoint.capacity.milliCores));
    const double load = 1 - static_cast<double>(free.milliCores) / capacity;
    if (scheduler.settings.placement == Placement::MostRoom || task.crashes > 0)
        return load;
    const double pace = static_cast<double>(agent.endpoint.slowdownPermille) / 1000;
    const double far = hasLabel(agent, step.rack) ? 1 : scheduler.settings.farFactor;
    return pace * far * (1 + LoadWeight * load) + awayCost(scheduler, agent)
            + ChanceWeight * chance(scheduler.random);
}

bool mayTake(const SchedulerState &scheduler, const Agent &agent)
{
    return agent.accepted && !agent.endpoint.leaving
            && agent.pending.size() < agent.endpoint.maxStarts && !isCordoned(scheduler, agent);
}

bool mayTakeTask(const SchedulerState &scheduler, const Agent &agent, const Job &job,
                 const Task &task, const std::string &id)
{
    const jobs::StepSpec &step = job.spec.steps[task.step];
    return mayTake(scheduler, agent) && suits(agent, job, step)
            && belowStepLimit(job, task.step, step.maxPerEndpoint, id);
}

// The agents that are looked at.
struct AgentRange
{
    std::map<std::string, Agent>::iterator from;
    std::map<std::string, Agent>::iterator to;

    std::map<std::string, Agent>::iterator begin() const { return from; }
    std::map<std::string, Agent>::iterator end() const { return to; }
};

// Where its room comes free soonest: by what is lacking against all that the endpoint has, and by
// pace. Nothing if too much is lacking everywhere.
Agent *chooseWait(SchedulerState &scheduler, const AgentRange &agents, const Job &job,
                  const Task &task, Time now, std::string *name)
{
    const std::int64_t most = scheduler.settings.waitPercent;
    constexpr double LackWeight = 5;
    const jobs::StepSpec &step = job.spec.steps[task.step];
    Agent *best = nullptr;
    double bestCost = 0;
    for (auto &[id, agent] : agents) {
        const std::int64_t lacks = step.demand.milliCores - roomAt(agent).milliCores;
        const std::int64_t capacity = agent.endpoint.capacity.milliCores;
        if (!mayTakeTask(scheduler, agent, job, task, id) || isAvoided(task, id)
            || isQuiet(scheduler, agent, now) || lacks * 100 > capacity * most)
            continue;
        const double cost = static_cast<double>(agent.endpoint.slowdownPermille) / 1000
                + LackWeight * static_cast<double>(lacks)
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
        const jobs::ResourceVector free = roomFor(scheduler, agent, job);
        if (!jobs::fits(step.demand, free) || !mayTakeTask(scheduler, agent, job, task, id))
            continue;
        const bool avoided = isAvoided(task, id) || isQuiet(scheduler, agent, now);
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

bool suits(const Agent &agent, const Job &job, const jobs::StepSpec &step)
{
    return agent.endpoint.service == job.terms.service && hasLabel(agent, step.label)
            && jobs::fits(step.demand, agent.endpoint.capacity);
}

// [SECTION] Placing

bool isUnwanted(const Job &job, Time now)
{
    return job.terms.patienceUntil && now >= *job.terms.patienceUntil;
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
Milliseconds waitFor(const SchedulerState &scheduler, const Job &job, Time now)
{
    const bool all = scheduler.settings.waitingQueues == WaitingQueues::AllButLeast;
    const bool first = job.terms.priority < scheduler.leastUrgent
            && (all || job.terms.priority <= scheduler.mostUrgent);
    // What is late and has not begun is refused at the next tick, or waits on behind the rest.
    const bool late = scheduler.settings.refuseLate && now > job.onTimeUntil
            && certainlyNotBegun(job);
    const bool beganLate = scheduler.settings.serveLate && job.firstPlacedAt > job.onTimeUntil;
    if (scheduler.settings.waitPercent <= 0 || !first || late || beganLate
        || yields(scheduler, job))
        return Milliseconds(0);
    constexpr Milliseconds Least { 10 };
    const auto slack = std::chrono::duration_cast<Milliseconds>(job.latestBegin - now);
    return std::clamp(slack, Least, scheduler.settings.mostWait);
}

// A run of the task is ordered at the agent.
void notePlaced(SchedulerState &scheduler, Agent &agent, const std::string &name, Job &job,
                Task &task, Time now)
{
    task.state = TaskState::Placed;
    task.agent = name;
    task.placedAt = now;
    task.stopAsked = false;
    ++task.run;
    --job.waiting;
    ++job.outstanding;
    ++job.runs;
    ++scheduler.counters.starts;
    agent.pending.push_back({ ++agent.startsSent, job.spec.steps[task.step].demand });
    agent.sentAt = now;
}

// Starts as many of the job's tasks as find room; true if none is left waiting.
bool placeJob(SchedulerState &scheduler, const AgentRange &agents, Job &job, Time now,
              SchedulerActions &actions)
{
    std::vector<std::pair<std::string, jobs::StartTasks>> messages;
    const Milliseconds wait = waitFor(scheduler, job, now);
    std::int64_t milliCores = 0;
    bool all = true;
    for (Task &task : job.tasks) {
        if (task.state != TaskState::Waiting || !stepIsReady(job, task.step))
            continue;
        std::string name;
        Agent *agent = chooseAgent(scheduler, agents, job, task, now, &name);
        // What may crash an endpoint is not put where all room is taken.
        if (!agent && wait.count() > 0 && task.crashes == 0)
            agent = chooseWait(scheduler, agents, job, task, now, &name);
        if (!agent) {
            all = false;
            break;
        }
        notePlaced(scheduler, *agent, name, job, task, now);
        milliCores += job.spec.steps[task.step].demand.milliCores;
        messageFor(messages, name, job, task, wait).starts.push_back({ task.index, task.run });
    }
    if (!messages.empty() && job.firstPlacedAt == Time {})
        job.firstPlacedAt = now;
    if (job.waiting == 0 && job.allPlacedAt == Time {})
        job.allPlacedAt = now;
    noteLateStart(scheduler, job, milliCores, now);
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

// Work has found no room: agents that think otherwise are asked for news of theirs.
void wantRoom(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    scheduler.wantsRoomUntil = now + scheduler.settings.wantRoomFor;
    for (auto &[name, agent] : scheduler.agents) {
        if (agent.accepted && !agent.toldWantsRoom)
            beatAgent(scheduler, name, agent, now, actions);
    }
}

// Jobs that found no room while work was placed.
struct PassedOver
{
    std::size_t others = 0;

    // Late jobs that wait on
    std::size_t late = 0;
};

// A late job that waits on takes no room while others wait for it that can be on time, and begins
// only as a whole: begun in part, it would go before them.
bool isKeptBack(const SchedulerState &scheduler, const Job &job, const PassedOver &passedOver,
                Time now)
{
    return passedOver.others > 0 || passedOver.late >= scheduler.settings.mostPassedOver
            || !fitsWhole(scheduler, job, now);
}

bool waitsOn(const SchedulerState &scheduler, const Job &job)
{
    return scheduler.settings.serveLate && job.group == Rank::Late;
}

void placeAmong(SchedulerState &scheduler, const AgentRange &agents, Time now,
                SchedulerActions &actions)
{
    PassedOver passedOver;
    for (const QueueKey &key : sortOut(scheduler, now)) {
        if (passedOver.others >= scheduler.settings.mostPassedOver)
            break;
        Job &job = scheduler.jobs.at(key.number);
        if (isUnwanted(job, now) || !hasReadyTask(job))
            continue;
        if (waitsOn(scheduler, job) && isKeptBack(scheduler, job, passedOver, now)) {
            ++passedOver.late;
            continue;
        }
        dequeue(scheduler, job);
        if (!placeJob(scheduler, agents, job, now, actions))
            ++passedOver.others;
        enqueue(scheduler, job);
    }
    scheduler.untried = false;
    if (passedOver.others + passedOver.late > 0)
        wantRoom(scheduler, now, actions);
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
