/*
    Inside the scheduler: what its files share.

    [SECTION] Placing
    [SECTION] Freed room
    [SECTION] Outlook
    [SECTION] Crashes
    [SECTION] Floors
    [SECTION] Ending
*/
#pragma once

#include <foxwing/scheduler/scheduler.h>

namespace foxwing::scheduler {

// [SECTION] Placing

// Starts what can start now.
void place(SchedulerState &scheduler, Time now, SchedulerActions &actions);

// The same where only one agent's room has grown since work was last placed: nothing that waits
// found room elsewhere then, and nothing does now.
void placeAt(SchedulerState &scheduler, const std::string &agent, Time now,
             SchedulerActions &actions);
QueueKey keyOf(const SchedulerState &scheduler, const Job &job);

// All waiting jobs in their order, after each has found its rank at this time.
std::vector<QueueKey> sortOut(SchedulerState &scheduler, Time now);
void enqueue(SchedulerState &scheduler, Job &job);
void dequeue(SchedulerState &scheduler, const Job &job);

// Keeps an agent's session alive, and tells it whether work waits here for room.
void beatAgent(const SchedulerState &scheduler, const std::string &name, Agent &agent, Time now,
               SchedulerActions &actions);

// Whether its caller's patience is over: nothing more of it is placed, since the caller may send it
// elsewhere. The next tick gives it up.
bool isUnwanted(const Job &job, Time now);

// Nothing of the job has begun; a start that is under way may begin.
bool certainlyNotBegun(const Job &job);

// Whether the endpoint's data centre is cordoned, as far as this entry knows.
bool isCordoned(const SchedulerState &scheduler, const Agent &agent);

// Room that this entry may count on at an agent.
jobs::ResourceVector roomAt(const Agent &agent);

// The same for a job: one that waits on though it is late takes only room that nobody else wants.
jobs::ResourceVector roomFor(const SchedulerState &scheduler, const Agent &agent, const Job &job);

// Whether the endpoint may run the step at all, whatever runs on it now.
bool suits(const Agent &agent, const Job &job, const jobs::StepSpec &step);

// The longest chain through the steps, with these spans for the steps.
Milliseconds longestChain(const jobs::JobSpec &spec, const std::vector<Milliseconds> &spans);
Microseconds scaled(Milliseconds span, double factor);

// [SECTION] Freed room

// A run of the job has ended like this and given its room back.
void noteFreed(SchedulerState &scheduler, const Job &job, const jobs::ResourceVector &demand,
               jobs::RunOutcome end, Time now);

// Of the room that came free of late, only this part goes on coming free.
void scaleFreed(SchedulerState &scheduler, const std::string &service, double part);

// Thousandths of a core that came free in a millisecond, of late.
double freedPerMillisecond(const SchedulerState &scheduler, const FreedRoom &freed, Time now);

// [SECTION] Outlook

bool usesForecast(const SchedulerState &scheduler);

// What the agents of the service have told, without those that take nothing.
forecast::ServiceLoad pictureOf(const SchedulerState &scheduler, const std::string &service,
                                Time now);

// Part of the freed room that comes to this entry, for jobs of any priority.
double wholeShare(const SchedulerState &scheduler, const std::string &service, Time now);

// Until a job that comes now has found room, if it can be on time and if it can't. Nothing if that
// is not known.
std::optional<Milliseconds> waitOnTime(const SchedulerState &scheduler, const Job &job, Time now);
std::optional<Milliseconds> waitLate(const SchedulerState &scheduler, const Job &job, Time now);

// Jobs that can't be on time any more, and wait on since they begin before their callers are gone.
std::set<std::uint64_t> worthWaiting(SchedulerState &scheduler, Time now);

// Starts of the job were sent; if it began late, late jobs have got so much room.
void noteLateStart(SchedulerState &scheduler, const Job &job, std::int64_t milliCores, Time now);

// When a caller that is refused now should come back, by the forecast.
Milliseconds estimateRetryAfter(SchedulerState &scheduler, const Job &job, Time now);

// Adds up what agents tell of freed room.
void addTold(SchedulerState &scheduler, Time now);

// Whether there is room for all tasks with which a job that has not begun begins.
bool fitsWhole(const SchedulerState &scheduler, const Job &job, Time now);

// [SECTION] Crashes

// An agent tells of tasks under which its endpoint crashed; jobs that are at work here and have
// crashed too many are given up.
void takeCrashes(SchedulerState &scheduler, const std::string &agent,
                 const std::vector<jobs::CrashReport> &reports, Time now,
                 SchedulerActions &actions);

// Crashes under the task that agents have told of, all entries' runs counted
std::uint32_t crashesOf(const SchedulerState &scheduler, const jobs::TaskId &task);

// Whether endpoints have crashed too often under the job of late.
bool isCrashing(SchedulerState &scheduler, const std::string &id, Time now);

// Gives the job up if endpoints have crashed too often under the task.
void giveUpIfCrashing(SchedulerState &scheduler, Job &job, const Task &task,
                      const std::string &agent, Time now, SchedulerActions &actions);

// [SECTION] Floors

// A job has come that endpoints could serve; such a job is refused since room lacks.
void noteAskedJob(SchedulerState &scheduler, const Job &job, Time now);
void noteRefusedJob(SchedulerState &scheduler, const Job &job, Time now);

// Finds the queues that are below their floor, and what their jobs go by.
void updateStandings(SchedulerState &scheduler, Time now, SchedulerActions &actions);

// Whether the job's starts are not to wait at agents, so that a less urgent queue that is below its
// floor gets some of the freed room.
bool yields(const SchedulerState &scheduler, const Job &job);

// [SECTION] Ending

void answerJob(SchedulerState &scheduler, Job &job, JobOutcome outcome, const std::string &reason,
               Time now, SchedulerActions &actions);
void runEnded(SchedulerState &scheduler, const std::string &agent, const jobs::RunReport &report,
              Time now, SchedulerActions &actions);
void runLags(SchedulerState &scheduler, const std::string &agent,
             const jobs::StragglerReport &report, Time now, SchedulerActions &actions);

// The task's run is certainly over without a result: it may be started again.
void freeTask(SchedulerState &scheduler, Job &job, Task &task);
void removeIfFinished(SchedulerState &scheduler, std::uint64_t number);
void stopTask(SchedulerState &scheduler, const Job &job, Task &task, SchedulerActions &actions);
Task *findTask(SchedulerState &scheduler, const jobs::RunId &id, Job **job);

} // namespace foxwing::scheduler
