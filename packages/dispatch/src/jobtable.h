/*
    Internal: state changes of tasks and jobs that keep counts, queue, slots and charges consistent.

    [SECTION] Tasks
    [SECTION] Jobs
*/
#pragma once

#include <foxwing/dispatch/dispatcher.h>

namespace foxwing::dispatch {

// [SECTION] Tasks

agent::TaskRef refOf(const Job &job, const Task &task);

// Returns the task of a reference if it is on this worker, with the same attempt and incarnation of
// the agent; else null.
Task *currentTask(Job &job, const agent::TaskRef &ref, const std::string &agentId,
                  std::uint64_t incarnation);

// Records that a waiting task is sent to a worker.
void markSent(Dispatcher &dispatcher, Job &job, Task &task, const Worker &worker, Time now);

// Adds a task on a worker to the outstanding ones, which are queried and searched when a worker is
// lost.
void addOutstanding(Dispatcher &dispatcher, Job &job, Task &task);

// Releases the slot and quota of a task that is no longer on its worker, and corrects the charge to
// its run time.
void releaseTask(Dispatcher &dispatcher, Job &job, Task &task, Microseconds runTime);

// Returns a task to the waiting ones, after proof that it never started or for a retry.
void markWaiting(Dispatcher &dispatcher, Job &job, Task &task);

// [SECTION] Jobs

// Adds the job with all tasks waiting. Does not queue it yet.
Job &addJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch, Time now);

// Updates the queue: the job is in it while it has waiting tasks that may be sent now.
void requeue(Dispatcher &dispatcher, Job &job, Time now);

// Ends the job with an error: cancels its tasks on workers and drops the waiting ones. The outcome
// is NotRun only if no attempt of any task can have started.
void failJob(Dispatcher &dispatcher, Job &job, ErrorKind kind, std::string message, Time now,
             Actions &actions);

void completeJob(Dispatcher &dispatcher, Job &job, Time now, Actions &actions);

// Evicts answers that are too old, and the oldest ones while all together are too large.
void evictAnswers(Dispatcher &dispatcher, Time now);

} // namespace foxwing::dispatch
