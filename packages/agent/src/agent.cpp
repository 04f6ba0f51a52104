/*
    Implementation of the agent: starts, refusals, results and their retention.

    [SECTION] Records
    [SECTION] Answers
    [SECTION] Messages
    [SECTION] Resending and expiry
    [SECTION] Endpoint
*/
#include <foxwing/agent/agent.h>

#include <algorithm>

#include <foxwing/base/guards.h>

#include "lease.h"

namespace foxwing::agent {

namespace {

// [SECTION] Records

bool sameRef(const TaskRef &left, const TaskRef &right)
{
    return left.task == right.task && left.attempt == right.attempt && left.job == right.job;
}

void removeRef(std::vector<TaskRef> &refs, const TaskRef &ref)
{
    const auto found = std::find_if(refs.begin(), refs.end(),
                                    [&](const TaskRef &other) { return sameRef(other, ref); });
    if (found == refs.end())
        return;
    *found = std::move(refs.back());
    refs.pop_back();
}

Assignment *findAssignment(AgentState &agent, const TaskRef &ref)
{
    const auto job = agent.jobs.find(ref.job);
    if (job == agent.jobs.end())
        return nullptr;
    for (Assignment &assignment : job->second.assignments) {
        if (assignment.task == ref.task && assignment.attempt == ref.attempt)
            return &assignment;
    }
    return nullptr;
}

// Whether another attempt of the same task runs or ran here.
bool otherAttemptStarted(const JobRecord &job, const TaskRef &ref)
{
    return std::any_of(job.assignments.begin(), job.assignments.end(),
                       [&](const Assignment &other) {
                           return other.task == ref.task && other.attempt != ref.attempt
                                   && other.phase != Phase::Voided;
                       });
}

JobRecord &touchJob(AgentState &agent, const std::string &key, Time now)
{
    const auto inserted = agent.jobs.try_emplace(key);
    if (inserted.second)
        agent.expiryQueue.push_back(key);
    inserted.first->second.lastTouched = now;
    return inserted.first->second;
}

void recordVoid(AgentState &agent, const TaskRef &ref, Time now)
{
    JobRecord &job = touchJob(agent, ref.job, now);
    Assignment assignment;
    assignment.task = ref.task;
    assignment.attempt = ref.attempt;
    assignment.phase = Phase::Voided;
    job.assignments.push_back(assignment);
    ++agent.counters.voids;
}

// [SECTION] Answers

NotStarted notStarted(const AgentState &agent, const TaskRef &ref, RefusalCause cause)
{
    return { ref, agent.settings.id, agent.settings.incarnation, cause };
}

void refuse(AgentState &agent, const Start &start, RefusalCause cause, AgentActions &actions)
{
    ++agent.counters.refusals;
    actions.sends.push_back({ start.owner, notStarted(agent, start.ref, cause) });
}

void sendFinished(AgentState &agent, const TaskRef &ref, const std::string &owner,
                  Assignment &assignment, Time now, AgentActions &actions)
{
    Finished finished;
    finished.ref = ref;
    finished.agent = agent.settings.id;
    finished.agentIncarnation = agent.settings.incarnation;
    finished.end = assignment.end;
    finished.body = assignment.body;
    finished.runTime = assignment.runTime;
    actions.sends.push_back({ owner, std::move(finished) });
    assignment.nextSend = now + assignment.resendDelay;
    assignment.resendDelay = std::min(assignment.resendDelay * 2, agent.settings.maxResendInterval);
}

// [SECTION] Messages

// Why a start must be refused; none if it may run.
std::optional<RefusalCause> refusalCause(const AgentState &agent, const Start &start)
{
    const AgentSettings &settings = agent.settings;
    if (isEnabled(Guard::Incarnation) && start.agentIncarnation != settings.incarnation)
        return RefusalCause::WrongIncarnation;
    if (!isFromLeaseHolder(agent, start))
        return RefusalCause::WrongLease;
    const auto job = agent.jobs.find(start.ref.job);
    if (job != agent.jobs.end()) {
        if (isEnabled(Guard::Fence) && start.jobEpoch < job->second.fenceEpoch)
            return RefusalCause::Fenced;
        if (otherAttemptStarted(job->second, start.ref))
            return RefusalCause::OtherAttemptStarted;
    }
    if (agent.leaving || agent.configurationStale)
        return RefusalCause::Leaving;
    if (start.timeLeft <= Microseconds::zero())
        return RefusalCause::DeadlinePassed;
    if (agent.running.size() >= settings.slots)
        return RefusalCause::NoFreeSlot;
    if (agent.unsettledBytes >= settings.unsettledBytes)
        return RefusalCause::TooManyUnsettled;
    return std::nullopt;
}

// Answers a duplicate start. Never starts a task.
void answerDuplicate(AgentState &agent, const Start &start, Assignment &assignment, Time now,
                     AgentActions &actions)
{
    ++agent.counters.duplicates;
    if (assignment.phase == Phase::Voided)
        refuse(agent, start, RefusalCause::AlreadyVoided, actions);
    else if (assignment.phase == Phase::Finished)
        sendFinished(agent, start.ref, start.owner, assignment, now, actions);
}

void startTask(AgentState &agent, const Start &start, Time now, AgentActions &actions)
{
    JobRecord &job = touchJob(agent, start.ref.job, now);
    job.team = start.team;
    job.owner = start.owner;
    job.fenceEpoch = std::max(job.fenceEpoch, start.jobEpoch);
    Assignment assignment;
    assignment.task = start.ref.task;
    assignment.attempt = start.ref.attempt;
    assignment.startedAt = now;
    assignment.deadline = now + start.timeLeft;
    assignment.resendDelay = agent.settings.resendInterval;
    job.assignments.push_back(std::move(assignment));
    agent.running.push_back(start.ref);
    ++agent.counters.starts;
    ++agent.usage[start.team].starts;
    actions.calls.push_back({ start.ref, start.team, start.payload, start.timeLeft });
}

void handleStart(AgentState &agent, const Start &start, Time now, AgentActions &actions)
{
    Assignment *existing = findAssignment(agent, start.ref);
    if (existing && !(existing->phase == Phase::Voided && !isEnabled(Guard::Void)))
        return answerDuplicate(agent, start, *existing, now, actions);
    const std::optional<RefusalCause> cause = refusalCause(agent, start);
    if (!cause)
        return startTask(agent, start, now, actions);
    // A refusal is final: a duplicate that arrives once the cause is gone must not start the task.
    recordVoid(agent, start.ref, now);
    refuse(agent, start, *cause, actions);
}

void stopTask(AgentState &agent, const TaskRef &ref, Assignment &assignment, AgentActions &actions)
{
    if (assignment.stopSent)
        return;
    assignment.stopSent = true;
    ++agent.counters.cancels;
    actions.stops.push_back({ ref });
}

void handleVoid(AgentState &agent, const Void &message, const std::string &from, Time now,
                AgentActions &actions)
{
    if (message.agentIncarnation != agent.settings.incarnation)
        return; // the next offer shows the owner that the earlier incarnation has ended
    const Assignment *existing = findAssignment(agent, message.ref);
    if (!existing)
        recordVoid(agent, message.ref, now);
    if (!existing || existing->phase == Phase::Voided) {
        actions.sends.push_back(
                { from, notStarted(agent, message.ref, RefusalCause::AlreadyVoided) });
        return;
    }
    const Started started { message.ref, agent.settings.id, agent.settings.incarnation };
    actions.sends.push_back({ from, started });
}

void handleCancel(AgentState &agent, const Cancel &message, const std::string &from, Time now,
                  AgentActions &actions)
{
    if (message.agentIncarnation != agent.settings.incarnation)
        return;
    for (const TaskRef &ref : message.refs) {
        Assignment *existing = findAssignment(agent, ref);
        if (!existing) {
            recordVoid(agent, ref, now);
            actions.sends.push_back({ from, notStarted(agent, ref, RefusalCause::AlreadyVoided) });
        } else if (existing->phase == Phase::Running) {
            stopTask(agent, ref, *existing, actions);
        }
    }
}

void handleSettle(AgentState &agent, const Settle &message, Time now)
{
    for (const TaskRef &ref : message.refs) {
        Assignment *existing = findAssignment(agent, ref);
        if (!existing || existing->phase != Phase::Finished)
            continue;
        agent.unsettledBytes -= existing->body.size();
        agent.settledBytes += existing->body.size();
        existing->phase = Phase::Settled;
        removeRef(agent.unsettled, ref);
        agent.settled.push_back({ ref, now });
    }
}

TaskStatus taskStatus(const std::string &job, const Assignment &assignment)
{
    TaskStatus status;
    status.ref = { job, assignment.task, assignment.attempt };
    status.finished = assignment.phase == Phase::Finished || assignment.phase == Phase::Settled;
    status.voided = assignment.phase == Phase::Voided;
    status.end = assignment.end;
    status.body = assignment.body;
    status.bodyKept = assignment.bodyKept;
    return status;
}

void handleFence(AgentState &agent, const Fence &fence, Time now, AgentActions &actions)
{
    JobRecord &job = touchJob(agent, fence.job, now);
    if (fence.jobEpoch >= job.fenceEpoch) {
        job.fenceEpoch = fence.jobEpoch;
        job.owner = fence.owner;
    }
    Fenced fenced;
    fenced.job = fence.job;
    fenced.jobEpoch = job.fenceEpoch;
    fenced.agent = agent.settings.id;
    fenced.agentIncarnation = agent.settings.incarnation;
    for (const Assignment &assignment : job.assignments)
        fenced.tasks.push_back(taskStatus(fence.job, assignment));
    actions.sends.push_back({ fence.owner, std::move(fenced) });
}

// [SECTION] Resending and expiry

void stopOverdue(AgentState &agent, Time now, AgentActions &actions)
{
    for (const TaskRef &ref : agent.running) {
        Assignment *assignment = findAssignment(agent, ref);
        if (assignment && now >= assignment->deadline)
            stopTask(agent, ref, *assignment, actions);
    }
}

void resendResults(AgentState &agent, Time now, AgentActions &actions)
{
    for (const TaskRef &ref : agent.unsettled) {
        Assignment *assignment = findAssignment(agent, ref);
        if (!assignment || now < assignment->nextSend)
            continue;
        ++agent.counters.resends;
        sendFinished(agent, ref, agent.jobs[ref.job].owner, *assignment, now, actions);
    }
}

void expireSettledResults(AgentState &agent, Time now)
{
    const AgentSettings &settings = agent.settings;
    while (!agent.settled.empty()) {
        const SettledResult &oldest = agent.settled.front();
        const bool expired = now >= oldest.settledAt + settings.settledRetention;
        if (!expired && agent.settledBytes <= settings.settledBytes)
            return;
        Assignment *assignment = findAssignment(agent, oldest.ref);
        if (assignment) {
            agent.settledBytes -= assignment->body.size();
            std::string().swap(assignment->body);
            assignment->bodyKept = false;
        }
        agent.settled.pop_front();
    }
}

void removeJob(AgentState &agent, const std::string &key)
{
    const auto job = agent.jobs.find(key);
    for (const Assignment &assignment : job->second.assignments) {
        if (assignment.phase != Phase::Finished)
            continue;
        agent.unsettledBytes -= assignment.body.size();
        removeRef(agent.unsettled, { key, assignment.task, assignment.attempt });
    }
    agent.jobs.erase(job);
}

void expireJobs(AgentState &agent, Time now)
{
    while (!agent.expiryQueue.empty()) {
        const std::string key = agent.expiryQueue.front();
        const JobRecord &job = agent.jobs[key];
        if (now < job.lastTouched + agent.settings.retention)
            return;
        agent.expiryQueue.pop_front();
        const bool hasRunningTask = std::any_of(job.assignments.begin(), job.assignments.end(),
                                                [](const Assignment &other) {
                                                    return other.phase == Phase::Running;
                                                });
        if (hasRunningTask) {
            agent.jobs[key].lastTouched = now;
            agent.expiryQueue.push_back(key);
            return;
        }
        removeJob(agent, key);
    }
}

} // namespace

AgentState makeAgent(const AgentSettings &settings)
{
    AgentState agent;
    agent.settings = settings;
    return agent;
}

AgentActions handle(AgentState &agent, const ToAgent &message, Time now)
{
    AgentActions actions;
    if (const auto *start = std::get_if<Start>(&message))
        handleStart(agent, *start, now, actions);
    else if (const auto *voidMessage = std::get_if<Void>(&message))
        handleVoid(agent, *voidMessage, voidMessage->from, now, actions);
    else if (const auto *cancel = std::get_if<Cancel>(&message))
        handleCancel(agent, *cancel, cancel->from, now, actions);
    else if (const auto *settle = std::get_if<Settle>(&message))
        handleSettle(agent, *settle, now);
    else if (const auto *fence = std::get_if<Fence>(&message))
        handleFence(agent, *fence, now, actions);
    else if (const auto *accepted = std::get_if<LeaseAccepted>(&message))
        handleLeaseAccepted(agent, *accepted, now);
    else if (const auto *transfer = std::get_if<TransferLease>(&message))
        handleTransferLease(agent, *transfer, now, actions);
    return actions;
}

// [SECTION] Endpoint

AgentActions endpointDone(AgentState &agent, const TaskRef &ref, TaskEnd end, std::string body,
                          Time now)
{
    AgentActions actions;
    Assignment *assignment = findAssignment(agent, ref);
    if (!assignment || assignment->phase != Phase::Running)
        return actions;
    JobRecord &job = touchJob(agent, ref.job, now);
    removeRef(agent.running, ref);
    if (end == TaskEnd::Unreachable) {
        assignment->phase = Phase::Voided;
        actions.sends.push_back(
                { job.owner, notStarted(agent, ref, RefusalCause::EndpointUnreachable) });
        return actions;
    }
    const bool overdue = now >= assignment->deadline;
    assignment->end = end == TaskEnd::Cancelled && overdue ? TaskEnd::DeadlinePassed : end;
    assignment->phase = Phase::Finished;
    assignment->body = std::move(body);
    assignment->runTime = now - assignment->startedAt;
    agent.usage[job.team].runTime += assignment->runTime;
    agent.unsettledBytes += assignment->body.size();
    agent.unsettled.push_back(ref);
    sendFinished(agent, ref, job.owner, *assignment, now, actions);
    return actions;
}

AgentActions setEntries(AgentState &agent, std::vector<OwnerCandidate> entries, Time now)
{
    AgentActions actions;
    agent.entries = std::move(entries);
    renewLease(agent, now, actions);
    return actions;
}

AgentActions leave(AgentState &agent, Time now)
{
    AgentActions actions;
    agent.leaving = true;
    scheduleOffer(agent, now);
    renewLease(agent, now, actions);
    return actions;
}

AgentActions tick(AgentState &agent, Time now)
{
    AgentActions actions;
    renewLease(agent, now, actions);
    stopOverdue(agent, now, actions);
    resendResults(agent, now, actions);
    expireSettledResults(agent, now);
    expireJobs(agent, now);
    return actions;
}

bool drained(const AgentState &agent)
{
    return agent.running.empty() && agent.unsettled.empty();
}

} // namespace foxwing::agent
