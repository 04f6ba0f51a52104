/*
    Takeover: fence the job at its agents, collect the state of its tasks, then start those that
    provably never started, or fail the job if that isn't certain.

    [SECTION] Fences
    [SECTION] Collection
    [SECTION] End of the collection
*/
#include "takeover.h"

#include <algorithm>

#include "jobtable.h"

namespace foxwing::dispatch {

// [SECTION] Fences

void sendFences(Dispatcher &dispatcher, Job &job, Time now, Actions &actions)
{
    if (now < job.nextFenceAt)
        return;
    for (const std::string &agentId : job.unansweredFences) {
        const agent::Fence fence { job.spec.key, job.epoch, dispatcher.settings.id };
        actions.sends.push_back({ agentId, fence });
    }
    job.nextFenceAt = now + dispatcher.settings.fenceInterval;
}

// [SECTION] Collection

namespace {

void settle(const agent::TaskRef &ref, const std::string &agentId, Actions &actions)
{
    actions.sends.push_back({ agentId, agent::Settle { { ref } } });
}

// Applies the state of a task that runs or finished at the agent; it must not be started again.
void applyStatus(Dispatcher &dispatcher, Job &job, const agent::TaskStatus &known,
                 const agent::Fenced &from, Time now, Actions &actions)
{
    Task &task = job.tasks[known.ref.task];
    if (task.state != TaskState::Waiting)
        return;
    --job.waiting;
    --dispatcher.services[job.spec.service].waitingTasks;
    --dispatcher.teamWaiting[job.spec.team];
    task.attempt = known.ref.attempt;
    task.agent = from.agent;
    task.agentIncarnation = from.agentIncarnation;
    if (!known.finished) {
        task.state = TaskState::Running;
        task.sentAt = now;
        task.verifyInterval = dispatcher.settings.verifyInterval;
        task.nextVerifyAt = now + task.verifyInterval;
        addOutstanding(dispatcher, job, task);
        return;
    }
    task.state = TaskState::Done;
    task.result = known.body;
    ++job.done;
    settle(known.ref, from.agent, actions);
    if (known.end == agent::TaskEnd::Succeeded && !known.bodyKept)
        failJob(dispatcher, job, ErrorKind::WorkerLost,
                "a result was delivered to an entry that was lost; check the effects before you "
                "submit the work again",
                now, actions);
    else if (known.end != agent::TaskEnd::Succeeded)
        failJob(dispatcher, job, ErrorKind::TaskFailed,
                "task " + std::to_string(known.ref.task)
                        + " failed at its endpoint; see its log there",
                now, actions);
}

} // namespace

void handleFenced(Dispatcher &dispatcher, Job &job, const agent::Fenced &fenced, Time now,
                  Actions &actions)
{
    const auto waiting = std::find(job.unansweredFences.begin(), job.unansweredFences.end(),
                                   fenced.agent);
    if (job.state != JobState::Collecting || waiting == job.unansweredFences.end())
        return;
    if (fenced.jobEpoch > job.epoch)
        return failJob(dispatcher, job, ErrorKind::WorkerLost,
                       "another entry has taken over this job; ask again with the same id", now,
                       actions);
    job.unansweredFences.erase(waiting);
    // The incarnation of an agent is its start time in milliseconds since 1970.
    const auto startedAt = static_cast<std::int64_t>(fenced.agentIncarnation);
    job.collectionIncomplete = job.collectionIncomplete || startedAt >= job.claimedAt;
    for (const agent::TaskStatus &known : fenced.tasks) {
        if (job.state == JobState::Ended || known.ref.task >= job.tasks.size())
            return;
        Task &task = job.tasks[known.ref.task];
        if (!known.voided)
            applyStatus(dispatcher, job, known, fenced, now, actions);
        else if (task.state == TaskState::Waiting)
            task.attempt = std::max(task.attempt, known.ref.attempt + 1);
    }
    if (job.state == JobState::Collecting && job.unansweredFences.empty())
        endCollection(dispatcher, job, now, actions);
}

// [SECTION] End of the collection

void endCollection(Dispatcher &dispatcher, Job &job, Time now, Actions &actions)
{
    const bool incomplete = job.collectionIncomplete || !job.unansweredFences.empty();
    if (incomplete && job.waiting > 0)
        return failJob(
                dispatcher, job, ErrorKind::WorkerLost,
                "the entry that owned this job is lost, and so is a worker that may have run "
                "part of it; check its effects before you submit the work again",
                now, actions);
    job.state = JobState::Active;
    job.unansweredFences.clear();
    if (job.done == job.tasks.size())
        return completeJob(dispatcher, job, now, actions);
    requeue(dispatcher, job, now);
}

void tickCollections(Dispatcher &dispatcher, Time now, Actions &actions)
{
    std::vector<std::string> keys;
    keys.swap(dispatcher.collecting);
    for (const std::string &key : keys) {
        const auto found = dispatcher.jobs.find(key);
        if (found == dispatcher.jobs.end() || found->second.state != JobState::Collecting)
            continue;
        Job &job = found->second;
        if (now >= job.collectDeadline) {
            endCollection(dispatcher, job, now, actions);
            continue;
        }
        sendFences(dispatcher, job, now, actions);
        dispatcher.collecting.push_back(key);
    }
}

} // namespace foxwing::dispatch
