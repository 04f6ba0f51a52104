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
    if (now < job.nextFence)
        return;
    for (const std::string &agentId : job.unanswered) {
        const agent::Fence fence { job.spec.key, job.epoch, dispatcher.settings.id };
        actions.sends.push_back({ agentId, fence });
    }
    job.nextFence = now + dispatcher.settings.fenceInterval;
}

// [SECTION] Collection

namespace {

void settle(const agent::TaskRef &ref, const std::string &agentId, Actions &actions)
{
    actions.sends.push_back({ agentId, agent::Settle { { ref } } });
}

// Applies the state of a task that runs or finished at the agent; it must not be started again.
void takeStarted(Dispatcher &dispatcher, Job &job, const agent::TaskStatus &known,
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
        task.verifyWait = dispatcher.settings.verifyInterval;
        task.nextVerify = now + task.verifyWait;
        addOutstanding(dispatcher, job, task);
        return;
    }
    task.state = TaskState::Done;
    task.result = known.body;
    ++job.done;
    settle(known.ref, from.agent, actions);
    if (known.end == agent::TaskEnd::Succeeded && !known.bodyKept)
        failJob(dispatcher, job, ErrorKind::WorkerLost,
                "a result was handed to an entry that is lost by now; check the effects before you "
                "submit the work anew",
                now, actions);
    else if (known.end != agent::TaskEnd::Succeeded)
        failJob(dispatcher, job, ErrorKind::TaskFailed,
                "task " + std::to_string(known.ref.task)
                        + " failed at its endpoint; see its log there",
                now, actions);
}

} // namespace

void takeFenced(Dispatcher &dispatcher, Job &job, const agent::Fenced &fenced, Time now,
                Actions &actions)
{
    const auto waiting = std::find(job.unanswered.begin(), job.unanswered.end(), fenced.agent);
    if (job.state != JobState::Collecting || waiting == job.unanswered.end())
        return;
    if (fenced.jobEpoch > job.epoch)
        return failJob(dispatcher, job, ErrorKind::WorkerLost,
                       "another entry has taken this job over; ask again with the same id", now,
                       actions);
    job.unanswered.erase(waiting);
    // The incarnation of an agent is its start time in milliseconds since 1970.
    const auto startedAt = static_cast<std::int64_t>(fenced.agentIncarnation);
    job.collectionHasGaps = job.collectionHasGaps || startedAt >= job.claimedAt;
    for (const agent::TaskStatus &known : fenced.tasks) {
        if (job.state == JobState::Ended || known.ref.task >= job.tasks.size())
            return;
        Task &task = job.tasks[known.ref.task];
        if (!known.voided)
            takeStarted(dispatcher, job, known, fenced, now, actions);
        else if (task.state == TaskState::Waiting)
            task.attempt = std::max(task.attempt, known.ref.attempt + 1);
    }
    if (job.state == JobState::Collecting && job.unanswered.empty())
        endCollection(dispatcher, job, now, actions);
}

// [SECTION] End of the collection

void endCollection(Dispatcher &dispatcher, Job &job, Time now, Actions &actions)
{
    const bool gaps = job.collectionHasGaps || !job.unanswered.empty();
    if (gaps && job.waiting > 0)
        return failJob(dispatcher, job, ErrorKind::WorkerLost,
                       "the entry that had this job is lost, and so is a worker that may have run "
                       "a part of it; check its effects before you submit the work anew",
                       now, actions);
    job.state = JobState::Active;
    job.unanswered.clear();
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
        if (now >= job.collectUntil) {
            endCollection(dispatcher, job, now, actions);
            continue;
        }
        sendFences(dispatcher, job, now, actions);
        dispatcher.collecting.push_back(key);
    }
}

} // namespace foxwing::dispatch
