/*
    Inside the scheduler: what its files share.

    [SECTION] Placing
    [SECTION] Freed room
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

// Nothing of the job has begun; a start that is under way may begin.
bool certainlyNotBegun(const Job &job);

// Whether the endpoint's data centre is cordoned, as far as this entry knows.
bool isCordoned(const SchedulerState &scheduler, const Agent &agent);

// Room that this entry may count on at an agent.
jobs::Room roomAt(const Agent &agent);

// Whether the endpoint may run the step at all, whatever runs on it now.
bool suits(const Agent &agent, const Job &job, const jobs::StepSpec &step);

// The longest chain through the steps, with these spans for the steps.
Milliseconds longestChain(const jobs::JobSpec &spec, const std::vector<Milliseconds> &spans);

// [SECTION] Freed room

// An ended run has given its room back.
void noteFreed(SchedulerState &scheduler, const std::string &service, const jobs::Room &room,
               Time now);

// Of the room that came free of late, only this part goes on coming free.
void scaleFreed(SchedulerState &scheduler, const std::string &service, double part);

// Thousandths of a core that came free in a millisecond, of late.
double freedPerMillisecond(const SchedulerState &scheduler, const FreedRoom &freed, Time now);

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
void runLags(SchedulerState &scheduler, const std::string &agent, const jobs::LagReport &report,
             Time now, SchedulerActions &actions);

// The task's run is certainly over without a result: it may be started again.
void freeTask(SchedulerState &scheduler, Job &job, Task &task);
void removeIfFinished(SchedulerState &scheduler, std::uint64_t number);
void stopTask(SchedulerState &scheduler, const Job &job, Task &task, SchedulerActions &actions);
Task *findTask(SchedulerState &scheduler, const jobs::RunId &id, Job **job);

} // namespace foxwing::scheduler
