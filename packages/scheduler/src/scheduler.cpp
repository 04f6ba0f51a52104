/*
    Events of the scheduler but for jobs that come and go (admission.cpp) and runs that end
    (ending.cpp).

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
    case Order::LeastWork:
        return "least-work";
    case Order::Priority:
        break;
    }
    return "priority";
}

std::optional<Order> orderNamed(const std::string &name)
{
    for (const Order order : { Order::LatestBegin, Order::Newest, Order::FirstCome, Order::Priority,
                               Order::LeastWork }) {
        if (name == toString(order))
            return order;
    }
    return std::nullopt;
}

const char *toString(WaitingQueues queues)
{
    return queues == WaitingQueues::MostUrgent ? "most-urgent" : "all-but-least";
}

std::optional<WaitingQueues> waitingQueuesNamed(const std::string &name)
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

void beatAgent(const SchedulerState &scheduler, const std::string &name, Agent &agent, Time now,
               SchedulerActions &actions)
{
    agent.sentAt = now;
    agent.toldWantsRoom = now < scheduler.wantsRoomUntil;
    actions.sends.push_back(
            { name, jobs::SessionHeartbeat { ++agent.heartbeat, agent.toldWantsRoom } });
}

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
                               const jobs::SessionAccepted &welcome, Time now)
{
    SchedulerActions actions;
    Agent &agent = scheduler.agents[name];
    agent.endpoint = welcome.endpoint;
    agent.accepted = true;
    agent.heardAt = now;
    actions.events.push_back(change("agent-welcomed")
                                     .with("agent", name)
                                     .with("incarnation", welcome.incarnation)
                                     .with("life", welcome.endpoint.life));
    takeCrashes(scheduler, name, welcome.crashed, now, actions);
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

namespace {

void noteLeastFree(const SchedulerSettings &settings, Agent &agent, Time now)
{
    const std::int64_t free = agent.endpoint.free.milliCores;
    if (now >= agent.leastFreeSince + settings.restSpan) {
        agent.leastFreeBefore = agent.leastFree;
        agent.leastFree = free;
        agent.leastFreeSince = now;
    }
    agent.leastFree = std::min(agent.leastFree, free);
}

// Takes over what the agent tells of its room.
void takeRoom(Agent &agent, const jobs::AgentUpdate &update)
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
    const auto taken = [&](const Agent::Pending &pending) {
        return pending.number <= agent.startsHandled;
    };
    agent.pending.erase(std::remove_if(agent.pending.begin(), agent.pending.end(), taken),
                        agent.pending.end());
}

// Whether a start that found no room may find some now.
bool grew(const jobs::ResourceVector &before, const jobs::ResourceVector &after)
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
    agent.heardAt = now;
    const jobs::ResourceVector roomBefore = roomAt(agent);
    const std::uint32_t startsBefore = agent.endpoint.maxStarts;
    takeRoom(agent, update);
    noteLeastFree(scheduler.settings, agent, now);
    for (const jobs::RunReport &report : update.ended)
        runEnded(scheduler, name, report, now, actions);
    takeCrashes(scheduler, name, update.crashed, now, actions);
    for (const jobs::StragglerReport &report : update.stragglers)
        runLags(scheduler, name, report, now, actions);
    // Most news tells of less room. With sixteen jobs that wait and eighty endpoints, one piece of
    // news had 1,280 endpoints looked at; now none if there is less room, and sixteen if there is
    // more.
    if (scheduler.untried || !update.endpoint.empty())
        place(scheduler, now, actions);
    else if (grew(roomBefore, roomAt(agent)) || agent.endpoint.maxStarts > startsBefore)
        placeAt(scheduler, name, now, actions);
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

// Room of the endpoints that may take work, by service.
std::map<std::string, double> usableRoom(const SchedulerState &scheduler)
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

SchedulerActions takeCordons(SchedulerState &scheduler, const catalog::Cordons &cordons, Time now)
{
    SchedulerActions actions;
    if (cordons.revision <= scheduler.cordons.revision)
        return actions;
    const std::map<std::string, double> before = usableRoom(scheduler);
    scheduler.cordons = cordons;
    std::map<std::string, double> after = usableRoom(scheduler);
    // Jobs that can't be served by what is left are refused at once, and not after the pace at
    // which room comes free has been learned anew.
    for (const auto &[service, capacity] : before) {
        if (after[service] < capacity)
            scaleFreed(scheduler, service, after[service] / capacity);
    }
    place(scheduler, now, actions);
    return actions;
}

// [SECTION] Time

namespace {

void beatAgents(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    for (auto &[name, agent] : scheduler.agents) {
        if (now >= agent.heardAt + scheduler.settings.agentSilence && agent.accepted) {
            actions.closes.push_back(name);
            continue;
        }
        if (now < agent.sentAt + scheduler.settings.beatInterval)
            continue;
        beatAgent(scheduler, name, agent, now, actions);
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

// When nobody waits for the job any longer, begun or not.
Time endOfJob(const SchedulerState &scheduler, const Job &job)
{
    if (job.terms.patienceUntil)
        return *job.terms.patienceUntil;
    const auto objective = std::chrono::duration_cast<Milliseconds>(job.objectiveAt
                                                                    - job.arrivedAt);
    return job.arrivedAt
            + std::max<Microseconds>(scheduler.settings.longestJob,
                                     scaled(objective, scheduler.settings.lateFactor));
}

// Jobs that nobody waits for any longer, and those that have not begun and are worth nothing.
void giveUpLate(SchedulerState &scheduler, Time now, SchedulerActions &actions)
{
    std::vector<std::uint64_t> over;
    const std::set<std::uint64_t> waitOn = worthWaiting(scheduler, now);
    for (const auto &[number, job] : scheduler.jobs) {
        const Time worth = scheduler.settings.refuseLate ? job.onTimeUntil : job.worthUntil;
        const bool late = now > worth && waitOn.count(number) == 0;
        const bool unbegun = certainlyNotBegun(job) && (late || now >= job.terms.beginBy);
        const bool unwanted = now >= endOfJob(scheduler, job);
        if (!job.over && (unbegun || unwanted))
            over.push_back(number);
    }
    for (const std::uint64_t number : over) {
        Job &job = scheduler.jobs.at(number);
        const bool notRun = certainlyNotBegun(job);
        if (notRun)
            noteRefusedJob(scheduler, job, now);
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
    addTold(scheduler, now);
    giveUpLate(scheduler, now, actions);
    updateStandings(scheduler, now, actions);
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
    shares::keepQueues(scheduler.shares, declared);
    for (auto item = scheduler.standings.begin(); item != scheduler.standings.end();)
        item = declared.count(item->first) == 0 ? scheduler.standings.erase(item) : std::next(item);
    scheduler.mostUrgent = std::numeric_limits<std::uint32_t>::max();
    scheduler.leastUrgent = 0;
}

bool reachesEndpoints(const SchedulerState &scheduler)
{
    return std::any_of(scheduler.agents.begin(), scheduler.agents.end(), [](const auto &item) {
        return item.second.accepted && !item.second.endpoint.life.empty();
    });
}

std::size_t openJobs(const SchedulerState &scheduler)
{
    return static_cast<std::size_t>(
            std::count_if(scheduler.jobs.begin(), scheduler.jobs.end(),
                          [](const auto &item) { return !item.second.over; }));
}

} // namespace foxwing::scheduler
