/*
    Inside the dispatcher: changing tasks and jobs so that counts, queue, slots and charges agree.

    [SECTION] Tasks
    [SECTION] Jobs
*/
#pragma once

#include <foxwing/dispatch/dispatcher.h>

namespace foxwing::dispatch {

// [SECTION] Tasks

agent::TaskRef refOf(const Job &job, const Task &task);

// The task that a reference names, if the attempt and, unless it is zero, the agent's incarnation
// are the present ones; else null.
Task *currentTask(Job &job, const agent::TaskRef &ref, const std::string &agentId,
                  std::uint64_t incarnation);

// A waiting task is on its way to a worker.
void markSent(Dispatcher &dispatcher, Job &job, Task &task, const Worker &worker, Time now);

// Lists a task that is on a worker, so that it is verified and found when the worker is lost.
void addOutstanding(Dispatcher &dispatcher, Job &job, Task &task);

// A task is no longer on its worker; its slot, charge and quota are given back.
void takeOffWorker(Dispatcher &dispatcher, Job &job, Task &task, Microseconds runTime);

// A task that was proved never to have started waits again.
void markWaiting(Dispatcher &dispatcher, Job &job, Task &task);

// [SECTION] Jobs

// Makes the job with all its tasks waiting. It is not queued yet.
Job &addJob(Dispatcher &dispatcher, const JobSpec &spec, std::uint64_t epoch, Time now);

// Puts the job's waiting tasks into the queue, or takes them out if it may not be sent now.
void requeue(Dispatcher &dispatcher, Job &job, Time now);

// Ends the job with an error; what runs is stopped, what waits is dropped. The outcome is NotRun
// only if no attempt of any task may have started.
void failJob(Dispatcher &dispatcher, Job &job, ErrorKind kind, std::string message, Time now,
             Actions &actions);

// Ends the job as complete.
void completeJob(Dispatcher &dispatcher, Job &job, Time now, Actions &actions);

// Forgets answers that are too old, or the oldest while there are too many bytes.
void forgetAnswers(Dispatcher &dispatcher, Time now);

} // namespace foxwing::dispatch
