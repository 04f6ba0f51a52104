/*
    Internal declarations of the scheduler.

    [SECTION] Placement
    [SECTION] Freed capacity
    [SECTION] Forecast
    [SECTION] Crashes
    [SECTION] Guaranteed shares
    [SECTION] Completion
*/
#pragma once

#include <foxwing/scheduler/scheduler.h>

namespace foxwing::scheduler {

// [SECTION] Placement

// Starts whatever can start now.
void place(SchedulerState &scheduler, Time now, SchedulerActions &actions);

// The same if only one agent's free capacity has grown since the last pass: the waiting work did
// not fit elsewhere then, and does not now.
void placeAt(SchedulerState &scheduler, const std::string &agent, Time now,
             SchedulerActions &actions);
QueueKey keyOf(const SchedulerState &scheduler, const Job &job);

// All waiting jobs in order, after updating the group and priority of each.
std::vector<QueueKey> refreshQueue(SchedulerState &scheduler, Time now);
void enqueue(SchedulerState &scheduler, Job &job);
void dequeue(SchedulerState &scheduler, const Job &job);

// Sends a heartbeat, which also tells the agent whether work waits here for capacity.
void sendHeartbeat(const SchedulerState &scheduler, const std::string &name, Agent &agent, Time now,
                   SchedulerActions &actions);

// Whether its caller's deadline has passed. Nothing more of the job is placed then, since the
// caller may retry elsewhere; the next tick gives it up.
bool callerDeadlinePassed(const Job &job, Time now);

// Whether no task of the job has begun or may begin through a start already sent.
bool certainlyNotBegun(const Job &job);

// Whether this entry knows the endpoint's data centre to be cordoned.
bool isCordoned(const SchedulerState &scheduler, const Agent &agent);

// The agent's free capacity, less the starts that its last update does not include.
jobs::ResourceVector freeAt(const Agent &agent);

// The same for one job: a late job only gets capacity that nobody else wants.
jobs::ResourceVector freeFor(const SchedulerState &scheduler, const Agent &agent, const Job &job);

// Whether the endpoint could run the step when empty.
bool isSuitable(const Agent &agent, const Job &job, const jobs::StepSpec &step);

// Critical path through the steps, given the time of each.
Milliseconds criticalPath(const jobs::JobSpec &spec, const std::vector<Milliseconds> &durations);
Microseconds scaled(Milliseconds duration, double factor);

// [SECTION] Freed capacity

// A run of the job ended with this outcome and freed its capacity.
void recordFreed(SchedulerState &scheduler, const Job &job, const jobs::ResourceVector &demand,
                 jobs::RunOutcome outcome, Time now);

// Scales the recently freed capacity of a service, when only this part of its endpoints is still
// usable.
void scaleFreed(SchedulerState &scheduler, const std::string &service, double part);

// Recently freed millicores per millisecond.
double freedPerMillisecond(const SchedulerState &scheduler, const FreedCapacity &freed, Time now);

// [SECTION] Forecast

bool usesForecast(const SchedulerState &scheduler);

// Forecast input from the service's agents that take work.
forecast::ServiceLoad serviceLoadOf(const SchedulerState &scheduler, const std::string &service,
                                    Time now);

// This entry's share of freed capacity, over all priorities.
double totalShare(const SchedulerState &scheduler, const std::string &service, Time now);

// Expected wait of a job that arrives now, if it is on time and if it is late; nothing if not
// known.
std::optional<Milliseconds> waitIfOnTime(const SchedulerState &scheduler, const Job &job, Time now);
std::optional<Milliseconds> waitIfLate(const SchedulerState &scheduler, const Job &job, Time now);

// Late jobs that keep waiting since they start before their callers are gone.
std::set<std::uint64_t> lateJobsToKeep(SchedulerState &scheduler, Time now);

// Starts of the job were sent; if that was late, counts their capacity as given to late jobs.
void recordLateStart(SchedulerState &scheduler, const Job &job, std::int64_t milliCores, Time now);

// When a caller that is refused now should retry, by the forecast.
Milliseconds estimateRetryAfter(SchedulerState &scheduler, const Job &job, Time now);

// Adds up the freed capacity that agents report.
void addReportedFreed(SchedulerState &scheduler, Time now);

// Whether all tasks that the job starts with fit now. For jobs that have not started.
bool fitsEntirely(const SchedulerState &scheduler, const Job &job, Time now);

// [SECTION] Crashes

// Handles an agent's reports of tasks that ran when its endpoint crashed, and gives up open jobs
// with too many crashes.
void handleCrashReports(SchedulerState &scheduler, const std::string &agent,
                        const std::vector<jobs::CrashReport> &reports, Time now,
                        SchedulerActions &actions);

// Number of reported crashes while the task ran, for any entry
std::uint32_t crashCount(const SchedulerState &scheduler, const jobs::TaskId &task);

// Whether endpoints recently crashed too often while running the job.
bool isCrashing(SchedulerState &scheduler, const std::string &id, Time now);

// Gives the job up if endpoints have crashed too often while running the task.
void giveUpIfCrashing(SchedulerState &scheduler, Job &job, const Task &task,
                      const std::string &agent, Time now, SchedulerActions &actions);

// [SECTION] Guaranteed shares

// A job arrived that some endpoint could serve; such a job is refused for lack of capacity.
void recordRequestedJob(SchedulerState &scheduler, const Job &job, Time now);
void recordRefusedJob(SchedulerState &scheduler, const Job &job, Time now);

// Updates which queues are below their guaranteed share, and their effective priorities.
void updateQueueStatuses(SchedulerState &scheduler, Time now, SchedulerActions &actions);

// Whether the job's starts may not wait at agents, so that a less urgent queue below its guaranteed
// share gets some of the freed capacity.
bool yields(const SchedulerState &scheduler, const Job &job);

// [SECTION] Completion

void answerJob(SchedulerState &scheduler, Job &job, JobOutcome outcome, const std::string &reason,
               Time now, SchedulerActions &actions);
void handleRunReport(SchedulerState &scheduler, const std::string &agent,
                     const jobs::RunReport &report, Time now, SchedulerActions &actions);
void handleStragglerReport(SchedulerState &scheduler, const std::string &agent,
                           const jobs::StragglerReport &report, Time now,
                           SchedulerActions &actions);

// The task's run is certainly over without a result: it may start again.
void requeueTask(SchedulerState &scheduler, Job &job, Task &task);
void removeIfFinished(SchedulerState &scheduler, std::uint64_t number);
void stopTask(SchedulerState &scheduler, const Job &job, Task &task, SchedulerActions &actions);
Task *findTask(SchedulerState &scheduler, const jobs::RunId &id, Job **job);

} // namespace foxwing::scheduler
